"""Tests of the model of the feed: cost by fleet size, delay under faults."""

import pytest

from benches import bench_feed as bench
from benches import feed_model
from ebonytally.feed import messages
from ebonytally import peer_datagrams
from ebonytally.registry import records
from ebonytally import wire

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


def test_sizes_are_those_of_the_product():
    names = tuple(f"10.{n}.0.139" for n in range(7))
    record = records.Record(
        "i-786f44329d",
        1769247349745,
        1234,
        records.State.READY,
        "service",
        "10.128.64.25",
        8367,
        "north",
        2,
        "10.12.0.139",
        1.234,
    )

    def size(msg):
        frame = wire.encode(bytes(32), "10.12.0.139", msg)
        return len(frame) + peer_datagrams.OVERHEAD_BYTES

    def update(records_=(), names=()):
        fields = (123456, 2**47, 70000, 70001, False, records_, 1234, 12)
        return size(messages.Update(*fields, None, names, True, 78))

    poll = messages.Poll(123456, 2**47, 70000, 1234, 12, True, 2**63)
    empty = update()
    assert size(poll) == pytest.approx(feed_model.POLL_BYTES, abs=4)
    assert empty == pytest.approx(feed_model.ANSWER_BYTES, abs=4)
    name_bytes = (update(names=names) - empty) / len(names)
    assert name_bytes == pytest.approx(feed_model.NAME_BYTES, abs=1)
    record_bytes = update(records_=(record,)) - empty
    assert record_bytes == pytest.approx(feed_model.CHANGE_BYTES, abs=4)
