"""Agreements of both owners on the upstream of unrecorded flows."""

from collections.abc import Iterable

from ebonytally.flows import flow_messages
from ebonytally.flows import flow_routes
from ebonytally import view


class BaseAgreements:
    """Agreements by service and slot, each for one base revision."""

    def __init__(self) -> None:
        """Create an empty set of agreements."""
        self._by_slot: dict[tuple[str, int], flow_messages.BaseAgreement] = {}

    def agreed_base(self, service: str, state: view.SlotState) -> int | None:
        """Return the agreed base of a tracked slot, None without agreement."""
        agreement = self._by_slot.get((service, state.slot))
        if agreement is None or agreement.since != state.base_revision:
            return None
        return agreement.base

    def of_slot(
        self, service: str, slot: int
    ) -> list[flow_messages.BaseAgreement]:
        """Return the agreement on a slot as a list, empty for none."""
        agreement = self._by_slot.get((service, slot))
        return [] if agreement is None else [agreement]

    def add(self, agreement: flow_messages.BaseAgreement) -> None:
        """Store an agreement unless there is a newer one on the slot."""
        key = (agreement.service, agreement.slot)
        previous = self._by_slot.get(key)
        if previous is None or previous.since <= agreement.since:
            self._by_slot[key] = agreement

    def prune(self, routes: Iterable[flow_routes.Route]) -> None:
        """Remove agreements on untracked slots and on superseded bases."""
        wanted = {
            (route.service.name, slot): state.base_revision
            for route in routes
            for slot, state in route.tracked.items()
        }
        self._by_slot = {
            key: agreement
            for key, agreement in self._by_slot.items()
            if agreement.since >= wanted.get(key, agreement.since + 1)
        }
