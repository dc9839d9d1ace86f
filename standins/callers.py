"""Callers' stand-ins: flows through a fabric, and requests over HTTP."""

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
    """A service as callers know it.

    :param rate: requests offered each second
    """

    name: str
    address: str
    port: int
    rate: float


class Fabric:
    """Sprays packets over the entry VMs and returns resets to callers."""

    def __init__(
        self,
        address: tuple[str, int],
        entry: list[tuple[str, int]],
        seed: int,
        returned: Callable[[bytes], None],
    ) -> None:
        """Listen for packets to callers at `address`."""
        self.entry = entry
        self._random = random.Random(seed)
        self._returned = returned
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        gevent.spawn(self._receive)

    def spray(self, packet: bytes) -> None:
        """Hand a packet to any entry VM."""
        self._socket.sendto(packet, self._random.choice(self.entry))

    def _receive(self) -> None:
        while True:
            data, _ = self._socket.recvfrom(65536)
            self._returned(data)


class FlowCallers:
    """Opens flows and keeps them talking, some of them for ever."""

    def __init__(
        self,
        services: list[Service],
        judge: judges.Judge,
        seed: int,
    ) -> None:
        """Make no flow yet."""
        self._services = services
        self._judge = judge
        self._random = random.Random(seed)
        self._next = 1
        self._live: list[judges.Flow] = []
        self.fabric: Fabric | None = None

    def returned(self, data: bytes) -> None:
        """Take a packet to a caller: a reset ends its flow."""
        seen = packets.read(data)
        if seen is None or not seen.flags & packets.RST:
            return
        self.reset(seen.dst, seen.port)

    def reset(self, address: str, port: int) -> None:
        """End the flow of a caller's address and port."""
        flow = self._judge.flows.get(_flow_of(address, port))
        if flow is not None:
            flow.reset = True

    def open(self, now: float) -> None:
        """Open one more flow."""
        service = self._random.choice(self._services)
        flow = judges.Flow(self._next, service.name)
        self._next += 1
        self._judge.flows[flow.number] = flow
        self._live.append(flow)
        self._send(flow, packets.SYN, now)

    def talk(self, count: int, now: float) -> None:
        """Send a packet on `count` flows, first packets again if lost."""
        for _ in range(min(count, len(self._live))):
            flow = self._random.choice(self._live)
            if flow.reset:
                self._live.remove(flow)
                continue
            flags = packets.ACK if flow.delivered else packets.SYN
            self._send(flow, flags, now)

    def close(self, count: int, now: float) -> None:
        """End `count` flows."""
        for _ in range(min(count, len(self._live))):
            index = self._random.randrange(len(self._live))
            flow = self._live.pop(index)
            self._send(flow, packets.FIN | packets.ACK, now)

    def live(self) -> int:
        """Return the number of open flows."""
        return len(self._live)

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
        source, port = _source_of(flow.number)
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


def _source_of(number: int) -> tuple[str, int]:
    host = number // 50_000
    return f"10.9.{host // 256}.{host % 256}", 10_000 + number % 50_000


def _flow_of(address: str, port: int) -> int:
    parts = address.split(".")
    host = int(parts[2]) * 256 + int(parts[3])
    return host * 50_000 + port - 10_000


class RequestCallers:
    """Sends requests to any entry VM; some are sent twice at once."""

    def __init__(
        self,
        services: list[Service],
        judge: judges.Judge,
        entry: list[tuple[str, int]],
        seed: int,
        delay_s: float,
    ) -> None:
        """Make no request yet."""
        self._services = services
        self._judge = judge
        self.entry = entry
        self._random = random.Random(seed)
        self._delay_s = delay_s
        self._count = 0
        self.stopping = False
        self.in_hand = 0

    def run(self, service: Service) -> None:
        """Offer requests to one service until told to stop."""
        while not self.stopping:
            gevent.sleep(self._random.expovariate(service.rate))
            gevent.spawn(self._request, service)

    def _request(self, service: Service) -> None:
        self._count += 1
        mark = f"{service.name}-{self._count}"
        idempotent = self._random.random() < IDEMPOTENT_SHARE
        req = judges.Request(mark, idempotent)
        self._judge.requests[mark] = req
        body = self._random.randbytes(self._random.randrange(1, 2000))
        key = "" if idempotent else uuid7(self._random, time.time())
        copies = 1
        if not idempotent and self._random.random() < RESEND_SHARE:
            copies = 2
        for entry in self._random.sample(self.entry, copies):
            gevent.spawn(self._copy, service, req, key, body, entry)

    def _copy(
        self,
        service: Service,
        req: judges.Request,
        key: str,
        body: bytes,
        entry: tuple[str, int],
    ) -> None:
        self.in_hand += 1
        req.in_hand += 1
        gevent.sleep(self._delay_s)
        try:
            outcome = self._exchange(service, req, key, body, entry)
        except Exception:
            outcome = "cut"
        finally:
            self.in_hand -= 1
        req.ended(outcome)

    def _exchange(
        self,
        service: Service,
        req: judges.Request,
        key: str,
        body: bytes,
        entry: tuple[str, int],
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
            entry[0],
            port=entry[1],
            connection_timeout=REQUEST_TIMEOUT_S,
            network_timeout=REQUEST_TIMEOUT_S + 2,
        )
        try:
            answer = client.post("/submit", body=body, headers=headers)
            data = bytes(answer.read())
        finally:
            client.close()
        return _judged(answer, data, req, service, body)


def _judged(answer, data, req, service, body) -> str:
    """Return how a copy ended; "wrong" when the answer isn't its own."""
    if answer.status_code != 200:
        return answer.get("outcome") or f"status-{answer.status_code}"
    try:
        said = json.loads(data)
    except ValueError:
        return "wrong"
    right = (
        said.get("mark") == req.mark
        and said.get("service") == service.name
        and said.get("digest") == hashlib.sha256(body).hexdigest()
    )
    return "answered" if right else "wrong"


def uuid7(source: random.Random, wall: float) -> str:
    """Return a UUIDv7 minted at `wall`, seconds since 1970."""
    value = int(wall * 1000) << 80
    value |= source.getrandbits(80)
    value &= ~(0xF << 76)
    value |= 0x7 << 76
    value &= ~(0x3 << 62)
    value |= 0x2 << 62
    return str(uuid.UUID(int=value))
