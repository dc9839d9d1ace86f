"""Tests of upstream selection for new flows, against baselines."""

import pytest

from benches import bench_placing as bench


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("load", "unreachable"), [(0.7, True), (0.9, False)])
def test_product_beats_random_and_two_choices(load, unreachable, seed):
    summaries = {}
    for name in ("product", "random", "two_choices"):
        policy = bench.POLICIES[name](seed)
        simulation = bench.Simulation(policy, load, unreachable, seed)
        summaries[name] = bench.summary(simulation.run(), simulation)
    product = summaries.pop("product")
    for baseline in summaries.values():
        assert product["in_aim_share"] > baseline["in_aim_share"]
        assert product["refused_share"] < baseline["refused_share"]
    assert product["lost_share"] == 0.0
