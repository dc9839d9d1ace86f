"""Requests under load: goodput, latency, duplicates, retries, slot use."""

import heapq
import random
from typing import Protocol
import uuid

import attrs
from hdrh import histogram

from benches import virtual
from benches import virtual_upstream
from ebonytally import actions
from ebonytally import ports
from ebonytally import reasons
from ebonytally.requests import request_head
from ebonytally import view
from ebonytally import wire

LOADS = (0.5, 0.9, 1.0, 1.5, 2.0, 3.0)
BROKEN_LOAD = 0.5
WARM_UP_S = 12.0
SETTLE_S = 2.0
MEASURE_S = 5.0
MEAN_REQUEST_S = 0.05
ENDPOINTS = 7
SLOTS = 2
CAPACITY_PER_S = ENDPOINTS * SLOTS / MEAN_REQUEST_S
STORE_ENDPOINTS = 4
STORE_RATE_PER_S = 0.5 * STORE_ENDPOINTS * SLOTS / MEAN_REQUEST_S
TIMEOUT_S = 1.0
KEYED_SHARE = 0.3
ANSWER_LOST_SHARE = 0.005
BROKEN_SHARE = 0.005
RESEND_S = 0.2
BASELINE_MAX_TRIES = 3
# Queue limit of the perfect baseline, as a share of TIMEOUT_S * capacity.
PERFECT_WAIT_SHARE = 0.4
START_WALL_S = 1.7e9
# Message kinds of the idempotency key protocol.
KEY_KINDS = range(300, 400)
VMS = [
    ("vm-1", "dc-1"),
    ("vm-2", "dc-2"),
    ("vm-3", "dc-3"),
    ("vm-4", "dc-4"),
    ("vm-5", "dc-1"),
]
PRINTED_FIGURES = (
    "goodput_per_s",
    "p50_s",
    "p99_s",
    "p99.9_s",
    "not_run",
    "not_run_p99_s",
    "late",
    "slot_use",
)
_Outcome = actions.Outcome


@attrs.define
class Sent:
    """A caller's request with its resends.

    :param key: idempotency key, "" for an idempotent request
    :param at: time of the first copy
    :param runs: how often an upstream started it
    :param good_s: time to an answer by the deadline, -1 for none
    :param refused_s: time to a not-run answer, -1 for none
    :param false_not_run: answered as not run although it ran
    """

    service: str
    key: str
    at: float
    runs: int = 0
    copies: int = 1
    good_s: float = -1.0
    refused_s: float = -1.0
    late: bool = False
    false_not_run: bool = False


class Endpoint(virtual_upstream.Endpoint):
    """An endpoint that reports each run to its world."""

    world: "RequestWorld"

    def begin(
        self,
        attempt: tuple[str, int],
        now: float,
        rng: random.Random,
    ) -> tuple[str, float]:
        """Start a request, see the base class."""
        result, took_s = super().begin(attempt, now, rng)
        if result == "runs":
            self.world.on_run(attempt)
        return result, took_s


class RequestWorld(virtual.World):
    """Entry VMs with callers that record the outcome of each request."""

    def __init__(self, seed: int, endpoints: list[Endpoint]) -> None:
        """Create the world at time zero, with cold endpoints."""
        services = [
            _service("desk", "10.0.0.1"),
            _service("store", "10.0.0.2"),
        ]
        self.sent: dict[tuple[str, int], Sent] = {}
        self.by_attempt: dict[tuple[str, int], Sent] = {}
        self.key_bytes = 0
        self.broken_share = 0.0
        super().__init__(seed, VMS, services, endpoints)
        for endpoint in endpoints:
            endpoint.world = self

    def send(self, service: str, sink: list[Sent]) -> None:
        """Send a new request to a random entry VM.

        :param sink: list to which its record is appended
        """
        keyed = self.random.random() < KEYED_SHARE
        key = self._key() if keyed else ""
        sent = Sent(service, key, self.now)
        sink.append(sent)
        self._send_copy(sent)

    def on_run(self, attempt: tuple[str, int]) -> None:
        """Count a run of the request that an attempt belongs to."""
        self.by_attempt[attempt].runs += 1

    def _key(self) -> str:
        millis = int((START_WALL_S + self.now) * 1000)
        raw = millis << 80 | 7 << 76 | 2 << 62 | self.random.getrandbits(60)
        return str(uuid.UUID(int=raw))

    def _send_copy(self, sent: Sent) -> None:
        vm = self.vms[self.random.choice(list(self.vms))]
        head = request_head.RequestHead(
            req=self._next_req,
            service=sent.service,
            method="POST" if sent.key else "GET",
            idempotent=not sent.key,
            key=sent.key,
            content_digest=b"c",
            body_bytes=100,
            deadline=self.now + TIMEOUT_S,
            wall=START_WALL_S + self.now,
        )
        self._next_req += 1
        self.sent[vm.name, head.req] = sent
        self._perform(vm, vm.requests.handle_request(head, self.now))

    def _tick(self, name: str) -> None:
        vm = self.vms[name]
        self._perform(
            vm,
            vm.requests.on_connectivity_change(
                frozenset(), vm.leased, self.now
            ),
        )
        super()._tick(name)

    def _send(self, vm: virtual.Vm, action: actions.Send) -> None:
        if wire.kind_of(action.msg) in KEY_KINDS:
            self.key_bytes += len(
                wire.encode(virtual.KEY, vm.name, action.msg)
            )
        super()._send(vm, action)

    def _receive(self, vm: virtual.Vm, sender: str, msg: object) -> None:
        if wire.kind_of(msg) in KEY_KINDS:
            self._perform(vm, vm.requests.handle(sender, msg, self.now))
        else:
            super()._receive(vm, sender, msg)

    def _dispatch(self, vm: virtual.Vm, action: actions.Dispatch) -> None:
        attempt_id = (vm.name, action.attempt)
        self.by_attempt[attempt_id] = self.sent[vm.name, action.req]
        super()._dispatch(vm, action)

    def _end_attempt(
        self,
        vm: virtual.Vm,
        action: actions.Dispatch,
        kind: ports.AttemptEnd,
        began: float,
    ) -> None:
        answered = kind is ports.AttemptEnd.ANSWERED
        if answered and self.random.random() < self.broken_share:
            kind = ports.AttemptEnd.LOST
        super()._end_attempt(vm, action, kind, began)

    def _on_answer(
        self, vm: virtual.Vm, action: actions.RequestAnswer
    ) -> None:
        sent = self.sent.pop((vm.name, action.req), None)
        if sent is None:
            return
        took_s = self.now - sent.at
        lost = self.random.random() < ANSWER_LOST_SHARE
        if lost and sent.copies < 2:
            self._resend(sent)
        elif action.outcome is _Outcome.ANSWERED:
            if took_s <= TIMEOUT_S and sent.good_s < 0:
                sent.good_s = took_s
            sent.late = took_s > TIMEOUT_S
        elif action.outcome is _Outcome.NOT_RUN:
            sent.refused_s = took_s
            sent.false_not_run |= bool(sent.key) and sent.runs > 0
        elif sent.key and sent.copies < 2:
            self._resend(sent)

    def _resend(self, sent: Sent) -> None:
        """Let the caller resend its request to a random entry VM."""
        sent.copies += 1
        self.after(RESEND_S, lambda: self._send_copy(sent))


def _service(name: str, address: str) -> view.Service:
    return view.Service(name, address, 80, 6, ("dc-1",))


def _endpoints(
    endpoint_class: type, service: str, count: int, base: int
) -> list:
    return [
        endpoint_class(
            address=f"10.1.{base}.{index}",
            service=service,
            data_centre=f"dc-{index % 4 + 1}",
            slots=SLOTS,
            mean_s=MEAN_REQUEST_S,
        )
        for index in range(count)
    ]


def _arrivals(
    world: RequestWorld,
    service: str,
    rate: float,
    until: float,
    sink: list[Sent],
    rng: random.Random | None = None,
) -> None:
    """Let requests arrive as a Poisson process of `rate` a second."""
    rng = rng or world.random

    def arrive() -> None:
        if world.now >= until:
            return
        world.send(service, sink)
        world.after(rng.expovariate(rate), arrive)

    world.after(rng.expovariate(rate), arrive)


def _total_count(world: RequestWorld, names: tuple[str, ...]) -> int:
    return sum(
        vm.recorder.counts.get(name, 0)
        for vm in world.vms.values()
        for name in names
    )


def _arrival_rng(seed: int, load: float) -> random.Random:
    """Return the generator of arrivals, the same for all dispatchers."""
    return random.Random(f"{seed}/{load}")


def _measure_load(
    world: RequestWorld,
    load: float,
    desk: list[Endpoint],
    seed: int,
) -> dict:
    """Measure a level of load on desk; store stays at half of its capacity."""
    until = world.now + SETTLE_S
    _arrivals(world, "desk", load * CAPACITY_PER_S, until, [])
    _arrivals(world, "store", STORE_RATE_PER_S, until, [])
    world.run(until)
    sink: list[Sent] = []
    store_sink: list[Sent] = []
    end = world.now + MEASURE_S
    retries = _total_count(world, tuple(reasons.Retry))
    busy_s = sum(endpoint.busy_s for endpoint in desk)
    shed = sum(endpoint.sheds for endpoint in desk)
    key_bytes = world.key_bytes
    _arrivals(
        world,
        "desk",
        load * CAPACITY_PER_S,
        end,
        sink,
        _arrival_rng(seed, load),
    )
    _arrivals(world, "store", STORE_RATE_PER_S, end, store_sink)
    world.run(end)
    busy_s = sum(endpoint.busy_s for endpoint in desk) - busy_s
    shed = sum(endpoint.sheds for endpoint in desk) - shed
    retries = _total_count(world, tuple(reasons.Retry)) - retries
    key_bytes = world.key_bytes - key_bytes
    world.run(world.now + 2 * TIMEOUT_S)
    keyed = sum(bool(sent.key) for sent in (*sink, *store_sink)) or 1
    figures = _figures(sink)
    figures.update(
        slot_use=round(busy_s / (ENDPOINTS * SLOTS * MEASURE_S), 4),
        upstream_sheds=shed,
        retries=retries,
        retries_share=round(retries / (len(sink) + len(store_sink)), 4),
        key_bytes_per_keyed_request=round(key_bytes / keyed),
        duplicates=sum(sent.runs > 1 for sent in sink if sent.key),
        false_not_run=sum(sent.false_not_run for sent in sink),
        quiet_service_p99_s=_figures(store_sink)["p99_s"],
    )
    return figures


def _figures(sink: list[Sent]) -> dict:
    """Return the figures of the requests in `sink` as callers saw them."""
    good = histogram.HdrHistogram(1, 60_000_000, 3)
    refused = histogram.HdrHistogram(1, 60_000_000, 3)
    for sent in sink:
        if sent.good_s >= 0:
            good.record_value(int(sent.good_s * 1e6))
        elif sent.refused_s >= 0:
            refused.record_value(int(sent.refused_s * 1e6))
    total = len(sink) or 1
    goodput = good.get_total_count() / MEASURE_S
    return {
        "offered_per_s": round(total / MEASURE_S, 1),
        "goodput_per_s": round(goodput, 1),
        "goodput_share_of_capacity": round(goodput / CAPACITY_PER_S, 4),
        "p50_s": good.get_value_at_percentile(50) / 1e6,
        "p99_s": good.get_value_at_percentile(99) / 1e6,
        "p99.9_s": good.get_value_at_percentile(99.9) / 1e6,
        "not_run": refused.get_total_count(),
        "not_run_p99_s": refused.get_value_at_percentile(99) / 1e6,
        "late": sum(sent.late for sent in sink),
    }


class Selection(Protocol):
    """Policy by which the entry VMs of a baseline select an endpoint."""

    def choose(self, vm: int, tried: set[int]) -> int:
        """Return the index of the endpoint for an entry VM's next attempt."""


class RoundRobin:
    """Round robin, independently at each entry VM."""

    def __init__(self, rng: random.Random) -> None:
        """Start each entry VM at a random endpoint."""
        self._last_index = [rng.randrange(ENDPOINTS) for _ in VMS]

    def choose(self, vm: int, tried: set[int]) -> int:
        """Return the index of the next endpoint in turn."""
        self._last_index[vm] = (self._last_index[vm] + 1) % ENDPOINTS
        return self._last_index[vm]


class RandomOfTwo:
    """Two random choices, by the entry VM's own requests in flight."""

    def __init__(self, rng: random.Random) -> None:
        """Create the counters, without requests in flight."""
        self._random = rng
        self.in_flight = [[0] * ENDPOINTS for _ in VMS]

    def choose(self, vm: int, tried: set[int]) -> int:
        """Return the index of the less busy of two random endpoints."""
        candidates = self._random.sample(range(ENDPOINTS), 2)
        return min(candidates, key=lambda index: self.in_flight[vm][index])


class Baseline:
    """Entry VMs that dispatch at once and retry when refused.

    The choice "perfect" queues instead, with knowledge of all slots.
    """

    def __init__(self, seed: int, choice: str) -> None:
        """Create the baseline at time zero, with warm endpoints."""
        self._seed = seed
        self.random = random.Random(seed)
        self._heap: list = []
        self._sequence = 0
        self.now = 0.0
        self.endpoints = _endpoints(
            virtual_upstream.Endpoint,
            "desk",
            ENDPOINTS,
            1,
        )
        for endpoint in self.endpoints:
            endpoint.completed = endpoint.warm_after
        self._own_load = RandomOfTwo(self.random)
        self._selection: Selection = self._own_load
        if choice == "round_robin":
            self._selection = RoundRobin(self.random)
        self._is_perfect = choice == "perfect"
        self._waiting: list[Sent] = []
        self.retries = 0

    def after(self, delay_s: float, callback) -> None:
        """Schedule a callback."""
        self._sequence += 1
        heapq.heappush(
            self._heap, (self.now + delay_s, self._sequence, callback)
        )

    def measure(self, load: float) -> dict:
        """Return the figures of a level of load."""
        sink: list[Sent] = []
        end = SETTLE_S + MEASURE_S

        rate = load * CAPACITY_PER_S
        self._arrivals(0.0, SETTLE_S, rate, self.random, [])
        self._arrivals(
            SETTLE_S, end, rate, _arrival_rng(self._seed, load), sink
        )
        busy_s = 0.0
        while self._heap and self._heap[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
            if self.now < SETTLE_S:
                busy_s = sum(endpoint.busy_s for endpoint in self.endpoints)
        busy_s = sum(endpoint.busy_s for endpoint in self.endpoints) - busy_s
        while self._heap:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        figures = _figures(sink)
        figures["slot_use"] = round(
            busy_s / (ENDPOINTS * SLOTS * MEASURE_S),
            4,
        )
        figures["upstream_sheds"] = sum(
            endpoint.sheds for endpoint in self.endpoints
        )
        figures["retries"] = self.retries
        return figures

    def _arrivals(
        self,
        begin: float,
        end: float,
        rate: float,
        rng: random.Random,
        sink: list[Sent],
    ) -> None:
        """Let requests arrive as a Poisson process from `begin` to `end`."""

        def arrive() -> None:
            if self.now >= end:
                return
            sent = Sent("desk", "", self.now)
            sink.append(sent)
            self._begin(sent)
            self.after(rng.expovariate(rate), arrive)

        self.after(begin + rng.expovariate(rate), arrive)

    def _begin(self, sent: Sent) -> None:
        if self._is_perfect:
            limit = PERFECT_WAIT_SHARE * TIMEOUT_S * CAPACITY_PER_S
            if len(self._waiting) > limit:
                sent.refused_s = 0.0
                return
            self._waiting.append(sent)
            self._assign_slots()
            return
        self._try(sent, self.random.randrange(len(VMS)), set())

    def _assign_slots(self) -> None:
        """Assign free slots to waiting requests in order of arrival.

        A request that can't end by its deadline is refused.
        """
        for index, endpoint in enumerate(self.endpoints):
            while self._waiting and len(endpoint.running) < endpoint.slots:
                sent = self._waiting.pop(0)
                if self.now - sent.at + MEAN_REQUEST_S > TIMEOUT_S:
                    sent.refused_s = self.now - sent.at
                    continue
                self._run(sent, 0, index, set())

    def _try(self, sent: Sent, vm: int, tried: set[int]) -> None:
        index = self._selection.choose(vm, tried)
        self._own_load.in_flight[vm][index] += 1
        self.after(
            virtual.CROSS_DC_DELAY_S,
            lambda: self._run(sent, vm, index, tried),
        )

    def _run(self, sent: Sent, vm: int, index: int, tried: set) -> None:
        self._sequence += 1
        attempt = self._sequence
        endpoint = self.endpoints[index]
        result, took_s = endpoint.begin(attempt, self.now, self.random)
        if result == "runs":
            self.after(
                took_s,
                lambda: self._on_run_end(sent, vm, index, attempt, took_s),
            )
            return
        self._own_load.in_flight[vm][index] -= 1
        tried = tried | {index}
        if len(tried) < BASELINE_MAX_TRIES:
            self.retries += 1
            self.after(
                virtual.CROSS_DC_DELAY_S, lambda: self._try(sent, vm, tried)
            )
        else:
            sent.refused_s = self.now - sent.at

    def _on_run_end(self, sent, vm, index, attempt, took_s) -> None:
        self.endpoints[index].end(attempt, took_s, self.now)
        self._own_load.in_flight[vm][index] -= 0 if self._is_perfect else 1
        waited_s = self.now - sent.at
        if waited_s <= TIMEOUT_S:
            sent.good_s = waited_s
        else:
            sent.late = True
        if self._is_perfect:
            self._assign_slots()


def run(seed: int, json_only: bool) -> dict:
    """Return the figures by level of load and dispatcher."""
    desk = _endpoints(Endpoint, "desk", ENDPOINTS, 1)
    store = _endpoints(Endpoint, "store", STORE_ENDPOINTS, 2)
    world = RequestWorld(seed, desk + store)
    _arrivals(world, "desk", 0.8 * CAPACITY_PER_S, WARM_UP_S, [])
    _arrivals(world, "store", STORE_RATE_PER_S, WARM_UP_S, [])
    world.run(WARM_UP_S + TIMEOUT_S)
    out: dict = {"capacity_per_s": CAPACITY_PER_S, "loads": {}}
    for load in LOADS:
        level = {"ebonytally": _measure_load(world, load, desk, seed)}
        for choice in ("perfect", "round_robin", "random_of_two"):
            level[choice] = Baseline(seed, choice).measure(load)
        out["loads"][str(load)] = level
        if not json_only:
            _print_figures(load, level)
    world.broken_share = BROKEN_SHARE
    broken = {"ebonytally": _measure_load(world, BROKEN_LOAD, desk, seed)}
    out["with_broken_connections"] = broken["ebonytally"]
    if not json_only:
        print("half a percent of connections break after the run:")
        _print_figures(BROKEN_LOAD, broken)
    out["most_in_flight"] = max(
        endpoint.max_running for endpoint in desk + store
    )
    out["duplicates"] = _total_of_loads(out, "duplicates")
    out["false_not_run"] = _total_of_loads(out, "false_not_run")
    return out


def _total_of_loads(out: dict, name: str) -> int:
    levels = [level["ebonytally"] for level in out["loads"].values()]
    return sum(
        level[name] for level in (*levels, out["with_broken_connections"])
    )


def _print_figures(load: float, level: dict) -> None:
    print(f"load {load}")
    for choice, figures in level.items():
        text = "  ".join(f"{name} {figures[name]}" for name in PRINTED_FIGURES)
        print(f"  {choice:14} {text}")
