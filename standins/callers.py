"""Stand-ins for callers: IP flows through the fabric, HTTP requests."""

from collections.abc import Callable
import hashlib
import json
import random
import time
import uuid

import attrs
import gevent
from gevent import socket
from geventhttpclient import HTTPClient

from standins import judge as judges
from standins import packets

REQUEST_TIMEOUT_S = 5.0
RESEND_SHARE = 0.05
IDEMPOTENT_SHARE = 0.5


@attrs.frozen
class Service:
    """A service that callers use.

    :param rate: offered load, requests per second
    """

    name: str
    address: str
    port: int
    rate: float


class Fabric:
    """Spreads callers' packets over the entry VMs.

    Each packet takes a random path, as with per-packet ECMP. Packets to
    callers go to the callback.
    """

    def __init__(
        self,
        address: tuple[str, int],
        entry_addresses: list[tuple[str, int]],
        seed: int,
        on_packet: Callable[[bytes], None],
    ) -> None:
        """Listen at `address` for packets to callers.

        :param entry_addresses: packet ports of the entry VMs
        """
        self.entry_addresses = entry_addresses
        self._random = random.Random(seed)
        self._on_packet = on_packet
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        gevent.spawn(self._receive)

    def spray(self, packet: bytes) -> None:
        """Send a packet to an entry VM chosen at random."""
        self._socket.sendto(
            packet,
            self._random.choice(self.entry_addresses),
        )

    def _receive(self) -> None:
        while True:
            data, _ = self._socket.recvfrom(65536)
            self._on_packet(data)


class FlowCallers:
    """Opens flows, sends packets on random ones and closes some."""

    def __init__(
        self,
        services: list[Service],
        judge: judges.Judge,
        seed: int,
    ) -> None:
        """Set up callers that open flows to `services`."""
        self._services = services
        self._judge = judge
        self._random = random.Random(seed)
        self._next_number = 1
        self._open_flows: list[judges.Flow] = []
        self.fabric: Fabric | None = None

    def on_packet(self, data: bytes) -> None:
        """Handle a packet to a caller; a TCP reset ends its flow."""
        packet = packets.parse(data)
        if packet is None or not packet.flags & packets.RST:
            return
        self.on_reset(packet.dst, packet.port)

    def on_reset(self, address: str, port: int) -> None:
        """Mark the flow of a caller's address and port as reset."""
        flow = self._judge.flows.get(_flow_number_at(address, port))
        if flow is not None:
            flow.is_reset = True

    def open(self, now: float) -> None:
        """Open a flow to a random service."""
        service = self._random.choice(self._services)
        flow = judges.Flow(self._next_number, service.name)
        self._next_number += 1
        self._judge.flows[flow.number] = flow
        self._open_flows.append(flow)
        self._send(flow, packets.SYN, now)

    def send_packets(self, count: int, now: float) -> None:
        """Send a packet on `count` random flows.

        A flow of which no packet was delivered yet sends its SYN again.
        """
        for _ in range(min(count, len(self._open_flows))):
            flow = self._random.choice(self._open_flows)
            if flow.is_reset:
                self._open_flows.remove(flow)
                continue
            flags = packets.ACK if flow.delivered else packets.SYN
            self._send(flow, flags, now)

    def close(self, count: int, now: float) -> None:
        """Close `count` random flows with a FIN."""
        for _ in range(min(count, len(self._open_flows))):
            index = self._random.randrange(len(self._open_flows))
            flow = self._open_flows.pop(index)
            self._send(flow, packets.FIN | packets.ACK, now)

    def count_open(self) -> int:
        """Return the number of open flows."""
        return len(self._open_flows)

    def _send(self, flow: judges.Flow, flags: int, now: float) -> None:
        flow.sent += 1
        flow.last_sent_at[flow.sent] = now
        if len(flow.last_sent_at) > 64:
            del flow.last_sent_at[next(iter(flow.last_sent_at))]
        service = next(
            service
            for service in self._services
            if service.name == flow.service
        )
        source, port = _source_of_flow(flow.number)
        packet = packets.build(
            source,
            port,
            service.address,
            service.port,
            flags,
            flow.number,
            flow.sent,
        )
        self.fabric.spray(packet)


def _source_of_flow(number: int) -> tuple[str, int]:
    host = number // 50_000
    return f"10.9.{host // 256}.{host % 256}", 10_000 + number % 50_000


def _flow_number_at(address: str, port: int) -> int:
    parts = address.split(".")
    host = int(parts[2]) * 256 + int(parts[3])
    return host * 50_000 + port - 10_000


class RequestCallers:
    """Sends requests to random entry VMs.

    Some requests with an idempotency key go to two entry VMs at once.
    """

    def __init__(
        self,
        services: list[Service],
        judge: judges.Judge,
        entry_addresses: list[tuple[str, int]],
        seed: int,
        delay_s: float,
    ) -> None:
        """Set up callers of `services`.

        :param entry_addresses: request ports of the entry VMs
        :param delay_s: one-way delay towards the entry VMs, seconds
        """
        self._services = services
        self._judge = judge
        self.entry_addresses = entry_addresses
        self._random = random.Random(seed)
        self._delay_s = delay_s
        self._count = 0
        self.stopping = False
        self.in_flight = 0

    def run(self, service: Service) -> None:
        """Send requests to a service until `stopping` is set.

        Their arrivals form a Poisson process at the rate of the service.
        """
        while not self.stopping:
            gevent.sleep(self._random.expovariate(service.rate))
            gevent.spawn(self._send_request, service)

    def _send_request(self, service: Service) -> None:
        self._count += 1
        mark = f"{service.name}-{self._count}"
        idempotent = self._random.random() < IDEMPOTENT_SHARE
        req = judges.Request(mark, idempotent)
        self._judge.requests[mark] = req
        body = self._random.randbytes(self._random.randrange(1, 2000))
        key = "" if idempotent else make_uuid7(self._random, time.time())
        copies = 1
        if not idempotent and self._random.random() < RESEND_SHARE:
            copies = 2
        for entry_address in self._random.sample(self.entry_addresses, copies):
            gevent.spawn(
                self._send_copy, service, req, key, body, entry_address
            )

    def _send_copy(
        self,
        service: Service,
        req: judges.Request,
        key: str,
        body: bytes,
        entry_address: tuple[str, int],
    ) -> None:
        self.in_flight += 1
        req.in_flight += 1
        gevent.sleep(self._delay_s)
        try:
            outcome = self._post_request(
                service, req, key, body, entry_address
            )
        except Exception:
            outcome = "cut"
        finally:
            self.in_flight -= 1
        req.on_answer(outcome)

    def _post_request(
        self,
        service: Service,
        req: judges.Request,
        key: str,
        body: bytes,
        entry_address: tuple[str, int],
    ) -> str:
        headers = {
            "Host": service.name,
            "Request-Timeout": f"{REQUEST_TIMEOUT_S:g}",
            "Caller-Mark": req.mark,
        }
        if key:
            headers["Idempotency-Key"] = key
        else:
            headers["Idempotent"] = "true"
        client = HTTPClient(
            entry_address[0],
            port=entry_address[1],
            connection_timeout=REQUEST_TIMEOUT_S,
            network_timeout=REQUEST_TIMEOUT_S + 2,
        )
        try:
            answer = client.post("/submit", body=body, headers=headers)
            data = bytes(answer.read())
        finally:
            client.close()
        return _outcome_of(answer, data, req, service, body)


def _outcome_of(answer, data, req, service, body) -> str:
    """Return the outcome of a copy.

    It is "wrong" for an answer that belongs to another request.
    """
    if answer.status_code != 200:
        return answer.get("outcome") or f"status-{answer.status_code}"
    try:
        payload = json.loads(data)
    except ValueError:
        return "wrong"
    is_own_answer = (
        payload.get("mark") == req.mark
        and payload.get("service") == service.name
        and payload.get("digest") == hashlib.sha256(body).hexdigest()
    )
    return "answered" if is_own_answer else "wrong"


def make_uuid7(rng: random.Random, wall: float) -> str:
    """Return a UUIDv7 with the time `wall`, in seconds since 1970."""
    value = int(wall * 1000) << 80
    value |= rng.getrandbits(80)
    value &= ~(0xF << 76)
    value |= 0x7 << 76
    value &= ~(0x3 << 62)
    value |= 0x2 << 62
    return str(uuid.UUID(int=value))
