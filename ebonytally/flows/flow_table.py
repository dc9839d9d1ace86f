"""Slot tables: who gets new flows, moving as few slots as possible.

A table is changed only by these pure functions, in the order of the
log, so that all entry VMs derive the same tables.
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

    A slot whose target changes becomes kept: its base stays, also when
    the base is gone or its data centre is out, for an entry VM that
    hasn't heard so still sends there. Each upstream's number of slots is
    within one of its exact quota.

    :param table: the present table, None for a new service
    :param upstreams: those of other services are ignored
    :param out: names of the data centres taken out
    :param revision: revision of the view that gets the table
    :returns: `table` itself when nothing changes
    """
    if table is None:
        table = view.Table(service.name, (0,) * service.slots)
    weights = _weights(service, upstreams, frozenset(out))
    kept = {state.slot: state for state in table.kept}
    targets = _targets(table, kept, weights)
    return _with_targets(table, kept, targets, revision)


def placing(
    table: view.Table,
    slots: Iterable[int],
    seen: int,
    revision: int,
) -> view.Table:
    """Return the table with placing begun in these kept slots.

    :param seen: revision that the proposer saw; slots that became kept
        after it are left alone
    :param revision: revision of the view that gets the table
    """
    named = frozenset(slots)

    def begun(state: view.SlotState) -> view.SlotState:
        if state.slot not in named or state.since > seen:
            return state
        return attrs.evolve(state, placing=True)

    kept = tuple(begun(state) for state in table.kept)
    return _changed(table, table.bases, kept, revision)


def pinned(
    table: view.Table,
    slots: Iterable[int],
    base: int,
    seen: int,
    revision: int,
) -> view.Table:
    """Return the table with the unrecorded flows of these slots at `base`.

    A slot whose new flows go there too is pinned to it; one that has
    another target meanwhile stays kept with the new base.

    :param seen: revision that the proposer saw; slots that got their
        base after it are left alone
    :param revision: revision of the view that gets the table
    """
    named = frozenset(slots)
    bases = list(table.bases)
    kept = []
    for state in table.kept:
        stale = state.since > seen or not state.placing
        if state.slot not in named or stale:
            kept.append(state)
            continue
        bases[state.slot] = base
        if state.next == base:
            continue
        since = revision
        if state.base == base:
            since = state.since
        kept.append(attrs.evolve(state, base=base, since=since))
    return _changed(table, tuple(bases), tuple(kept), revision)


def _weights(
    service: view.Service,
    upstreams: Iterable[view.Upstream],
    out: frozenset[str],
) -> dict[int, int]:
    """Return the weight of each upstream that may get new flows."""
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
    kept: dict[int, view.SlotState],
    weights: dict[int, int],
) -> list[int]:
    """Return the upstream id for new flows of each slot, 0 for none."""
    targets = list(table.bases)
    for slot, state in kept.items():
        targets[slot] = state.next
    if not weights:
        return [0] * len(targets)
    held = collections.Counter(targets)
    quotas = _quotas(len(targets), held, weights)
    spare = {
        id_: held[id_] - quotas.get(id_, 0)
        for id_ in held
        if held[id_] > quotas.get(id_, 0)
    }
    lacking = {
        id_: quota - held[id_]
        for id_, quota in quotas.items()
        if quota > held[id_]
    }
    if lacking:
        free = _free(targets, kept, spare, lacking)
        _fill(targets, table.bases, free, lacking)
    return targets


def _quotas(
    slots: int,
    held: dict[int, int],
    weights: dict[int, int],
) -> dict[int, int]:
    """Divide the slots by weight; odd ones go where fewest slots move."""
    total = sum(weights.values())
    quotas = {}
    odd = []
    for id_, weight in weights.items():
        quotas[id_], rest = divmod(slots * weight, total)
        if rest:
            has_it = held.get(id_, 0) > quotas[id_]
            odd.append((not has_it, -rest, id_))
    left = slots - sum(quotas.values())
    for _, _, id_ in sorted(odd)[:left]:
        quotas[id_] += 1
    return quotas


def _free(
    targets: list[int],
    kept: dict[int, view.SlotState],
    spare: dict[int, int],
    lacking: dict[int, int],
) -> list[int]:
    """Choose the slots that must move, kept ones first.

    A kept slot that may go home to its base goes before all others: it
    will be pinned soonest.
    """

    def home(slot: int) -> bool:
        return kept[slot].base not in lacking

    order = sorted(kept, key=lambda slot: (home(slot), slot))
    order += [slot for slot in range(len(targets)) if slot not in kept]
    left = dict(spare)
    free = []
    for slot in order:
        target = targets[slot]
        if left.get(target):
            left[target] -= 1
            free.append(slot)
    return free


def _fill(
    targets: list[int],
    bases: tuple[int, ...],
    free: list[int],
    lacking: dict[int, int],
) -> None:
    """Give the free slots to those that lack some, home ones first."""
    left = dict(lacking)
    others = []
    for slot in free:
        base = bases[slot]
        if left.get(base):
            left[base] -= 1
            targets[slot] = base
        else:
            others.append(slot)
    takers = [id_ for id_ in sorted(left) for _ in range(left[id_])]
    for slot, taker in zip(others, takers, strict=True):
        targets[slot] = taker


def _with_targets(
    table: view.Table,
    kept: dict[int, view.SlotState],
    targets: list[int],
    revision: int,
) -> view.Table:
    bases = list(table.bases)
    states = []
    for slot, target in enumerate(targets):
        base = bases[slot]
        state = kept.get(slot)
        if state is None:
            if base == target:
                continue
            if base == 0:
                bases[slot] = target
                continue
            state = view.SlotState(slot, base, target, False, revision)
        elif state.next != target:
            if target == base and not state.placing:
                continue
            state = attrs.evolve(state, next=target)
        states.append(state)
    return _changed(table, tuple(bases), tuple(states), revision)


def _changed(
    table: view.Table,
    bases: tuple[int, ...],
    kept: tuple[view.SlotState, ...],
    revision: int,
) -> view.Table:
    if bases == table.bases and kept == table.kept:
        return table
    return attrs.evolve(
        table,
        bases=bases,
        kept=kept,
        revision=revision,
    )
