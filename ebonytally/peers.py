"""Transport of messages between VMs: UDP datagrams and gRPC.

Flow messages and small ones are sent as datagrams, larger ones by gRPC: all
components recover from lost messages, and a gRPC call costs some 250 bytes
of headers, more than most messages have. Bytes sent are counted by purpose:
control, flows (forwarded packets and records), idempotency keys.
"""

from collections.abc import Callable
import contextlib
from typing import TYPE_CHECKING

from ebonytally import deferred
from ebonytally import peer_datagrams
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import wire

if TYPE_CHECKING:
    from ebonytally import grpc_bridge

MAX_SMALL_FRAME_BYTES = 1200
# HTTP/2 frames and headers, TCP and IP.
GRPC_OVERHEAD_BYTES = 250
_FLOW_KINDS = range(200, 300)
# Entry VMs of the users' platform have no gRPC port.
_FEED_KINDS = range(640, 650)
_KEY_KINDS = range(300, 400)


class PeerTransport:
    """Sends messages to other VMs and receives theirs."""

    def __init__(
        self,
        cfg: settings.Settings,
        stack: contextlib.ExitStack,
        on_message: Callable[[str, object], None],
        address_of: Callable[[str], str | None],
        recorder: recorders.Recorder,
        large_after_s: float = 0.0,
    ) -> None:
        """Open the ports.

        :param on_message: called with sender and each authenticated message
        :param address_of: returns a VM's IPv4 address, None if unknown
        :param large_after_s: seconds before large messages can be sent and
            received; importing gRPC would delay the start
        """
        self._ports = cfg.ports
        self._address_of = address_of
        self._recorder = recorder
        self._datagrams = peer_datagrams.DatagramTransport(
            cfg,
            stack,
            on_message,
            lambda peer: address_of(peer) is not None,
            recorder,
        )
        self._cfg = cfg
        self._stack = stack
        self._client: grpc_bridge.Client | None = None
        self._encoded: tuple[object, bytes] = (None, b"")
        if not large_after_s:
            self._open_grpc()
            return
        deferred.run_after(
            large_after_s,
            "open port for large messages",
            self._open_grpc,
            stack,
            recorder,
        )

    def _open_grpc(self) -> None:
        """Import gRPC, open its server port and create the client."""
        grpc_bridge = deferred.load_in_thread("ebonytally.grpc_bridge")
        grpc_bridge.serve(
            self._stack,
            f"{self._cfg.address}:{self._cfg.ports.control}",
            self._datagrams.handle_frame,
        )
        self._client = grpc_bridge.Client(self._stack, self._on_send_failure)

    def send(self, peer: str, msg: object) -> None:
        """Send a message to a VM, best effort."""
        address = self._address_of(peer)
        if address is None:
            self._recorder.count_refusal(reasons.Refusal.FRAME_UNKNOWN_PEER)
            return
        # The same message often goes to all control VMs.
        if self._encoded[0] is not msg:
            self._encoded = (msg, self._datagrams.encode(msg))
        frame = self._encoded[1]
        kind = wire.kind_of(msg)
        if self._is_datagram(kind, len(frame)):
            size = len(frame) + peer_datagrams.OVERHEAD_BYTES
            self._datagrams.send(address, frame)
        else:
            size = len(frame) + GRPC_OVERHEAD_BYTES
            self._send_large(address, frame)
        counter = "control_bytes_sent"
        if kind in _FLOW_KINDS:
            counter = "flow_bytes_sent"
        if kind in _KEY_KINDS:
            counter = "key_bytes_sent"
        self._recorder.count(counter, size)
        self._recorder.count(f"{counter}.{type(msg).__name__}", size)

    def _send_large(self, address: str, frame: bytes) -> None:
        if self._client is None:
            self._recorder.count_retry(reasons.Retry.PEER_SEND_FAILED)
            return
        self._client.send(f"{address}:{self._ports.control}", frame)

    def _is_datagram(self, kind: int, size: int) -> bool:
        if kind in _FLOW_KINDS or kind in _FEED_KINDS:
            return size <= wire.MAX_DATAGRAM_BYTES
        return size <= MAX_SMALL_FRAME_BYTES

    def _on_send_failure(self, address: str) -> None:
        self._recorder.count_retry(reasons.Retry.PEER_SEND_FAILED)
