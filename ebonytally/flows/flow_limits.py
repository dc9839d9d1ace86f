"""Limits of open flows for each upstream, divided among owners."""

import collections
from collections.abc import Iterator

import attrs

from ebonytally.flows import flow_environment
from ebonytally.flows import flow_records
from ebonytally.flows import flow_routes
from ebonytally import view

FIRST = 0
SECOND = 1


@attrs.define
class _SlotCounts:
    """Number of slots that may have flows of each upstream.

    :param owned: by role (FIRST, SECOND), those that this entry VM owns
    """

    table: view.Table
    total: collections.Counter
    owned: tuple[collections.Counter, collections.Counter]


@attrs.define
class Limits:
    """Enforces each upstream's limit of open flows.

    First owners divide the limit among them, by the slots that may have
    flows of the upstream; so do second owners. A flow needs room at both.
    """

    env: flow_environment.Environment
    counts: flow_records.Counts
    _slot_counts: dict[str, _SlotCounts] = attrs.field(factory=dict)

    def on_owners_change(self) -> None:
        """Recount the open flows by the present owners of slot groups."""
        local_vm = self.env.local_vm
        roles = tuple(
            frozenset(
                group for group, name in enumerate(names) if name == local_vm
            )
            for names in (
                self.env.owners.first,
                self.env.owners.second,
            )
        )
        self._slot_counts = {}
        self.counts.set_roles(*roles)

    def has_room(
        self,
        route: flow_routes.Route,
        group: int,
        target: flow_routes.Target,
    ) -> bool:
        """Return whether a flow of a group may begin at an upstream."""
        role = FIRST
        if self.env.owners.first[group] != self.env.local_vm:
            role = SECOND
        counted = self.slot_counts(route)
        if not self.env.leased and not counted.owned[role][target.id]:
            # Without a lease, flows are placed at upstreams without an owned
            # slot too; each VM has an equal share of their limits.
            share = target.connections // max(1, len(self.env.state.vms))
            return self.counts.open_at(role, target.id) < share
        room = counted.owned[role][target.id] * target.connections
        room //= max(1, counted.total[target.id])
        return self.counts.open_at(role, target.id) < room

    def slot_counts(self, route: flow_routes.Route) -> _SlotCounts:
        """Return the slot counts of a route, cached for its table."""
        counted = self._slot_counts.get(route.service.name)
        if counted is not None and counted.table is route.table:
            return counted
        total = collections.Counter()
        owned = (collections.Counter(), collections.Counter())
        owners = self.env.owners
        for slot, upstream in _slot_upstreams(route):
            group = route.group(slot)
            total[upstream] += 1
            if owners.first[group] == self.env.local_vm:
                owned[FIRST][upstream] += 1
            if owners.second[group] == self.env.local_vm:
                owned[SECOND][upstream] += 1
        counted = _SlotCounts(route.table, total, owned)
        self._slot_counts[route.service.name] = counted
        return counted


def _slot_upstreams(route: flow_routes.Route) -> Iterator[tuple[int, int]]:
    """Yield pairs of slot and an upstream that may have flows of it."""
    yield from enumerate(route.table.bases)
    for slot, state in route.tracked.items():
        if state.target != state.base:
            yield slot, state.target
