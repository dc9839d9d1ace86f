"""Transfers snapshots from the leader in bounded chunks."""

import zlib

import attrs

from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import agreement_replication
from ebonytally.agreement import agreement_state
from ebonytally import errors
from ebonytally import events
from ebonytally import reasons
from ebonytally import wire

CHUNK_BYTES = 32 * 1024
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
RESEND_HEARTBEATS = 2.0


@attrs.define
class _Incoming:
    """A partly received snapshot.

    :param total: bytes of the packed snapshot
    :param crc: its CRC-32
    :param data: the bytes received so far
    """

    peer: str
    term: int
    index: int
    total: int
    crc: int
    data: bytearray


class Sender:
    """Sends the leader's snapshot to peers behind the compacted log."""

    def __init__(
        self,
        state: agreement_state.State,
        replication: agreement_replication.Replication,
    ) -> None:
        """Set up without a packed snapshot."""
        self._state = state
        self._replication = replication
        self._index = 0
        self._data = b""

    def tick(self, now: float) -> None:
        """Start transfers and resend unacknowledged chunks."""
        wait = RESEND_HEARTBEATS * self._state.cfg.heartbeat_s
        for peer, progress in self._replication.progress.items():
            if not self._replication.needs_snapshot(progress):
                progress.snapshot = 0
                continue
            if not progress.snapshot:
                self._begin(progress)
                self._send(peer, progress, now)
            elif now - progress.chunk_sent_at >= wait:
                self._state.recorder.count_retry(
                    reasons.Retry.SNAPSHOT_CHUNK_LOST
                )
                self._send(peer, progress, now)
            elif progress.is_chunk_waiting:
                self._send(peer, progress, now)

    def handle_snapshot_reply(
        self,
        peer: str,
        msg: messages.SnapshotReply,
        now: float,
    ) -> None:
        """Send the next chunk, or finish the transfer."""
        if msg.term > self._state.term:
            self._state.follow(msg.term, "")
            return
        progress = self._replication.progress.get(peer)
        if progress is None or msg.identity != progress.identity:
            return
        progress.acked_at = max(progress.acked_at, msg.sent_at)
        if msg.done:
            progress.match = max(progress.match, msg.index)
            progress.next = max(progress.next, progress.match + 1)
            if msg.index >= progress.snapshot:
                progress.snapshot = 0
            return
        if msg.index != progress.snapshot:
            return
        if self._index != msg.index:
            self._begin(progress)
        if msg.received > progress.offset or msg.received == 0:
            progress.offset = msg.received
            self._send(peer, progress, now)

    def _begin(self, progress: agreement_replication.Progress) -> None:
        snapshot = self._state.storage.snapshot
        if self._index != snapshot.index:
            self._index = snapshot.index
            self._data = zlib.compress(wire.pack(snapshot))
        progress.snapshot = self._index
        progress.offset = 0
        progress.in_flight = 0

    def _send(
        self,
        peer: str,
        progress: agreement_replication.Progress,
        now: float,
    ) -> None:
        if progress.snapshot != self._index:
            self._begin(progress)
        progress.is_chunk_waiting = progress.budget <= 0
        if progress.is_chunk_waiting:
            return
        state = self._state
        chunk_data = self._data[
            progress.offset : progress.offset + CHUNK_BYTES
        ]
        chunk = messages.SnapshotChunk(
            state.generation,
            state.term,
            self._index,
            progress.offset,
            len(self._data),
            zlib.crc32(self._data),
            chunk_data,
            now,
        )
        state.send(peer, chunk)
        progress.budget -= len(chunk_data)
        progress.sent_at = now
        progress.chunk_sent_at = now


class Receiver:
    """Assembles a leader's snapshot from chunks and installs it."""

    def __init__(self, state: agreement_state.State) -> None:
        """Set up without a transfer."""
        self._state = state
        self._incoming: _Incoming | None = None

    def handle_snapshot_chunk(
        self,
        peer: str,
        msg: messages.SnapshotChunk,
        now: float,
    ) -> messages.Snapshot | None:
        """Store a chunk; return the snapshot once it is installed.

        :raises StorageError: if the snapshot can't be saved
        """
        state = self._state
        if msg.term < state.term or not 0 < msg.total <= MAX_SNAPSHOT_BYTES:
            state.refuse(reasons.Refusal.SNAPSHOT_REFUSED)
            self._reply(peer, msg, 0, False)
            return None
        if msg.term > state.term or state.leader != peer:
            state.follow(msg.term, peer)
        state.leader_heard_at = now
        if msg.index <= state.commit:
            self._reply(peer, msg, msg.total, True)
            return None
        incoming = self._collect(peer, msg)
        if len(incoming.data) < msg.total:
            self._reply(peer, msg, len(incoming.data), False)
            return None
        self._incoming = None
        snapshot = self._decode_snapshot(incoming)
        if snapshot is None:
            state.refuse(reasons.Refusal.SNAPSHOT_REFUSED)
            self._reply(peer, msg, 0, False)
            return None
        state.storage.install_snapshot(snapshot)
        state.load_voters()
        state.recorder.log_event(
            events.Event.SNAPSHOT_INSTALLED,
            index=snapshot.index,
        )
        self._reply(peer, msg, msg.total, True)
        return snapshot

    def _collect(
        self,
        peer: str,
        msg: messages.SnapshotChunk,
    ) -> _Incoming:
        new_transfer = _Incoming(
            peer,
            msg.term,
            msg.index,
            msg.total,
            msg.crc,
            bytearray(),
        )
        transfer = self._incoming
        if (
            transfer is None
            or attrs.evolve(transfer, data=new_transfer.data) != new_transfer
        ):
            transfer = new_transfer
        if msg.offset == len(transfer.data):
            transfer.data += msg.data
        self._incoming = transfer
        return transfer

    def _decode_snapshot(
        self, incoming: _Incoming
    ) -> messages.Snapshot | None:
        data = bytes(incoming.data)
        if len(data) != incoming.total or zlib.crc32(data) != incoming.crc:
            return None
        try:
            decompressor = zlib.decompressobj()
            unpacked = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
            return wire.unpack(unpacked, messages.Snapshot)
        except (errors.WireError, zlib.error):
            return None

    def _reply(
        self,
        peer: str,
        msg: messages.SnapshotChunk,
        received: int,
        done: bool,
    ) -> None:
        state = self._state
        reply = messages.SnapshotReply(
            state.generation,
            state.term,
            msg.index,
            received,
            done,
            msg.sent_at,
            state.identity,
        )
        state.send(peer, reply)
