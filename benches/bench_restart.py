"""Cold restarts of endpoints: their load against what they can serve."""

from benches import baselines
from benches import bench_outage
from benches import virtual

WARM_UP_S = 20.0
AFTER_S = 20.0
LOAD = 0.6
UNHEARD_S = 3.0
COUNTS = {"one": 1, "half": 4, "all": bench_outage.ENDPOINTS}


def measure_restart(
    seed: int,
    policy: str,
    count: int,
    down_s: float,
    unheard_s: float,
) -> dict[str, object]:
    """Return the figures of one restart.

    :param count: number of endpoints that restart
    :param down_s: time between stop and start
    :param unheard_s: time from start to the first announcement
    """
    world = bench_outage.make_world(seed, policy)
    world.run(1.0)
    world.after(0.0, lambda: bench_outage.start_arrivals(world, LOAD))
    world.run(WARM_UP_S)
    restarted = list(world.endpoints.values())[:count]
    for endpoint in world.endpoints.values():
        endpoint.crashes = 0
        endpoint.max_cold_load = 0.0
    for endpoint in restarted:
        endpoint.muted_until = world.now + down_s + unheard_s
        world.stop_endpoint(endpoint, down_s)
    world.run(WARM_UP_S + AFTER_S + bench_outage.TIMEOUT_S + 1.0)
    counted = [
        call
        for call in world.calls.values()
        if WARM_UP_S <= call.at < WARM_UP_S + AFTER_S
    ]
    return {
        "fell_over": sum(
            endpoint.crashes for endpoint in world.endpoints.values()
        ),
        "highest_load_of_bearable": round(
            max(endpoint.max_cold_load for endpoint in restarted),
            3,
        ),
        "answered_share": round(
            sum(bench_outage.is_answered_in_time(call) for call in counted)
            / len(counted),
            4,
        ),
        "not_run_share": round(_count_not_run(counted) / len(counted), 4),
        "warm_after_s": round(_warm_after_s(restarted), 1),
    }


def _count_not_run(calls: list[virtual.Call]) -> int:
    return sum(
        call.answer is not None and call.answer.outcome == "not_run"
        for call in calls
    )


def _warm_after_s(restarted: list) -> float:
    """Return the time until all endpoints are warm, -1 if one is not."""
    times = [endpoint.warm_at for endpoint in restarted]
    return max(times) - WARM_UP_S if min(times) > WARM_UP_S else -1.0


def run(seed: int, json_only: bool) -> dict[str, object]:
    """Return the figures by policy and kind of restart."""
    figures = {}
    for policy in baselines.POLICIES:
        for name, count in COUNTS.items():
            figures[f"{policy}_{name}"] = measure_restart(
                seed, policy, count, 0.5, 0.0
            )
    figures["lending_all_unheard"] = measure_restart(
        seed, "lending", COUNTS["all"], 0.5, UNHEARD_S
    )
    figures["lending_all_instant"] = measure_restart(
        seed, "lending", COUNTS["all"], 0.0, UNHEARD_S
    )
    return figures
