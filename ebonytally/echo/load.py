"""What this entry VM knows of the load and the silence of upstreams.

Answers go straight from upstreams to callers, so load is told from the
callers' packets alone: data begins a request, an acknowledgement of
later bytes shows that its answer has begun.
"""

import attrs

# An upstream that didn't answer an opening packet rests for this long;
# each further silence doubles it.
REST_S = 0.8
MAX_REST_S = 3.2
# An upstream that opened a flow this lately is not to blame for the
# silence of one other caller.
TRUSTED_S = 0.3


@attrs.define
class Load:
    """One upstream as this entry VM uses it.

    :param busy: requests whose answer has not begun
    :param opening: opening packets that nobody followed up yet
    :param flows: open flows
    :param opened_at: seconds, when a flow was last seen to open
    :param rest_until: seconds, until when others go before it
    :param silences: opening packets in a row without an answer
    :param cold_next_at: seconds, when it may get a flow while cold
    """

    busy: int = 0
    opening: int = 0
    flows: int = 0
    opened_at: float = -1e9
    rest_until: float = -1e9
    silences: int = 0
    cold_next_at: float = -1e9

    @property
    def unused(self) -> bool:
        """Whether no flow here counts on it any more."""
        return not (self.busy or self.opening or self.flows)

    def opened(self, now: float) -> None:
        """Note that it answered an opening packet."""
        self.opened_at = now
        self.rest_until = now
        self.silences = 0

    def silent(self, now: float) -> bool:
        """Note an opening packet without an answer; tell if it rests."""
        if now - self.opened_at < TRUSTED_S:
            return False
        rest_s = min(REST_S * 2**self.silences, MAX_REST_S)
        self.silences += 1
        self.rest_until = now + rest_s
        return True
