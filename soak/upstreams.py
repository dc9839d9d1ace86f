"""Simulated upstreams: announce themselves, accept flows and answer."""

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
MAX_QUEUE = 8
SERVICE_TIME_S = 0.02
CALL_TIMEOUT_S = 1.0


class World(Protocol):
    """The parts of a run that upstreams depend on."""

    judge: judges.Judge

    def can_pass(self, source: str, target: str) -> bool:
        """Return whether the link between two addresses is not cut."""

    def control_addresses(self) -> list[str]:
        """Return the control VMs to call, in random order."""

    def vm_name(self, address: str) -> str:
        """Return the name of the VM with an address."""

    def out_acknowledged_at(self, data_centre: str) -> float:
        """Return when its evacuation was acknowledged, or infinity."""


@attrs.define
class _Flow:
    """State of a flow at its upstream.

    :param opened: whether the handshake is complete
    :param answers: by sequence number of the request, b"" while it runs
    """

    opened: bool = False
    echo: int = 0
    answers: dict[int, bytes] = attrs.field(factory=dict)


class Upstream:
    """An upstream with a request queue and a concurrency limit."""

    def __init__(
        self,
        world: World,
        id_: str,
        service: str,
        address: str,
        data_centre: str,
    ) -> None:
        """Set up a stopped upstream; `start` binds its address."""
        self._world = world
        self.id = id_
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.draining_at = float("inf")
        self._tasks: list[gevent.Greenlet] = []
        self._socket: socket.socket | None = None
        self._heartbeat_vm = ""
        self._reset()

    def _reset(self) -> None:
        self._flows: dict[tuple[bytes, int], _Flow] = {}
        self._executing = 0
        self._queue: collections.deque = collections.deque()
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self.draining = False
        self.draining_at = float("inf")

    @property
    def is_running(self) -> bool:
        """Return whether the upstream is serving."""
        return self._socket is not None

    def has_flow(self, key: tuple[bytes, int]) -> bool:
        """Return whether a flow is open at this upstream."""
        flow = self._flows.get(key)
        return flow is not None and flow.opened

    def start(self) -> None:
        """Start to serve and announce, without any earlier flows."""
        self._reset()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self.address, PORT))
        self._tasks = [
            gevent.spawn(self._receive, self._socket),
            gevent.spawn(self._run_announcements),
        ]

    def crash(self) -> None:
        """Stop at once, without deregistering."""
        tasks, self._tasks = self._tasks, []
        sock, self._socket = self._socket, None
        gevent.killall(
            [task for task in tasks if task is not gevent.getcurrent()]
        )
        if sock is not None:
            sock.close()

    def drain(self) -> None:
        """Announce draining, serve open flows for a time, deregister, stop."""
        self.draining = True
        until = time.monotonic() + 3 * CALL_TIMEOUT_S
        while (
            not self._announce_once("Heartbeat") and time.monotonic() < until
        ):
            gevent.sleep(0.1)
        self.draining_at = time.monotonic()
        gevent.sleep(judges.MAX_DRAIN_S + judges.STABLE_AFTER_S + 1.0)
        self._announce_once("Deregister")
        self.crash()

    # Announcements.

    def _run_announcements(self) -> None:
        while True:
            self._announce_once("Heartbeat")
            gevent.sleep(vms.ANNOUNCE_MS / 1000)

    def announcement(self) -> dict[str, object]:
        """Return the fields of its present announcement."""
        return {
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

    def _announce_once(self, verb: str) -> bool:
        """Announce this upstream to one of up to three control VMs.

        :param verb: Heartbeat or Deregister
        :return: whether one of them accepted it
        """
        self._sequence += 1
        body = json.dumps(self.announcement())
        path = f"/v1/Instances.{verb}/{self.id}"
        addresses = self._world.control_addresses()
        if self._heartbeat_vm:
            addresses = [self._heartbeat_vm, *addresses]
        for address in addresses[:3]:
            if not self._world.can_pass(self.address, address):
                continue
            answer = send_request(address, path, body)
            if answer is not None and answer.status == 200:
                url = json.loads(answer.body or b"{}").get("heartbeat-url")
                self._heartbeat_vm = url.split(":")[0] if url else ""
                return True
        self._heartbeat_vm = ""
        return False

    # Packets.

    def _receive(self, sock: socket.socket) -> None:
        while True:
            datagram, source = sock.recvfrom(2048)
            prefix = datagram[: packets.ID_BYTES]
            packet = packets.decode(datagram[packets.ID_BYTES :])
            if packet is None or prefix not in (self._id_bytes(), bytes(8)):
                continue
            if self._world.can_pass(source[0], self.address):
                self._handle_packet(packet, source[0])

    def _id_bytes(self) -> bytes:
        """Return the id as the prefix of packets from entry VMs."""
        digits = self.id.removeprefix("i-")
        return int(digits, 16).to_bytes(packets.ID_BYTES, "big")

    def _handle_packet(self, packet: packets.Packet, source: str) -> None:
        key = (packet.src, packet.sport)
        flow = self._flows.get(key)
        if packet.has_flag(packets.SYN):
            flow = self._flows.setdefault(key, _Flow())
            flow.echo = packet.echo
            flags = packets.SYN | packets.ACK
            self._send(packet, flow, flags, seq=hash(self.id) & 0xFFFF)
            return
        if flow is None:
            if not packet.has_flag(packets.RST):
                self._send(packet, _Flow(echo=packet.echo), packets.RST)
            return
        if packet.has_flag(packets.RST):
            del self._flows[key]
            return
        flow.echo = packet.echo or flow.echo
        if not flow.opened:
            flow.opened = True
            self._on_flow_opened(source)
        if packet.has_flag(packets.FIN):
            del self._flows[key]
        elif packet.data:
            self._handle_request(packet, flow)

    def _on_flow_opened(self, source: str) -> None:
        self._world.judge.on_flow_opened(
            self.id,
            self._world.vm_name(source),
            self.draining_at,
            self._world.out_acknowledged_at(self.data_centre),
            time.monotonic(),
        )

    def _handle_request(self, packet: packets.Packet, flow: _Flow) -> None:
        """Queue a request; repeat the answer of one that has ended."""
        answer = flow.answers.get(packet.seq)
        if answer is not None:
            if answer:
                self._answer(packet, flow, answer)
            return
        if self._executing >= SLOTS and len(self._queue) >= MAX_QUEUE:
            refusal = packet.data.split(b" ")[0] + b" 503"
            self._answer(packet, flow, refusal)
            return
        flow.answers[packet.seq] = b""
        self._queue.append((packet, flow))
        self._start_next()

    def _start_next(self) -> None:
        if self._executing < SLOTS and self._queue:
            self._executing += 1
            self._tasks.append(
                gevent.spawn(self._execute, *self._queue.popleft())
            )

    def _execute(self, packet: packets.Packet, flow: _Flow) -> None:
        id_ = packet.data.split(b" ")[0]
        now = time.monotonic()
        self._world.judge.on_request_started(id_.decode(), self.service, now)
        gevent.sleep(SERVICE_TIME_S)
        flow.answers[packet.seq] = id_ + b" 200 " + self.id.encode()
        self._executing -= 1
        self._answer(packet, flow, flow.answers[packet.seq])
        self._start_next()

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
        **fields: object,
    ) -> None:
        reply = packets.make_reply(packet, flags, echo=flow.echo, **fields)
        caller = std_socket.inet_ntoa(reply.dst)
        if self._socket is not None and self._world.can_pass(
            self.address, caller
        ):
            self._socket.sendto(reply.encode(), (caller, vms.PACKET_PORT))


@attrs.frozen
class HttpAnswer:
    """HTTP answer of a control VM."""

    status: int
    body: bytes
    location: str


def send_request(
    address: str,
    path: str,
    body: str | bytes = b"",
    method: str = "POST",
) -> HttpAnswer | None:
    """Send one HTTP request; return None if there is no valid answer."""
    client = HTTPClient(
        address,
        vms.CONTROL_PORT,
        connection_timeout=CALL_TIMEOUT_S,
        network_timeout=CALL_TIMEOUT_S,
    )
    headers = {"Content-Type": "application/json"}
    try:
        answer = client.request(method, path, body, headers)
        location = answer.get("Location") or ""
        return HttpAnswer(answer.status_code, bytes(answer.read()), location)
    except (OSError, ValueError, EOFError, HTTPException):
        return None
    finally:
        client.close()
