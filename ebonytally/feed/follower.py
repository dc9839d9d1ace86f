"""Entry VM's side: asks control VMs and keeps what they tell."""

import attrs

from ebonytally import actions
from ebonytally.configuration import model
from ebonytally import events
from ebonytally.feed import changes
from ebonytally.feed import messages
from ebonytally import recorder as recorders
from ebonytally.register import register as registers

# A drained upstream, a change or an evacuation must be known here within
# seconds, and one lost datagram must not matter.
POLL_S = 0.3
# Each control VM but the primary is asked in turn.
OTHERS_S = 0.5
ANSWER_S = 0.25
# An entry VM that knows nothing asks everybody this often: when all
# restart at once, it serves as soon as one control VM is back.
JOIN_S = 0.05
# Beyond this the view may be old: nothing is refused for what it lacks.
FRESH_S = 1.2
RTT_GAIN = 0.3
# Another control VM must be this much nearer to become the primary.
NEARER_S = 0.0008
UNKNOWN_RTT_S = 1.0


@attrs.define
class _Source:
    """A control VM as it is followed.

    :param start: of the control VM, 0 for unknown
    :param revision: of its register, up to which all is known
    :param asked: number of the last poll
    :param waits_since: seconds, first poll since the last answer
    :param in_touch: it follows a leader, or is one
    :param complete: all that it has was told at least once
    :param rtt_s: smoothed time of an answer
    """

    start: int = 0
    revision: int = 0
    asked: int = 0
    asked_at: float = -1e9
    answered_at: float = -1e9
    waits_since: float | None = None
    rtt_s: float = UNKNOWN_RTT_S
    in_touch: bool = False
    complete: bool = False

    def quiet(self, now: float) -> bool:
        """Return whether it owes an answer for too long."""
        since = self.waits_since
        return since is not None and now - since > ANSWER_S


@attrs.define
class _Fetch:
    """A change of configuration that comes in parts."""

    source: str
    base: int
    version: int
    parts: list[bytes]
    asked_at: float


@attrs.frozen
class View:
    """What an entry VM follows, but for the register.

    :param out: data centres taken out
    :param entry_vms: how many entry VMs there are about
    """

    version: int = 0
    content: model.Content = changes.EMPTY
    out: frozenset[str] = frozenset()
    out_revision: int = 0
    entry_vms: int = 1


class Follower:
    """Follows the nearest control VM and cross-checks with the others."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        register: registers.Register,
        recorder: recorders.Recorder,
    ) -> None:
        """Start with the control VMs that the settings name."""
        self.view = View()
        self._register = register
        self._recorder = recorder
        self._sources = {name: _Source() for name in seeds}
        self._seeds = seeds
        self._primary = ""
        self._turn = 0
        self._others_at = 0.0
        self._asked = 0
        self._fetch: _Fetch | None = None
        self._newest = 0

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take the seeds of changed settings."""
        self._seeds = seeds
        for name in seeds:
            self._sources.setdefault(name, _Source())

    def complete(self) -> bool:
        """Return whether there is enough to serve with."""
        if not self.view.version:
            return False
        return any(one.complete for one in self._sources.values())

    def fresh(self, now: float) -> bool:
        """Return whether nothing is known to be missing here.

        A well connected control VM answered lately, and the newest
        configuration that any told of is in force.
        """
        if not self.view.version or self.view.version < self._newest:
            return False
        return any(
            one.in_touch and one.complete and now - one.answered_at < FRESH_S
            for one in self._sources.values()
        )

    def tick(self, now: float) -> list[actions.Action]:
        """Ask who is due."""
        out: list[actions.Action] = []
        if not self._primary or self._is_quiet(self._primary, now):
            self._choose(now)
            if not self.complete():
                for name in self._sources:
                    if now - self._sources[name].asked_at >= JOIN_S:
                        out.append(self._poll(name, now))
        primary = self._sources.get(self._primary)
        if primary is not None and now - primary.asked_at >= POLL_S:
            out.append(self._poll(self._primary, now))
        if now - self._others_at >= OTHERS_S:
            self._others_at = now
            out += self._ask_other(now)
        fetch = self._fetch
        if fetch is not None and now - fetch.asked_at >= ANSWER_S:
            self._fetch = None
        return out

    def ask_now(self, now: float) -> list[actions.Action]:
        """Ask the primary at once, since something here is unknown."""
        primary = self._sources.get(self._primary)
        if primary is None or now - primary.asked_at < ANSWER_S / 2:
            return []
        return [self._poll(self._primary, now)]

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message of a control VM."""
        if isinstance(msg, messages.Update):
            return self._updated(peer, msg, now)
        if isinstance(msg, messages.Part):
            return self._part(peer, msg, now)
        if isinstance(msg, messages.Started):
            return self._greeted(peer, now)
        return []

    def _greeted(self, peer: str, now: float) -> list[actions.Action]:
        """Ask a control VM that has started, if nothing is known yet."""
        self._sources.setdefault(peer, _Source())
        if self.complete():
            return []
        return [self._poll(peer, now)]

    def _updated(
        self,
        peer: str,
        msg: messages.Update,
        now: float,
    ) -> list[actions.Action]:
        source = self._sources.get(peer)
        if source is None or msg.asked != source.asked:
            return []
        self._answered(peer, source, msg, now)
        self._newest = max(self._newest, msg.version)
        for record in msg.records:
            self._register.told_by(record, now)
        self._data_centres(peer, msg)
        if peer == self._primary or not self.complete():
            self._meet(msg.control_vms)
        out: list[actions.Action] = []
        if msg.more:
            out.append(self._poll(peer, now))
        if msg.version > self.view.version and self._fetch is None:
            out += self._want(peer, msg.version, now)
        return out

    def _answered(
        self,
        peer: str,
        source: _Source,
        msg: messages.Update,
        now: float,
    ) -> None:
        took_s = now - source.asked_at
        if source.rtt_s >= UNKNOWN_RTT_S:
            source.rtt_s = took_s
        else:
            source.rtt_s += RTT_GAIN * (took_s - source.rtt_s)
        source.answered_at = now
        source.waits_since = None
        if source.in_touch != msg.in_touch or source.start != msg.start:
            self._recorder.event(
                events.Event.CONTROL_VM_ANSWERS,
                peer=peer,
                in_touch=msg.in_touch,
                start=msg.start,
                was_start=source.start,
                primary=self._primary,
            )
        source.in_touch = msg.in_touch
        source.start = msg.start
        source.revision = msg.revision
        source.complete = source.complete or not msg.more
        self.view = attrs.evolve(
            self.view,
            entry_vms=max(1, msg.entry_vms),
        )

    def _data_centres(self, peer: str, msg: messages.Update) -> None:
        if msg.out is None or msg.out_revision <= self.view.out_revision:
            return
        self.view = attrs.evolve(
            self.view,
            out=frozenset(msg.out),
            out_revision=msg.out_revision,
        )
        self._recorder.event(
            events.Event.DATA_CENTRES_OUT,
            peer=peer,
            out=list(msg.out),
            revision=msg.out_revision,
        )

    def _meet(self, control_vms: tuple[str, ...]) -> None:
        wanted = {*control_vms, *self._seeds}
        for name in wanted - self._sources.keys():
            self._sources[name] = _Source()
        for name in self._sources.keys() - wanted:
            del self._sources[name]

    def _is_quiet(self, name: str, now: float) -> bool:
        source = self._sources.get(name)
        return source is None or not source.in_touch or source.quiet(now)

    def _choose(self, now: float) -> None:
        """Make the best control VM the primary.

        One that answers and is in touch goes before one that doesn't,
        the nearer before the farther.
        """
        if not self._sources:
            return

        def rank(name: str) -> tuple[bool, bool, float, str]:
            source = self._sources[name]
            return (source.quiet(now), not source.in_touch, source.rtt_s, name)

        best = min(self._sources, key=rank)
        if best != self._primary:
            self._recorder.event(
                events.Event.CONTROL_VM_CHOSEN,
                peer=best,
                was=self._primary,
                in_touch=self._sources[best].in_touch,
                rtt_ms=round(self._sources[best].rtt_s * 1000, 2),
            )
            self._primary = best

    def _ask_other(self, now: float) -> list[actions.Action]:
        others = sorted(self._sources.keys() - {self._primary})
        if not others:
            return []
        self._turn = (self._turn + 1) % len(others)
        name = others[self._turn]
        primary = self._sources.get(self._primary)
        other = self._sources[name]
        if primary is not None and other.in_touch:
            nearer = other.rtt_s + NEARER_S < primary.rtt_s
            if nearer:
                self._choose(now)
        return [self._poll(name, now)]

    def _poll(self, name: str, now: float) -> actions.Action:
        source = self._sources[name]
        self._asked += 1
        source.asked = self._asked
        source.asked_at = now
        if source.waits_since is None:
            source.waits_since = now
        poll = messages.Poll(
            source.asked,
            source.start,
            source.revision,
            self.view.version,
            self.view.out_revision,
            name == self._primary,
        )
        return actions.Send(name, poll)

    def _want(
        self,
        peer: str,
        version: int,
        now: float,
    ) -> list[actions.Action]:
        base = self.view.version
        self._fetch = _Fetch(peer, base, version, [], now)
        wanted = messages.PartWanted(base, version, 0)
        return [actions.Send(peer, wanted)]

    def _part(
        self,
        peer: str,
        msg: messages.Part,
        now: float,
    ) -> list[actions.Action]:
        fetch = self._fetch
        if fetch is None or fetch.source != peer:
            return []
        if (msg.version, msg.part) != (fetch.version, len(fetch.parts)):
            return []
        if msg.part and msg.base != fetch.base:
            return []
        fetch.base = msg.base
        fetch.parts.append(msg.data)
        fetch.asked_at = now
        if len(fetch.parts) < msg.parts:
            wanted = messages.PartWanted(
                self.view.version,
                msg.version,
                len(fetch.parts),
            )
            return [actions.Send(peer, wanted)]
        self._fetch = None
        self._apply(peer, msg, b"".join(fetch.parts))
        return []

    def _apply(self, peer: str, msg: messages.Part, data: bytes) -> None:
        """Put a whole change in force; versions only grow.

        :raises WireError: when the bytes are no change
        """
        if msg.base not in (0, self.view.version):
            return
        if msg.version <= self.view.version:
            return
        old = self.view.content if msg.base else changes.EMPTY
        content = changes.apply(old, changes.unpack(data))
        was = self.view.version
        self.view = attrs.evolve(
            self.view,
            version=msg.version,
            content=content,
        )
        self._recorder.event(
            events.Event.CONFIGURATION_APPLIED,
            version=msg.version,
            was=was,
            base=msg.base,
            peer=peer,
            routes=len(content.routes),
            bytes=len(data),
        )
