"""Carries messages between entry VMs: datagrams and gRPC.

Packets in hand and small messages go as datagrams, everything larger by
gRPC: all slices make good what is lost, and a gRPC call costs some 250 bytes
of headers, more than most messages have. Bytes are counted by their cause:
control, packets in hand and keeping flows, keys of requests.
"""

from collections.abc import Callable
import contextlib

import gevent
from gevent import socket

from ebonytally import events
from ebonytally import grpc_bridge
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import wire

SMALL_BYTES = 1200
RECEIVE_BYTES = 65536
BATCH = 64
# IPv4 and UDP headers, and gRPC's HTTP/2 frames, headers and TCP/IP.
DATAGRAM_OVERHEAD_BYTES = 28
GRPC_OVERHEAD_BYTES = 250
_FLOW_KINDS = range(200, 300)
_KEY_KINDS = range(300, 400)


class Peers:
    """Sends to and hears from the other entry VMs."""

    def __init__(
        self,
        cfg: settings.Settings,
        stack: contextlib.ExitStack,
        take: Callable[[str, object], None],
        address_of: Callable[[str], str | None],
        recorder: recorders.Recorder,
    ) -> None:
        """Listen and hand each authentic message to `take`.

        :param address_of: IPv4 address of an entry VM, None if unknown
        """
        self._cfg = cfg
        self._take = take
        self._address_of = address_of
        self._recorder = recorder
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(self._socket.close)
        self._socket.bind((cfg.address, cfg.ports.peers))
        task = gevent.spawn(self._receive)
        stack.callback(task.kill)
        grpc_bridge.serve(
            stack,
            f"{cfg.address}:{cfg.ports.control}",
            self._frame,
        )
        self._client = grpc_bridge.Client(stack, self._failed)

    def send(self, peer: str, msg: object) -> None:
        """Send a message to an entry VM, best effort."""
        address = self._address_of(peer)
        if address is None:
            self._recorder.refused(reasons.Refusal.FRAME_UNKNOWN_PEER)
            return
        frame = wire.encode(self._cfg.key, self._cfg.name, msg)
        kind = wire.kind_of(msg)
        if self._is_datagram(kind, len(frame)):
            size = len(frame) + DATAGRAM_OVERHEAD_BYTES
            self._send_datagram(address, frame)
        else:
            size = len(frame) + GRPC_OVERHEAD_BYTES
            self._client.send(f"{address}:{self._cfg.ports.control}", frame)
        name = "control_bytes_sent"
        if kind in _FLOW_KINDS:
            name = "flow_bytes_sent"
        if kind in _KEY_KINDS:
            name = "key_bytes_sent"
        self._recorder.counted(name, size)
        self._recorder.counted(f"{name}.{type(msg).__name__}", size)

    def _is_datagram(self, kind: int, size: int) -> bool:
        if kind in _FLOW_KINDS:
            return size <= wire.MAX_DATAGRAM_BYTES
        return size <= SMALL_BYTES

    def _send_datagram(self, address: str, frame: bytes) -> None:
        try:
            self._socket.sendto(frame, (address, self._cfg.ports.peers))
        except OSError:
            self._recorder.retried(reasons.Retry.PEER_SEND_FAILED)

    def _receive(self) -> None:
        handled = 0
        while True:
            frame, source = self._socket.recvfrom(RECEIVE_BYTES)
            self._frame(frame, source[0])
            handled += 1
            if handled % BATCH == 0:
                gevent.sleep(0)

    def _frame(self, frame: bytes, source: str = "") -> None:
        try:
            peer, msg = wire.decode(self._cfg.key, frame)
        except wire.FrameError as exc:
            self._refused(exc.reason, source, exc.detail)
            return
        if self._address_of(peer) is None:
            reason = reasons.Refusal.FRAME_UNKNOWN_PEER
            self._refused(reason, source, peer)
            return
        self._take(peer, msg)

    def _refused(
        self,
        reason: reasons.Refusal,
        source: str,
        detail: str,
    ) -> None:
        self._recorder.refused(reason)
        self._recorder.event(
            events.Event.FRAME_REFUSED,
            reason=reason.value,
            peer=source,
            detail=detail[:200],
        )

    def _failed(self, address: str) -> None:
        self._recorder.retried(reasons.Retry.PEER_SEND_FAILED)
