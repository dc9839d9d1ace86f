"""Shares of upstreams by their speed and failures, in virtual time."""

import random

import pytest

from ebonytally.echo import cookies
from ebonytally.load import answer_sizes
from ebonytally.load import interfaces
from tests import capacity_fleet
from tests import echo_harness

ID = "i-00000002"
ROUTE = echo_harness.SERVICE_ADDRESS


def conditions(fleet):
    """Return the conditions for which entry VMs avoided upstreams."""
    return {
        fields["condition"]
        for entry in fleet.entries
        for event, fields in entry.recorder.events
        if event.name == "UPSTREAM_CONDITION"
    } - {"normal", "unknown"}


def share_of_equal(fleet, seconds):
    """Return the share of upstream `ID`, 1.0 if all shares are equal."""
    return fleet.shares(seconds)[ID] * len(fleet.upstreams)


def test_shares_follow_unannounced_speeds_and_stay():
    # Fails if the wait at a busy upstream is taken for its slowness.
    fleet = capacity_fleet.Fleet(3, 0.9 * 2 * 3.1 / capacity_fleet.WORK_S)
    for upstream, speed in zip(
        fleet.upstreams.values(), (0.7, 0.7, 1.7), strict=True
    ):
        upstream.speed = speed
    fleet.run(3.0)
    fast = []
    for _ in range(6):
        fleet.run(2.0)
        fast.append(fleet.shares(2.0)["i-00000003"])
    for id_, share in fleet.shares(12.0).items():
        expected = fleet.upstreams[id_].speed / 3.1
        assert share == pytest.approx(expected, rel=0.1)
    assert max(fast) - min(fast) < 0.08


@pytest.mark.parametrize("entry_vms", [1, 6])
@pytest.mark.parametrize(
    "trouble",
    [
        {"speed": 1 / 6},
        {"fault": "error", "fault_share": 0.4},
        {"fault": "silent", "fault_share": 0.4},
        {"fault": "reject", "fault_share": 0.4},
    ],
    ids=["slow", "error", "silent", "reject"],
)
def test_an_upstream_in_trouble_loses_its_share_until_it_is_well(
    trouble, entry_vms
):
    # Fails if good health and many earlier good answers hide the trouble,
    # if it comes back again and again, or if it is never tried.
    fleet = capacity_fleet.Fleet(8, 8 * 12.0, entry_vms)
    fleet.slow_share = 0.03
    fleet.run(8.0)
    upstream = fleet.upstreams[ID]
    for name, value in trouble.items():
        setattr(upstream, name, value)
    fleet.run(16.0)
    assert share_of_equal(fleet, 12.0) < 0.35
    upstream.speed, upstream.fault_share = 1.0, 0.0
    fleet.run(20.0)
    assert share_of_equal(fleet, 6.0) > 0.7


def slow_all(fleet):
    for upstream in fleet.upstreams.values():
        upstream.speed = 0.25


def pause(fleet):
    fleet.paused_until = fleet.now + 1.0


def overload(fleet):
    fleet.per_s = 1.5 * 8 * 2 / capacity_fleet.WORK_S


def go_on(fleet):
    pass


@pytest.mark.parametrize("change", [slow_all, pause, overload, go_on])
def test_what_concerns_all_upstreams_takes_nobodys_share(change):
    # Fails if some upstreams look worse than others through the 3% of long
    # requests, a common slowdown, late answers after a pause, or rejections.
    fleet = capacity_fleet.Fleet(8, 8 * 6.0, 4)
    fleet.slow_share = 0.03
    fleet.run(8.0)
    change(fleet)
    fleet.run(8.0)
    assert conditions(fleet) <= ({"full"} if change is overload else set())
    shares = [share * 8 for share in fleet.shares(8.0).values()]
    assert 0.65 < min(shares) <= max(shares) < 1.4
    for entry in fleet.entries:
        rejected = entry.capacity.rejected_share("desk", fleet.now)
        assert 0.2 < rejected < 0.5 if change is overload else not rejected


@pytest.mark.parametrize(
    "change", [{"address": "10.9.9.9"}, {"born_ms": 2000}]
)
def test_a_new_incarnation_begins_without_estimate(change):
    # Fails if a restarted upstream inherits the failures of the old one,
    # or counts the requests that the restart has interrupted.
    fleet = capacity_fleet.Fleet(4, 40.0)
    fleet.upstreams[ID].fault, fleet.upstreams[ID].fault_share = "silent", 1.0
    fleet.run(3.0)
    learned = fleet.entries[0].capacity
    assert learned.condition(ID, fleet.now) is interfaces.Condition.FAILING
    fleet.announce(2, sequence=2, **change)
    fleet.run(0.7)
    assert learned.condition(ID, fleet.now) is not (
        interfaces.Condition.FAILING
    )
    learned.on_request_end("i-00000001", ROUTE, 0, fleet.now)
    # Its load counts the interrupted requests until their callers give up.
    fleet.run(7.0)
    assert share_of_equal(fleet, 4.0) > 0.7


class Told:
    """Suspicions that two of the entry VMs share, a report later."""

    def __init__(self):
        self.fleet = None
        self.found = {}
        self.next_at = 0.0

    def suspicions(self, now):
        if self.fleet and now >= self.next_at:
            self.next_at = now + 0.6
            told = {}
            for entry in self.fleet.entries:
                for one in entry.capacity.suspicions(now):
                    told.setdefault(one.cookie, []).append(one)
            self.found = {
                cookie: max(ones, key=lambda one: one.failing)
                for cookie, ones in told.items()
                if ones[1:]
            }
        return self.found


def test_suspicions_of_others_take_a_failing_upstreams_share_soon():
    # Fails if each entry VM has to see failures of its own.
    seconds = {}
    for shared in (None, Told()):
        fleet = capacity_fleet.Fleet(12, 12 * 12.0, 6, shared)
        if shared:
            shared.fleet = fleet
        fleet.run(6.0)
        fleet.upstreams[ID].fault = "error"
        fleet.upstreams[ID].fault_share = 0.4
        fleet.run(3.0)
        seconds[shared is None] = share_of_equal(fleet, 1.5)
    assert seconds[False] < min(0.35, seconds[True])


def test_a_shared_suspicion_counts_and_ends_gradually():
    # Fails if an old figure decides, or all entry VMs return at once.
    told = Told()
    fleet = capacity_fleet.Fleet(4, 0.1, shared=told)
    record = fleet.entries[0].registry.get(ID).record
    cookie = cookies.cookie_of(record)
    told.found = {cookie: interfaces.Suspicion(cookie, 1.0, 0.5)}
    learned = fleet.entries[0].capacity
    fleet.run(0.5)
    assert learned.condition(ID, fleet.now) is interfaces.Condition.FAILING
    assert learned.suspicions(fleet.now) == ()
    told.found = {}
    speeds = []
    for _ in range(12):
        fleet.run(1.0)
        speeds.append(learned.speed(ID, fleet.now))
    assert speeds == sorted(speeds)
    assert 0.5 < speeds[1] < 0.9 < speeds[-1]


def test_only_answers_far_below_their_routes_usual_size_are_small():
    # Fails if routes with small answers look as if they failed, or if many
    # error pages become the usual answer.
    rng = random.Random(1)
    sizes = answer_sizes.AnswerSizes()
    small = 0
    for number in range(4000):
        size = round(rng.lognormvariate(8.0, 0.6))
        small += sizes.is_small(b"large", size, number * 0.01)
        assert not sizes.is_small(b"always", 150, number * 0.01)
    assert small < 0.005 * 4000
    errors = sum(
        sizes.is_small(b"large", 150, 40.0 + number * 0.01)
        for number in range(1000)
    )
    assert errors == 1000
