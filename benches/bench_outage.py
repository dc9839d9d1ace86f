"""Planned and unplanned outage of a data centre, and its return.

Assumptions: the fabric delivers packets to live entry VMs only; an
attempt at a lost data centre fails after the silence timeout; requests
in progress at a lost entry VM are lost. Requests count in the second
in which they arrive.
"""

from benches import baselines
from benches import virtual
from benches import virtual_upstream
from ebonytally import actions
from ebonytally import commands
from ebonytally import view

DATA_CENTRES = ("dc-1", "dc-2", "dc-3", "dc-4")
VMS = [
    ("vm-1", "dc-1"),
    ("vm-2", "dc-2"),
    ("vm-3", "dc-3"),
    ("vm-4", "dc-4"),
    ("vm-5", "dc-1"),
]
ENDPOINTS = 7
SLOTS = 2
MEAN_REQUEST_S = 0.05
LOAD = 0.6
WARM_AFTER_REQUESTS = 60
TIMEOUT_S = 2.0
LOST_DATA_CENTRE = "dc-2"
WARM_UP_S = 20.0
BEFORE_S = 10.0
OUT_S = 15.0
AFTER_S = 30.0
DOWN_DETECTION_S = 3.0
GOOD_SHARE = 0.99


def make_world(seed: int, policy: str) -> virtual.World:
    """Return a world of four data centres with seven endpoints."""
    service = view.Service("desk", "10.0.0.1", 80, 6, DATA_CENTRES)
    endpoints = [
        virtual_upstream.Endpoint(
            f"10.1.0.{number}",
            "desk",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            mean_s=MEAN_REQUEST_S,
            completed=WARM_AFTER_REQUESTS,
            warm_after=WARM_AFTER_REQUESTS,
        )
        for number in range(ENDPOINTS)
    ]
    return virtual.World(
        seed,
        VMS,
        [service],
        endpoints,
        baselines.POLICIES[policy],
    )


def start_arrivals(
    world: virtual.World, load: float, service: str = "desk"
) -> None:
    """Let requests arrive endlessly.

    :param load: mean rate as a share of the capacity of all endpoints
    """
    rate = load * ENDPOINTS * SLOTS / MEAN_REQUEST_S

    def arrive() -> None:
        idempotent = world.random.random() < 0.5
        world.call(service, TIMEOUT_S, idempotent)
        world.after(world.random.expovariate(rate), arrive)

    arrive()


def start_outage(world: virtual.World, planned: bool) -> None:
    """Take the data centre out of service, or fail all of it at once."""
    if planned:
        world.apply(commands.DataCentreOut(LOST_DATA_CENTRE))
        return
    for endpoint in world.endpoints.values():
        if endpoint.data_centre == LOST_DATA_CENTRE:
            endpoint.silent = True
    for vm in world.vms.values():
        if vm.data_centre == LOST_DATA_CENTRE:
            vm.alive = False
            down = commands.VmMarked(vm.name, view.VmState.DOWN, 0)
            world.after(DOWN_DETECTION_S, lambda cmd=down: world.apply(cmd))


def end_outage(world: virtual.World, planned: bool) -> None:
    """Bring the data centre back; after a failure, restart all of it."""
    if planned:
        world.apply(commands.DataCentreBack(LOST_DATA_CENTRE))
        return
    for vm in world.vms.values():
        if vm.data_centre == LOST_DATA_CENTRE:
            world.restart_vm(vm.name)
            world.apply(commands.VmMarked(vm.name, view.VmState.UP, 1))
    for endpoint in world.endpoints.values():
        if endpoint.data_centre == LOST_DATA_CENTRE:
            endpoint.silent = False
            world.restart_endpoint(endpoint)


def is_answered_in_time(call: virtual.Call) -> bool:
    """Return whether a call was answered by its deadline."""
    if call.answer is None or call.ended > call.deadline:
        return False
    return call.answer.outcome is actions.Outcome.ANSWERED


def measure_outage(seed: int, policy: str, planned: bool) -> dict[str, object]:
    """Return the figures of one outage."""
    world = make_world(seed, policy)
    world.run(1.0)
    world.after(0.0, lambda: start_arrivals(world, LOAD))
    out_at = WARM_UP_S + BEFORE_S
    back_at = out_at + OUT_S
    end = back_at + AFTER_S
    world.after(out_at - world.now, lambda: start_outage(world, planned))
    world.after(back_at - world.now, lambda: end_outage(world, planned))
    world.run(end + TIMEOUT_S + 1.0)
    shares = []
    counted = [
        call
        for call in world.calls.values()
        if out_at - BEFORE_S <= call.at < end
    ]
    for second in range(int(end - out_at + BEFORE_S)):
        begins = out_at - BEFORE_S + second
        arrived = [call for call in counted if begins <= call.at < begins + 1]
        answered = sum(is_answered_in_time(call) for call in arrived)
        shares.append(round(answered / max(1, len(arrived)), 4))
    after_outage = shares[int(BEFORE_S) :]
    degraded = [
        second
        for second, share in enumerate(after_outage)
        if share < GOOD_SHARE
    ]
    before_return = [second for second in degraded if second < OUT_S]
    return {
        "answered_share": round(
            sum(is_answered_in_time(call) for call in counted) / len(counted),
            5,
        ),
        "worst_second_share": min(shares),
        "recovered_after_s": max(before_return, default=-1) + 1,
        "seconds_below_99_percent": len(degraded),
        "share_by_s": shares,
        "fell_over": sum(
            endpoint.crashes for endpoint in world.endpoints.values()
        ),
        "above_slots": sum(
            endpoint.over_slots for endpoint in world.endpoints.values()
        ),
    }


def run(seed: int, json_only: bool) -> dict[str, object]:
    """Return the figures by policy and kind of outage."""
    return {
        f"{policy}_{'planned' if planned else 'unplanned'}": measure_outage(
            seed,
            policy,
            planned,
        )
        for policy in baselines.POLICIES
        for planned in (True, False)
    }
