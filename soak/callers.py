"""Simulated callers that open flows and send requests."""

import contextlib
from http.client import HTTPException
import random
import socket as std_socket
import time
from typing import Protocol

import attrs
import gevent
from gevent import event
from gevent import socket
from geventhttpclient import HTTPClient

from soak import judge as judges
from soak import packets
from soak import vms

# Send times of the SYN and its copies, and when the attempt fails.
SYN_SEND_TIMES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RESEND_INTERVALS_S = (0.2, 0.4, 0.8, 1.6)
ANSWER_TIMEOUT_S = 4.0
MEAN_PAUSE_S = 0.15
READINESS_INTERVAL_S = 0.5
UNREADY_AFTER_MISSES = 2
FIRST_PORT = 20_000


@attrs.frozen
class Route:
    """A route of the configuration, as callers know it.

    :param service: service that receives its flows
    """

    address: str
    port: int
    service: str
    idempotent: bool


class World(Protocol):
    """The parts of a run that callers depend on."""

    judge: judges.Judge
    fabric: "Fabric"

    def routes(self) -> list[Route]:
        """Return the routes that no configuration change removes."""

    def services_of(self, route: Route) -> frozenset[str]:
        """Return all services that a route has ever named."""

    def upstream_of(self, key: tuple[bytes, int]) -> tuple[str, bool]:
        """Return the upstream with an open flow, and whether it runs."""


class Fabric:
    """Selects a ready entry VM for each packet, by a hash of its flow."""

    def __init__(self, entries: list[vms.Vm]) -> None:
        """Set up with every entry VM considered ready."""
        self._entries = entries
        self._misses = dict.fromkeys((vm.address for vm in entries), 0)

    def run(self) -> None:
        """Poll the readiness of all entry VMs until killed."""
        while True:
            gevent.sleep(READINESS_INTERVAL_S)
            for vm in self._entries:
                gevent.spawn(self.query_readiness, vm.address)

    def ready_entries(self) -> list[str]:
        """Return the addresses of ready entry VMs, all if none is ready."""
        ready = [
            address
            for address, misses in self._misses.items()
            if misses < UNREADY_AFTER_MISSES
        ]
        return ready or list(self._misses)

    def entry_for(self, packet: packets.Packet) -> str:
        """Return the address of the entry VM for a packet's flow."""
        ready = self.ready_entries()
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        return ready[hash(key) % len(ready)]

    def query_readiness(self, address: str) -> bool:
        """Query an entry VM's readiness; return whether it is ready."""
        client = HTTPClient(
            address,
            vms.READY_PORT,
            connection_timeout=READINESS_INTERVAL_S,
            network_timeout=READINESS_INTERVAL_S,
        )
        ready = False
        with contextlib.suppress(OSError, ValueError, EOFError, HTTPException):
            ready = client.get("/v1/readiness").status_code == 200
        client.close()
        misses = 0 if ready else self._misses[address] + 1
        self._misses[address] = misses
        return ready


class Flow:
    """One flow of a caller."""

    def __init__(self, caller: "Caller", route: Route, port: int) -> None:
        """Set up an unopened flow from a caller's port."""
        self._caller = caller
        self.route = route
        self.key = (caller.address_bytes, port)
        self._port = port
        self._echo = 0
        self._seq = 1
        self._packet_arrived = event.Event()
        self.opened = False
        self.ended = False
        self._answer: bytes | None = None
        self._awaited_seq = 0

    def open(self) -> bool:
        """Open the flow; return whether the upstream accepted it."""
        started_at = time.monotonic()
        for attempt, after_s in enumerate(SYN_SEND_TIMES_S):
            self._wait(started_at + after_s)
            if self.opened or self.ended:
                break
            self._send(packets.SYN, ack=attempt)
        self._wait(started_at + OPEN_TIMEOUT_S)
        if self.opened:
            self._send(packets.ACK)
        return self.opened

    def request(self, data: bytes) -> bytes | None:
        """Send a request; return its answer, None if there was none."""
        self._answer = None
        self._seq += 1
        self._awaited_seq = self._seq
        until = time.monotonic() + ANSWER_TIMEOUT_S
        for wait_s in (*RESEND_INTERVALS_S, ANSWER_TIMEOUT_S):
            self._send(packets.ACK, seq=self._seq, data=data)
            self._wait(min(until, time.monotonic() + wait_s))
            if self._answer is not None or self.ended:
                break
        return self._answer

    def close(self) -> None:
        """Close the flow and forget it."""
        if self.opened and not self.ended:
            self._send(packets.FIN | packets.ACK, seq=self._seq + 1)
        self.ended = True
        self._caller.flows.pop(self._port, None)

    def handle_packet(self, packet: packets.Packet) -> None:
        """Handle a packet received for this flow."""
        if packet.has_flag(packets.RST):
            # Sum 0: the system sent the reset, not the upstream.
            if packet.sum == 0 and self.opened and not self.ended:
                self._caller.on_flow_reset(self)
            self.ended = True
        elif packet.has_flag(packets.SYN):
            if not self.opened:
                self._echo = packet.echo
            self.opened = True
        elif packet.data and packet.ack == self._awaited_seq:
            self._echo = packet.echo or self._echo
            self._answer = packet.data
        self._packet_arrived.set()

    def _wait(self, until: float) -> None:
        """Wait for the next packet of the flow, at most until a time."""
        remaining_s = until - time.monotonic()
        self._packet_arrived.clear()
        if remaining_s > 0 and not self.ended:
            self._packet_arrived.wait(remaining_s)

    def _send(self, flags: int, **fields: object) -> None:
        packet = packets.Packet(
            self._caller.address_bytes,
            self._port,
            std_socket.inet_aton(self.route.address),
            self.route.port,
            flags,
            echo=self._echo,
            **fields,
        )
        self._caller.send(packet)


class Caller:
    """A caller: one socket, shared by the flows of several users."""

    def __init__(
        self,
        world: World,
        address: str,
        seed: int,
        stack: contextlib.ExitStack,
    ) -> None:
        """Bind the socket and start to receive.

        :param stack: closes the socket and stops the receiver
        """
        self._world = world
        self._rng = random.Random(seed)
        self._address = address
        self.address_bytes = std_socket.inet_aton(address)
        self.flows: dict[int, Flow] = {}
        self._next_port = FIRST_PORT
        self._request_count = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(self._socket.close)
        self._socket.bind((address, vms.PACKET_PORT))
        stack.callback(gevent.spawn(self._receive).kill)

    def run_user(self, requests: int) -> None:
        """Open flows and send requests until killed.

        :param requests: number of requests per flow
        """
        while True:
            route = self._rng.choice(self._world.routes())
            self._next_port += 1
            flow = Flow(self, route, self._next_port)
            self.flows[self._next_port] = flow
            if flow.open():
                for _ in range(requests):
                    self._send_request(flow)
                    gevent.sleep(MEAN_PAUSE_S * self._rng.uniform(0.5, 1.5))
                    if flow.ended:
                        break
            else:
                self._world.judge.counts["flows that didn't open"] += 1
            flow.close()
            gevent.sleep(MEAN_PAUSE_S * self._rng.random())

    def send(self, packet: packets.Packet) -> None:
        """Send a packet to the entry VM that the fabric selects."""
        entry = self._world.fabric.entry_for(packet)
        self._socket.sendto(packet.encode(), (entry, vms.PACKET_PORT))

    def on_flow_reset(self, flow: Flow) -> None:
        """Report a reset that the system sent for an open flow."""
        upstream, alive = self._world.upstream_of(flow.key)
        self._world.judge.on_flow_reset(
            f"{self._address}:{flow.key[1]}",
            upstream,
            alive,
            frozenset(self._world.fabric.ready_entries()),
            time.monotonic(),
        )

    def _send_request(self, flow: Flow) -> None:
        self._request_count += 1
        record = judges.RequestRecord(
            f"{self._address}-{self._request_count}",
            self._world.services_of(flow.route),
            flow.route.idempotent,
        )
        judge = self._world.judge
        judge.on_request_sent(record)
        answer = flow.request(record.id.encode() + b" do")
        if answer is None:
            judge.counts["unanswered"] += 1
        elif answer.split(b" ")[1:2] == [b"503"]:
            judge.counts["refused by upstreams"] += 1
        else:
            judge.on_answer(record.id, answer, time.monotonic())

    def _receive(self) -> None:
        while True:
            datagram, _ = self._socket.recvfrom(2048)
            packet = packets.decode(datagram)
            flow = self.flows.get(packet.dport) if packet else None
            if flow is not None:
                flow.handle_packet(packet)
