"""Broken flows for each kind of change, beside two baselines.

Also the bytes of control messages and of packets in hand.
"""

import collections
import time

from benches import flow_baselines
from ebonytally import commands
from ebonytally.flows import flow_keepers
from ebonytally.flows import flows
from ebonytally import view
from tests import flow_bed

DESIGNS = {
    "this": flows.Flows,
    "modulo": flow_baselines.Modulo,
    "consistent": flow_baselines.Consistent,
}
DELAY_S = 2.0
CHATTER = 1.0
DRAINING = view.UpstreamState.DRAINING
START_UP_S = 8
CONTROL_S = 60
CHANGE_EVERY_S = 10


class Size:
    """How many VMs, endpoints and flows a run has."""

    def __init__(
        self, name: str, vms: int, endpoints: int, slots: int, flows: int
    ) -> None:
        """Take the numbers of one size."""
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


def bed(size: Size, design: str, seed: int, **kwargs) -> flow_bed.Bed:
    """Return a bed with all endpoints and flows established."""
    made = flow_bed.Bed(
        size.vms,
        [size.service],
        seed=seed,
        delay_s=DELAY_S,
        make=DESIGNS[design],
        **kwargs,
    )
    made.quiet = True
    for n in range(size.endpoints):
        made.join("s", f"10.2.{n >> 8}.{n & 255}", "abcd"[n % 4])
    made.quiet = False
    made.tell()
    made.run(2 * DELAY_S + 1)
    made.call(size.service, size.flows)
    made.run(2, CHATTER)
    return made


def _join(one: flow_bed.Bed, size: Size) -> None:
    one.join("s", "10.3.0.1", "a")


def _drain(one: flow_bed.Bed, size: Size) -> None:
    one.mark(1, DRAINING)


def _cold(one: flow_bed.Bed, size: Size) -> None:
    one.mark(1, share=100)


def _data_centres(one: flow_bed.Bed, size: Size) -> None:
    service = flow_bed.attrs.evolve(size.service, data_centres=("a", "b", "c"))
    one.commit(commands.ServiceSet(service))


def _move(one: flow_bed.Bed, size: Size) -> None:
    """Let flows stand away from their slots' bases."""
    one.mark(1, DRAINING)
    one.run(DELAY_S + 1, CHATTER)
    one.call(size.service, size.flows // 10)
    one.run(0.5, CHATTER)


def _vm_join(one: flow_bed.Bed, size: Size) -> None:
    _move(one, size)
    one.join_vm("v99", "b")


def _vm_stop(one: flow_bed.Bed, size: Size) -> None:
    _move(one, size)
    one.stop_vm("v1")


def _vm_restart(one: flow_bed.Bed, size: Size) -> None:
    _move(one, size)
    one.kill_vm("v1")
    one.run(0.5, CHATTER)
    one.restart_vm("v1")


def _vm_loss(one: flow_bed.Bed, size: Size) -> None:
    _move(one, size)
    one.kill_vm("v1")


def _two_losses(one: flow_bed.Bed, size: Size) -> None:
    _vm_loss(one, size)
    one.run(3.2, CHATTER)
    deadline = one.now + 6
    while not one.repaired() and one.now < deadline:
        one.run(0.1, CHATTER)
    one.join("s", "10.3.0.2", "b")
    one.kill_vm("v2")


def _both_at_once(one: flow_bed.Bed, size: Size) -> None:
    """Lose two VMs before any repair: their common slots are lost."""
    _move(one, size)
    one.call(size.service, size.flows)
    one.run(1, CHATTER)
    one.kill_vm("v1")
    one.kill_vm("v2")
    one.run(6, CHATTER)


def _out_and_back(one: flow_bed.Bed, size: Size) -> None:
    one.out("b")
    one.run(4, CHATTER)
    one.back("b")


def _chain(one: flow_bed.Bed, size: Size) -> None:
    for n in range(5):
        one.join("s", f"10.3.1.{n}", "abcd"[n % 4])
        one.run(0.4, CHATTER)
        one.mark(n + 1, DRAINING)
        one.call(size.service, size.flows // 20)
        one.run(0.8, CHATTER)
        if n == 2:
            one.join_vm("v98", "c")
        if n == 3:
            one.stop_vm("v2")


CHANGES = {
    "upstream_join": _join,
    "upstream_drain": _drain,
    "upstream_cold": _cold,
    "data_centres": _data_centres,
    "vm_join": _vm_join,
    "vm_stop": _vm_stop,
    "vm_restart": _vm_restart,
    "vm_loss": _vm_loss,
    "vm_loss_twice": _two_losses,
    "vm_two_at_once": _both_at_once,
    "out_and_back": _out_and_back,
    "chain_of_12": _chain,
}
LARGE = ("upstream_join", "vm_loss_twice", "chain_of_12")


def broken(one: flow_bed.Bed) -> int:
    """Return how many flows were moved or reset."""
    callers = {
        id(caller)
        for kind, _, caller in one.faults
        if kind in ("broken", "reset")
    }
    return len(callers)


def _control(size: Size, seed: int) -> dict:
    """Count control bytes with an upstream change every 10 s."""
    one = bed(size, "this", seed, measure=True)
    one.run(START_UP_S, CHATTER)
    one.control_bytes.clear()
    one.hand_bytes = one.log_bytes = one.forwarded = 0
    for n in range(CONTROL_S // CHANGE_EVERY_S):
        if n % 2:
            one.mark(n, DRAINING)
        else:
            one.join("s", f"10.3.2.{n}", "abcd"[n % 4])
        for _ in range(CHANGE_EVERY_S):
            one.call(size.service, size.flows // 50)
            for caller in one.open()[: size.flows // 50]:
                one.end(caller)
            one.run(1, CHATTER)
    worst = max(one.control_bytes.values(), default=0)
    return {
        "control_bytes_per_s": round(worst / CONTROL_S, 1),
        "log_bytes_per_s": round(one.log_bytes / CONTROL_S, 1),
        "hand_bytes_per_packet": round(one.hand_bytes / one.forwarded, 1),
    }


def _derived(size: Size, seed: int) -> float:
    """Return the share of flows lost with both keepers of their slot.

    These are the flows away from their slot's base, in the groups that
    the two lost VMs keep together.
    """
    one = bed(size, "this", seed)
    keepers = flow_keepers.choose(one.log.vms)
    common = sum(
        {first, second} == {"v1", "v2"}
        for first, second in zip(keepers.first, keepers.second, strict=True)
    )
    begun = size.flows + size.flows // 10
    away = begun / size.endpoints
    share = common / flow_keepers.GROUPS * away / (size.flows + begun)
    return round(share * 100_000, 1)


def run(seed: int, json_only: bool) -> dict:
    """Return broken flows per 100,000 by size, change and design."""
    figures: dict = {}
    other: collections.Counter = collections.Counter()
    began = time.monotonic()
    for size in SIZES:
        for change, act in CHANGES.items():
            if size.name == "large" and change not in LARGE:
                continue
            for design in DESIGNS:
                one = bed(size, design, seed)
                act(one, size)
                one.run(DELAY_S + 3, CHATTER)
                flows_made = sum(1 for c in one.callers if c.first)
                key = f"{size.name}_{change}_{design}"
                per = broken(one) * 100_000 / flows_made
                figures[f"{key}_broken_per_100000"] = round(per, 1)
                if design == "this":
                    other.update(kind for kind, *_ in one.faults)
                if not json_only:
                    print(f"{key:44} {per:9.1f} of {flows_made}")
        for name, figure in _control(size, seed).items():
            figures[f"{size.name}_{name}"] = figure
            if not json_only:
                print(f"{size.name}_{name:38} {figure}")
    figures["derived_vm_two_at_once_per_100000"] = _derived(SIZES[0], seed)
    figures["other_faults"] = sum(
        count for kind, count in other.items() if kind != "broken"
    )
    figures["took_s"] = round(time.monotonic() - began, 1)
    return figures
