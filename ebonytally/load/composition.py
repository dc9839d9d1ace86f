"""Composition of an entry VM's decisions under load."""

import attrs

from ebonytally import actions
from ebonytally import deployment as deployments
from ebonytally.echo import gate as gates
from ebonytally.feed import follower as followers
from ebonytally.load import admission
from ebonytally.load import capacity as capacities
from ebonytally.load import classes
from ebonytally.load import demand
from ebonytally.load import fair_shares
from ebonytally.load import figures
from ebonytally.load import interfaces
from ebonytally.load import link_delay
from ebonytally.load import link_room
from ebonytally.load import priority_mix
from ebonytally.load import rooms
from ebonytally.load import shared_load
from ebonytally.load import spill as spills
from ebonytally.load import upstream_room
from ebonytally.load import way_cost
from ebonytally import recorder as recorders
from ebonytally.registry import registry as registries


@attrs.frozen
class Decisions:
    """What decides on new flows under load.

    :param link: None if admission is switched off
    :param observers: must hear what packets show about upstreams
    """

    capacity: capacities.Capacity
    shared_load: shared_load.EntryLoad
    spill: spills.SpillShares
    gate: gates.Gate
    delay: link_delay.LinkDelay
    observers: tuple[interfaces.FlowObserver, ...]
    link: link_room.LinkRoom | None = None

    def tick(self, now: float) -> list[actions.Action]:
        """Run the timers; return messages to control VMs."""
        self.delay.on_tick(now)
        self.capacity.tick(now)
        self.spill.tick(now)
        return self.shared_load.tick(now)


def build(
    deployment: deployments.Deployment,
    registry: registries.Registry,
    follower: followers.Follower,
    recorder: recorders.Recorder,
    seed: int,
) -> Decisions:
    """Return the decisions of one entry VM.

    :param seed: of random delays and draws
    """
    home = deployment.cfg.data_centre
    meter = demand.DemandMeter(registry)
    shared = shared_load.EntryLoad(
        follower,
        meter,
        home,
        figures.Checks(deployment.data_centres, recorder),
        recorder,
        seed,
    )
    capacity = capacities.Capacity(registry, recorder, shared)
    shared.use_capacity(capacity)
    ways = way_cost.WayCost(registry, home)
    priorities = priority_mix.PriorityMix(registry, follower)
    spill = spills.SpillShares(
        follower,
        home,
        rooms.Rooms(registry, follower, capacity),
        shared,
        ways,
        priorities,
        recorder,
        seed,
        deployment.load.spill,
    )
    delay = link_delay.LinkDelay()
    known = classes.Classes()
    link = _link(deployment, known, delay)
    return Decisions(
        capacity,
        shared,
        spill,
        _gate(deployment, capacity, spill, link, known, meter, recorder),
        delay,
        (meter, capacity, ways, priorities, delay),
        link,
    )


def _link(
    deployment: deployments.Deployment,
    known: classes.Classes,
    delay: link_delay.LinkDelay,
) -> link_room.LinkRoom | None:
    """Return the room of the link, None without admission."""
    cfg = deployment.load
    if not cfg.admission:
        return None
    return link_room.LinkRoom(
        deployment.link_bytes_s, cfg.reserved_share, known, delay
    )


def _gate(
    deployment: deployments.Deployment,
    capacity: interfaces.Capacity,
    utilisation: interfaces.Utilisation,
    link: link_room.LinkRoom | None,
    known: classes.Classes,
    meter: demand.DemandMeter,
    recorder: recorders.Recorder,
) -> gates.Gate:
    """Return the gate for new flows, open without a link's room."""
    if link is None:
        return gates.Gate(None, None, recorder)
    decisions = admission.LoadAdmission(
        known,
        link,
        upstream_room.UpstreamRoom(
            capacity, deployment.load.reserved_share, known, utilisation
        ),
        fair_shares.FairShares(),
        meter,
    )
    return gates.Gate(decisions, link, recorder)
