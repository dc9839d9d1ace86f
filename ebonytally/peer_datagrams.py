"""UDP datagrams between VMs; their senders recover from lost ones."""

from collections.abc import Callable
import contextlib

import gevent
from gevent import socket

from ebonytally import events
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import wire

MAX_RECEIVE_BYTES = 65536
# IPv4 and UDP headers.
OVERHEAD_BYTES = 28
# Frames after which other greenlets get to run.
FRAMES_PER_YIELD = 64
# Keeps a socket that fails each time from taking all processor time.
FAILURE_PAUSE_S = 0.01


class DatagramTransport:
    """Sends frames to VMs and decodes received ones."""

    def __init__(
        self,
        cfg: settings.Settings,
        stack: contextlib.ExitStack,
        on_message: Callable[[str, object], None],
        is_known_peer: Callable[[str], bool],
        recorder: recorders.Recorder,
    ) -> None:
        """Open the port and start to receive.

        :param on_message: called with sender and each authenticated message
        :param is_known_peer: returns whether to accept messages of a sender
        """
        self._cfg = cfg
        self._on_message = on_message
        self._is_known_peer = is_known_peer
        self._recorder = recorder
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(self._socket.close)
        self._socket.bind((cfg.address, cfg.ports.peers))
        task = gevent.spawn(self._receive)
        stack.callback(task.kill)

    def encode(self, msg: object) -> bytes:
        """Return a message as an authenticated frame from this VM."""
        return wire.encode(self._cfg.key, self._cfg.name, msg)

    def send(self, address: str, frame: bytes) -> None:
        """Send a frame to a VM, best effort."""
        try:
            self._socket.sendto(frame, (address, self._cfg.ports.peers))
        except OSError:
            self._recorder.count_retry(reasons.Retry.PEER_SEND_FAILED)

    def handle_frame(self, frame: bytes, source: str = "") -> None:
        """Decode a received frame and pass its message on, or refuse it.

        :param source: address of the sender, "" when unknown
        """
        try:
            peer, msg = wire.decode(self._cfg.key, frame)
        except wire.FrameError as exc:
            self._refuse(exc.reason, source, exc.detail)
            return
        if not self._is_known_peer(peer):
            reason = reasons.Refusal.FRAME_UNKNOWN_PEER
            self._refuse(reason, source, peer)
            return
        self._on_message(peer, msg)

    def _receive(self) -> None:
        received = 0
        while True:
            source = ("", 0)
            try:
                frame, source = self._socket.recvfrom(MAX_RECEIVE_BYTES)
                self.handle_frame(frame, source[0])
            except Exception:
                recorders.log_failure(self._recorder, "frame", source[0])
                gevent.sleep(FAILURE_PAUSE_S)
            received += 1
            if received % FRAMES_PER_YIELD == 0:
                gevent.sleep(0)

    def _refuse(
        self,
        reason: reasons.Refusal,
        source: str,
        detail: str,
    ) -> None:
        """Count and log a refused frame."""
        self._recorder.count_refusal(reason)
        self._recorder.log_event(
            events.Event.FRAME_REFUSED,
            reason=reason.value,
            peer=source,
            detail=detail[:200],
        )
