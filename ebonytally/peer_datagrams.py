"""Datagrams between VMs: small messages, each made good when lost."""

from collections.abc import Callable
import contextlib

import gevent
from gevent import socket

from ebonytally import events
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import wire

RECEIVE_BYTES = 65536
BATCH = 64


class Datagrams:
    """Sends frames to VMs and decodes those that come."""

    def __init__(
        self,
        cfg: settings.Settings,
        stack: contextlib.ExitStack,
        take: Callable[[str, object], None],
        knows: Callable[[str], bool],
        recorder: recorders.Recorder,
    ) -> None:
        """Listen and hand each authentic message to `take`.

        :param knows: tells whether a VM of this name may send
        """
        self._cfg = cfg
        self._take = take
        self._knows = knows
        self._recorder = recorder
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(self._socket.close)
        self._socket.bind((cfg.address, cfg.ports.peers))
        task = gevent.spawn(self._receive)
        stack.callback(task.kill)

    def encode(self, msg: object) -> bytes:
        """Return a message as an authentic frame."""
        return wire.encode(self._cfg.key, self._cfg.name, msg)

    def send(self, address: str, frame: bytes) -> None:
        """Send a frame to a VM, best effort."""
        try:
            self._socket.sendto(frame, (address, self._cfg.ports.peers))
        except OSError:
            self._recorder.retried(reasons.Retry.PEER_SEND_FAILED)

    def frame(self, frame: bytes, source: str = "") -> None:
        """Take a frame that came.

        :param source: address of its sender, "" when not known
        """
        try:
            peer, msg = wire.decode(self._cfg.key, frame)
        except wire.FrameError as exc:
            self._refused(exc.reason, source, exc.detail)
            return
        if not self._knows(peer):
            reason = reasons.Refusal.FRAME_UNKNOWN_PEER
            self._refused(reason, source, peer)
            return
        self._take(peer, msg)

    def _receive(self) -> None:
        handled = 0
        while True:
            frame, source = self._socket.recvfrom(RECEIVE_BYTES)
            self.frame(frame, source[0])
            handled += 1
            if handled % BATCH == 0:
                gevent.sleep(0)

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
