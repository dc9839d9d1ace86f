"""Endpoints start anew, cold: what they get against what they bear."""

from benches import baselines
from benches import bench_outage
from benches import virtual

WARM_S = 20.0
AFTER_S = 20.0
LOAD = 0.6
UNHEARD_S = 3.0
COUNTS = {"one": 1, "half": 4, "all": bench_outage.ENDPOINTS}


def one_run(
    seed: int,
    policy: str,
    count: int,
    down_s: float,
    unheard_s: float,
) -> dict[str, object]:
    """Return the figures of one restart.

    :param down_s: time between the end and the new start
    :param unheard_s: time until anyone hears of the new start
    """
    bed = bench_outage.world(seed, policy)
    bed.run(1.0)
    bed.after(0.0, lambda: bench_outage.arrivals(bed, LOAD))
    bed.run(WARM_S)
    those = list(bed.endpoints.values())[:count]
    for one in bed.endpoints.values():
        one.fell = 0
        one.highest = 0.0
    for one in those:
        one.muted_until = bed.now + down_s + unheard_s
        bed.stop_endpoint(one, down_s)
    bed.run(WARM_S + AFTER_S + bench_outage.TIMEOUT_S + 1.0)
    wanted = [
        call
        for call in bed.calls.values()
        if WARM_S <= call.at < WARM_S + AFTER_S
    ]
    return {
        "fell_over": sum(one.fell for one in bed.endpoints.values()),
        "highest_load_of_bearable": round(
            max(one.highest for one in those),
            3,
        ),
        "answered_share": round(
            sum(bench_outage.answered(one) for one in wanted) / len(wanted),
            4,
        ),
        "not_run_share": round(_not_run(wanted) / len(wanted), 4),
        "warm_after_s": round(_warm_after(those), 1),
    }


def _not_run(calls: list[virtual.Call]) -> int:
    return sum(
        call.answer is not None and call.answer.outcome == "not_run"
        for call in calls
    )


def _warm_after(those: list) -> float:
    """Return when the last of them was warm, -1 for never."""
    times = [one.warm_at for one in those]
    return max(times) - WARM_S if min(times) > WARM_S else -1.0


def run(seed: int, json_only: bool) -> dict[str, object]:
    """Return the figures of all policies and restarts."""
    out = {}
    for policy in baselines.POLICIES:
        for name, count in COUNTS.items():
            out[f"{policy}_{name}"] = one_run(seed, policy, count, 0.5, 0.0)
    out["lending_all_unheard"] = one_run(
        seed, "lending", COUNTS["all"], 0.5, UNHEARD_S
    )
    out["lending_all_instant"] = one_run(
        seed, "lending", COUNTS["all"], 0.0, UNHEARD_S
    )
    return out
