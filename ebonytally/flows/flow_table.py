"""Slot tables: which upstream gets the new flows of each slot.

Tables change only by these pure functions, in the order of the log, so
that all entry VMs derive equal tables. As few slots as possible move.
"""

import collections
from collections.abc import Iterable

import attrs

from ebonytally import view

FULL_SHARE = 1000


def replan(
    table: view.Table | None,
    service: view.Service,
    upstreams: Iterable[view.Upstream],
    out: Iterable[str],
    revision: int,
) -> view.Table:
    """Return the table with slots divided by capacity and warm share.

    A slot whose target changes becomes tracked: its base stays, even if the
    base is gone or its data centre is out, because an entry VM with an
    older configuration still sends there. Each upstream's number of slots
    is within one of its exact quota.

    :param table: the current table, None for a new service
    :param upstreams: those of other services are ignored
    :param out: names of the data centres taken out
    :param revision: revision of the view that gets the table
    :returns: `table` itself when nothing changes
    """
    if table is None:
        table = view.Table(service.name, (0,) * service.slots)
    weights = _weights(service, upstreams, frozenset(out))
    tracked = {state.slot: state for state in table.tracked}
    targets = _targets(table, tracked, weights)
    return _with_targets(table, tracked, targets, revision)


def with_placing(
    table: view.Table,
    slots: Iterable[int],
    seen: int,
    revision: int,
) -> view.Table:
    """Return the table with placing begun in these tracked slots.

    :param seen: the proposer's revision; slots that became tracked after it
        don't change
    :param revision: revision of the view that gets the table
    """
    selected = frozenset(slots)

    def begin_placing(state: view.SlotState) -> view.SlotState:
        if state.slot not in selected or state.base_revision > seen:
            return state
        return attrs.evolve(state, may_place=True)

    tracked = tuple(begin_placing(state) for state in table.tracked)
    return _evolve_if_changed(table, table.bases, tracked, revision)


def with_pinned(
    table: view.Table,
    slots: Iterable[int],
    base: int,
    seen: int,
    revision: int,
) -> view.Table:
    """Return the table with `base` as the base of these slots.

    A slot whose new flows go there too is pinned to it; one that has
    another target by now stays tracked, with the new base.

    :param seen: the proposer's revision; slots that became tracked or got
        their base after it don't change
    :param revision: revision of the view that gets the table
    """
    selected = frozenset(slots)
    bases = list(table.bases)
    tracked = []
    for state in table.tracked:
        stale = state.base_revision > seen or not state.may_place
        if state.slot not in selected or stale:
            tracked.append(state)
            continue
        bases[state.slot] = base
        if state.target == base:
            continue
        base_revision = revision
        if state.base == base:
            base_revision = state.base_revision
        tracked.append(
            attrs.evolve(state, base=base, base_revision=base_revision)
        )
    return _evolve_if_changed(table, tuple(bases), tuple(tracked), revision)


def _weights(
    service: view.Service,
    upstreams: Iterable[view.Upstream],
    out: frozenset[str],
) -> dict[int, int]:
    """Return weights by id of the upstreams that may get new flows."""
    weights = {}
    for upstream in upstreams:
        if upstream.service != service.name:
            continue
        if upstream.state is not view.UpstreamState.UP:
            continue
        if upstream.data_centre in out:
            continue
        if upstream.data_centre not in service.data_centres:
            continue
        weight = upstream.connections * upstream.share
        if weight > 0:
            weights[upstream.id] = weight
    return weights


def _targets(
    table: view.Table,
    tracked: dict[int, view.SlotState],
    weights: dict[int, int],
) -> list[int]:
    """Return the upstream id for new flows of each slot, 0 for none."""
    targets = list(table.bases)
    for slot, state in tracked.items():
        targets[slot] = state.target
    if not weights:
        return [0] * len(targets)
    slot_counts = collections.Counter(targets)
    quotas = _quotas(len(targets), slot_counts, weights)
    spare = {
        id_: slot_counts[id_] - quotas.get(id_, 0)
        for id_ in slot_counts
        if slot_counts[id_] > quotas.get(id_, 0)
    }
    lacking = {
        id_: quota - slot_counts[id_]
        for id_, quota in quotas.items()
        if quota > slot_counts[id_]
    }
    if lacking:
        to_move = _slots_to_move(targets, tracked, spare, lacking)
        _assign_slots(targets, table.bases, to_move, lacking)
    return targets


def _quotas(
    slots: int,
    slot_counts: dict[int, int],
    weights: dict[int, int],
) -> dict[int, int]:
    """Return slots by upstream id, in proportion to weight.

    Slots left over by rounding go to upstreams that have them already, to
    move as few as possible, then to the largest remainders.
    """
    total = sum(weights.values())
    quotas = {}
    remainders = []
    for id_, weight in weights.items():
        quotas[id_], remainder = divmod(slots * weight, total)
        if remainder:
            has_extra = slot_counts.get(id_, 0) > quotas[id_]
            remainders.append((not has_extra, -remainder, id_))
    remaining = slots - sum(quotas.values())
    for _, _, id_ in sorted(remainders)[:remaining]:
        quotas[id_] += 1
    return quotas


def _slots_to_move(
    targets: list[int],
    tracked: dict[int, view.SlotState],
    spare: dict[int, int],
    lacking: dict[int, int],
) -> list[int]:
    """Return the slots to move from upstreams with spare ones.

    Tracked slots that may return to their base come first, as they will be
    pinned soonest; then other tracked slots.
    """

    def cannot_return(slot: int) -> bool:
        return tracked[slot].base not in lacking

    order = sorted(tracked, key=lambda slot: (cannot_return(slot), slot))
    order += [slot for slot in range(len(targets)) if slot not in tracked]
    remaining = dict(spare)
    to_move = []
    for slot in order:
        target = targets[slot]
        if remaining.get(target):
            remaining[target] -= 1
            to_move.append(slot)
    return to_move


def _assign_slots(
    targets: list[int],
    bases: tuple[int, ...],
    to_move: list[int],
    lacking: dict[int, int],
) -> None:
    """Assign slots to upstreams below quota, if possible to their base."""
    remaining = dict(lacking)
    unassigned = []
    for slot in to_move:
        base = bases[slot]
        if remaining.get(base):
            remaining[base] -= 1
            targets[slot] = base
        else:
            unassigned.append(slot)
    receivers = [
        id_ for id_ in sorted(remaining) for _ in range(remaining[id_])
    ]
    for slot, receiver in zip(unassigned, receivers, strict=True):
        targets[slot] = receiver


def _with_targets(
    table: view.Table,
    tracked: dict[int, view.SlotState],
    targets: list[int],
    revision: int,
) -> view.Table:
    """Return the table with these targets.

    A changed slot is tracked, unless it had no base or returns to its base
    before placing has begun.
    """
    bases = list(table.bases)
    states = []
    for slot, target in enumerate(targets):
        base = bases[slot]
        state = tracked.get(slot)
        if state is None:
            if base == target:
                continue
            if base == 0:
                bases[slot] = target
                continue
            state = view.SlotState(slot, base, target, False, revision)
        elif state.target != target:
            if target == base and not state.may_place:
                continue
            state = attrs.evolve(state, target=target)
        states.append(state)
    return _evolve_if_changed(table, tuple(bases), tuple(states), revision)


def _evolve_if_changed(
    table: view.Table,
    bases: tuple[int, ...],
    tracked: tuple[view.SlotState, ...],
    revision: int,
) -> view.Table:
    if bases == table.bases and tracked == table.tracked:
        return table
    return attrs.evolve(
        table,
        bases=bases,
        tracked=tracked,
        revision=revision,
    )
