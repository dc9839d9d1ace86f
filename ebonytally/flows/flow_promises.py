"""Agreements of two keepers on where unrecorded flows of a slot go."""

from collections.abc import Iterable

from ebonytally.flows import flow_messages
from ebonytally.flows import flow_routes
from ebonytally import view


class Promises:
    """Agreements by service and slot; one holds for one `since`."""

    def __init__(self) -> None:
        """Start with none."""
        self._by_slot: dict[tuple[str, int], flow_messages.Promise] = {}

    def base(self, service: str, state: view.SlotState) -> int | None:
        """Return the agreed base of a kept slot, None for none."""
        promise = self._by_slot.get((service, state.slot))
        if promise is None or promise.since != state.since:
            return None
        return promise.base

    def of(self, service: str, slot: int) -> list[flow_messages.Promise]:
        """Return the agreement on a slot, if there is one."""
        promise = self._by_slot.get((service, slot))
        return [] if promise is None else [promise]

    def take(self, promise: flow_messages.Promise) -> None:
        """Hold an agreement, unless one on a later base is held."""
        key = (promise.service, promise.slot)
        before = self._by_slot.get(key)
        if before is None or before.since <= promise.since:
            self._by_slot[key] = promise

    def prune(self, routes: Iterable[flow_routes.Route]) -> None:
        """Drop agreements that no kept slot needs any more."""
        wanted = {
            (route.service.name, slot): state.since
            for route in routes
            for slot, state in route.kept.items()
        }
        self._by_slot = {
            key: promise
            for key, promise in self._by_slot.items()
            if promise.since >= wanted.get(key, promise.since + 1)
        }
