"""Upstream selection for new flows by cookie, against three baselines.

Five entry VMs forward to seven upstreams of two slots each, in four data
centres. The traffic is long flows with pauses and one flow per request,
below and near full load, also with an upstream that is unreachable for a
while. The product decides on packets, as in a daemon; the baselines get
the same traffic. The processor time of an opening packet is measured for
fleets of several sizes.
"""

from collections.abc import Callable
import heapq
import random

import attrs

from benches import placing_cost
from ebonytally.echo import cookies
from tests import echo_harness

ENTRY_DATA_CENTRES = ("a", "a", "b", "c", "d")
UPSTREAM_DATA_CENTRES = ("a", "a", "b", "b", "c", "c", "d")
SLOTS = 2
MAX_QUEUE = 8
MEAN_WORK_S = 0.033
LONG_SHARE = 0.75
LONG_FLOWS = 280
ONE_WAY_DELAY_S = 0.004
RETRANSMIT_AFTER_S = 0.2
LATENCY_TARGET_S = 0.15
DURATION_S = 30.0
TICK_S = 0.02
UNREACHABLE_FROM_S = 10.0
UNREACHABLE_UNTIL_S = 16.0
LOADS = (0.43, 0.7, 0.9)


@attrs.define
class Upstream:
    """An upstream with request slots and a bounded queue."""

    is_unreachable: bool = False
    busy: int = 0
    queue: list = attrs.field(factory=list)
    served: int = 0


@attrs.define
class Results:
    """Latencies in seconds and failures, as callers see them."""

    latencies: list[float] = attrs.field(factory=list)
    refused: int = 0
    lost: int = 0


class Product:
    """The product's entry VMs, driven by packets."""

    def __init__(self, seed: int) -> None:
        """Create entry VMs that know all upstreams."""
        self._control = echo_harness.ControlVm("c1")
        self._control.apply_configuration(2)
        for number, data_centre in enumerate(UPSTREAM_DATA_CENTRES):
            announcement = echo_harness.announcement(
                number + 1, data_centre=data_centre
            )
            self._control.registry.on_announcement(announcement, 0.0)
        self._entries = [
            echo_harness.EntryVm(
                f"e{n}", [self._control], seed + n, data_centre
            )
            for n, data_centre in enumerate(ENTRY_DATA_CENTRES)
        ]
        for entry in self._entries:
            entry.run(1.0)

    def open(self, entry: int, flow: int, now: float) -> int | None:
        """Return the upstream for an opening packet, None if refused."""
        return self._send_packet(entry, flow, now, is_opening=True)

    def tick(self, now: float) -> list[tuple[int, int]]:
        """Return retries of flows, as pairs of flow and new upstream."""
        retries = []
        for entry in self._entries:
            entry.now = 1.0 + now
            entry.capacity.tick(entry.now)
            for out in entry.forwarder.tick(entry.now):
                flow = int.from_bytes(out.packet.key[:6], "big")
                retries.append((flow, int(out.id[2:], 16) - 1))
        return retries

    def on_request(
        self, entry: int, flow: int, upstream_id: int, now: float
    ) -> None:
        """Send a request's packet on an open flow."""
        self._send_on_flow(entry, flow, upstream_id, now, size=100)

    def on_answer(
        self, entry: int, flow: int, upstream_id: int, now: float
    ) -> None:
        """Send the caller's acknowledgement of an answer."""
        self._send_on_flow(
            entry, flow, upstream_id, now, ack=int(now * 1000) + 1
        )

    def on_close(
        self, entry: int, flow: int, upstream_id: int, now: float
    ) -> None:
        """Send the packet that ends a flow."""
        self._send_on_flow(entry, flow, upstream_id, now, is_end=True)

    def _send_packet(
        self, entry: int, flow: int, now: float, **fields
    ) -> int | None:
        vm = self._entries[entry]
        vm.now = 1.0 + now
        out = vm.packet(flow, **fields)
        if not out or not hasattr(out[0], "id"):
            return None
        return int(out[0].id[2:], 16) - 1

    def _send_on_flow(
        self, entry: int, flow: int, upstream_id: int, now, **fields
    ) -> None:
        record = self._control.registry.get(f"i-{upstream_id + 1:08x}").record
        cookie = cookies.cookie_of(record)
        self._send_packet(entry, flow, now, cookie=cookie, **fields)


class Baseline:
    """Selects by an entry VM's own flows or by the state of upstreams."""

    def __init__(self, choose: Callable, seed: int) -> None:
        """Create a baseline without flows.

        :param choose: returns an upstream from a random generator, the
            entry VM's flows and the outstanding requests by upstream
        """
        self._choose = choose
        self._rng = random.Random(seed)
        self.flows = [
            [0] * len(UPSTREAM_DATA_CENTRES) for _ in ENTRY_DATA_CENTRES
        ]
        self.busy: Callable[[], list[int]] = list

    def open(self, entry: int, flow: int, now: float) -> int | None:
        """Return the upstream for an opening packet and count the flow."""
        upstream_id = self._choose(self._rng, self.flows[entry], self.busy())
        self.flows[entry][upstream_id] += 1
        return upstream_id

    def tick(self, now: float) -> list[tuple[int, int]]:
        """Return no retries: only callers retransmit."""
        return []

    def on_request(
        self, entry: int, flow: int, upstream_id: int, now: float
    ) -> None:
        """Ignore a request: only flows are counted."""

    def on_answer(
        self, entry: int, flow: int, upstream_id: int, now: float
    ) -> None:
        """Ignore an answer: only flows are counted."""

    def on_close(
        self, entry: int, flow: int, upstream_id: int, now: float
    ) -> None:
        """Count a flow as ended."""
        self.flows[entry][upstream_id] -= 1


def _choose_random(
    rng: random.Random, flows: list[int], busy: list[int]
) -> int:
    return rng.randrange(len(flows))


def _choose_of_two(
    rng: random.Random, flows: list[int], busy: list[int]
) -> int:
    return min(
        rng.sample(range(len(flows)), 2),
        key=lambda upstream_id: flows[upstream_id],
    )


def _choose_least_busy(
    rng: random.Random, flows: list[int], busy: list[int]
) -> int:
    return min(
        range(len(busy)),
        key=lambda upstream_id: (busy[upstream_id], rng.random()),
    )


class Simulation:
    """A policy under a level of load, in virtual time."""

    def __init__(
        self, policy, load: float, unreachable: bool, seed: int
    ) -> None:
        """Create the upstreams and the state at time zero.

        :param load: mean rate as a share of the capacity of all upstreams
        :param unreachable: one upstream is unreachable for a while
        """
        self._policy = policy
        self._rng = random.Random(seed)
        self._upstreams = [Upstream() for _ in UPSTREAM_DATA_CENTRES]
        if isinstance(policy, Baseline):
            policy.busy = lambda: [
                upstream.busy + len(upstream.queue)
                for upstream in self._upstreams
            ]
        self._requests_per_s = (
            load * SLOTS * len(self._upstreams) / MEAN_WORK_S
        )
        self._events: list = []
        self._sequence = 0
        self._opening_flows: dict[int, tuple] = {}
        self.results = Results()
        self._with_unreachable = unreachable

    def run(self) -> Results:
        """Run the simulation and return its results."""
        pause_s = LONG_FLOWS / (LONG_SHARE * self._requests_per_s)
        for _ in range(LONG_FLOWS):
            self._schedule(
                self._rng.random() * pause_s, self._open_flow, pause_s
            )
        self._schedule(0.0, self._on_short_flow_arrival)
        self._schedule(0.0, self._tick)
        if self._with_unreachable:
            self._schedule(UNREACHABLE_FROM_S, self._set_unreachable, True)
            self._schedule(UNREACHABLE_UNTIL_S, self._set_unreachable, False)
        while self._events:
            now, _, callback, args = heapq.heappop(self._events)
            if now > DURATION_S:
                break
            callback(now, *args)
        return self.results

    def _schedule(self, at: float, callback: Callable, *args) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, callback, args))

    def _set_unreachable(self, now: float, unreachable: bool) -> None:
        self._upstreams[0].is_unreachable = unreachable

    def _on_short_flow_arrival(self, now: float) -> None:
        gap = self._rng.expovariate((1 - LONG_SHARE) * self._requests_per_s)
        self._schedule(now + gap, self._on_short_flow_arrival)
        self._open_flow(now, None)

    def _open_flow(self, now: float, pause_s: float | None) -> None:
        self._sequence += 1
        flow = self._sequence
        entry = self._rng.randrange(len(ENTRY_DATA_CENTRES))
        self._opening_flows[flow] = (entry, pause_s, now)
        self._on_opening_forwarded(
            now, flow, self._policy.open(entry, flow, now), 0
        )

    def _on_opening_forwarded(
        self, now: float, flow: int, upstream_id: int | None, copies: int
    ) -> None:
        if flow not in self._opening_flows:
            return
        entry, pause_s, began = self._opening_flows[flow]
        if upstream_id is None:
            self.results.refused += 1
            del self._opening_flows[flow]
        elif not self._upstreams[upstream_id].is_unreachable:
            del self._opening_flows[flow]
            args = (flow, entry, upstream_id, pause_s, began)
            self._schedule(now + 2 * ONE_WAY_DELAY_S, self._on_request, *args)
        elif copies < 2:
            self._schedule(
                now + RETRANSMIT_AFTER_S,
                self._retransmit,
                flow,
                entry,
                copies + 1,
            )
        else:
            self.results.lost += 1
            del self._opening_flows[flow]

    def _retransmit(
        self, now: float, flow: int, entry: int, copies: int
    ) -> None:
        if flow in self._opening_flows:
            upstream_id = self._policy.open(entry, flow, now)
            if upstream_id is not None:
                self._on_opening_forwarded(now, flow, upstream_id, copies)

    def _tick(self, now: float) -> None:
        self._schedule(now + TICK_S, self._tick)
        for flow, upstream_id in self._policy.tick(now):
            self._on_opening_forwarded(now, flow, upstream_id, 2)

    def _on_request(
        self, now, flow, entry, upstream_id, pause_s, began
    ) -> None:
        self._policy.on_request(entry, flow, upstream_id, now)
        upstream = self._upstreams[upstream_id]
        job = (flow, entry, upstream_id, pause_s, began)
        if upstream.busy < SLOTS:
            upstream.busy += 1
            self._start_work(now, job)
        elif len(upstream.queue) < MAX_QUEUE:
            upstream.queue.append(job)
        else:
            self.results.refused += 1
            self._on_request_end(now, job)

    def _start_work(self, now: float, job: tuple) -> None:
        took_s = self._rng.expovariate(1 / MEAN_WORK_S)
        self._schedule(now + took_s, self._on_work_end, job)

    def _on_work_end(self, now: float, job: tuple) -> None:
        upstream = self._upstreams[job[2]]
        upstream.served += 1
        self.results.latencies.append(now + ONE_WAY_DELAY_S - job[4])
        if upstream.queue:
            self._start_work(now, upstream.queue.pop(0))
        else:
            upstream.busy -= 1
        self._on_request_end(now, job)

    def _on_request_end(self, now: float, job: tuple) -> None:
        flow, entry, upstream_id, pause_s, _ = job
        self._policy.on_answer(entry, flow, upstream_id, now)
        if pause_s is None:
            self._policy.on_close(entry, flow, upstream_id, now)
            return
        # A long flow keeps its upstream until that is unreachable.
        next_at = now + self._rng.expovariate(1 / pause_s)
        self._schedule(
            next_at, self._on_pause_end, flow, entry, upstream_id, pause_s
        )

    def _on_pause_end(self, now, flow, entry, upstream_id, pause_s) -> None:
        if self._upstreams[upstream_id].is_unreachable:
            self._policy.on_close(entry, flow, upstream_id, now)
            self._open_flow(now, pause_s)
            return
        self._on_request(now, flow, entry, upstream_id, pause_s, now)

    def imbalance(self) -> float:
        """Return the most answers of an upstream over the mean."""
        served = [upstream.served for upstream in self._upstreams]
        return max(served) * len(served) / sum(served)


def run(seed: int, json_only: bool) -> dict:
    """Return the figures by level of load and policy."""
    figures: dict = {}
    for load in LOADS:
        for unreachable in (False, True):
            key = f"load_{load}" + ("_dark" if unreachable else "")
            figures[key] = {}
            for name, make_policy in POLICIES.items():
                simulation = Simulation(
                    make_policy(seed), load, unreachable, seed
                )
                figures[key][name] = summary(simulation.run(), simulation)
                if not json_only:
                    print(f"{key:16} {name:12} {figures[key][name]}")
    for upstreams in placing_cost.UPSTREAMS:
        key = f"upstreams_{upstreams}"
        figures[key] = placing_cost.measure(upstreams)
        if not json_only:
            print(f"{key:16} {figures[key]}")
    return figures


POLICIES = {
    "product": Product,
    "random": lambda seed: Baseline(_choose_random, seed),
    "two_choices": lambda seed: Baseline(_choose_of_two, seed),
    "all_knowing": lambda seed: Baseline(_choose_least_busy, seed),
}


def summary(results: Results, simulation: Simulation) -> dict:
    """Return shares of all requests, p99 latency and imbalance."""
    latencies = sorted(results.latencies)
    total = len(latencies) + results.refused + results.lost
    in_target = sum(latency <= LATENCY_TARGET_S for latency in latencies)
    return {
        "in_aim_share": round(in_target / total, 4),
        "late_share": round((len(latencies) - in_target) / total, 4),
        "refused_share": round(results.refused / total, 4),
        "lost_share": round(results.lost / total, 4),
        "p99_s": round(latencies[int(0.99 * len(latencies))], 3),
        "imbalance": round(simulation.imbalance(), 3),
    }
