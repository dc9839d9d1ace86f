"""The open flows that an upstream bears, divided among keepers."""

import collections
from collections.abc import Iterator

import attrs

from ebonytally.flows import flow_records
from ebonytally.flows import flow_routes
from ebonytally.flows import flow_site
from ebonytally import view

FIRST = 0
SECOND = 1


@attrs.define
class _Parts:
    """Slots of a table that may hold flows of each upstream.

    :param own: by role, those that this entry VM keeps
    """

    table: view.Table
    all: collections.Counter
    own: tuple[collections.Counter, collections.Counter]


@attrs.define
class Limits:
    """Says whether an upstream has room for one more flow.

    First keepers and second keepers each divide the limit by the slots
    that may hold flows of the upstream; a flow needs room at both.
    """

    site: flow_site.Site
    counts: flow_records.Counts
    _parts: dict[str, _Parts] = attrs.field(factory=dict)

    def changed(self) -> None:
        """Take the keepers of the site."""
        me = self.site.me
        roles = tuple(
            frozenset(group for group, name in enumerate(names) if name == me)
            for names in (
                self.site.keepers.first,
                self.site.keepers.second,
            )
        )
        self._parts = {}
        self.counts.roles(*roles)

    def has_room(
        self,
        route: flow_routes.Route,
        group: int,
        target: flow_routes.Target,
    ) -> bool:
        """Tell whether a flow of a group may begin at an upstream."""
        role = FIRST
        if self.site.keepers.first[group] != self.site.me:
            role = SECOND
        parts = self.prepare(route)
        if not self.site.leased and not parts.own[role][target.id]:
            # Cut off, it places flows in slots of other upstreams.
            share = target.connections // max(1, len(self.site.state.vms))
            return self.counts.of(role, target.id) < share
        room = parts.own[role][target.id] * target.connections
        room //= max(1, parts.all[target.id])
        return self.counts.of(role, target.id) < room

    def prepare(self, route: flow_routes.Route) -> _Parts:
        """Count the slots of a route's upstreams, once for each table."""
        found = self._parts.get(route.service.name)
        if found is not None and found.table is route.table:
            return found
        both = collections.Counter()
        own = (collections.Counter(), collections.Counter())
        keepers = self.site.keepers
        for slot, upstream in _holders(route):
            group = route.group(slot)
            both[upstream] += 1
            if keepers.first[group] == self.site.me:
                own[FIRST][upstream] += 1
            if keepers.second[group] == self.site.me:
                own[SECOND][upstream] += 1
        found = _Parts(route.table, both, own)
        self._parts[route.service.name] = found
        return found


def _holders(route: flow_routes.Route) -> Iterator[tuple[int, int]]:
    """Yield each slot with each upstream that may have flows of it."""
    yield from enumerate(route.table.bases)
    for slot, state in route.kept.items():
        if state.next != state.base:
            yield slot, state.next
