"""Priorities of a service's requests, and what their routes allow.

Handles the load condition that only a part of the load has to leave: the
lowest priorities leave first, if their callers can wait for the way.
"""

import math

import attrs

from ebonytally.echo import forwarder
from ebonytally.feed import follower as followers
from ebonytally.load import interfaces
from ebonytally.registry import registry as registries

# Time constant with which seen requests lose their weight. An entry VM sees
# 10 to 30 requests a second, so that shares of the mix are within 15%.
MIX_S = 2.0


@attrs.frozen
class Bounds:
    """Strictest limits of the routes of one service and priority."""

    target_latency_s: float = math.inf
    timeout_s: float = math.inf


@attrs.define
class _Mix:
    """Requests by priority, weighted by age as at `counted_at`."""

    counts: dict[int, float] = attrs.field(factory=dict)
    counted_at: float = 0.0

    def age(self, now: float) -> None:
        """Reduce the weights to those at `now`."""
        factor = math.exp(min(0.0, self.counted_at - now) / MIX_S)
        self.counted_at = now
        for priority in self.counts:
            self.counts[priority] *= factor


class PriorityMix(interfaces.FlowObserver):
    """Learns the mix of priorities as an `interfaces.FlowObserver`."""

    def __init__(
        self,
        registry: registries.Registry,
        follower: followers.Follower,
    ) -> None:
        """Create it without requests."""
        self._registry = registry
        self._follower = follower
        self._mixes: dict[str, _Mix] = {}
        self._version = 0
        self._priorities: dict[bytes, int] = {}
        self._bounds: dict[str, dict[int, Bounds]] = {}

    def shares(self, service: str, now: float) -> dict[int, float]:
        """Return the share of requests by priority, their sum 1.

        Priorities of the service's routes without requests have share 0.
        """
        priorities = dict.fromkeys(self.bounds(service), 0.0)
        mix = self._mixes.get(service)
        if mix is not None:
            mix.age(now)
            priorities |= mix.counts
        total = sum(priorities.values())
        if total <= 0.0:
            count = len(priorities)
            return dict.fromkeys(priorities, 1.0 / count) if count else {}
        return {
            priority: count / total for priority, count in priorities.items()
        }

    def bounds(self, service: str) -> dict[int, Bounds]:
        """Return the limits of a service's routes by priority."""
        self._update()
        return self._bounds.get(service, {})

    def on_request_end(
        self,
        upstream: str,
        service_address: bytes,
        answer_bytes: int,
        now: float,
    ) -> None:
        """Count a request by its route's priority."""
        self._update()
        entry = self._registry.get(upstream)
        priority = self._priorities.get(service_address)
        if entry is None or priority is None:
            return
        mix = self._mixes.setdefault(entry.record.service, _Mix())
        mix.age(now)
        mix.counts[priority] = mix.counts.get(priority, 0.0) + 1.0

    def _update(self) -> None:
        """Read the routes of a newer configuration."""
        view = self._follower.view
        if view.version == self._version:
            return
        self._version = view.version
        self._priorities = {}
        self._bounds = {}
        for route in view.content.routes:
            address = forwarder.service_address_of(route)
            self._priorities[address] = route.priority
            for target in route.targets:
                if not target.weight:
                    continue
                by_priority = self._bounds.setdefault(target.service, {})
                known = by_priority.get(route.priority, Bounds())
                by_priority[route.priority] = Bounds(
                    min(known.target_latency_s, route.target_latency_s),
                    min(known.timeout_s, route.timeout_s),
                )
        self._mixes = {
            service: mix
            for service, mix in self._mixes.items()
            if service in self._bounds
        }
