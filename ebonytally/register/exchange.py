"""Control VMs tell each other what upstreams announced.

A change goes to all at once and is repeated, digests find what was lost
all the same. No majority is needed, so both sides of a cut go on.
"""

from ebonytally import actions
from ebonytally import events
from ebonytally import recorder as recorders
from ebonytally.register import records
from ebonytally.register import register as registers

DIGEST_S = 0.5
# A control VM that sent no digest for this long is lost.
LOST_S = 2.0
# A change is sent once more after this, datagrams get lost now and then.
REPEAT_S = 0.2
# A difference that lasts for two digests is no change on its way.
DIFFERENCES = 2
RECORDS_PER_MESSAGE = 8


class _Peer:
    """Another control VM."""

    def __init__(self, now: float) -> None:
        self.heard_at = now
        self.differences = 0
        self.followers = 0
        self.lost = False


class Exchange:
    """Keeps the registers of all control VMs alike."""

    def __init__(
        self,
        me: str,
        seeds: tuple[str, ...],
        register: registers.Register,
        recorder: recorders.Recorder,
    ) -> None:
        """Start with the control VMs that the settings name."""
        self._me = me
        self._seeds = seeds
        self._voters: tuple[str, ...] = ()
        self._register = register
        self._recorder = recorder
        self._peers: dict[str, _Peer] = {}
        self._repeats: list[tuple[float, str]] = []
        self._digest_at = 0.0

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take the seeds of changed settings."""
        self._seeds = seeds

    def heard(self, now: float) -> list[str]:
        """Return the other control VMs that are heard."""
        return [
            name
            for name, peer in self._peers.items()
            if now - peer.heard_at <= LOST_S
        ]

    def entry_vms(self, own: int, now: float) -> int:
        """Return how many entry VMs all control VMs know of.

        :param own: those that follow this one
        """
        return own + sum(
            peer.followers
            for peer in self._peers.values()
            if now - peer.heard_at <= LOST_S
        )

    def tell(
        self,
        entry: registers.Entry | None,
        now: float,
    ) -> list[actions.Action]:
        """Tell all others of a changed entry, None for nothing."""
        if entry is None:
            return []
        self._repeats.append((now + REPEAT_S, entry.record.id))
        return self._send([entry], self._others(), now)

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message of another control VM."""
        if isinstance(msg, records.RecordsChanged):
            return self._changed(msg, now)
        if isinstance(msg, records.Digest):
            return self._compared(peer, msg, now)
        return []

    def tick(
        self,
        voters: tuple[str, ...],
        followers: int,
        leader: str,
        now: float,
    ) -> list[actions.Action]:
        """Send what is due."""
        self._voters = voters
        out: list[actions.Action] = []
        self._notice_lost(now)
        heard = frozenset(self.heard(now))
        for entry in self._register.fallen_silent(heard, now):
            out += self.tell(entry, now)
        self._register.expire(now)
        while self._repeats and self._repeats[0][0] <= now:
            _, id_ = self._repeats.pop(0)
            entry = self._register.get(id_)
            if entry is not None:
                out += self._send([entry], self._others(), now)
        if now - self._digest_at >= DIGEST_S:
            self._digest_at = now
            msg = records.Digest(self._register.digest(), followers, leader)
            out += [actions.Send(name, msg) for name in self._others()]
        return out

    def _notice_lost(self, now: float) -> None:
        for name, peer in self._peers.items():
            silent_s = now - peer.heard_at
            if peer.lost or silent_s <= LOST_S:
                continue
            peer.lost = True
            self._recorder.event(
                events.Event.CONTROL_VM_LOST,
                peer=name,
                silent_s=round(silent_s, 3),
            )
            self._register.lost_source(name, now)

    def _others(self) -> list[str]:
        known = {*self._seeds, *self._voters}
        known.update(
            name for name, peer in self._peers.items() if not peer.lost
        )
        return sorted(known - {self._me})

    def _changed(
        self,
        msg: records.RecordsChanged,
        now: float,
    ) -> list[actions.Action]:
        out: list[actions.Action] = []
        for record in msg.records:
            entry = self._register.told_by(record, now)
            if entry is not None and entry.record.source == self._me:
                out += self.tell(entry, now)
        return out

    def _compared(
        self,
        name: str,
        msg: records.Digest,
        now: float,
    ) -> list[actions.Action]:
        peer = self._peers.get(name)
        if peer is None or peer.lost:
            peer = self._peers[name] = _Peer(now)
            self._recorder.event(events.Event.CONTROL_VM_HEARD, peer=name)
            peer.differences = DIFFERENCES
        peer.heard_at = now
        peer.followers = msg.followers
        if msg.records == self._register.digest():
            peer.differences = 0
            return []
        peer.differences += 1
        if peer.differences < DIFFERENCES:
            return []
        peer.differences = 0
        self._recorder.event(
            events.Event.REGISTERS_DIFFER,
            peer=name,
            records=len(self._register),
        )
        return self._send(self._register.entries(), [name], now)

    def _send(
        self,
        entries: list[registers.Entry],
        names: list[str],
        now: float,
    ) -> list[actions.Action]:
        out: list[actions.Action] = []
        for first in range(0, len(entries), RECORDS_PER_MESSAGE):
            msg = records.RecordsChanged(
                tuple(
                    self._register.told(entry, now)
                    for entry in entries[first : first + RECORDS_PER_MESSAGE]
                )
            )
            out += [actions.Send(name, msg) for name in names]
        return out
