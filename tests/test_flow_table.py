"""Slot tables: quotas, minimal moves and outdated proposals."""

import collections

import hypothesis
from hypothesis import strategies

from ebonytally.flows import flow_table
from ebonytally import view

SLOTS = 64
SERVICE = view.Service("s", "10.9.0.1", 80, 6, ("a", "b"), slots=SLOTS)


def _upstream(id_, share=1000, state=view.UpstreamState.UP, dc="a"):
    return view.Upstream(
        id_, "s", "10.0.0.1", 7000 + id_, 0, dc, 2, 2000, 1, state, share
    )


def _targets(table):
    targets = list(table.bases)
    for state in table.tracked:
        targets[state.slot] = state.target
    return targets


def _upstreams(count):
    return tuple(_upstream(id_) for id_ in range(1, count + 1))


_fleets = strategies.dictionaries(
    strategies.integers(1, 9),
    strategies.sampled_from([0, 50, 100, 500, 1000]),
)


@hypothesis.given(strategies.lists(_fleets, min_size=1, max_size=5))
@hypothesis.settings(derandomize=True, deadline=None)
def test_replan_keeps_quota_and_moves_least(fleets):
    table = None
    for revision, fleet in enumerate(fleets):
        ups = [_upstream(id_, share) for id_, share in fleet.items()]
        before = _targets(table) if table else [0] * SLOTS
        table = flow_table.replan(table, SERVICE, ups, (), revision)
        after = _targets(table)
        total = sum(fleet.values())
        held = collections.Counter(after)
        if not total:
            assert held == {0: SLOTS}
            continue
        old = collections.Counter(before)
        needed = 0
        for id_, share in fleet.items():
            quota = SLOTS * share / total
            assert abs(held[id_] - quota) < 1
            needed += max(0, held[id_] - old[id_])
        moved = sum(b != a for b, a in zip(before, after, strict=True))
        assert moved == needed
        again = flow_table.replan(table, SERVICE, ups, (), revision + 1)
        assert again is table


def test_removed_base_stays_until_placing():
    table = flow_table.replan(None, SERVICE, _upstreams(2), (), 1)
    moved = flow_table.replan(table, SERVICE, _upstreams(1), (), 2)
    assert moved.bases == table.bases
    assert {state.base for state in moved.tracked} == {2}
    assert not any(state.may_place for state in moved.tracked)


def test_data_centre_that_is_out_gets_no_new_flows():
    ups = (_upstream(1), _upstream(2, dc="b"))
    table = flow_table.replan(None, SERVICE, ups, (), 1)
    table = flow_table.replan(table, SERVICE, ups, ("b",), 2)
    assert set(_targets(table)) == {1}


def test_outdated_placing_is_ignored():
    table = flow_table.replan(None, SERVICE, _upstreams(2), (), 1)
    first = flow_table.replan(table, SERVICE, _upstreams(1), (), 2)
    returned = flow_table.replan(first, SERVICE, _upstreams(2), (), 3)
    assert returned.tracked == ()
    again = flow_table.replan(returned, SERVICE, _upstreams(1), (), 4)
    slots = [state.slot for state in again.tracked]
    assert flow_table.with_placing(again, slots, 3, 5) is again
    begun = flow_table.with_placing(again, slots, 4, 5)
    assert all(state.may_place for state in begun.tracked)


def test_pinned_slot_with_another_target_stays_tracked():
    table = flow_table.replan(None, SERVICE, _upstreams(2), (), 1)
    table = flow_table.replan(table, SERVICE, _upstreams(1), (), 2)
    slots = [state.slot for state in table.tracked]
    table = flow_table.with_placing(table, slots, 2, 3)
    table = flow_table.replan(table, SERVICE, _upstreams(2), (), 4)
    pinned = flow_table.with_pinned(table, slots, 1, 3, 5)
    assert all(state.base == 1 for state in pinned.tracked)
    assert all(state.target == 2 for state in pinned.tracked)
    assert flow_table.with_pinned(pinned, slots, 2, 3, 6) is pinned


def test_pinned_slots_are_no_longer_tracked():
    table = flow_table.replan(None, SERVICE, _upstreams(2), (), 1)
    table = flow_table.replan(table, SERVICE, _upstreams(1), (), 2)
    slots = [state.slot for state in table.tracked]
    assert flow_table.with_pinned(table, slots, 1, 2, 3) is table
    table = flow_table.with_placing(table, slots, 2, 3)
    table = flow_table.with_pinned(table, slots, 1, 3, 4)
    assert table.tracked == ()
    assert set(table.bases) == {1}
