"""Decision logic of the entry role, without any I/O."""

from ebonytally import actions
from ebonytally import deployment as deployments
from ebonytally.echo import explain
from ebonytally.echo import forwarder
from ebonytally.echo import packets
from ebonytally.echo import placing
from ebonytally.feed import follower
from ebonytally.load import composition
from ebonytally.load import gauges
from ebonytally import recorder as recorders
from ebonytally.registry import limits
from ebonytally.registry import registry as registries


class EntryNode:
    """Forwards packets by the configuration and registry of control VMs."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Create a node that knows no control VM except the seeds.

        :param seed: of the random choice of upstreams
        """
        local_vm = deployment.cfg.name
        self._registry = registries.Registry(
            local_vm,
            limits.limits(deployment),
            recorder,
            deployment.data_centres,
        )
        self.follower = follower.Follower(
            deployment.seeds,
            self._registry,
            recorder,
        )
        self.decisions = composition.build(
            deployment, self._registry, self.follower, recorder, seed
        )
        placement = placing.Placing(
            self._registry,
            self.follower,
            deployment.cold_slack,
            deployment.cfg.data_centre,
            seed,
            self.decisions.capacity,
            self.decisions.spill,
        )
        self.forwarder = forwarder.Forwarder(
            self._registry,
            self.follower,
            placement,
            recorder,
            self.decisions.observers,
            self.decisions.gate,
            self.decisions.delay,
        )
        self.explainer = explain.Explainer(
            self._registry,
            self.follower,
            placement,
            self.forwarder,
            self.decisions,
            deployment.cfg.data_centre,
        )
        self.gauges = gauges.Gauges(self.decisions, self._registry)
        self._stopping = False

    def is_ready(self) -> bool:
        """Return whether the fabric should send packets to this VM."""
        return not self._stopping and self.follower.is_complete()

    def stop(self) -> None:
        """Report not ready; packets that still arrive are forwarded."""
        self._stopping = True

    def handle_packet(
        self,
        packet: packets.Packet,
        now: float,
    ) -> tuple[forwarder.Actions, list[actions.Action]]:
        """Handle a caller's packet.

        :return: packets to send, and messages to control VMs
        """
        output = self.forwarder.handle_packet(packet, now)
        if not self.forwarder.needs_update:
            return output, []
        self.forwarder.needs_update = False
        return output, self.follower.poll_now(now)

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message from a control VM."""
        actions_ = self.follower.handle(peer, msg, now)
        self.decisions.shared_load.handle(peer, msg, now)
        self.forwarder.on_update()
        return actions_

    def tick(
        self,
        now: float,
    ) -> tuple[forwarder.Actions, list[actions.Action]]:
        """Run the timers.

        :return: packets to send, and messages to control VMs
        """
        self._registry.expire(now)
        messages = self.follower.tick(now) + self.decisions.tick(now)
        return self.forwarder.tick(now), messages
