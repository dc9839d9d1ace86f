"""The open flows that an upstream bears, divided among keepers."""

import attrs

from ebonytally import flow_keepers
from ebonytally import flow_records
from ebonytally import flow_routes
from ebonytally import flow_site

FIRST = 0
SECOND = 1


@attrs.define
class Limits:
    """Says whether an upstream has room for one more flow.

    First keepers and second keepers each divide the limit by the number
    of groups that they keep; a flow needs room at both.
    """

    site: flow_site.Site
    counts: flow_records.Counts
    _groups: tuple[int, int] = (0, 0)

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
        self._groups = tuple(len(groups) for groups in roles)
        self.counts.roles(*roles)

    def has_room(self, group: int, target: flow_routes.Target) -> bool:
        """Tell whether a flow of a group may begin at an upstream."""
        role = FIRST
        if self.site.keepers.first[group] != self.site.me:
            role = SECOND
        if not self.site.leased:
            role = FIRST
        part = self._groups[role] * target.connections
        part //= flow_keepers.GROUPS
        return self.counts.of(role, target.id) < part
