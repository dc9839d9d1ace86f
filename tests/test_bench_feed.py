"""Tests of the model of the feed: cost by fleet size, delay under faults."""

import pytest

from benches import bench_feed as bench

# A drain, a configuration or an evacuation must be in force in this time.
MAX_DELAY_S = 5.0


@pytest.mark.parametrize("policy", bench.POLICIES)
@pytest.mark.parametrize("fault", bench.FAULTS)
def test_every_change_is_applied_in_time(policy, fault):
    figures = bench.simulate(policy, 60, fault, 3)
    assert figures["not_applied"] == 0
    assert figures["delay_max_s"] <= MAX_DELAY_S


@pytest.mark.parametrize("fault", ["calm", "halves"])
def test_only_a_feed_among_entry_vms_costs_control_vms_the_same(fault):
    small = {
        policy: bench.simulate(policy, 40, fault, 2)["control_bytes_per_s"]
        for policy in ("polls", "slow_epidemic")
    }
    large = {
        policy: bench.simulate(policy, 160, fault, 2)["control_bytes_per_s"]
        for policy in ("polls", "slow_epidemic")
    }
    assert large["polls"] > 3 * small["polls"]
    assert large["slow_epidemic"] < 1.2 * small["slow_epidemic"]


def test_lost_datagrams_delay_pushes_until_the_next_poll():
    calm = bench.simulate("pushes", 40, "calm", 4)
    lossy = bench.simulate("pushes", 40, "loss", 4)
    assert calm["delay_max_s"] < 0.01
    assert lossy["delay_max_s"] > calm["delay_max_s"]
