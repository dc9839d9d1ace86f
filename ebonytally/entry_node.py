"""All decisions of an entry VM, without any I/O."""

from ebonytally import actions
from ebonytally import deployment as deployments
from ebonytally.echo import forwarder
from ebonytally.echo import packets
from ebonytally.echo import placing
from ebonytally.feed import follower
from ebonytally import recorder as recorders
from ebonytally.register import limits
from ebonytally.register import register as registers


class EntryNode:
    """Passes packets on, by what the control VMs tell."""

    def __init__(
        self,
        told: deployments.Deployment,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Start knowing nothing but the seeds."""
        me = told.cfg.name
        self._register = registers.Register(me, limits.limits(told), recorder)
        self.follower = follower.Follower(
            told.seeds,
            self._register,
            recorder,
        )
        placed = placing.Placing(
            self._register,
            self.follower,
            told.cold_slack,
            told.cfg.data_centre,
            seed,
        )
        self.forwarder = forwarder.Forwarder(
            self._register,
            self.follower,
            placed,
            recorder,
        )
        self._stopping = False

    def ready(self) -> bool:
        """Return whether packets should come here."""
        return not self._stopping and self.follower.complete()

    def stop(self) -> None:
        """Take packets, but ask for no more of them."""
        self._stopping = True

    def packet(
        self,
        packet: packets.Packet,
        now: float,
    ) -> tuple[forwarder.Out, list[actions.Action]]:
        """Decide on a caller's packet."""
        out = self.forwarder.packet(packet, now)
        if not self.forwarder.lacks:
            return out, []
        self.forwarder.lacks = False
        return out, self.follower.ask_now(now)

    def message(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message of a control VM."""
        out = self.follower.handle(peer, msg, now)
        self.forwarder.changed()
        return out

    def tick(
        self,
        now: float,
    ) -> tuple[forwarder.Out, list[actions.Action]]:
        """Do what is due."""
        self._register.expire(now)
        return self.forwarder.tick(now), self.follower.tick(now)
