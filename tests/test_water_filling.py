"""Water filling over data centres: balance, own callers first."""

import hypothesis
from hypothesis import strategies
import pytest

from ebonytally.load import water_filling

NAMES = ("north", "south", "east", "west")
AMOUNT = strategies.floats(1.0, 5000.0)
SITES = strategies.dictionaries(
    strategies.sampled_from(NAMES),
    strategies.tuples(AMOUNT, AMOUNT),
    min_size=2,
)


def utilisations(demand, room, plan):
    """Return each data centre's utilisation after a plan."""
    load = dict(demand)
    for sender, sent in plan.items():
        for receiver, amount in sent.items():
            load[sender] -= amount
            load[receiver] += amount
    return {name: load[name] / room[name] for name in load}


@hypothesis.given(SITES)
def test_own_callers_come_first_and_short_ones_reach_the_mean(site):
    # Failure: a data centre pushes its overload on or stays overloaded.
    demand = {name: pair[0] for name, pair in site.items()}
    room = {name: pair[1] for name, pair in site.items()}
    mean = water_filling.mean_utilisation(demand, room)
    plan = water_filling.plan(demand, room)
    after = utilisations(demand, room, plan)
    senders = {name for name in plan if plan[name]}
    receivers = {name for sent in plan.values() for name in sent}
    assert not senders & receivers
    for name, used in after.items():
        before = demand[name] / room[name]
        if before < water_filling.START_UTILISATION:
            assert name not in senders
        if name in receivers:
            limit = min(mean, water_filling.RECEIVE_UTILISATION)
            assert used <= limit + 1e-6
        if before >= 1.0 and mean <= water_filling.RECEIVE_UTILISATION:
            assert used <= 1.1 * mean
        assert sum(water_filling.shares(name, demand, room).values()) <= (
            1.0 + 1e-9
        )


@hypothesis.given(SITES, strategies.sampled_from(NAMES))
def test_a_data_centre_without_room_sends_everything(site, home):
    # Failure: callers are refused because home has no upstream.
    demand = {name: pair[0] for name, pair in site.items()}
    room = {name: pair[1] for name, pair in site.items() if name != home}
    shares = water_filling.shares(home, demand, room)
    assert sum(shares.values()) == pytest.approx(1.0)
    assert home not in shares


@hypothesis.given(
    strategies.floats(0.0, 1.0),
    strategies.lists(strategies.floats(0.01, 1.0), min_size=2, max_size=4),
)
def test_lower_priorities_leave_first_and_the_sum_is_kept(wanted, parts):
    # Failure: high priorities leave while lower ones stay at home.
    mix = {index: part / sum(parts) for index, part in enumerate(parts)}
    split = water_filling.split_by_priority({"south": wanted}, mix, {})
    left = [split[index].get("south", 0.0) for index in sorted(mix)]
    assert left == sorted(left)
    assert sum(
        mix[index] * share for index, share in enumerate(left)
    ) == pytest.approx(wanted, abs=1e-8)
    for share, lower in zip(left, left[1:], strict=False):
        assert share == 0.0 or lower == pytest.approx(1.0)


def test_load_at_the_threshold_leaves_without_a_jump():
    # Failure: demand around 70% of home's room makes the share jump.
    room = {"north": 100.0, "south": 300.0}
    shares = [
        sum(
            water_filling.shares(
                "north", {"north": float(demand), "south": 60.0}, room
            ).values()
        )
        for demand in range(50, 200)
    ]
    assert shares[20] == 0.0
    assert shares[21] < 0.05
    steps = [b - a for a, b in zip(shares, shares[1:], strict=False)]
    assert max(map(abs, steps)) < 0.05
