"""Two plain ways to choose an upstream, with the face of Flows."""

from collections.abc import Mapping

from ebonytally import actions
from ebonytally.flows import flow_packet
from ebonytally import view


class Baseline:
    """An entry VM that knows its own view and no flow."""

    def __init__(self, cfg, me: str, recorder) -> None:
        """Start without a configuration."""
        self._view = view.View()
        self._services: Mapping[int, tuple[view.Upstream | None, ...]] = {}

    def packet(self, data: bytes, now: float) -> list[actions.Action]:
        """Decide by the hash of the flow alone."""
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

    def changed(self, new: view.View, now: float) -> list[actions.Action]:
        """Take a newer configuration."""
        if new.revision <= self._view.revision:
            return []
        self._view = new
        self._services = {
            flow_packet.key(
                one.address, one.port, one.protocol
            ): self._choices(one, new)
            for one in new.services
        }
        return []

    def _choices(
        self,
        service: view.Service,
        state: view.View,
    ) -> tuple[view.Upstream | None, ...]:
        raise NotImplementedError

    def handle(self, peer: str, msg: object, now: float) -> list:
        """Take no message."""
        return []

    def tick(self, now: float) -> list:
        """Do nothing."""
        return []

    def reach(self, peers: frozenset, leased: bool, now: float) -> list:
        """Take no notice."""
        return []

    def stop(self, now: float) -> list:
        """Stop at once."""
        return []

    def handed_over(self) -> bool:
        """Tell that nothing is kept."""
        return True

    def settled(self, epoch: int) -> bool:
        """Tell that nothing is missing."""
        return True


class Modulo(Baseline):
    """Hash modulo the present list of warm upstreams."""

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
    """The slot table of this project, without keepers' exceptions."""

    def _choices(self, service, state):
        alive = {
            up.id: up
            for up in state.upstreams
            if up.data_centre not in state.out
        }
        for table in state.tables:
            if table.service != service.name:
                continue
            targets = list(table.bases)
            for slot in table.kept:
                targets[slot.slot] = slot.next
            return tuple(alive.get(target) for target in targets)
        return ()
