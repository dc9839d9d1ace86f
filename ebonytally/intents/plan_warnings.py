"""Warnings of a plan: risks to consider before it is confirmed."""

import typing

from ebonytally.intents import plan_capacity
from ebonytally.intents import plan_messages as messages
from ebonytally import view

_SEVERE = (
    messages.WarningKind.LAST_DATA_CENTRE,
    messages.WarningKind.NO_UPSTREAM_LEFT,
)
_LISTED_VMS = 5
_LISTED_PLANS = 3


def find_warnings(
    before: view.View,
    after: view.View,
    capacities: tuple[messages.Capacity, ...],
    facts: messages.VmFacts,
    others: tuple[messages.Plan, ...],
) -> tuple[messages.PlanWarning, ...]:
    """Return all warnings, the most severe first.

    :param others: the other open plans
    """
    warnings = []
    for capacity in capacities:
        warnings += _service_warnings(capacity)
    warnings += _entry_vm_warnings(before, after)
    warnings += _control_warnings(before, after, facts)
    warnings += _open_plan_warnings(others)
    warnings += _silent_vm_warnings(facts)
    warnings += _partial_count_warnings(before, capacities, facts)
    order = list(messages.WarningKind)
    warnings.sort(key=lambda warn: order.index(warn.caution))
    return tuple(warnings)


def severe_warnings(draft: messages.Draft) -> frozenset[tuple[str, str]]:
    """Return the warnings that must be shown before a confirmation.

    A plan isn't applied when it would have one that it doesn't list yet.
    Texts are compared, too: replicas of two versions decide alike only if
    these texts are the same in both.
    """
    return frozenset(
        (warn.caution, warn.text)
        for warn in draft.warnings
        if warn.caution in _SEVERE
    )


def _service_warnings(
    capacity: messages.Capacity,
) -> typing.Iterator[messages.PlanWarning]:
    name = capacity.service
    if capacity.data_centres_before and not capacity.data_centres_after:
        yield messages.PlanWarning(
            messages.WarningKind.LAST_DATA_CENTRE,
            f"This is the last data centre that serves {name}: "
            "nobody serves its callers afterwards.",
        )
        return
    if capacity.upstreams_before and not capacity.upstreams_after:
        yield messages.PlanWarning(
            messages.WarningKind.NO_UPSTREAM_LEFT,
            f"No upstream of {name} is left to take its callers.",
        )
        return
    if capacity.data_centres_after == 1 < capacity.data_centres_before:
        yield messages.PlanWarning(
            messages.WarningKind.ONE_DATA_CENTRE_LEFT,
            f"Only one data centre serves {name} afterwards.",
        )
    yield from _load_warnings(capacity)


def _load_warnings(
    capacity: messages.Capacity,
) -> typing.Iterator[messages.PlanWarning]:
    """Warn when the remaining capacity is below the present load."""
    name = capacity.service
    shrinks = capacity.connections_after < capacity.connections_before
    if shrinks and capacity.open_flows > capacity.connections_after:
        yield messages.PlanWarning(
            messages.WarningKind.CAPACITY_BELOW_LOAD,
            f"{name} has {capacity.open_flows} open flows now, but only "
            f"{capacity.connections_after} fit afterwards.",
        )
    shrinks = capacity.slots_after < capacity.slots_before
    if shrinks and capacity.running > capacity.slots_after:
        yield messages.PlanWarning(
            messages.WarningKind.CAPACITY_BELOW_LOAD,
            f"{name} runs {capacity.running} requests now, but only "
            f"{capacity.slots_after} at a time fit afterwards.",
        )


def _entry_vm_warnings(
    before: view.View,
    after: view.View,
) -> typing.Iterator[messages.PlanWarning]:
    remaining = {vm.data_centre for vm in after.vms}
    for name in sorted({vm.data_centre for vm in before.vms} - remaining):
        yield messages.PlanWarning(
            messages.WarningKind.NO_ENTRY_VM_LEFT,
            f"Data centre {name} has no entry VM afterwards: it isn't served "
            "while it is cut off.",
        )


def _control_warnings(
    before: view.View,
    after: view.View,
    facts: messages.VmFacts,
) -> typing.Iterator[messages.PlanWarning]:
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
        text = "losing one more blocks all changes until it is repaired."
    else:
        text = "no change can be made until more of them run."
    yield messages.PlanWarning(
        messages.WarningKind.CONTROL_MAJORITY,
        f"Of {len(voters)} control VMs {heard} are heard from now: {text}",
    )


def _open_plan_warnings(
    others: tuple[messages.Plan, ...],
) -> typing.Iterator[messages.PlanWarning]:
    for plan in others[-_LISTED_PLANS:]:
        yield messages.PlanWarning(
            messages.WarningKind.OTHER_PLAN_OPEN,
            f"Plan {plan.id} by {plan.operator} is also open; whichever is "
            "confirmed first makes the other void.",
        )
    more = len(others) - _LISTED_PLANS
    if more > 0:
        yield messages.PlanWarning(
            messages.WarningKind.OTHER_PLAN_OPEN,
            f"{more} more plans are open (ebonytally plan list).",
        )


def _silent_vm_warnings(
    facts: messages.VmFacts,
) -> typing.Iterator[messages.PlanWarning]:
    silent = facts.silent_vms
    if not silent:
        return
    listed = ", ".join(silent[:_LISTED_VMS])
    if len(silent) > _LISTED_VMS:
        listed += f" and {len(silent) - _LISTED_VMS} more"
    yield messages.PlanWarning(
        messages.WarningKind.VMS_NOT_HEARD,
        f"Not heard from: {listed}. They apply the change when they are back.",
    )


def _partial_count_warnings(
    cfg: view.View,
    capacities: tuple[messages.Capacity, ...],
    facts: messages.VmFacts,
) -> typing.Iterator[messages.PlanWarning]:
    """Warn when capacity shrinks but only part of the load is known."""
    shrinks = any(
        capacity.connections_after < capacity.connections_before
        for capacity in capacities
    )
    if shrinks and plan_capacity.is_partial(cfg, facts):
        count = facts.counted_by
        yield messages.PlanWarning(
            messages.WarningKind.COUNTS_PARTIAL,
            f"Only {count} of the entry VMs counted flows, so there may be "
            "more of them than shown.",
        )
