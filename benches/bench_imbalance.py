"""Most-loaded over mean of the warm upstreams, in open flows."""

import random
import time

from benches import bench_flows
from ebonytally import view
from tests import flow_bed

LIFETIME_S = 3.0
LIFETIMES_TO_SETTLE = 3
CHANGES = 20
CHANGE_EVERY_S = 1.0
LIMIT = 2000
FLOWS = 5600
CALLS_EVERY_S = 0.2


class Load:
    """Keeps a number of flows open; they live exponentially long."""

    def __init__(
        self, one: flow_bed.Bed, service: view.Service, flows: int, seed: int
    ) -> None:
        """Take the bed and the wanted number of open flows."""
        self._bed = one
        self._service = service
        self._wanted = flows
        self._random = random.Random(seed)

    def run(self, seconds: float) -> None:
        """Let time pass while flows come and go."""
        end = self._bed.now + seconds
        while self._bed.now < end - 1e-9:
            lacking = self._wanted - len(self._bed.open())
            for caller in self._bed.call(self._service, max(0, lacking)):
                lives = self._random.expovariate(1 / LIFETIME_S)
                caller.ends_at = self._bed.now + lives
            self._bed.run(CALLS_EVERY_S)
            self._bed.callers = [
                caller for caller in self._bed.callers if not caller.over
            ]


def _imbalance(one: flow_bed.Bed) -> float:
    warm = [
        one.ids[up.id]
        for up in one.log.upstreams
        if up.share == 1000
        and up.state is view.UpstreamState.UP
        and up.data_centre not in one.log.out
    ]
    loads = [len(process.flows) / process.limit for process in warm]
    return max(loads) * len(loads) / sum(loads)


def _change(one: flow_bed.Bed, rng: random.Random, number: int) -> None:
    live = [
        up for up in one.log.upstreams if up.state is view.UpstreamState.UP
    ]
    kind = number % 4
    if kind == 0:
        one.join("s", f"10.4.0.{number}", rng.choice("abcd"), LIMIT, share=300)
    elif kind == 1:
        one.mark(rng.choice(live).id, bench_flows.DRAINING)
    elif kind == 2:
        one.mark(rng.choice(live).id, share=500)
    else:
        for up in live:
            if up.share < 1000:
                one.mark(up.id, share=1000)


def _measure(size, design: str, flows: int, seed: int) -> dict:
    rng = random.Random(seed)
    one = bench_flows.bed(size, design, seed)
    load = Load(one, size.service, flows, seed)
    settle = LIFETIMES_TO_SETTLE * LIFETIME_S
    load.run(settle)
    found = {"steady": _imbalance(one)}
    one.join("s", "10.4.1.1", "a", LIMIT)
    load.run(settle)
    found["after_join"] = _imbalance(one)
    one.mark(1, bench_flows.DRAINING)
    load.run(settle)
    found["after_drain"] = _imbalance(one)
    for number in range(CHANGES):
        _change(one, rng, number)
        load.run(CHANGE_EVERY_S)
    for up in one.log.upstreams:
        if up.state is view.UpstreamState.UP and up.share < 1000:
            one.mark(up.id, share=1000)
    load.run(settle)
    found["after_20_changes"] = _imbalance(one)
    result = {f"imbalance_{name}": round(f, 3) for name, f in found.items()}
    most = max(len(process.flows) for process in one.ids.values())
    result["most_open_flows"] = most
    result["limit_passed"] = sum(kind == "limit" for kind, *_ in one.faults)
    return result


def run(seed: int, json_only: bool) -> dict:
    """Return imbalance by size, situation and design."""
    figures: dict = {}
    began = time.monotonic()
    today = bench_flows.SIZES[0]
    plan = [(today, design, FLOWS) for design in bench_flows.DESIGNS]
    for size, design, flows in plan:
        found = _measure(size, design, flows, seed)
        for name, figure in found.items():
            key = f"{size.name}_{design}_{name}"
            figures[key] = figure
            if not json_only:
                print(f"{key:48} {figure}")
    figures["took_s"] = round(time.monotonic() - began, 1)
    return figures
