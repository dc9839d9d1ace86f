"""Load of an entry VM as numbers for its metrics."""

import collections

from ebonytally.load import classes
from ebonytally.load import composition
from ebonytally.load import interfaces
from ebonytally.registry import records
from ebonytally.registry import registry as registries

Values = dict[tuple[str, ...], float]


class Gauges:
    """Reads the decisions under load, without any effect on them.

    Each method returns values by their labels.
    """

    def __init__(
        self,
        decisions: composition.Decisions,
        registry: registries.Registry,
    ) -> None:
        """Create it for the decisions of one entry VM."""
        self._decisions = decisions
        self._registry = registry

    def link_pressure(self, now: float) -> Values:
        """Return how full the link is by level, nothing if it isn't known."""
        link = self._decisions.link
        if link is None:
            return {}
        return {
            (level.name.lower(),): link.pressure_of(level, now)
            for level in classes.Level
        }

    def upstreams(self, now: float) -> Values:
        """Return the number of upstreams by learned condition."""
        capacity = self._decisions.capacity
        counts = collections.Counter(
            capacity.condition(entry.record.id, now)
            for entry in self._registry.entries()
            if entry.record.state != records.State.GONE
        )
        return {
            (condition.value,): counts[condition]
            for condition in interfaces.Condition
        }

    def demand_per_s(self, now: float) -> Values:
        """Return the requests a second by service and data centre.

        Nothing without figures, or if they are too old.
        """
        shared = self._decisions.shared_load
        return {
            (service, data_centre): per_s
            for service in shared.services()
            for data_centre, per_s in (
                shared.demand_per_s(service, now) or {}
            ).items()
        }

    def leaving_share(self, now: float) -> Values:
        """Return the shares that leave by service and data centre."""
        return {
            (service, data_centre): share
            for service, shares in self._decisions.spill.shares().items()
            for data_centre, share in shares.items()
        }
