"""What the packet decision looks up, made from a view."""

from collections.abc import Mapping

import attrs

from ebonytally.flows import flow_keepers
from ebonytally.flows import flow_packet
from ebonytally import view

_MIX = 0x9E3779B97F4A7C15
_HASH_MASK = (1 << flow_packet.HASH_BITS) - 1


@attrs.define
class Target:
    """An upstream of a service that packets may go to.

    :param mix: makes the key of `flow_recent.Recent` from a flow
    """

    id: int
    address: str
    port: int
    data_centre: str
    mix: int
    state: view.UpstreamState
    connections: int


@attrs.define
class Route:
    """One service as the packet decision sees it.

    :param mask: gives the slot of a flow
    :param seed: added to a slot gives its keepers' group
    :param targets: upstreams that may get packets, by id
    :param direct: base of each slot, None for slots that keepers decide
    """

    service: view.Service
    table: view.Table
    mask: int
    seed: int
    targets: dict[int, Target]
    kept: dict[int, view.SlotState]
    direct: list[Target | None]

    def group(self, slot: int) -> int:
        """Return the keepers' group of a slot."""
        return (slot + self.seed) & (flow_keepers.GROUPS - 1)

    def slots(self, group: int) -> range:
        """Return the slots of a keepers' group."""
        first = (group - self.seed) & (flow_keepers.GROUPS - 1)
        return range(first, self.mask + 1, flow_keepers.GROUPS)


def routes(
    new: view.View,
    old: view.View,
    known: Mapping[int, Route],
) -> dict[int, Route]:
    """Return the routes of a view by `flow_packet.key`.

    :param old: the view that `known` was made from; routes of services
        that didn't change since are taken from there
    """
    same_upstreams = new.upstreams == old.upstreams and new.out == old.out
    tables = {table.service: table for table in new.tables}
    found = {}
    for service in new.services:
        table = tables.get(service.name)
        if table is None:
            continue
        key = flow_packet.key(
            service.address,
            service.port,
            service.protocol,
        )
        before = known.get(key)
        if (
            before is not None
            and same_upstreams
            and before.table == table
            and before.service == service
        ):
            found[key] = before
            continue
        found[key] = _route(service, table, new)
    return found


def _route(
    service: view.Service,
    table: view.Table,
    state: view.View,
) -> Route:
    targets = {
        upstream.id: _target(upstream)
        for upstream in state.upstreams
        if upstream.service == service.name
        and upstream.data_centre not in state.out
    }
    kept = {slot.slot: slot for slot in table.kept}
    direct = [targets.get(base) for base in table.bases]
    for slot in kept:
        direct[slot] = None
    return Route(
        service,
        table,
        len(table.bases) - 1,
        flow_keepers.group_seed(service.name),
        targets,
        kept,
        direct,
    )


def _target(upstream: view.Upstream) -> Target:
    return Target(
        upstream.id,
        upstream.address,
        upstream.port,
        upstream.data_centre,
        upstream.id * _MIX & _HASH_MASK,
        upstream.state,
        upstream.connections,
    )
