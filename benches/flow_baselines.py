"""Stateless forwarding baselines with the interface of `flows.Flows`."""

from collections.abc import Mapping

from ebonytally import actions
from ebonytally.flows import flow_packet
from ebonytally import view


class Baseline:
    """An entry VM that knows its view but records no flow."""

    def __init__(self, cfg, local_vm: str, recorder) -> None:
        """Create an entry VM with an empty view."""
        self._view = view.View()
        self._services: Mapping[int, tuple[view.Upstream | None, ...]] = {}

    def handle_packet(self, data: bytes, now: float) -> list[actions.Action]:
        """Forward a packet by the hash of its flow alone."""
        parsed = flow_packet.parse(data)
        if type(parsed) is not flow_packet.Parsed:
            return []
        choices = self._services.get(parsed.service)
        if not choices:
            return []
        up = choices[parsed.flow % len(choices)]
        if up is None:
            return []
        return [actions.Forward(up.id, up.address, up.port, data)]

    def on_view_change(
        self, new: view.View, now: float
    ) -> list[actions.Action]:
        """Rebuild the upstream choices from a newer view."""
        if new.revision <= self._view.revision:
            return []
        self._view = new
        self._services = {
            flow_packet.key(
                service.address, service.port, service.protocol
            ): self._choices(service, new)
            for service in new.services
        }
        return []

    def _choices(
        self,
        service: view.Service,
        state: view.View,
    ) -> tuple[view.Upstream | None, ...]:
        raise NotImplementedError

    def handle(self, peer: str, msg: object, now: float) -> list:
        """Ignore a message: baselines exchange none."""
        return []

    def tick(self, now: float) -> list:
        """Do nothing: there is no periodic work."""
        return []

    def on_connectivity_change(
        self, peers: frozenset, leased: bool, now: float
    ) -> list:
        """Ignore peers and lease: forwarding needs neither."""
        return []

    def stop(self, now: float) -> list:
        """Do nothing: there is no state to hand over."""
        return []

    def is_handed_over(self) -> bool:
        """Return True: there are no records to hand over."""
        return True

    def has_all_records(self, epoch: int) -> bool:
        """Return True: no record has to be imported."""
        return True


class Modulo(Baseline):
    """Hash modulo the number of eligible upstreams."""

    def _choices(self, service, state):
        return tuple(
            up
            for up in state.upstreams
            if up.service == service.name
            and up.state is view.UpstreamState.UP
            and up.share
            and up.data_centre in service.data_centres
            and up.data_centre not in state.out
        )


class Consistent(Baseline):
    """The slot table of this project, without flow records."""

    def _choices(self, service, state):
        usable = {
            up.id: up
            for up in state.upstreams
            if up.data_centre not in state.out
        }
        for table in state.tables:
            if table.service != service.name:
                continue
            targets = list(table.bases)
            for slot in table.tracked:
                targets[slot.slot] = slot.target
            return tuple(usable.get(target) for target in targets)
        return ()
