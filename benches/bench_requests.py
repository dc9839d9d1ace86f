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
BREAK_LOAD = 0.5
WARM_S = 12.0
SETTLE_S = 2.0
MEASURE_S = 5.0
MEAN_S = 0.05
ENDPOINTS = 7
SLOTS = 2
CAPACITY = ENDPOINTS * SLOTS / MEAN_S
QUIET_ENDPOINTS = 4
QUIET_RATE = 0.5 * QUIET_ENDPOINTS * SLOTS / MEAN_S
TIMEOUT_S = 1.0
KEYED_SHARE = 0.3
ANSWER_LOST_SHARE = 0.005
BREAK_SHARE = 0.005
RESEND_S = 0.2
BASELINE_TRIES = 3
PERFECT_WAIT_SHARE = 0.4
WALL = 1.7e9
KEY_KINDS = range(300, 400)
VMS = [
    ("vm-1", "dc-1"),
    ("vm-2", "dc-2"),
    ("vm-3", "dc-3"),
    ("vm-4", "dc-4"),
    ("vm-5", "dc-1"),
]
SHOWN = (
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
    """One request with all its copies.

    :param key: idempotency key, "" for an idempotent request
    :param runs: how often an upstream started it
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
    """An endpoint that notes each run with its request."""

    world: "Caller"

    def begin(
        self,
        attempt: tuple[str, int],
        now: float,
        rng: random.Random,
    ) -> tuple[str, float]:
        """Start a request."""
        what, took_s = super().begin(attempt, now, rng)
        if what == "runs":
            self.world.ran(attempt)
        return what, took_s


class Caller(virtual.World):
    """Entry VMs under callers that count what becomes of each request."""

    def __init__(self, seed: int, endpoints: list[Endpoint]) -> None:
        """Start at time zero, with cold endpoints."""
        services = [
            _service("desk", "10.0.0.1"),
            _service("store", "10.0.0.2"),
        ]
        self.sent: dict[tuple[str, int], Sent] = {}
        self.by_attempt: dict[tuple[str, int], Sent] = {}
        self.key_bytes = 0
        self.break_share = 0.0
        super().__init__(seed, VMS, services, endpoints)
        for one in endpoints:
            one.world = self

    def send(self, service: str, sink: list[Sent]) -> None:
        """Send one request by way of any entry VM."""
        keyed = self.random.random() < KEYED_SHARE
        key = self._key() if keyed else ""
        sent = Sent(service, key, self.now)
        sink.append(sent)
        self._copy(sent)

    def ran(self, attempt: tuple[str, int]) -> None:
        """Count a run."""
        self.by_attempt[attempt].runs += 1

    def _key(self) -> str:
        millis = int((WALL + self.now) * 1000)
        raw = millis << 80 | 7 << 76 | 2 << 62 | self.random.getrandbits(60)
        return str(uuid.UUID(int=raw))

    def _copy(self, sent: Sent) -> None:
        vm = self.vms[self.random.choice(list(self.vms))]
        head = request_head.RequestHead(
            req=self._next,
            service=sent.service,
            method="POST" if sent.key else "GET",
            idempotent=not sent.key,
            key=sent.key,
            content=b"c",
            body_bytes=100,
            deadline=self.now + TIMEOUT_S,
            wall=WALL + self.now,
        )
        self._next += 1
        self.sent[vm.name, head.req] = sent
        self._do(vm, vm.requests.request(head, self.now))

    def _tick(self, name: str) -> None:
        vm = self.vms[name]
        self._do(vm, vm.requests.reach(frozenset(), vm.leased, self.now))
        super()._tick(name)

    def _send(self, vm: virtual.Vm, act: actions.Send) -> None:
        if wire.kind_of(act.msg) in KEY_KINDS:
            self.key_bytes += len(wire.encode(virtual.KEY, vm.name, act.msg))
        super()._send(vm, act)

    def _receive(self, vm: virtual.Vm, sender: str, msg: object) -> None:
        if wire.kind_of(msg) in KEY_KINDS:
            self._do(vm, vm.requests.handle(sender, msg, self.now))
        else:
            super()._receive(vm, sender, msg)

    def _dispatch(self, vm: virtual.Vm, act: actions.Dispatch) -> None:
        number = (vm.name, act.attempt)
        self.by_attempt[number] = self.sent[vm.name, act.req]
        super()._dispatch(vm, act)

    def _end(
        self,
        vm: virtual.Vm,
        act: actions.Dispatch,
        kind: ports.AttemptKind,
        began: float,
    ) -> None:
        answered = kind is ports.AttemptKind.ANSWERED
        if answered and self.random.random() < self.break_share:
            kind = ports.AttemptKind.LOST
        super()._end(vm, act, kind, began)

    def _answered(self, vm: virtual.Vm, act: actions.Answer) -> None:
        sent = self.sent.pop((vm.name, act.req), None)
        if sent is None:
            return
        took_s = self.now - sent.at
        lost = self.random.random() < ANSWER_LOST_SHARE
        if lost and sent.copies < 2:
            self._again(sent)
        elif act.outcome is _Outcome.ANSWERED:
            if took_s <= TIMEOUT_S and sent.good_s < 0:
                sent.good_s = took_s
            sent.late = took_s > TIMEOUT_S
        elif act.outcome is _Outcome.NOT_RUN:
            sent.refused_s = took_s
            sent.false_not_run |= bool(sent.key) and sent.runs > 0
        elif sent.key and sent.copies < 2:
            self._again(sent)

    def _again(self, sent: Sent) -> None:
        """Let the caller send its request again, by way of any VM."""
        sent.copies += 1
        self.after(RESEND_S, lambda: self._copy(sent))


def _service(name: str, address: str) -> view.Service:
    return view.Service(name, address, 80, 6, ("dc-1",))


def _endpoints(kind: type, service: str, count: int, base: int) -> list:
    return [
        kind(
            address=f"10.1.{base}.{number}",
            service=service,
            data_centre=f"dc-{number % 4 + 1}",
            slots=SLOTS,
            mean_s=MEAN_S,
        )
        for number in range(count)
    ]


def _arrivals(
    world: Caller,
    service: str,
    rate: float,
    until: float,
    sink: list[Sent],
    rng: random.Random | None = None,
) -> None:
    """Let requests arrive at random times, `rate` a second."""
    rng = rng or world.random

    def arrive() -> None:
        if world.now >= until:
            return
        world.send(service, sink)
        world.after(rng.expovariate(rate), arrive)

    world.after(rng.expovariate(rate), arrive)


def _counts(world: Caller, names: tuple[str, ...]) -> int:
    return sum(
        vm.recorder.counts.get(name, 0)
        for vm in world.vms.values()
        for name in names
    )


def _times(seed: int, load: float) -> random.Random:
    """Return what draws the arrivals of a level, for all dispatchers."""
    return random.Random(f"{seed}/{load}")


def _level(
    world: Caller,
    load: float,
    desk: list[Endpoint],
    seed: int,
) -> dict:
    """Measure one level of load on the desk; the store stays quiet."""
    until = world.now + SETTLE_S
    _arrivals(world, "desk", load * CAPACITY, until, [])
    _arrivals(world, "store", QUIET_RATE, until, [])
    world.run(until)
    sink: list[Sent] = []
    quiet: list[Sent] = []
    end = world.now + MEASURE_S
    retries = _counts(world, tuple(reasons.Retry))
    work_s = sum(one.work_s for one in desk)
    shed = sum(one.shed for one in desk)
    key_bytes = world.key_bytes
    _arrivals(world, "desk", load * CAPACITY, end, sink, _times(seed, load))
    _arrivals(world, "store", QUIET_RATE, end, quiet)
    world.run(end)
    work_s = sum(one.work_s for one in desk) - work_s
    shed = sum(one.shed for one in desk) - shed
    retries = _counts(world, tuple(reasons.Retry)) - retries
    key_bytes = world.key_bytes - key_bytes
    world.run(world.now + 2 * TIMEOUT_S)
    keyed = sum(bool(one.key) for one in (*sink, *quiet)) or 1
    figures = _figures(sink)
    figures.update(
        slot_use=round(work_s / (ENDPOINTS * SLOTS * MEASURE_S), 4),
        upstream_sheds=shed,
        retries=retries,
        retries_share=round(retries / (len(sink) + len(quiet)), 4),
        key_bytes_per_keyed_request=round(key_bytes / keyed),
        duplicates=sum(one.runs > 1 for one in sink if one.key),
        false_not_run=sum(one.false_not_run for one in sink),
        quiet_service_p99_s=_figures(quiet)["p99_s"],
    )
    return figures


def _figures(sink: list[Sent]) -> dict:
    """Return what callers saw of the requests in `sink`."""
    good = histogram.HdrHistogram(1, 60_000_000, 3)
    refused = histogram.HdrHistogram(1, 60_000_000, 3)
    for one in sink:
        if one.good_s >= 0:
            good.record_value(int(one.good_s * 1e6))
        elif one.refused_s >= 0:
            refused.record_value(int(one.refused_s * 1e6))
    total = len(sink) or 1
    goodput = good.get_total_count() / MEASURE_S
    return {
        "offered_per_s": round(total / MEASURE_S, 1),
        "goodput_per_s": round(goodput, 1),
        "goodput_share_of_capacity": round(goodput / CAPACITY, 4),
        "p50_s": good.get_value_at_percentile(50) / 1e6,
        "p99_s": good.get_value_at_percentile(99) / 1e6,
        "p99.9_s": good.get_value_at_percentile(99.9) / 1e6,
        "not_run": refused.get_total_count(),
        "not_run_p99_s": refused.get_value_at_percentile(99) / 1e6,
        "late": sum(one.late for one in sink),
    }


class Choice(Protocol):
    """How a baseline's entry VM chooses an endpoint."""

    def choose(self, vm: int, tried: set[int]) -> int:
        """Return the number of an endpoint."""


class RoundRobin:
    """Each entry VM takes its endpoints in turn."""

    def __init__(self, rng: random.Random) -> None:
        """Start each entry VM somewhere."""
        self._turn = [rng.randrange(ENDPOINTS) for _ in VMS]

    def choose(self, vm: int, tried: set[int]) -> int:
        """Return the endpoint whose turn it is."""
        self._turn[vm] = (self._turn[vm] + 1) % ENDPOINTS
        return self._turn[vm]


class RandomOfTwo:
    """Each entry VM takes the one of two that it uses less itself."""

    def __init__(self, rng: random.Random) -> None:
        """Start without requests."""
        self._random = rng
        self.busy = [[0] * ENDPOINTS for _ in VMS]

    def choose(self, vm: int, tried: set[int]) -> int:
        """Return the less used of two random endpoints."""
        two = self._random.sample(range(ENDPOINTS), 2)
        return min(two, key=lambda number: self.busy[vm][number])


class Baseline:
    """Entry VMs that dispatch at once and try again when refused."""

    def __init__(self, seed: int, choice: str) -> None:
        """Start with warm endpoints."""
        self._seed = seed
        self.random = random.Random(seed)
        self._heap: list = []
        self._order = 0
        self.now = 0.0
        self.endpoints = _endpoints(
            virtual_upstream.Endpoint,
            "desk",
            ENDPOINTS,
            1,
        )
        for one in self.endpoints:
            one.done = one.warm_after
        self._two = RandomOfTwo(self.random)
        self._choice: Choice = self._two
        if choice == "round_robin":
            self._choice = RoundRobin(self.random)
        self._perfect = choice == "perfect"
        self._waiting: list[Sent] = []
        self.retries = 0

    def after(self, delay_s: float, run) -> None:
        """Run something later."""
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay_s, self._order, run))

    def level(self, load: float) -> dict:
        """Measure one level of load."""
        sink: list[Sent] = []
        end = SETTLE_S + MEASURE_S

        rate = load * CAPACITY
        self._arrivals(0.0, SETTLE_S, rate, self.random, [])
        self._arrivals(SETTLE_S, end, rate, _times(self._seed, load), sink)
        work_s = 0.0
        while self._heap and self._heap[0][0] <= end:
            self.now, _, run = heapq.heappop(self._heap)
            run()
            if self.now < SETTLE_S:
                work_s = sum(one.work_s for one in self.endpoints)
        work_s = sum(one.work_s for one in self.endpoints) - work_s
        while self._heap:
            self.now, _, run = heapq.heappop(self._heap)
            run()
        figures = _figures(sink)
        figures["slot_use"] = round(
            work_s / (ENDPOINTS * SLOTS * MEASURE_S),
            4,
        )
        figures["upstream_sheds"] = sum(one.shed for one in self.endpoints)
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
        """Let requests arrive from `begin` to `end`."""

        def arrive() -> None:
            if self.now >= end:
                return
            sent = Sent("desk", "", self.now)
            sink.append(sent)
            self._begin(sent)
            self.after(rng.expovariate(rate), arrive)

        self.after(begin + rng.expovariate(rate), arrive)

    def _begin(self, sent: Sent) -> None:
        if self._perfect:
            limit = PERFECT_WAIT_SHARE * TIMEOUT_S * CAPACITY
            if len(self._waiting) > limit:
                sent.refused_s = 0.0
                return
            self._waiting.append(sent)
            self._pump()
            return
        self._try(sent, self.random.randrange(len(VMS)), set())

    def _pump(self) -> None:
        """Give each free slot to the first request that can be done."""
        for number, one in enumerate(self.endpoints):
            while self._waiting and len(one.running) < one.slots:
                sent = self._waiting.pop(0)
                if self.now - sent.at + MEAN_S > TIMEOUT_S:
                    sent.refused_s = self.now - sent.at
                    continue
                self._run(sent, 0, number, set())

    def _try(self, sent: Sent, vm: int, tried: set[int]) -> None:
        number = self._choice.choose(vm, tried)
        self._two.busy[vm][number] += 1
        self.after(
            virtual.FAR_S,
            lambda: self._run(sent, vm, number, tried),
        )

    def _run(self, sent: Sent, vm: int, number: int, tried: set) -> None:
        self._order += 1
        attempt = self._order
        one = self.endpoints[number]
        what, took_s = one.begin(attempt, self.now, self.random)
        if what == "runs":
            self.after(
                took_s,
                lambda: self._done(sent, vm, number, attempt, took_s),
            )
            return
        self._two.busy[vm][number] -= 1
        tried = tried | {number}
        if len(tried) < BASELINE_TRIES:
            self.retries += 1
            self.after(virtual.FAR_S, lambda: self._try(sent, vm, tried))
        else:
            sent.refused_s = self.now - sent.at

    def _done(self, sent, vm, number, attempt, took_s) -> None:
        self.endpoints[number].end(attempt, took_s, self.now)
        self._two.busy[vm][number] -= 0 if self._perfect else 1
        waited_s = self.now - sent.at
        if waited_s <= TIMEOUT_S:
            sent.good_s = waited_s
        else:
            sent.late = True
        if self._perfect:
            self._pump()


def run(seed: int, json_only: bool) -> dict:
    """Measure all levels of load; figures by load and dispatcher."""
    desk = _endpoints(Endpoint, "desk", ENDPOINTS, 1)
    store = _endpoints(Endpoint, "store", QUIET_ENDPOINTS, 2)
    world = Caller(seed, desk + store)
    _arrivals(world, "desk", 0.8 * CAPACITY, WARM_S, [])
    _arrivals(world, "store", QUIET_RATE, WARM_S, [])
    world.run(WARM_S + TIMEOUT_S)
    out: dict = {"capacity_per_s": CAPACITY, "loads": {}}
    for load in LOADS:
        level = {"ebonytally": _level(world, load, desk, seed)}
        for choice in ("perfect", "round_robin", "random_of_two"):
            level[choice] = Baseline(seed, choice).level(load)
        out["loads"][str(load)] = level
        if not json_only:
            _show(load, level)
    world.break_share = BREAK_SHARE
    broken = {"ebonytally": _level(world, BREAK_LOAD, desk, seed)}
    out["with_broken_connections"] = broken["ebonytally"]
    if not json_only:
        print("half a percent of connections break after the run:")
        _show(BREAK_LOAD, broken)
    out["most_in_flight"] = max(one.most for one in desk + store)
    out["duplicates"] = _total(out, "duplicates")
    out["false_not_run"] = _total(out, "false_not_run")
    return out


def _total(out: dict, name: str) -> int:
    levels = [level["ebonytally"] for level in out["loads"].values()]
    return sum(one[name] for one in (*levels, out["with_broken_connections"]))


def _show(load: float, level: dict) -> None:
    print(f"load {load}")
    for choice, figures in level.items():
        text = "  ".join(f"{name} {figures[name]}" for name in SHOWN)
        print(f"  {choice:14} {text}")
