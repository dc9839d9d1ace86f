"""The socket that takes packets from the fabric and sends them on."""

from collections.abc import Callable
import contextlib

import gevent
from gevent import socket

from ebonytally import actions
from ebonytally import settings

RECEIVE_BYTES = 65536
BUFFER_BYTES = 4 * 1024 * 1024
BATCH = 64


class PacketSocket:
    """IP in UDP: a datagram's payload is one IP packet."""

    def __init__(
        self,
        cfg: settings.Settings,
        stack: contextlib.ExitStack,
        take: Callable[[bytes], None],
    ) -> None:
        """Listen and hand each packet to `take`."""
        self._take = take
        self._fabric = _address(cfg.fabric)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(self._socket.close)
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            BUFFER_BYTES,
        )
        self._socket.bind((cfg.address, cfg.ports.packets))
        task = gevent.spawn(self._receive)
        stack.callback(task.kill)

    def forward(self, action: actions.Forward) -> bool:
        """Send a packet to an upstream; False when it can't be sent."""
        return self._send(action.packet, (action.address, action.port))

    def to_caller(self, action: actions.ToCaller) -> bool:
        """Send a packet towards a caller; False when it can't be sent."""
        if self._fabric is None:
            return False
        return self._send(action.packet, self._fabric)

    def _send(self, packet: bytes, address: tuple[str, int]) -> bool:
        try:
            self._socket.sendto(packet, address)
        except OSError:
            return False
        return True

    def _receive(self) -> None:
        handled = 0
        while True:
            data, _ = self._socket.recvfrom(RECEIVE_BYTES)
            self._take(data)
            handled += 1
            if handled % BATCH == 0:
                gevent.sleep(0)


def _address(text: str) -> tuple[str, int] | None:
    if not text:
        return None
    host, port = text.rsplit(":", 1)
    return host, int(port)
