"""What each service can bear before and after a plan."""

from collections import abc

from ebonytally.intents import plan_messages as messages
from ebonytally import view
from ebonytally import view_find

UNKNOWN = -1


def compare(
    before: view.View,
    after: view.View,
    facts: messages.Facts,
) -> tuple[messages.Capacity, ...]:
    """Return the capacity of each service of either view, by name."""
    names = {one.name for one in (*before.services, *after.services)}
    return tuple(
        _capacity(name, before, after, facts) for name in sorted(names)
    )


def open_flows(
    upstreams: abc.Iterable[view.Upstream],
    facts: messages.Facts,
) -> int:
    """Return the open flows on these upstreams, -1 when not known."""
    if not facts.counted_by:
        return UNKNOWN
    ids = {up.id for up in upstreams}
    return sum(load.open_flows for load in facts.loads if load.upstream in ids)


def is_partial(cfg: view.View, facts: messages.Facts) -> bool:
    """Tell whether some entry VM that is up wasn't counted."""
    up = sum(vm.state is view.VmState.UP for vm in cfg.vms)
    return 0 < facts.counted_by < up


def usable(cfg: view.View, name: str) -> list[view.Upstream]:
    """Return the upstreams of a service that take new work."""
    centres = serving(cfg, name)
    return [
        up
        for up in cfg.upstreams
        if up.service == name
        and up.state is view.UpstreamState.UP
        and up.data_centre in centres
    ]


def serving(cfg: view.View, name: str) -> tuple[str, ...]:
    """Return the data centres of a service that aren't out."""
    service = view_find.service_of(cfg, name)
    if service is None:
        return ()
    return tuple(one for one in service.data_centres if one not in cfg.out)


def _capacity(
    name: str,
    before: view.View,
    after: view.View,
    facts: messages.Facts,
) -> messages.Capacity:
    old = usable(before, name)
    new = usable(after, name)
    mine = [up for up in before.upstreams if up.service == name]
    return messages.Capacity(
        service=name,
        data_centres_before=len(serving(before, name)),
        data_centres_after=len(serving(after, name)),
        upstreams_before=len(old),
        upstreams_after=len(new),
        slots_before=sum(up.slots for up in old),
        slots_after=sum(up.slots for up in new),
        connections_before=_connections(before, old),
        connections_after=_connections(after, new),
        open_flows=open_flows(mine, facts),
        running=_running(mine, facts),
    )


def _connections(cfg: view.View, upstreams: list[view.Upstream]) -> int:
    if not upstreams:
        return 0
    limit = view_find.service_of(cfg, upstreams[0].service).max_connections
    return sum(min(up.connections, limit) for up in upstreams)


def _running(upstreams: list[view.Upstream], facts: messages.Facts) -> int:
    ids = {up.id for up in upstreams}
    known = [
        load.running
        for load in facts.loads
        if load.upstream in ids and load.running >= 0
    ]
    if not facts.counted_by or not known:
        return UNKNOWN
    return sum(known)
