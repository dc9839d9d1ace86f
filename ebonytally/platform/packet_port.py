"""UDP socket for packets of the platform's routers."""

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

MAX_RECEIVE_BYTES = 2048
# The kernel drops datagrams that arrive while this buffer is full.
RECEIVE_BUFFER_BYTES = 1024 * 1024
# Packets after which other greenlets get to run.
PACKETS_PER_YIELD = 64
# Keeps a socket that fails each time from taking all processor time.
FAILURE_PAUSE_S = 0.01


class PacketPort:
    """An `entry_role.PacketPort` over one UDP socket."""

    def __init__(
        self,
        endpoint: deployment.Endpoint,
        stack: contextlib.ExitStack,
        on_packet: Callable[[packets.Packet], forwarder.Actions],
        recorder: recorders.Recorder,
    ) -> None:
        """Open the port and start to receive.

        :param stack: closes the port
        :param on_packet: called with each packet, returns what to send
        """
        self._on_packet = on_packet
        self._recorder = recorder
        self._port = endpoint.port
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(self._socket.close)
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            RECEIVE_BUFFER_BYTES,
        )
        self._socket.bind((endpoint.address, endpoint.port))
        task = gevent.spawn(self._receive)
        stack.callback(task.kill)

    def send(self, out: forwarder.Actions) -> None:
        """Forward packets to upstreams, or reset flows at their callers."""
        for action in out:
            if isinstance(action, packets.ToUpstream):
                data = packet_wire.encode_for_upstream(action)
                self._send(data, (action.address, action.port))
            else:
                address, data = packet_wire.encode_reset(action.packet)
                self._send(data, (address, self._port))

    def _send(self, data: bytes, destination: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, destination)
        except OSError as exc:
            self._recorder.count("packets_not_sent")
            self._recorder.log_event(
                events.Event.PACKET_REFUSED,
                reason="not_sent",
                detail=str(exc),
                to=destination[0],
            )

    def _receive(self) -> None:
        received = 0
        while True:
            try:
                self._receive_one()
            except Exception:
                recorders.log_failure(self._recorder, "packet", "")
                gevent.sleep(FAILURE_PAUSE_S)
            received += 1
            if received % PACKETS_PER_YIELD == 0:
                gevent.sleep(0)

    def _receive_one(self) -> None:
        data, source = self._socket.recvfrom(MAX_RECEIVE_BYTES)
        packet = packet_wire.decode(data)
        if packet is None:
            self._refuse_malformed(source[0], len(data))
        else:
            self.send(self._on_packet(packet))

    def _refuse_malformed(self, source: str, size: int) -> None:
        reason = reasons.Refusal.PACKET_MALFORMED
        self._recorder.count_refusal(reason)
        self._recorder.log_event(
            events.Event.PACKET_REFUSED,
            reason=reason.value,
            detail=f"malformed packet of {size} bytes from {source}",
        )
