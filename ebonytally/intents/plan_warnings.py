"""Warnings of a plan: what an operator should think about first."""

import typing

from ebonytally.intents import plan_capacity
from ebonytally.intents import plan_messages as messages
from ebonytally import view

_SEVERE = (
    messages.Caution.LAST_DATA_CENTRE,
    messages.Caution.NO_UPSTREAM_LEFT,
)
_LISTED_VMS = 5
_LISTED_PLANS = 3


def find(
    before: view.View,
    after: view.View,
    capacities: tuple[messages.Capacity, ...],
    facts: messages.Facts,
    others: tuple[messages.Plan, ...],
) -> tuple[messages.Warn, ...]:
    """Return all warnings, the gravest first."""
    found = []
    for capacity in capacities:
        found += _service_warnings(capacity)
    found += _entry_vm_warnings(before, after)
    found += _control_warnings(before, after, facts)
    found += _open_warnings(others)
    found += _silent_warnings(facts)
    found += _count_warnings(before, capacities, facts)
    order = list(messages.Caution)
    found.sort(key=lambda warn: order.index(warn.caution))
    return tuple(found)


def severe(draft: messages.Draft) -> frozenset[tuple[str, str]]:
    """Return the warnings that a confirmation must have seen."""
    return frozenset(
        (warn.caution, warn.text)
        for warn in draft.warnings
        if warn.caution in _SEVERE
    )


def _service_warnings(
    one: messages.Capacity,
) -> typing.Iterator[messages.Warn]:
    name = one.service
    if one.data_centres_before and not one.data_centres_after:
        yield messages.Warn(
            messages.Caution.LAST_DATA_CENTRE,
            f"This is the last data centre that serves {name}: "
            "nobody serves its callers afterwards.",
        )
        return
    if one.upstreams_before and not one.upstreams_after:
        yield messages.Warn(
            messages.Caution.NO_UPSTREAM_LEFT,
            f"No upstream of {name} is left to take its callers.",
        )
        return
    if one.data_centres_after == 1 < one.data_centres_before:
        yield messages.Warn(
            messages.Caution.ONE_DATA_CENTRE_LEFT,
            f"Only one data centre serves {name} afterwards.",
        )
    yield from _load_warnings(one)


def _load_warnings(
    one: messages.Capacity,
) -> typing.Iterator[messages.Warn]:
    """Warn when what is left bears less than there is now."""
    name = one.service
    shrinks = one.connections_after < one.connections_before
    if shrinks and one.open_flows > one.connections_after:
        yield messages.Warn(
            messages.Caution.CAPACITY_BELOW_LOAD,
            f"{name} has {one.open_flows} open flows now, but only "
            f"{one.connections_after} fit afterwards.",
        )
    shrinks = one.slots_after < one.slots_before
    if shrinks and one.running > one.slots_after:
        yield messages.Warn(
            messages.Caution.CAPACITY_BELOW_LOAD,
            f"{name} runs {one.running} requests now, but only "
            f"{one.slots_after} at a time fit afterwards.",
        )


def _entry_vm_warnings(
    before: view.View,
    after: view.View,
) -> typing.Iterator[messages.Warn]:
    left = {vm.data_centre for vm in after.vms}
    for name in sorted({vm.data_centre for vm in before.vms} - left):
        yield messages.Warn(
            messages.Caution.NO_ENTRY_VM_LEFT,
            f"Data centre {name} has no entry VM afterwards: when it is cut "
            "off, nobody serves it.",
        )


def _control_warnings(
    before: view.View,
    after: view.View,
    facts: messages.Facts,
) -> typing.Iterator[messages.Warn]:
    voters = [vm for vm in after.vms if vm.control]
    if voters == [vm for vm in before.vms if vm.control]:
        return
    silent = set(facts.silent_vms)
    silent.update(vm.name for vm in voters if vm.state is not view.VmState.UP)
    heard = sum(vm.name not in silent for vm in voters)
    majority = len(voters) // 2 + 1
    spare = heard - majority
    if spare > 0:
        return
    if spare == 0:
        text = "one more loss stops all changes until it is repaired."
    else:
        text = "no change can be made until more of them run."
    yield messages.Warn(
        messages.Caution.CONTROL_MAJORITY,
        f"Of {len(voters)} control VMs {heard} are heard from now: {text}",
    )


def _open_warnings(
    others: tuple[messages.Plan, ...],
) -> typing.Iterator[messages.Warn]:
    for plan in others[-_LISTED_PLANS:]:
        yield messages.Warn(
            messages.Caution.OTHER_PLAN_OPEN,
            f"Plan {plan.id} by {plan.operator} is open too; whichever is "
            "confirmed first makes the other void.",
        )
    more = len(others) - _LISTED_PLANS
    if more > 0:
        yield messages.Warn(
            messages.Caution.OTHER_PLAN_OPEN,
            f"{more} more plans are open (ebonytally plan list).",
        )


def _silent_warnings(
    facts: messages.Facts,
) -> typing.Iterator[messages.Warn]:
    silent = facts.silent_vms
    if not silent:
        return
    listed = ", ".join(silent[:_LISTED_VMS])
    if len(silent) > _LISTED_VMS:
        listed += f" and {len(silent) - _LISTED_VMS} more"
    yield messages.Warn(
        messages.Caution.VMS_NOT_HEARD,
        f"Not heard from: {listed}. They follow when they come back.",
    )


def _count_warnings(
    cfg: view.View,
    capacities: tuple[messages.Capacity, ...],
    facts: messages.Facts,
) -> typing.Iterator[messages.Warn]:
    """Warn when a load was judged that isn't wholly known."""
    shrinks = any(
        one.connections_after < one.connections_before for one in capacities
    )
    if shrinks and plan_capacity.is_partial(cfg, facts):
        count = facts.counted_by
        yield messages.Warn(
            messages.Caution.COUNTS_PARTIAL,
            f"Flows were counted by {count} of the entry VMs only, so there "
            "are more of them than it says.",
        )
