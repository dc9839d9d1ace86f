"""Callers: they open flows through the fabric and send requests."""

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

# When copies of an opening packet go, and when the attempt ends.
COPIES_S = (0.0, 0.2, 0.6)
OPEN_S = 1.4
RESEND_S = (0.2, 0.4, 0.8, 1.6)
DEADLINE_S = 4.0
PAUSE_S = 0.15
READY_EVERY_S = 0.5
READY_MISSES = 2
FIRST_PORT = 20_000


@attrs.frozen
class Route:
    """A place that callers use.

    :param service: that new flows go to
    """

    address: str
    port: int
    service: str
    idempotent: bool


class World(Protocol):
    """What callers see around them."""

    judge: judges.Judge
    fabric: "Fabric"

    def routes(self) -> list[Route]:
        """Return routes that are in force for long."""

    def services_of(self, route: Route) -> frozenset[str]:
        """Return all services that a route has ever named."""

    def holder(self, key: tuple[bytes, int]) -> tuple[str, bool]:
        """Return the upstream that a flow is open at, and if it lives."""


class Fabric:
    """Hands packets to the entry VMs that say they are ready."""

    def __init__(self, entries: list[vms.Vm]) -> None:
        """Start with all of them in rotation."""
        self._entries = entries
        self._misses = dict.fromkeys((vm.address for vm in entries), 0)

    def run(self) -> None:
        """Ask each entry VM for its readiness, again and again."""
        while True:
            gevent.sleep(READY_EVERY_S)
            for vm in self._entries:
                gevent.spawn(self.ask, vm.address)

    def rotation(self) -> list[str]:
        """Return the entry VMs that take packets, all if none is ready."""
        ready = [
            name
            for name, misses in self._misses.items()
            if misses < READY_MISSES
        ]
        return ready or list(self._misses)

    def choose(self, packet: packets.Packet) -> str:
        """Return the entry VM that a packet goes to."""
        ready = self.rotation()
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        return ready[hash(key) % len(ready)]

    def ask(self, address: str) -> bool:
        """Ask an entry VM for its readiness; return whether it is."""
        client = HTTPClient(
            address,
            vms.READY_PORT,
            connection_timeout=READY_EVERY_S,
            network_timeout=READY_EVERY_S,
        )
        good = False
        with contextlib.suppress(OSError, ValueError, EOFError, HTTPException):
            good = client.get("/v1/readiness").status_code == 200
        client.close()
        misses = 0 if good else self._misses[address] + 1
        self._misses[address] = misses
        return good


class Flow:
    """One flow of a caller."""

    def __init__(self, caller: "Caller", route: Route, port: int) -> None:
        """Take a port; nothing is sent yet."""
        self._caller = caller
        self.route = route
        self.key = (caller.raw, port)
        self._port = port
        self._echo = 0
        self._seq = 1
        self._news = event.Event()
        self.opened = False
        self.over = False
        self._answer: bytes | None = None
        self._wanted = 0

    def open(self) -> bool:
        """Open it; return whether that worked."""
        began = time.monotonic()
        for copy, after_s in enumerate(COPIES_S):
            self._wait(began + after_s)
            if self.opened or self.over:
                break
            self._send(packets.SYN, ack=copy)
        self._wait(began + OPEN_S)
        if self.opened:
            self._send(packets.ACK)
        return self.opened

    def request(self, data: bytes) -> bytes | None:
        """Send a request; return its answer, None when there is none."""
        self._answer = None
        self._seq += 1
        self._wanted = self._seq
        until = time.monotonic() + DEADLINE_S
        for wait_s in (*RESEND_S, DEADLINE_S):
            self._send(packets.ACK, seq=self._seq, data=data)
            self._wait(min(until, time.monotonic() + wait_s))
            if self._answer is not None or self.over:
                break
        return self._answer

    def close(self) -> None:
        """Close it."""
        if self.opened and not self.over:
            self._send(packets.FIN | packets.ACK, seq=self._seq + 1)
        self.over = True
        self._caller.flows.pop(self._port, None)

    def take(self, packet: packets.Packet) -> None:
        """Take a packet that came for this flow."""
        if packet.has(packets.RST):
            if packet.sum == 0 and self.opened and not self.over:
                self._caller.was_reset(self)
            self.over = True
        elif packet.has(packets.SYN):
            if not self.opened:
                self._echo = packet.echo
            self.opened = True
        elif packet.data and packet.ack == self._wanted:
            self._echo = packet.echo or self._echo
            self._answer = packet.data
        self._news.set()

    def _wait(self, until: float) -> None:
        """Wait for the next packet that matters, or for a time."""
        left = until - time.monotonic()
        self._news.clear()
        if left > 0 and not self.over:
            self._news.wait(left)

    def _send(self, flags: int, **change: object) -> None:
        packet = packets.Packet(
            self._caller.raw,
            self._port,
            std_socket.inet_aton(self.route.address),
            self.route.port,
            flags,
            echo=self._echo,
            **change,
        )
        self._caller.send(packet)


class Caller:
    """A caller with a socket of its own and several users."""

    def __init__(
        self,
        world: World,
        address: str,
        seed: int,
        stack: contextlib.ExitStack,
    ) -> None:
        """Listen for answers."""
        self._world = world
        self._rng = random.Random(seed)
        self._address = address
        self.raw = std_socket.inet_aton(address)
        self.flows: dict[int, Flow] = {}
        self._next_port = FIRST_PORT
        self._asked = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(self._socket.close)
        self._socket.bind((address, vms.PACKET_PORT))
        stack.callback(gevent.spawn(self._receive).kill)

    def use(self, requests: int) -> None:
        """Be a user: send requests for ever, some to each flow."""
        while True:
            route = self._rng.choice(self._world.routes())
            self._next_port += 1
            flow = Flow(self, route, self._next_port)
            self.flows[self._next_port] = flow
            if flow.open():
                for _ in range(requests):
                    self._ask(flow)
                    gevent.sleep(PAUSE_S * self._rng.uniform(0.5, 1.5))
                    if flow.over:
                        break
            else:
                self._world.judge.counts["flows that didn't open"] += 1
            flow.close()
            gevent.sleep(PAUSE_S * self._rng.random())

    def send(self, packet: packets.Packet) -> None:
        """Hand a packet to the fabric."""
        entry = self._world.fabric.choose(packet)
        self._socket.sendto(packet.encode(), (entry, vms.PACKET_PORT))

    def was_reset(self, flow: Flow) -> None:
        """Note a reset that the system sent for an open flow."""
        upstream, alive = self._world.holder(flow.key)
        self._world.judge.reset(
            f"{self._address}:{flow.key[1]}",
            upstream,
            alive,
            frozenset(self._world.fabric.rotation()),
            time.monotonic(),
        )

    def _ask(self, flow: Flow) -> None:
        self._asked += 1
        run = judges.Run(
            f"{self._address}-{self._asked}",
            self._world.services_of(flow.route),
            flow.route.idempotent,
        )
        judge = self._world.judge
        judge.asked(run)
        answer = flow.request(run.id.encode() + b" do")
        if answer is None:
            judge.counts["unanswered"] += 1
        elif answer.split(b" ")[1:2] == [b"503"]:
            judge.counts["refused by upstreams"] += 1
        else:
            judge.answered(run.id, answer, time.monotonic())

    def _receive(self) -> None:
        while True:
            raw, _ = self._socket.recvfrom(2048)
            packet = packets.decode(raw)
            flow = self.flows.get(packet.dport) if packet else None
            if flow is not None:
                flow.take(packet)
