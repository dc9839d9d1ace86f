"""Look-up tables for packets, built from the configuration."""

from collections.abc import Mapping

import attrs

from ebonytally.flows import flow_owners
from ebonytally.flows import flow_packet
from ebonytally import view

_KEY_MULTIPLIER = 0x9E3779B97F4A7C15
_HASH_MASK = (1 << flow_packet.HASH_BITS) - 1


@attrs.define
class Target:
    """An upstream of a service that may get packets.

    :param key_mix: XORed with a flow's hash, gives its `flow_recent` key
    :param connections: limit of its open flows
    """

    id: int
    address: str
    port: int
    data_centre: str
    key_mix: int
    state: view.UpstreamState
    connections: int


@attrs.define
class Route:
    """A service's slot table and upstreams, indexed for packets.

    :param mask: ANDed with a flow's hash, gives its slot
    :param group_offset: offset from a slot to its slot group
    :param targets: upstreams that may get packets, by id
    :param tracked: slots that may have flows away from the base, by slot
    :param direct: base of each slot, None where owners must decide
    """

    service: view.Service
    table: view.Table
    mask: int
    group_offset: int
    targets: dict[int, Target]
    tracked: dict[int, view.SlotState]
    direct: list[Target | None]

    def group(self, slot: int) -> int:
        """Return the slot group of a slot."""
        return (slot + self.group_offset) & (flow_owners.GROUPS - 1)

    def slots(self, group: int) -> range:
        """Return the slots of a slot group."""
        first = (group - self.group_offset) & (flow_owners.GROUPS - 1)
        return range(first, self.mask + 1, flow_owners.GROUPS)


def routes(
    new: view.View,
    old: view.View,
    known: Mapping[int, Route],
) -> dict[int, Route]:
    """Return the routes of a view by `flow_packet.key`.

    :param old: view from which `known` was built
    :param known: routes that are reused for unchanged services
    """
    same_upstreams = new.upstreams == old.upstreams and new.out == old.out
    tables = {table.service: table for table in new.tables}
    by_key = {}
    for service in new.services:
        table = tables.get(service.name)
        if table is None:
            continue
        key = flow_packet.key(
            service.address,
            service.port,
            service.protocol,
        )
        previous = known.get(key)
        if (
            previous is not None
            and same_upstreams
            and previous.table == table
            and previous.service == service
        ):
            by_key[key] = previous
            continue
        by_key[key] = _route(service, table, new)
    return by_key


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
    tracked = {slot.slot: slot for slot in table.tracked}
    direct = [targets.get(base) for base in table.bases]
    for slot in tracked:
        direct[slot] = None
    return Route(
        service,
        table,
        len(table.bases) - 1,
        flow_owners.group_seed(service.name),
        targets,
        tracked,
        direct,
    )


def _target(upstream: view.Upstream) -> Target:
    return Target(
        upstream.id,
        upstream.address,
        upstream.port,
        upstream.data_centre,
        upstream.id * _KEY_MULTIPLIER & _HASH_MASK,
        upstream.state,
        upstream.connections,
    )
