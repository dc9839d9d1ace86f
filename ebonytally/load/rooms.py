"""Room of each service by data centre: how many requests a second fit.

Handles the load condition that data centres differ in the number and the
speed of the upstreams that are ready.
"""

from collections.abc import Mapping

import attrs

from ebonytally.feed import follower as followers
from ebonytally.load import interfaces
from ebonytally.registry import records
from ebonytally.registry import registry as registries

# The upstreams are grouped anew at most this often while they change.
GROUP_INTERVAL_S = 0.25
# Speeds and cold upstreams change without a change of the registry.
MEASURE_INTERVAL_S = 1.0


@attrs.frozen
class Room:
    """Room of a service in one data centre.

    :param per_s: requests a second
    :param upstreams: number of upstreams that are ready and not cold
    :param service_time_s: of a request at an upstream of usual speed
    """

    per_s: float
    service_time_s: float
    slots: int
    upstreams: int


@attrs.define
class _Service:
    """Ready upstreams of a service by data centre, and their room."""

    entries: dict[str, list[registries.Entry]] = attrs.field(factory=dict)
    rooms: dict[str, Room] | None = None
    measured_at: float = -1e9


class Rooms:
    """Adds up the room of the ready upstreams that aren't evacuated."""

    def __init__(
        self,
        registry: registries.Registry,
        follower: followers.Follower,
        capacity: interfaces.Capacity | None,
    ) -> None:
        """Create it without any figures.

        :param capacity: without it, no room is known
        """
        self._registry = registry
        self._follower = follower
        self._capacity = capacity
        self._services: dict[str, _Service] = {}
        self._grouped_at = -1e9
        self._grouped_of = (-1, 0, frozenset[str]())

    def update(self, now: float) -> None:
        """Group the upstreams anew if they or the configuration changed."""
        view = self._follower.view
        made_of = (self._registry.revision, view.version, view.out)
        if made_of == self._grouped_of:
            return
        if now - self._grouped_at < GROUP_INTERVAL_S:
            return
        self._grouped_at = now
        self._grouped_of = made_of
        self._services = self._group_entries(view.out)

    def services(self) -> list[str]:
        """Return the services with a ready upstream anywhere."""
        return list(self._services)

    def by_data_centre(
        self, service: str, now: float
    ) -> Mapping[str, Room] | None:
        """Return the room of a service, without data centres that have none.

        :return: None if the time that a request takes isn't known
        """
        known = self._services.get(service)
        if known is None:
            return None
        if now - known.measured_at >= MEASURE_INTERVAL_S:
            known.measured_at = now
            known.rooms = self._measure(service, known, now)
        return known.rooms

    def _measure(
        self, service: str, known: _Service, now: float
    ) -> dict[str, Room] | None:
        if self._capacity is None:
            return None
        service_time_s = self._capacity.service_time_s(service, now)
        if not service_time_s:
            return None
        rooms = {}
        for name, entries in known.entries.items():
            # A cold upstream takes next to nothing for some seconds.
            warm = [entry for entry in entries if entry.cold_until <= now]
            speed = sum(
                entry.record.slots * self._capacity.speed(entry.record.id, now)
                for entry in warm
            )
            if speed > 0.0:
                rooms[name] = Room(
                    speed / service_time_s,
                    service_time_s,
                    sum(entry.record.slots for entry in warm),
                    len(warm),
                )
        return rooms

    def _group_entries(self, out: frozenset[str]) -> dict[str, _Service]:
        services: dict[str, _Service] = {}
        for entry in self._registry.entries():
            record = entry.record
            if record.state != records.State.READY:
                continue
            if record.data_centre in out:
                continue
            if not self._registry.is_usable(record):
                continue
            known = services.get(record.service)
            if known is None:
                known = services[record.service] = _Service()
            known.entries.setdefault(record.data_centre, []).append(entry)
        return services
