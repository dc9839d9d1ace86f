"""Carries messages between entry VMs: datagrams and gRPC.

Packets in hand and small messages go as datagrams, everything larger by
gRPC: all slices make good what is lost, and a gRPC call costs some 250 bytes
of headers, more than most messages have. Bytes are counted by their cause:
control, packets in hand and keeping flows, keys of requests.
"""

from collections.abc import Callable
import contextlib
from typing import TYPE_CHECKING

from ebonytally import later
from ebonytally import peer_datagrams
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import wire

if TYPE_CHECKING:
    from ebonytally import grpc_bridge

SMALL_BYTES = 1200
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
        large_after_s: float = 0.0,
    ) -> None:
        """Listen and hand each authentic message to `take`.

        :param address_of: IPv4 address of an entry VM, None if unknown
        :param large_after_s: take and send large messages only after
            this; loading gRPC takes a while
        """
        self._ports = cfg.ports
        self._address_of = address_of
        self._recorder = recorder
        self._datagrams = peer_datagrams.Datagrams(
            cfg,
            stack,
            take,
            lambda peer: address_of(peer) is not None,
            recorder,
        )
        self._cfg = cfg
        self._stack = stack
        self._client: grpc_bridge.Client | None = None
        if not large_after_s:
            self._open_large()
            return
        later.run(
            large_after_s,
            "open port for large messages",
            self._open_large,
            stack,
            recorder,
        )

    def _open_large(self) -> None:
        grpc_bridge = later.load("ebonytally.grpc_bridge")
        grpc_bridge.serve(
            self._stack,
            f"{self._cfg.address}:{self._cfg.ports.control}",
            self._datagrams.frame,
        )
        self._client = grpc_bridge.Client(self._stack, self._failed)

    def send(self, peer: str, msg: object) -> None:
        """Send a message to an entry VM, best effort."""
        address = self._address_of(peer)
        if address is None:
            self._recorder.refused(reasons.Refusal.FRAME_UNKNOWN_PEER)
            return
        frame = self._datagrams.encode(msg)
        kind = wire.kind_of(msg)
        if self._is_datagram(kind, len(frame)):
            size = len(frame) + DATAGRAM_OVERHEAD_BYTES
            self._datagrams.send(address, frame)
        else:
            size = len(frame) + GRPC_OVERHEAD_BYTES
            self._send_large(address, frame)
        name = "control_bytes_sent"
        if kind in _FLOW_KINDS:
            name = "flow_bytes_sent"
        if kind in _KEY_KINDS:
            name = "key_bytes_sent"
        self._recorder.counted(name, size)
        self._recorder.counted(f"{name}.{type(msg).__name__}", size)

    def _send_large(self, address: str, frame: bytes) -> None:
        if self._client is None:
            self._recorder.retried(reasons.Retry.PEER_SEND_FAILED)
            return
        self._client.send(f"{address}:{self._ports.control}", frame)

    def _is_datagram(self, kind: int, size: int) -> bool:
        if kind in _FLOW_KINDS:
            return size <= wire.MAX_DATAGRAM_BYTES
        return size <= SMALL_BYTES

    def _failed(self, address: str) -> None:
        self._recorder.retried(reasons.Retry.PEER_SEND_FAILED)
