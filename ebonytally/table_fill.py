"""Plain round-robin tables, behind the calls of the flow tables."""

import attrs

from ebonytally import view


def replan(
    table: view.Table | None,
    service: view.Service,
    upstreams: tuple[view.Upstream, ...],
    out: tuple[str, ...],
) -> view.Table:
    """Return the table of `service` for its present upstreams."""
    usable = [
        up.id
        for up in upstreams
        if up.state is view.UpstreamState.UP
        and up.data_centre in service.data_centres
        and up.data_centre not in out
    ]
    if not usable:
        return view.Table(service.name, (0,) * service.slots)
    usable.sort()
    count = len(usable)
    bases = tuple(usable[slot % count] for slot in range(service.slots))
    return view.Table(service.name, bases)


def placing(table: view.Table, slots: tuple[int, ...]) -> view.Table:
    """Return the table with keepers placing flows of `slots`."""
    wanted = set(slots)
    kept = tuple(
        attrs.evolve(state, placing=True) if state.slot in wanted else state
        for state in table.kept
    )
    return attrs.evolve(table, kept=kept)


def pinned(
    table: view.Table,
    slots: tuple[int, ...],
    base: int,
) -> view.Table:
    """Return the table with `slots` pinned to `base`."""
    wanted = set(slots)
    bases = tuple(
        base if slot in wanted else old for slot, old in enumerate(table.bases)
    )
    kept = tuple(state for state in table.kept if state.slot not in wanted)
    return attrs.evolve(table, bases=bases, kept=kept)
