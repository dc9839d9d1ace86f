"""The UDP socket that receives packets from the fabric."""

from collections.abc import Callable
import contextlib

import gevent
from gevent import socket

from ebonytally import actions
from ebonytally import settings

MAX_DATAGRAM_BYTES = 65536
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
PACKETS_PER_BATCH = 64


class PacketSocket:
    """Receives and sends IP packets, each the payload of a datagram."""

    def __init__(
        self,
        cfg: settings.Settings,
        stack: contextlib.ExitStack,
        on_packet: Callable[[bytes], None],
    ) -> None:
        """Bind the socket and start a greenlet that receives packets.

        :param on_packet: called with each IP packet
        """
        self._on_packet = on_packet
        self._fabric = _parse_address(cfg.fabric)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(self._socket.close)
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            RECEIVE_BUFFER_BYTES,
        )
        self._socket.bind((cfg.address, cfg.ports.packets))
        task = gevent.spawn(self._receive)
        stack.callback(task.kill)

    def forward(self, action: actions.Forward) -> bool:
        """Send a packet to an upstream; return False if that fails."""
        return self._send(action.packet, (action.address, action.port))

    def to_caller(self, action: actions.SendToCaller) -> bool:
        """Send a packet to a caller by the fabric; return False on failure."""
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
        packet_count = 0
        while True:
            data, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            self._on_packet(data)
            packet_count += 1
            if packet_count % PACKETS_PER_BATCH == 0:
                # Let other greenlets run under a steady stream of packets.
                gevent.sleep(0)


def _parse_address(text: str) -> tuple[str, int] | None:
    if not text:
        return None
    host, port = text.rsplit(":", 1)
    return host, int(port)
