"""What callers get by the placing of new flows, against baselines."""

import pytest

from benches import bench_placing as bench


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("load", "dark"), [(0.7, True), (0.9, False)])
def test_callers_get_more_than_by_chance_or_two_choices(load, dark, seed):
    served = {}
    for name in ("product", "random", "two_choices"):
        policy = bench.POLICIES[name](seed)
        play = bench.Play(policy, load, dark, seed)
        served[name] = bench.summary(play.run(), play)
    mine = served.pop("product")
    for other in served.values():
        assert mine["in_aim_share"] > other["in_aim_share"]
        assert mine["refused_share"] < other["refused_share"]
    assert mine["lost_share"] == 0.0
