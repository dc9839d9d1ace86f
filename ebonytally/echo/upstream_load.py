"""An upstream's load and failures as this entry VM estimates them.

Upstreams answer callers directly, so load is estimated from the callers'
packets alone: data begins a request, an acknowledgement of later bytes
shows that its answer has begun.
"""

import attrs

# Back-off of an upstream that didn't answer an opening packet; each
# further failure doubles it.
BACK_OFF_S = 0.8
MAX_BACK_OFF_S = 3.2
# An upstream that opened a flow this recently is taken as working: an
# unanswered opening is then the fault of its caller.
RECENT_OPENING_S = 0.3


@attrs.define
class UpstreamLoad:
    """Load and back-off of one upstream, times in seconds.

    :param busy: requests whose answer has not begun
    :param opening: opening packets whose flow has not opened yet
    :param flows: open flows
    :param opened_at: when a flow last opened
    :param backed_off_until: until when other upstreams are preferred
    :param silences: consecutive opening packets without an answer
    :param cold_next_at: when it may get its next flow while cold
    :param probe_next_at: when it may get its next flow while avoided
    """

    busy: int = 0
    opening: int = 0
    flows: int = 0
    opened_at: float = -1e9
    backed_off_until: float = -1e9
    silences: int = 0
    cold_next_at: float = -1e9
    probe_next_at: float = -1e9

    @property
    def is_unused(self) -> bool:
        """Return whether no flow or request is counted here."""
        return not (self.busy or self.opening or self.flows)

    def is_backed_off(self, now: float) -> bool:
        """Return whether other upstreams are preferred."""
        return self.backed_off_until > now

    def copy(self) -> "UpstreamLoad":
        """Return a copy; much faster than `copy.copy`."""
        return UpstreamLoad(
            self.busy,
            self.opening,
            self.flows,
            self.opened_at,
            self.backed_off_until,
            self.silences,
            self.cold_next_at,
            self.probe_next_at,
        )

    def on_opened(self, now: float) -> None:
        """End the back-off, as a flow has opened."""
        self.opened_at = now
        self.backed_off_until = now
        self.silences = 0

    def on_silence(self, now: float) -> bool:
        """Count an unanswered opening; return whether it backs off."""
        if now - self.opened_at < RECENT_OPENING_S:
            return False
        back_off_s = min(BACK_OFF_S * 2**self.silences, MAX_BACK_OFF_S)
        self.silences += 1
        self.backed_off_until = now + back_off_s
        return True
