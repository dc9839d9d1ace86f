"""Gossip between control VMs that keeps their registries consistent.

A change is sent to all other control VMs at once and resent later;
digests reveal what was lost nevertheless. No quorum is needed, so both
sides of a network partition continue.
"""

from ebonytally import actions
from ebonytally import events
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally.registry import registry as registries

DIGEST_INTERVAL_S = 0.5
# A control VM that has sent no digest for this long is considered lost.
PEER_TIMEOUT_S = 2.0
# Registries that differ for longer don't only differ by what is in transit
# while many upstreams start.
AGREEMENT_TIMEOUT_S = 3.0
# A change is resent once after this time, since datagrams get lost.
RESEND_AFTER_S = 0.2
# A difference in two successive digests is not a change still in transit.
DIFFERING_DIGESTS = 2
# A longer time between two ticks means that this VM was paused, and that
# messages may wait in its sockets.
MAX_TICK_GAP_S = 0.5
RECORDS_PER_MESSAGE = 8
# A comparison with a peer may lead to all records. While many upstreams
# start, all registries differ, and so many can be sent besides other work.
MAX_COMPARED_PER_S = 3000
# With ids of up to 16 bytes they fit into a datagram.
MOVES_PER_MESSAGE = 32


class _Peer:
    """State of another control VM.

    `followers` entry VMs follow it; `differing_digests` counts successive
    digests that differ from the local one; `agreed_at` is the time of the
    last one that was equal.
    """

    def __init__(self, now: float) -> None:
        self.heard_at = now
        self.agreed_at = now
        self.differing_digests = 0
        self.followers = 0
        self.is_lost = False


class RegistryGossip:
    """Synchronises the local registry with those of other control VMs."""

    def __init__(
        self,
        local_vm: str,
        seeds: tuple[str, ...],
        registry: registries.Registry,
        recorder: recorders.Recorder,
    ) -> None:
        """Set up with the control VMs in the settings as peers.

        :param seeds: names of those control VMs
        """
        self._local_vm = local_vm
        self._seeds = seeds
        self._voters: tuple[str, ...] = ()
        self._registry = registry
        self._recorder = recorder
        self._peers: dict[str, _Peer] = {}
        self._resends: list[tuple[float, str]] = []
        self._digest_at = 0.0
        self._compare_from = 0.0
        self._ticked_at: float | None = None

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds by those of changed settings."""
        self._seeds = seeds

    def live_peers(self, now: float) -> list[str]:
        """Return the names of the other control VMs heard recently."""
        return [
            name
            for name, peer in self._peers.items()
            if now - peer.heard_at <= PEER_TIMEOUT_S
        ]

    def agreeing_peers(self, now: float) -> frozenset[str]:
        """Return the control VMs that know what this one knows.

        Messages to a peer may be lost while it is heard.
        """
        return frozenset(
            name
            for name in self.live_peers(now)
            if now - self._peers[name].agreed_at <= AGREEMENT_TIMEOUT_S
        )

    def is_control_vm(self, name: str) -> bool:
        """Return whether a name is that of another control VM.

        Known are seeds, voters, and those that have sent digests and
        aren't lost.
        """
        peer = self._peers.get(name)
        is_heard = peer is not None and not peer.is_lost
        return is_heard or name in self._seeds or name in self._voters

    def count_entry_vms(self, own: int, now: float) -> int:
        """Return how many entry VMs follow any control VM that is heard.

        :param own: number of those that follow this one
        """
        return own + sum(
            peer.followers
            for peer in self._peers.values()
            if now - peer.heard_at <= PEER_TIMEOUT_S
        )

    def publish(
        self,
        entry: registries.Entry | None,
        now: float,
    ) -> list[actions.Action]:
        """Send a changed entry to all other control VMs.

        An upstream that only moved here is told with the digests.

        :param entry: the entry, None if nothing changed
        """
        if entry is None or self._registry.has_moved(entry.record.id):
            return []
        self._resends.append((now + RESEND_AFTER_S, entry.record.id))
        return self._send([entry], self._peer_names(), now)

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message from another control VM."""
        if isinstance(msg, records.RecordsChanged):
            return self._handle_records_changed(msg, now)
        if isinstance(msg, records.AnnouncementsMoved):
            for id_, born_ms, sequence in msg.moved:
                self._registry.on_move(peer, id_, born_ms, sequence, now)
            return []
        if isinstance(msg, records.Digest):
            return self._handle_digest(peer, msg, now)
        if isinstance(msg, records.BucketDigests):
            return self._handle_bucket_digests(peer, msg, now)
        return []

    def tick(
        self,
        voters: tuple[str, ...],
        followers: int,
        leader: str,
        now: float,
    ) -> list[actions.Action]:
        """Detect silent upstreams and peers; return messages that are due.

        :param voters: control VMs that vote in the replicated log
        :param followers: number of entry VMs that follow this control VM
        :param leader: leader that this control VM follows, "" for none
        """
        self._voters = voters
        out: list[actions.Action] = []
        self._extend_timeouts_after_pause(now)
        for entry in self._detect_lost_peers(now):
            out += self.publish(entry, now)
        heard = frozenset(self.live_peers(now))
        for entry in self._registry.mark_silent_upstreams(heard, now):
            out += self.publish(entry, now)
        self._registry.expire(now)
        while self._resends and self._resends[0][0] <= now:
            _, id_ = self._resends.pop(0)
            entry = self._registry.get(id_)
            if entry is not None:
                out += self._send([entry], self._peer_names(), now)
        if now - self._digest_at >= DIGEST_INTERVAL_S:
            self._digest_at = now
            msg = records.Digest(self._registry.digest(), followers, leader)
            out += [actions.Send(name, msg) for name in self._peer_names()]
            out += self._tell_moves(now)
        return out

    def _tell_moves(self, now: float) -> list[actions.Action]:
        moved = self._registry.moves_to_tell(now)
        out: list[actions.Action] = []
        for first in range(0, len(moved), MOVES_PER_MESSAGE):
            msg = records.AnnouncementsMoved(
                tuple(moved[first : first + MOVES_PER_MESSAGE])
            )
            out += [actions.Send(name, msg) for name in self._peer_names()]
        return out

    def _extend_timeouts_after_pause(self, now: float) -> None:
        """Don't count a pause of this VM as a silence of others."""
        last = self._ticked_at
        self._ticked_at = now
        if last is None or now - last <= MAX_TICK_GAP_S:
            return
        paused_s = now - last
        self._recorder.log_event(
            events.Event.PAUSED, paused_s=round(paused_s, 3)
        )
        self._registry.extend_timeouts(paused_s)
        for peer in self._peers.values():
            peer.heard_at += paused_s

    def _detect_lost_peers(self, now: float) -> list[registries.Entry]:
        """Return the entries that changed because a peer is lost."""
        changed: list[registries.Entry] = []
        for name, peer in self._peers.items():
            silent_s = now - peer.heard_at
            if peer.is_lost or silent_s <= PEER_TIMEOUT_S:
                continue
            peer.is_lost = True
            self._recorder.log_event(
                events.Event.CONTROL_VM_LOST,
                peer=name,
                silent_s=round(silent_s, 3),
            )
            changed += self._registry.on_source_lost(name, now)
        return changed

    def _peer_names(self) -> list[str]:
        names = {*self._seeds, *self._voters}
        names.update(
            name for name, peer in self._peers.items() if not peer.is_lost
        )
        return sorted(names - {self._local_vm})

    def _handle_records_changed(
        self,
        msg: records.RecordsChanged,
        now: float,
    ) -> list[actions.Action]:
        out: list[actions.Action] = []
        for record in msg.records:
            entry = self._registry.merge(record, now)
            if entry is not None and entry.record.source == self._local_vm:
                out += self.publish(entry, now)
        return out

    def _handle_digest(
        self,
        name: str,
        msg: records.Digest,
        now: float,
    ) -> list[actions.Action]:
        peer = self._peers.get(name)
        if peer is None or peer.is_lost:
            peer = self._peers[name] = _Peer(now)
            self._recorder.log_event(events.Event.CONTROL_VM_HEARD, peer=name)
            self._registry.on_source_heard(name)
            peer.differing_digests = DIFFERING_DIGESTS
        peer.heard_at = now
        peer.followers = msg.followers
        if msg.records == self._registry.digest():
            peer.differing_digests = 0
            peer.agreed_at = now
            return []
        peer.differing_digests += 1
        if peer.differing_digests < DIFFERING_DIGESTS:
            return []
        if now < self._compare_from:
            return []
        self._compare_from = now + len(self._registry) / MAX_COMPARED_PER_S
        peer.differing_digests = 0
        self._recorder.log_event(
            events.Event.REGISTERS_DIFFER,
            peer=name,
            records=len(self._registry),
        )
        msg = records.BucketDigests(self._registry.bucket_digests())
        return [actions.Send(name, msg)]

    def _handle_bucket_digests(
        self,
        name: str,
        msg: records.BucketDigests,
        now: float,
    ) -> list[actions.Action]:
        """Send the records of the buckets that differ from a peer's."""
        own = self._registry.bucket_digests()
        if len(msg.buckets) != len(own):
            return self._send(self._registry.entries(), [name], now)
        pairs = enumerate(zip(own, msg.buckets, strict=True))
        differing = {n for n, (mine, theirs) in pairs if mine != theirs}
        return self._send(self._registry.entries_of(differing), [name], now)

    def _send(
        self,
        entries: list[registries.Entry],
        names: list[str],
        now: float,
    ) -> list[actions.Action]:
        out: list[actions.Action] = []
        for first in range(0, len(entries), RECORDS_PER_MESSAGE):
            msg = records.RecordsChanged(
                tuple(
                    self._registry.to_record(entry, now)
                    for entry in entries[first : first + RECORDS_PER_MESSAGE]
                )
            )
            out += [actions.Send(name, msg) for name in names]
        return out
