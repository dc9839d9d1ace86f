"""A data centre departs and returns, planned and unplanned.

Assumed: the fabric hands packets to living entry VMs only; an attempt at
a dead data centre ends after the silence limit; requests that a dead
entry VM had in hand are lost. Requests are counted in the second in
which they arrived.
"""

from benches import baselines
from benches import virtual
from benches import virtual_upstream
from ebonytally import actions
from ebonytally import commands
from ebonytally import view

CENTRES = ("dc-1", "dc-2", "dc-3", "dc-4")
VMS = [
    ("vm-1", "dc-1"),
    ("vm-2", "dc-2"),
    ("vm-3", "dc-3"),
    ("vm-4", "dc-4"),
    ("vm-5", "dc-1"),
]
ENDPOINTS = 7
SLOTS = 2
MEAN_S = 0.05
LOAD = 0.6
WARM_AFTER = 60
TIMEOUT_S = 2.0
LOST = "dc-2"
WARM_S = 20.0
BEFORE_S = 10.0
OUT_S = 15.0
AFTER_S = 30.0
MARKED_DOWN_S = 3.0
GOOD = 0.99


def world(seed: int, policy: str) -> virtual.World:
    """Return four data centres with seven endpoints."""
    service = view.Service("desk", "10.0.0.1", 80, 6, CENTRES)
    endpoints = [
        virtual_upstream.Endpoint(
            f"10.1.0.{number}",
            "desk",
            CENTRES[number % len(CENTRES)],
            mean_s=MEAN_S,
            done=WARM_AFTER,
            warm_after=WARM_AFTER,
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


def arrivals(bed: virtual.World, load: float, service: str = "desk") -> None:
    """Let requests arrive at a share of full load, for ever."""
    rate = load * ENDPOINTS * SLOTS / MEAN_S

    def arrive() -> None:
        idempotent = bed.random.random() < 0.5
        bed.call(service, TIMEOUT_S, idempotent)
        bed.after(bed.random.expovariate(rate), arrive)

    arrive()


def depart(bed: virtual.World, planned: bool) -> None:
    """Take the data centre out, or let all of it vanish."""
    if planned:
        bed.apply(commands.DataCentreOut(LOST))
        return
    for one in bed.endpoints.values():
        if one.data_centre == LOST:
            one.silent = True
    for vm in bed.vms.values():
        if vm.data_centre == LOST:
            vm.alive = False
            down = commands.VmMarked(vm.name, view.VmState.DOWN, 0)
            bed.after(MARKED_DOWN_S, lambda cmd=down: bed.apply(cmd))


def come_back(bed: virtual.World, planned: bool) -> None:
    """Bring it back: everything there has started anew."""
    if planned:
        bed.apply(commands.DataCentreBack(LOST))
        return
    for vm in bed.vms.values():
        if vm.data_centre == LOST:
            bed.revive(vm.name)
            bed.apply(commands.VmMarked(vm.name, view.VmState.UP, 1))
    for one in bed.endpoints.values():
        if one.data_centre == LOST:
            one.silent = False
            bed.restart(one)


def answered(call: virtual.Call) -> bool:
    """Whether a call had its answer within its deadline."""
    if call.answer is None or call.ended > call.deadline:
        return False
    return call.answer.outcome is actions.Outcome.ANSWERED


def one_run(seed: int, policy: str, planned: bool) -> dict[str, object]:
    """Return the figures of one departure and return."""
    bed = world(seed, policy)
    bed.run(1.0)
    bed.after(0.0, lambda: arrivals(bed, LOAD))
    out_at = WARM_S + BEFORE_S
    back_at = out_at + OUT_S
    end = back_at + AFTER_S
    bed.after(out_at - bed.now, lambda: depart(bed, planned))
    bed.after(back_at - bed.now, lambda: come_back(bed, planned))
    bed.run(end + TIMEOUT_S + 1.0)
    shares = []
    wanted = [
        call
        for call in bed.calls.values()
        if out_at - BEFORE_S <= call.at < end
    ]
    for second in range(int(end - out_at + BEFORE_S)):
        begins = out_at - BEFORE_S + second
        those = [one for one in wanted if begins <= one.at < begins + 1]
        good = sum(answered(one) for one in those)
        shares.append(round(good / max(1, len(those)), 4))
    after = shares[int(BEFORE_S) :]
    bad = [second for second, share in enumerate(after) if share < GOOD]
    first = [second for second in bad if second < OUT_S]
    return {
        "answered_share": round(
            sum(answered(one) for one in wanted) / len(wanted),
            5,
        ),
        "worst_second_share": min(shares),
        "recovered_after_s": max(first, default=-1) + 1,
        "seconds_below_99_percent": len(bad),
        "share_by_s": shares,
        "fell_over": sum(one.fell for one in bed.endpoints.values()),
        "above_slots": sum(one.above for one in bed.endpoints.values()),
    }


def run(seed: int, json_only: bool) -> dict[str, object]:
    """Return the figures of all policies."""
    return {
        f"{policy}_{'planned' if planned else 'unplanned'}": one_run(
            seed,
            policy,
            planned,
        )
        for policy in baselines.POLICIES
        for planned in (True, False)
    }
