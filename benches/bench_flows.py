"""Flows broken by each kind of change, against two baselines.

Also measures the bytes of control messages, of the replicated log and
of packets forwarded to owners.
"""

import collections
import time

from benches import flow_baselines
from ebonytally import commands
from ebonytally.flows import flow_owners
from ebonytally.flows import flows
from ebonytally import view
from tests import flow_harness

DESIGNS = {
    "this": flows.Flows,
    "modulo": flow_baselines.Modulo,
    "consistent": flow_baselines.Consistent,
}
MAX_VIEW_DELAY_S = 2.0
PACKETS_PER_S = 1.0
DRAINING = view.UpstreamState.DRAINING
START_UP_S = 8
CONTROL_S = 60
CHANGE_INTERVAL_S = 10


class Size:
    """The numbers of VMs, endpoints, slots and flows of a run."""

    def __init__(
        self, name: str, vms: int, endpoints: int, slots: int, flows: int
    ) -> None:
        """Create a service of four data centres and the VM names."""
        self.name = name
        self.vms = [(f"v{n}", "abcd"[n % 4]) for n in range(1, vms + 1)]
        self.endpoints = endpoints
        self.flows = flows
        self.service = view.Service(
            "s", "10.9.0.1", 80, 6, ("a", "b", "c", "d"), slots=slots
        )


SIZES = (
    Size("today", 5, 7, 1024, 400),
    Size("large", 40, 300, 4096, 200),
)


def make_harness(
    size: Size, design: str, seed: int, **kwargs
) -> flow_harness.FlowHarness:
    """Return a harness with all endpoints joined and flows open."""
    harness = flow_harness.FlowHarness(
        size.vms,
        [size.service],
        seed=seed,
        delay_s=MAX_VIEW_DELAY_S,
        make=DESIGNS[design],
        **kwargs,
    )
    harness.is_paused = True
    for n in range(size.endpoints):
        harness.add_upstream("s", f"10.2.{n >> 8}.{n & 255}", "abcd"[n % 4])
    harness.is_paused = False
    harness.broadcast_view()
    harness.run(2 * MAX_VIEW_DELAY_S + 1)
    harness.open_flows(size.service, size.flows)
    harness.run(2, PACKETS_PER_S)
    return harness


def _upstream_join(harness: flow_harness.FlowHarness, size: Size) -> None:
    harness.add_upstream("s", "10.3.0.1", "a")


def _upstream_drain(harness: flow_harness.FlowHarness, size: Size) -> None:
    harness.update_upstream(1, DRAINING)


def _upstream_cold(harness: flow_harness.FlowHarness, size: Size) -> None:
    harness.update_upstream(1, share=100)


def _data_centres(harness: flow_harness.FlowHarness, size: Size) -> None:
    service = flow_harness.attrs.evolve(
        size.service, data_centres=("a", "b", "c")
    )
    harness.commit(commands.ServiceSet(service))


def _open_flows_off_base(
    harness: flow_harness.FlowHarness, size: Size
) -> None:
    """Drain an upstream, so that new flows leave their base upstream."""
    harness.update_upstream(1, DRAINING)
    harness.run(MAX_VIEW_DELAY_S + 1, PACKETS_PER_S)
    harness.open_flows(size.service, size.flows // 10)
    harness.run(0.5, PACKETS_PER_S)


def _vm_join(harness: flow_harness.FlowHarness, size: Size) -> None:
    _open_flows_off_base(harness, size)
    harness.join_vm("v99", "b")


def _vm_stop(harness: flow_harness.FlowHarness, size: Size) -> None:
    _open_flows_off_base(harness, size)
    harness.stop_vm("v1")


def _vm_restart(harness: flow_harness.FlowHarness, size: Size) -> None:
    _open_flows_off_base(harness, size)
    harness.kill_vm("v1")
    harness.run(0.5, PACKETS_PER_S)
    harness.restart_vm("v1")


def _vm_loss(harness: flow_harness.FlowHarness, size: Size) -> None:
    _open_flows_off_base(harness, size)
    harness.kill_vm("v1")


def _vm_loss_twice(harness: flow_harness.FlowHarness, size: Size) -> None:
    _vm_loss(harness, size)
    harness.run(3.2, PACKETS_PER_S)
    deadline = harness.now + 6
    while not harness.is_repaired() and harness.now < deadline:
        harness.run(0.1, PACKETS_PER_S)
    harness.add_upstream("s", "10.3.0.2", "b")
    harness.kill_vm("v2")


def _vm_two_at_once(harness: flow_harness.FlowHarness, size: Size) -> None:
    """Lose two VMs before any repair, and the records only they hold."""
    _open_flows_off_base(harness, size)
    harness.open_flows(size.service, size.flows)
    harness.run(1, PACKETS_PER_S)
    harness.kill_vm("v1")
    harness.kill_vm("v2")
    harness.run(6, PACKETS_PER_S)


def _data_centre_out_and_back(
    harness: flow_harness.FlowHarness, size: Size
) -> None:
    harness.take_out("b")
    harness.run(4, PACKETS_PER_S)
    harness.bring_back("b")


def _chain_of_changes(harness: flow_harness.FlowHarness, size: Size) -> None:
    for n in range(5):
        harness.add_upstream("s", f"10.3.1.{n}", "abcd"[n % 4])
        harness.run(0.4, PACKETS_PER_S)
        harness.update_upstream(n + 1, DRAINING)
        harness.open_flows(size.service, size.flows // 20)
        harness.run(0.8, PACKETS_PER_S)
        if n == 2:
            harness.join_vm("v98", "c")
        if n == 3:
            harness.stop_vm("v2")


CHANGES = {
    "upstream_join": _upstream_join,
    "upstream_drain": _upstream_drain,
    "upstream_cold": _upstream_cold,
    "data_centres": _data_centres,
    "vm_join": _vm_join,
    "vm_stop": _vm_stop,
    "vm_restart": _vm_restart,
    "vm_loss": _vm_loss,
    "vm_loss_twice": _vm_loss_twice,
    "vm_two_at_once": _vm_two_at_once,
    "out_and_back": _data_centre_out_and_back,
    "chain_of_12": _chain_of_changes,
}
LARGE_SIZE_CHANGES = ("upstream_join", "vm_loss_twice", "chain_of_12")


def count_broken(harness: flow_harness.FlowHarness) -> int:
    """Return how many flows changed their upstream or were reset."""
    callers = {
        id(caller)
        for kind, _, caller in harness.faults
        if kind in ("broken", "reset")
    }
    return len(callers)


def _control_figures(size: Size, seed: int) -> dict:
    """Measure control traffic with an upstream change every 10 s."""
    harness = make_harness(size, "this", seed, measure=True)
    harness.run(START_UP_S, PACKETS_PER_S)
    harness.control_bytes.clear()
    harness.forwarded_bytes = harness.log_bytes = harness.forwarded = 0
    for n in range(CONTROL_S // CHANGE_INTERVAL_S):
        if n % 2:
            harness.update_upstream(n, DRAINING)
        else:
            harness.add_upstream("s", f"10.3.2.{n}", "abcd"[n % 4])
        for _ in range(CHANGE_INTERVAL_S):
            harness.open_flows(size.service, size.flows // 50)
            for caller in harness.open()[: size.flows // 50]:
                harness.end(caller)
            harness.run(1, PACKETS_PER_S)
    max_bytes = max(harness.control_bytes.values(), default=0)
    return {
        "control_bytes_per_s": round(max_bytes / CONTROL_S, 1),
        "log_bytes_per_s": round(harness.log_bytes / CONTROL_S, 1),
        "hand_bytes_per_packet": round(
            harness.forwarded_bytes / harness.forwarded, 1
        ),
    }


def _expected_loss_per_100000(size: Size, seed: int) -> float:
    """Return the expected loss when both owners of a slot group fail.

    Lost are the flows off their slot's base upstream in the groups whose
    two owners are the lost VMs; the result is per 100,000 flows.
    """
    harness = make_harness(size, "this", seed)
    owners = flow_owners.choose_owners(harness.log.vms)
    common = sum(
        {first, second} == {"v1", "v2"}
        for first, second in zip(owners.first, owners.second, strict=True)
    )
    opened_before = size.flows + size.flows // 10
    off_base = opened_before / size.endpoints
    share = (
        common / flow_owners.GROUPS * off_base / (size.flows + opened_before)
    )
    return round(share * 100_000, 1)


def run(seed: int, json_only: bool) -> dict:
    """Return broken flows per 100,000 by size, change and design."""
    figures: dict = {}
    fault_counts: collections.Counter = collections.Counter()
    began = time.monotonic()
    for size in SIZES:
        for change, apply_change in CHANGES.items():
            if size.name == "large" and change not in LARGE_SIZE_CHANGES:
                continue
            for design in DESIGNS:
                harness = make_harness(size, design, seed)
                apply_change(harness, size)
                harness.run(MAX_VIEW_DELAY_S + 3, PACKETS_PER_S)
                flows_made = sum(1 for c in harness.callers if c.upstream)
                key = f"{size.name}_{change}_{design}"
                per_100000 = count_broken(harness) * 100_000 / flows_made
                figures[f"{key}_broken_per_100000"] = round(per_100000, 1)
                if design == "this":
                    fault_counts.update(kind for kind, *_ in harness.faults)
                if not json_only:
                    print(f"{key:44} {per_100000:9.1f} of {flows_made}")
        for name, figure in _control_figures(size, seed).items():
            figures[f"{size.name}_{name}"] = figure
            if not json_only:
                print(f"{size.name}_{name:38} {figure}")
    figures["derived_vm_two_at_once_per_100000"] = _expected_loss_per_100000(
        SIZES[0], seed
    )
    figures["other_faults"] = sum(
        count for kind, count in fault_counts.items() if kind != "broken"
    )
    figures["took_s"] = round(time.monotonic() - began, 1)
    return figures
