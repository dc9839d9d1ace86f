"""Callers of one entry VM whose link has a queue, in virtual time.

The forwarder is the real one. The inbound link carries one packet after
another and drops what would wait too long; answers of upstreams bypass it.
"""

import collections
import heapq
import itertools
import random

import attrs

from ebonytally.configuration import model
from ebonytally.echo import forwarder
from ebonytally.echo import gate
from ebonytally.echo import packets
from ebonytally.load import admission
from ebonytally.load import classes
from ebonytally.load import fair_shares
from ebonytally.load import link_room
from ebonytally.load import upstream_room
from tests import echo_harness

BYTES_S = 310_000.0
ONE_WAY_S = 0.003
TICK_S = 0.02
MAX_WAIT_S = 0.3
RETRIES = 2
RETRY_AFTER_S = 0.1
ATTEMPT_S = 1.4
COPIES_S = (0.0, 0.2, 0.6)
HEADER_BYTES = 32


@attrs.frozen
class Kind:
    """Requests of one route: one flow each.

    :param share: of all requests
    :param data: bytes of data of each packet of the request
    :param answer_packets: packets that the answer consists of
    """

    priority: int
    idempotent: bool
    share: float
    work_s: float
    data: tuple[int, ...]
    answer_packets: int
    timeout_s: float

    @property
    def flow_bytes(self):
        """Bytes that a flow brings to the inbound link."""
        headers = HEADER_BYTES + packets.DATAGRAM_HEADER_BYTES
        count = 2 + len(self.data) + (self.answer_packets + 1) // 2
        return sum(self.data) + headers * count


KINDS = (
    Kind(2, True, 0.84, 0.04, (1200, 1000), 2, 4.9),
    Kind(1, False, 0.1, 0.052, (1200, 1000), 2, 6.1),
    Kind(2, True, 0.06, 0.005, (200,), 34, 12.6),
)
MEAN_BYTES = sum(kind.share * kind.flow_bytes for kind in KINDS)
ROUTES = tuple(
    attrs.evolve(
        echo_harness.ROUTE,
        name=f"r-{number}",
        port=443 + number,
        priority=kind.priority,
        idempotent=kind.idempotent,
        timeout_s=kind.timeout_s,
    )
    for number, kind in enumerate(KINDS)
)


@attrs.define
class Request:
    """A request of a caller.

    :param port: port of its present flow, 0 for none
    :param data_left: packets of the request that haven't arrived
    :param opened: whether its present flow is open
    """

    kind: int
    address: int
    began_at: float
    attempts: int = 0
    port: int = 0
    data_left: int = 0
    opened: bool = False
    outcome: str = ""
    ended_at: float = 0.0


class Link:
    """One direction of a link, with a queue."""

    def __init__(self, bytes_s):
        self._bytes_s = bytes_s
        self._free_at = 0.0
        self.carried = 0
        self.waits = []

    def send(self, size, now):
        """Return when a packet has passed, None if it is dropped."""
        wait = max(0.0, self._free_at - now)
        self.waits.append((now, wait))
        if wait > MAX_WAIT_S:
            return None
        self._free_at = max(self._free_at, now) + size / self._bytes_s
        self.carried += size
        return self._free_at


class Site:
    """Callers, an entry VM on a link, and upstreams that answer all."""

    def __init__(self, seed, is_admitting=True):
        content = model.Content(ROUTES, echo_harness.SERVICES, 15.0)
        self.control = echo_harness.ControlVm("c1")
        self.control.apply_configuration(2, content)
        for number in range(1, 30):
            self.control.registry.on_announcement(
                echo_harness.announcement(number), 0.0
            )
        self.entry = echo_harness.EntryVm("e1", [self.control])
        self.recorder = self.entry.recorder
        known = classes.Classes()
        room = link_room.LinkRoom(BYTES_S, 0.1, known)
        decisions = admission.LoadAdmission(
            known,
            room,
            upstream_room.UpstreamRoom(None, 0.1, known, None),
            fair_shares.FairShares(),
        )
        gate_ = gate.Gate(decisions, room, self.recorder)
        if not is_admitting:
            gate_ = gate.Gate(None, None, self.recorder)
        self.entry.forwarder = forwarder.Forwarder(
            self.entry.registry,
            self.entry.follower,
            self.entry.placing,
            self.recorder,
            gate=gate_,
        )
        self.entry.run(1.0)
        self.inbound = Link(BYTES_S)
        self.requests = []
        self.refused = []
        self.paused_until = 0.0
        self._rng = random.Random(seed)
        self._ports = itertools.count(1)
        self._numbers = itertools.count()
        self._events = []

    def offer(self, rate, start, end, address=None):
        """Schedule requests at a mean rate from `start` to `end`."""
        at = start
        while True:
            at += self._rng.expovariate(rate)
            if at >= end:
                return
            shares = [kind.share for kind in KINDS]
            (kind,) = self._rng.choices(range(len(KINDS)), shares)
            caller = self._rng.randrange(200) if address is None else address
            self._at(at, self._begin, Request(kind, caller, at))

    def run(self, until):
        """Advance the clock; the VM handles nothing while it is paused."""
        while self.entry.now < until:
            self.entry.now += TICK_S
            while self._events and self._events[0][0] <= self.entry.now:
                now, _, call, args = heapq.heappop(self._events)
                call(now, *args)
            if self.entry.now >= self.paused_until:
                out = self.entry.forwarder.tick(self.entry.now)
                self._forward(out, self.entry.now)
                self.entry.deliver(self.entry.follower.tick(self.entry.now))

    def outcomes(self, priority, start, end):
        """Count outcomes of the requests that began in a period."""
        return collections.Counter(
            req.outcome
            for req in self.requests
            if start <= req.began_at < end
            and KINDS[req.kind].priority == priority
        )

    def _at(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._numbers), call, args))

    def _begin(self, now, request):
        if request.outcome:
            return
        if not request.attempts:
            self.requests.append(request)
            timeout_s = KINDS[request.kind].timeout_s
            self._at(now + timeout_s, self._time_out, request)
        request.attempts += 1
        request.opened = False
        port = request.port = next(self._ports)
        for copies, copy_s in enumerate(COPIES_S):
            self._at(now + copy_s, self._send_opening, request, port, copies)
        self._at(now + ATTEMPT_S, self._give_up, request, port)

    def _send_opening(self, now, request, port, copies):
        if request.port == port and not request.opened:
            packet = self._packet(request, port, True, 0, copies=copies)
            self._send(now, packet, request, port)

    def _time_out(self, now, request):
        if not request.outcome:
            request.outcome, request.ended_at = "deadline", now
            request.port = 0

    def _give_up(self, now, request, port):
        if not request.opened:
            self._fail(now, request, port, "unopened")

    def _fail(self, now, request, port, outcome):
        if request.port != port or request.outcome:
            return
        request.port = 0
        if request.attempts > RETRIES:
            request.outcome, request.ended_at = outcome, now
        else:
            self._at(now + RETRY_AFTER_S, self._begin, request)

    def _packet(self, request, port, is_opening, size, cookie=0, **change):
        route = ROUTES[request.kind]
        address = forwarder.service_address_of(route)
        caller = request.address.to_bytes(4, "big")
        return packets.Packet(
            caller + (port % 65536).to_bytes(2, "big") + address,
            address,
            is_opening,
            change.pop("is_end", False),
            cookie,
            change.pop("ack", 0),
            size,
            bytes(HEADER_BYTES + size),
            change.pop("copies", 0),
        )

    def _send(self, now, packet, request, port):
        passed_at = self.inbound.send(packets.received_bytes(packet), now)
        if passed_at is not None:
            self._at(passed_at, self._receive, packet, request, port)
        elif not packet.is_opening:
            self._at(now + 0.2, self._send, packet, request, port)

    def _receive(self, now, packet, request, port):
        if now < self.paused_until:
            self._at(
                self.paused_until + 1e-6, self._receive, packet, request, port
            )
            return
        out = self.entry.forwarder.handle_packet(packet, now)
        self._forward(out, now, packet, request, port)

    def _forward(self, out, now, packet=None, request=None, port=None):
        for action in out:
            if request is None:
                continue
            if isinstance(action, packets.Reset):
                self.refused.append((now, packet))
                self._at(now + ONE_WAY_S, self._fail, request, port, "refused")
            elif packet.is_opening:
                self._at(
                    now + 3 * ONE_WAY_S,
                    self._open,
                    request,
                    port,
                    action.cookie,
                )
            elif packet.size:
                request.data_left -= 1
                if not request.data_left:
                    self._answer(now, request, port, packet.cookie)
            elif packet.is_end and not request.outcome:
                request.outcome, request.ended_at = "served", now

    def _open(self, now, request, port, cookie):
        if request.opened or request.port != port:
            return
        request.opened = True
        kind = KINDS[request.kind]
        request.data_left = len(kind.data)
        for size in kind.data:
            packet = self._packet(request, port, False, size, cookie)
            self._send(now, packet, request, port)

    def _answer(self, now, request, port, cookie):
        kind = KINDS[request.kind]
        at = now + 2 * ONE_WAY_S + kind.work_s
        for number in range(2, kind.answer_packets + 1, 2):
            at += 0.002
            ack = self._packet(request, port, False, 0, cookie, ack=number)
            self._at(at, self._send, ack, request, port)
        end = self._packet(request, port, False, 0, cookie, is_end=True)
        self._at(at + 0.001, self._send, end, request, port)
