"""Choice of upstreams in fleets of any size: cost, balance and failures."""

import collections

import pytest

from ebonytally.echo import placing
from tests import echo_callers
from tests import echo_harness


def home_ids(entry):
    """Return the ids of the upstreams in the entry VM's data centre."""
    return {
        known.record.id
        for known in entry.registry.entries()
        if known.record.data_centre == "north"
    }


@pytest.mark.parametrize("upstreams", [234, 2900])
def test_a_flow_examines_few_upstreams_however_many_there_are(upstreams):
    _, entry = echo_harness.make_fleet_harness(upstreams)
    entry.open(1)
    examined = 0
    load = entry.placing.load

    def counting_load(id_):
        nonlocal examined
        examined += 1
        return load(id_)

    entry.placing.load = counting_load
    for caller in range(2, 102):
        entry.open(caller)
    # Each is looked at twice, to leave out the backed off and to compare;
    # an opening adds a few look-ups of its own.
    assert examined / 100 <= 2 * 2 * placing.MAX_EXAMINED + 8


def test_flows_are_balanced_over_many_upstreams_at_home():
    _, entry = echo_harness.make_fleet_harness(2900)
    flows = collections.Counter(
        entry.open(caller)[0] for caller in range(1, 2 * 725 + 1)
    )
    assert set(flows) <= home_ids(entry)
    assert max(flows.values()) <= 4
    assert len(flows) >= 0.8 * 725


def test_the_only_working_upstreams_of_many_are_found():
    _, entry = echo_harness.make_fleet_harness(400)
    working = {"i-00000007", "i-0000012d"}
    for known in entry.registry.entries():
        if known.record.id not in working:
            load = entry.placing.load(known.record.id)
            load.backed_off_until = entry.now + 5.0
    assert {entry.open(caller)[0] for caller in range(1, 60)} == working


def test_a_data_centre_out_gets_no_flow_of_many():
    control, entry = echo_harness.make_fleet_harness(400)
    control.machine.apply(echo_harness.machines.DataCentreSet("north", True))
    entry.run(1.0)
    home = home_ids(entry)
    chosen = {entry.open(caller)[0] for caller in range(1, 300)}
    assert not chosen & home
    assert len(chosen) > 100


def backed_off_share(entry):
    """Return the share of upstreams at home that are avoided now."""
    home = home_ids(entry)
    return sum(
        entry.placing.load(id_).backed_off_until > entry.now for id_ in home
    ) / len(home)


@pytest.mark.parametrize(
    ("loss", "opened_share", "avoided_share"),
    [(0.01, 0.999, 0.05), (0.03, 0.999, 0.1), (0.1, 0.99, 0.3)],
)
def test_lost_packets_make_few_good_upstreams_avoided(
    loss, opened_share, avoided_share
):
    _, entry = echo_harness.make_fleet_harness(117)
    callers = echo_callers.Callers(entry, 5, loss)
    backed_off = []
    callers.run(60.0, lambda: backed_off.append(backed_off_share(entry)))
    total = len(callers.began_at)
    assert len(callers.opened_at) >= opened_share * total
    late = [
        caller
        for caller, at in callers.opened_at.items()
        if at - callers.began_at[caller] > 0.25
    ]
    assert len(late) <= 1.5 * loss * total
    assert sum(backed_off) / len(backed_off) <= avoided_share
    at_home = home_ids(entry)
    home_flows = [id_ for id_ in callers.upstream.values() if id_ in at_home]
    assert len(home_flows) >= (1 - 5 * loss) * total
