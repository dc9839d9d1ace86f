"""Upstream stand-ins: they announce themselves and answer flows."""

import collections
from http.client import HTTPException
import json
import socket as std_socket
import time
from typing import Protocol

import attrs
import gevent
from gevent import socket
from geventhttpclient import HTTPClient

from soak import judge as judges
from soak import packets
from soak import vms

PORT = 8080
SLOTS = 2
QUEUE = 8
WORK_S = 0.02
CALL_S = 1.0


class World(Protocol):
    """What upstreams see around them."""

    judge: judges.Judge

    def passes(self, source: str, target: str) -> bool:
        """Return whether packets between two addresses pass."""

    def control_addresses(self) -> list[str]:
        """Return control VMs to call, in some order."""

    def name_of(self, address: str) -> str:
        """Return the VM that has an address."""

    def out_since(self, data_centre: str) -> float:
        """Return when taking it out was acknowledged, infinity if not."""


@attrs.define
class _Flow:
    """A flow that this upstream holds.

    :param answers: by the sequence number of their request
    """

    opened: bool = False
    echo: int = 0
    answers: dict[int, bytes] = attrs.field(factory=dict)


class Upstream:
    """One upstream: its socket, its flows and its announcements."""

    def __init__(
        self,
        world: World,
        id_: str,
        service: str,
        address: str,
        data_centre: str,
    ) -> None:
        """Take an address; `start` begins to serve."""
        self._world = world
        self.id = id_
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.draining_at = float("inf")
        self._tasks: list[gevent.Greenlet] = []
        self._socket: socket.socket | None = None
        self._announce_to = ""
        self._reset()

    def _reset(self) -> None:
        self._flows: dict[tuple[bytes, int], _Flow] = {}
        self._busy = 0
        self._queue: collections.deque = collections.deque()
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self.draining = False
        self.draining_at = float("inf")

    @property
    def alive(self) -> bool:
        """Return whether it runs."""
        return self._socket is not None

    def holds(self, key: tuple[bytes, int]) -> bool:
        """Return whether a flow is open here."""
        flow = self._flows.get(key)
        return flow is not None and flow.opened

    def start(self) -> None:
        """Start, with nothing known of before."""
        self._reset()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self.address, PORT))
        self._tasks = [
            gevent.spawn(self._receive, self._socket),
            gevent.spawn(self._announce),
        ]

    def crash(self) -> None:
        """End at once; nobody is told."""
        tasks, self._tasks = self._tasks, []
        sock, self._socket = self._socket, None
        gevent.killall(
            [one for one in tasks if one is not gevent.getcurrent()]
        )
        if sock is not None:
            sock.close()

    def drain(self) -> None:
        """Leave: say so, serve a while, say that it has ended, end."""
        self.draining = True
        until = time.monotonic() + 3 * CALL_S
        while not self._call("Heartbeat") and time.monotonic() < until:
            gevent.sleep(0.1)
        self.draining_at = time.monotonic()
        gevent.sleep(judges.DRAIN_S + judges.CALM_S + 1.0)
        self._call("Deregister")
        self.crash()

    # Announcements.

    def _announce(self) -> None:
        while True:
            self._call("Heartbeat")
            gevent.sleep(vms.ANNOUNCE_MS / 1000)

    def _call(self, verb: str) -> bool:
        """Call one control VM after another; tell if one answered."""
        self._sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": f"{self.address}:{PORT}",
                "zone": self.data_centre,
                "version": "v1",
                "concurrency": SLOTS,
                "state": "draining" if self.draining else "ready",
                "cold-remaining-ms": 0,
                "sequence": self._sequence,
                "born": self._born_ms,
            }
        )
        path = f"/v1/Instances.{verb}/{self.id}"
        names = self._world.control_addresses()
        if self._announce_to:
            names = [self._announce_to, *names]
        for name in names[:3]:
            if not self._world.passes(self.address, name):
                continue
            answer = post(name, path, body)
            if answer is not None and answer.status == 200:
                url = json.loads(answer.body or b"{}").get("heartbeat-url")
                self._announce_to = url.split(":")[0] if url else ""
                return True
        self._announce_to = ""
        return False

    # Packets.

    def _receive(self, sock: socket.socket) -> None:
        while True:
            raw, source = sock.recvfrom(2048)
            prefix = raw[: packets.ID_BYTES]
            packet = packets.decode(raw[packets.ID_BYTES :])
            if packet is None or prefix not in (self._number(), bytes(8)):
                continue
            if self._world.passes(source[0], self.address):
                self._take(packet, source[0])

    def _number(self) -> bytes:
        digits = self.id.removeprefix("i-")
        return int(digits, 16).to_bytes(packets.ID_BYTES, "big")

    def _take(self, packet: packets.Packet, source: str) -> None:
        key = (packet.src, packet.sport)
        flow = self._flows.get(key)
        if packet.has(packets.SYN):
            flow = self._flows.setdefault(key, _Flow())
            flow.echo = packet.echo
            flags = packets.SYN | packets.ACK
            self._send(packet, flow, flags, seq=hash(self.id) & 0xFFFF)
            return
        if flow is None:
            if not packet.has(packets.RST):
                self._send(packet, _Flow(echo=packet.echo), packets.RST)
            return
        if packet.has(packets.RST):
            del self._flows[key]
            return
        flow.echo = packet.echo or flow.echo
        if not flow.opened:
            flow.opened = True
            self._opened(source)
        if packet.has(packets.FIN):
            del self._flows[key]
        elif packet.data:
            self._request(packet, flow)

    def _opened(self, source: str) -> None:
        self._world.judge.opened(
            self.id,
            self._world.name_of(source),
            self.draining_at,
            self._world.out_since(self.data_centre),
            time.monotonic(),
        )

    def _request(self, packet: packets.Packet, flow: _Flow) -> None:
        known = flow.answers.get(packet.seq)
        if known is not None:
            if known:
                self._answer(packet, flow, known)
            return
        if self._busy >= SLOTS and len(self._queue) >= QUEUE:
            refusal = packet.data.split(b" ")[0] + b" 503"
            self._answer(packet, flow, refusal)
            return
        flow.answers[packet.seq] = b""
        self._queue.append((packet, flow))
        self._next()

    def _next(self) -> None:
        if self._busy < SLOTS and self._queue:
            self._busy += 1
            self._tasks.append(gevent.spawn(self._run, *self._queue.popleft()))

    def _run(self, packet: packets.Packet, flow: _Flow) -> None:
        id_ = packet.data.split(b" ")[0]
        now = time.monotonic()
        self._world.judge.ran(id_.decode(), self.service, now)
        gevent.sleep(WORK_S)
        flow.answers[packet.seq] = id_ + b" 200 " + self.id.encode()
        self._busy -= 1
        self._answer(packet, flow, flow.answers[packet.seq])
        self._next()

    def _answer(
        self,
        packet: packets.Packet,
        flow: _Flow,
        body: bytes,
    ) -> None:
        self._send(packet, flow, packets.ACK, ack=packet.seq, data=body)

    def _send(
        self,
        packet: packets.Packet,
        flow: _Flow,
        flags: int,
        **change: object,
    ) -> None:
        out = packets.answer(packet, flags, echo=flow.echo, **change)
        caller = std_socket.inet_ntoa(out.dst)
        if self._socket is not None and self._world.passes(
            self.address, caller
        ):
            self._socket.sendto(out.encode(), (caller, vms.PACKET_PORT))


@attrs.frozen
class HttpAnswer:
    """Answer of a control VM."""

    status: int
    body: bytes
    location: str


def post(
    address: str,
    path: str,
    body: str | bytes = b"",
    method: str = "POST",
) -> HttpAnswer | None:
    """Call a control VM once; None without an answer in time."""
    client = HTTPClient(
        address,
        vms.CONTROL_PORT,
        connection_timeout=CALL_S,
        network_timeout=CALL_S,
    )
    headers = {"Content-Type": "application/json"}
    try:
        answer = client.request(method, path, body, headers)
        place = answer.get("Location") or ""
        return HttpAnswer(answer.status_code, bytes(answer.read()), place)
    except (OSError, ValueError, EOFError, HTTPException):
        return None
    finally:
        client.close()
