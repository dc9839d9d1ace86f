"""A data centre loses power and comes back with cold upstreams."""

import collections

import attrs

from tests import echo_callers
from tests import echo_harness

UPSTREAMS = 8
COLD_S = 2.0
LOST_S = 5.0
# What a cold upstream can bear beyond its rate of 0, for all entry VMs.
COLD_PER_S = 5.0


class TwoDataCentres:
    """A control VM and upstreams in each of north and south."""

    def __init__(self):
        self.control = {}
        self.announcements = {}
        for name in ("north", "south"):
            self.control[name] = echo_harness.ControlVm(name)
            self.control[name].names = ("north", "south")
            self.control[name].apply_configuration(2)
        self.ids = {"north": [], "south": []}
        self.announce("north", range(1, UPSTREAMS + 1), 0.0)
        self.announce("south", range(101, 101 + UPSTREAMS), 0.0)

    def announce(self, data_centre, numbers, now, **fields):
        """Announce upstreams, the n-th at the n-th address."""
        self.ids[data_centre] = []
        self.announcements[data_centre] = []
        for n, number in enumerate(numbers):
            announcement = echo_harness.announcement(
                number,
                data_centre=data_centre,
                address=f"10.{len(data_centre) % 7}.{ord(data_centre[0])}.{n}",
                **fields,
            )
            self.ids[data_centre].append(announcement.id)
            self.announcements[data_centre].append(announcement)
            own = self.control[data_centre].registry
            entry = own.on_announcement(announcement, now)
            for other in self.control.values():
                other.registry.merge(own.to_record(entry, now), now)

    def announce_again(self, data_centre, now):
        """Repeat the announcements, unless they were made recently."""
        for announcement in self.announcements[data_centre]:
            self.control[data_centre].registry.on_announcement(
                attrs.evolve(announcement, sequence=2 + int(now)), now
            )

    def entry_vm(self, data_centre, seed):
        """Return a new entry VM, which follows both control VMs."""
        entry = echo_harness.EntryVm(
            "e", list(self.control.values()), seed, data_centre
        )
        return entry


def lose_north(system, entry, callers):
    """Let north be without power for `LOST_S`."""
    entry.unreachable = {"north"}
    callers.silent = set(system.ids["north"])
    south = system.control["south"].registry
    lost_at = entry.now

    def mark_silent():
        if entry.now - lost_at < 0.1:
            south.on_source_lost("north", lost_at)
        system.announce_again("south", entry.now)
        south.mark_silent_upstreams(frozenset(), entry.now)

    callers.run(LOST_S, mark_silent)
    return lost_at


def test_callers_elsewhere_notice_nothing():
    system = TwoDataCentres()
    entry = system.entry_vm("south", 1)
    entry.run(1.0)
    callers = echo_callers.Callers(entry, 2, flows_per_s=40.0)
    callers.run(2.0)
    lost_at = lose_north(system, entry, callers)
    assert set(callers.opened_at) == set(callers.began_at)
    late = [
        caller
        for caller, at in callers.opened_at.items()
        if at - callers.began_at[caller] > 0.25
    ]
    assert late == []
    north = set(system.ids["north"])
    to_north = [at for at, id_ in callers.sent if id_ in north]
    assert not [at for at in to_north if at > lost_at + 4.0]
    assert callers.refused == 0


def test_the_next_try_is_in_another_data_centre():
    system = TwoDataCentres()
    entry = system.entry_vm("west", 1)
    entry.run(1.0)
    north = set(system.ids["north"])
    tried_north = 0
    for caller in range(1, 60):
        (first,) = entry.packet(caller, is_opening=True)
        entry.now += 0.08
        (second,) = entry.forwarder.tick(entry.now)
        assert (second.id in north) != (first.id in north)
        tried_north += first.id in north
        entry.packet(caller, cookie=second.cookie)
        entry.packet(caller, cookie=second.cookie, is_end=True)
    assert 10 < tried_north < 50


def test_upstreams_that_come_back_are_warmed_up_gently():
    system = TwoDataCentres()
    entry = system.entry_vm("south", 1)
    entry.run(1.0)
    callers = echo_callers.Callers(entry, 2, flows_per_s=40.0)
    lose_north(system, entry, callers)
    old_ids = set(system.ids["north"])
    # The entry VM in north starts anew, and knows only what it is told.
    entry = system.entry_vm("north", 3)
    entry.now = LOST_S + 3.0
    system.announce(
        "north",
        range(201, 201 + UPSTREAMS),
        entry.now,
        born_ms=9000,
        cold_for_s=COLD_S,
    )
    entry.run(0.2)
    assert entry.follower.is_complete()
    callers = echo_callers.Callers(entry, 4, flows_per_s=200.0)
    back_at = entry.now
    callers.run(4.0)
    assert callers.refused == 0
    assert set(callers.opened_at) == set(callers.began_at)
    assert not old_ids & {id_ for _, id_ in callers.sent}
    new_ids = set(system.ids["north"])
    while_cold = collections.Counter(
        id_
        for at, id_ in callers.sent
        if at < back_at + COLD_S - 0.2 and id_ in new_ids
    )
    assert all(count <= COLD_PER_S * COLD_S for count in while_cold.values())
    warm = [id_ for at, id_ in callers.sent if at > back_at + COLD_S]
    at_home = [id_ for id_ in warm if id_ in new_ids]
    assert len(at_home) > 0.8 * len(warm)
