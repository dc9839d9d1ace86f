"""Load imbalance of warm upstreams: most open flows over the mean."""

import random
import time

from benches import bench_flows
from ebonytally import view
from tests import flow_harness

LIFETIME_S = 3.0
LIFETIMES_TO_SETTLE = 3
CHANGES = 20
CHANGE_INTERVAL_S = 1.0
FLOW_LIMIT = 2000
OPEN_FLOWS = 5600
OPEN_INTERVAL_S = 0.2


class SteadyLoad:
    """Keeps a number of flows open, with exponential lifetimes."""

    def __init__(
        self,
        harness: flow_harness.FlowHarness,
        service: view.Service,
        flows: int,
        seed: int,
    ) -> None:
        """Create a load without flows.

        :param flows: how many flows to keep open
        """
        self._harness = harness
        self._service = service
        self._target_flows = flows
        self._random = random.Random(seed)

    def run(self, seconds: float) -> None:
        """Advance the clock, replacing the flows that end."""
        end = self._harness.now + seconds
        while self._harness.now < end - 1e-9:
            missing = self._target_flows - len(self._harness.open())
            for caller in self._harness.open_flows(
                self._service, max(0, missing)
            ):
                lifetime_s = self._random.expovariate(1 / LIFETIME_S)
                caller.ends_at = self._harness.now + lifetime_s
            self._harness.run(OPEN_INTERVAL_S)
            self._harness.callers = [
                caller
                for caller in self._harness.callers
                if not caller.is_over
            ]


def _imbalance(harness: flow_harness.FlowHarness) -> float:
    warm = [
        harness.ids[up.id]
        for up in harness.log.upstreams
        if up.share == 1000
        and up.state is view.UpstreamState.UP
        and up.data_centre not in harness.log.out
    ]
    loads = [len(process.flows) / process.limit for process in warm]
    return max(loads) * len(loads) / sum(loads)


def _apply_change(
    harness: flow_harness.FlowHarness, rng: random.Random, number: int
) -> None:
    live = [
        up for up in harness.log.upstreams if up.state is view.UpstreamState.UP
    ]
    kind = number % 4
    if kind == 0:
        harness.add_upstream(
            "s", f"10.4.0.{number}", rng.choice("abcd"), FLOW_LIMIT, share=300
        )
    elif kind == 1:
        harness.update_upstream(rng.choice(live).id, bench_flows.DRAINING)
    elif kind == 2:
        harness.update_upstream(rng.choice(live).id, share=500)
    else:
        for up in live:
            if up.share < 1000:
                harness.update_upstream(up.id, share=1000)


def _measure(size, design: str, flows: int, seed: int) -> dict:
    rng = random.Random(seed)
    harness = bench_flows.make_harness(size, design, seed)
    load = SteadyLoad(harness, size.service, flows, seed)
    settle = LIFETIMES_TO_SETTLE * LIFETIME_S
    load.run(settle)
    imbalances = {"steady": _imbalance(harness)}
    harness.add_upstream("s", "10.4.1.1", "a", FLOW_LIMIT)
    load.run(settle)
    imbalances["after_join"] = _imbalance(harness)
    harness.update_upstream(1, bench_flows.DRAINING)
    load.run(settle)
    imbalances["after_drain"] = _imbalance(harness)
    for number in range(CHANGES):
        _apply_change(harness, rng, number)
        load.run(CHANGE_INTERVAL_S)
    for up in harness.log.upstreams:
        if up.state is view.UpstreamState.UP and up.share < 1000:
            harness.update_upstream(up.id, share=1000)
    load.run(settle)
    imbalances["after_20_changes"] = _imbalance(harness)
    result = {
        f"imbalance_{name}": round(imbalance, 3)
        for name, imbalance in imbalances.items()
    }
    most_open = max(len(process.flows) for process in harness.ids.values())
    result["most_open_flows"] = most_open
    result["limit_passed"] = sum(
        kind == "limit" for kind, *_ in harness.faults
    )
    return result


def run(seed: int, json_only: bool) -> dict:
    """Return the imbalance by size, design and situation."""
    figures: dict = {}
    began = time.monotonic()
    today = bench_flows.SIZES[0]
    runs = [(today, design, OPEN_FLOWS) for design in bench_flows.DESIGNS]
    for size, design, flows in runs:
        result = _measure(size, design, flows, seed)
        for name, figure in result.items():
            key = f"{size.name}_{design}_{name}"
            figures[key] = figure
            if not json_only:
                print(f"{key:48} {figure}")
    figures["took_s"] = round(time.monotonic() - began, 1)
    return figures
