"""Capacity of each service before and after a plan."""

from collections import abc

from ebonytally.intents import plan_messages as messages
from ebonytally import view
from ebonytally import view_find

_UNKNOWN = -1


def compare(
    before: view.View,
    after: view.View,
    facts: messages.VmFacts,
) -> tuple[messages.Capacity, ...]:
    """Return the capacity of each service of both views, sorted by name."""
    names = {service.name for service in (*before.services, *after.services)}
    return tuple(
        _capacity(name, before, after, facts) for name in sorted(names)
    )


def open_flows(
    upstreams: abc.Iterable[view.Upstream],
    facts: messages.VmFacts,
) -> int:
    """Return the number of open flows on these upstreams, -1 if unknown."""
    if not facts.counted_by:
        return _UNKNOWN
    ids = {up.id for up in upstreams}
    return sum(load.open_flows for load in facts.loads if load.upstream in ids)


def is_partial(cfg: view.View, facts: messages.VmFacts) -> bool:
    """Return whether the counts of some entry VM that is up are missing."""
    up = sum(vm.state is view.VmState.UP for vm in cfg.vms)
    return 0 < facts.counted_by < up


def usable_upstreams(cfg: view.View, name: str) -> list[view.Upstream]:
    """Return the upstreams of a service that get new flows and requests."""
    active = active_data_centres(cfg, name)
    return [
        up
        for up in cfg.upstreams
        if up.service == name
        and up.state is view.UpstreamState.UP
        and up.data_centre in active
    ]


def active_data_centres(cfg: view.View, name: str) -> tuple[str, ...]:
    """Return the data centres of a service that aren't taken out."""
    service = view_find.find_service(cfg, name)
    if service is None:
        return ()
    return tuple(
        centre for centre in service.data_centres if centre not in cfg.out
    )


def _capacity(
    name: str,
    before: view.View,
    after: view.View,
    facts: messages.VmFacts,
) -> messages.Capacity:
    before_upstreams = usable_upstreams(before, name)
    after_upstreams = usable_upstreams(after, name)
    upstreams = [up for up in before.upstreams if up.service == name]
    return messages.Capacity(
        service=name,
        data_centres_before=len(active_data_centres(before, name)),
        data_centres_after=len(active_data_centres(after, name)),
        upstreams_before=len(before_upstreams),
        upstreams_after=len(after_upstreams),
        slots_before=sum(up.slots for up in before_upstreams),
        slots_after=sum(up.slots for up in after_upstreams),
        connections_before=_connections(before, before_upstreams),
        connections_after=_connections(after, after_upstreams),
        open_flows=open_flows(upstreams, facts),
        running=_running(upstreams, facts),
    )


def _connections(cfg: view.View, upstreams: list[view.Upstream]) -> int:
    if not upstreams:
        return 0
    limit = view_find.find_service(cfg, upstreams[0].service).max_connections
    return sum(min(up.connections, limit) for up in upstreams)


def _running(upstreams: list[view.Upstream], facts: messages.VmFacts) -> int:
    ids = {up.id for up in upstreams}
    known = [
        load.running
        for load in facts.loads
        if load.upstream in ids and load.running >= 0
    ]
    if not facts.counted_by or not known:
        return _UNKNOWN
    return sum(known)
