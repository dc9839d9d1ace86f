"""The socket that takes packets from the platform's routers."""

from collections.abc import Callable
import contextlib

import gevent
from gevent import socket

from ebonytally import deployment
from ebonytally.echo import forwarder
from ebonytally.echo import packets
from ebonytally import events
from ebonytally.platform import packet_wire
from ebonytally import reasons
from ebonytally import recorder as recorders

RECEIVE_BYTES = 2048
# Datagrams that aren't read in time are dropped.
BUFFER_BYTES = 1024 * 1024
BATCH = 64


class PacketPort:
    """An `entry_role.PacketPort` over one UDP socket."""

    def __init__(
        self,
        at: deployment.Endpoint,
        stack: contextlib.ExitStack,
        take: Callable[[packets.Packet], forwarder.Out],
        recorder: recorders.Recorder,
    ) -> None:
        """Listen and hand each packet to `take`."""
        self._take = take
        self._recorder = recorder
        self._port = at.port
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(self._socket.close)
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            BUFFER_BYTES,
        )
        self._socket.bind((at.address, at.port))
        task = gevent.spawn(self._receive)
        stack.callback(task.kill)

    def perform(self, out: forwarder.Out) -> None:
        """Pass packets on, or reset their flows."""
        for action in out:
            if isinstance(action, packets.ToUpstream):
                data = packet_wire.for_upstream(action)
                self._send(data, (action.address, action.port))
            else:
                address, data = packet_wire.reset(action.packet)
                self._send(data, (address, self._port))

    def _send(self, data: bytes, to: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, to)
        except OSError as exc:
            self._recorder.counted("packets_not_sent")
            self._recorder.event(
                events.Event.PACKET_REFUSED,
                reason="not_sent",
                detail=str(exc),
                to=to[0],
            )

    def _receive(self) -> None:
        handled = 0
        while True:
            data, source = self._socket.recvfrom(RECEIVE_BYTES)
            packet = packet_wire.decode(data)
            if packet is None:
                self._malformed(source[0], len(data))
            else:
                self.perform(self._take(packet))
            handled += 1
            if handled % BATCH == 0:
                gevent.sleep(0)

    def _malformed(self, source: str, size: int) -> None:
        reason = reasons.Refusal.PACKET_MALFORMED
        self._recorder.refused(reason)
        self._recorder.event(
            events.Event.PACKET_REFUSED,
            reason=reason.value,
            detail=f"{size} bytes from {source}",
        )
