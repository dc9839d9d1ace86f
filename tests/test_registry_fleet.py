"""Work of control VMs in large fleets: who sends what, and at what cost."""

from ebonytally.feed import messages
from ebonytally import recorder as recorders
from ebonytally.registry import changes
from ebonytally.registry import gossip
from ebonytally.registry import records
from tests import echo_harness
from tests import test_registry as registry_tests

STATE = records.State


class CountingControlVm(echo_harness.ControlVm):
    """A control VM that hears others and counts the records it sends."""

    def __init__(self, name, heard):
        super().__init__(name)
        self.heard = frozenset(heard)
        self.names = tuple(sorted({name, *heard}))
        self.records_sent = 0
        self.apply_configuration(2)

    def handle(self, peer, msg, now):
        if not isinstance(msg, messages.Poll):
            return super().handle(peer, msg, now)
        (action,) = self.source.handle_poll(
            peer, msg, self.names, self.in_touch, 1, now, self.heard
        )
        self.records_sent += len(action.msg.records)
        return [action]


class Fleet:
    """Two control VMs and an entry VM that follows the first."""

    def __init__(self):
        self.primary = CountingControlVm("c1", ["c2"])
        self.other = CountingControlVm("c2", ["c1"])
        self.entry = echo_harness.EntryVm("e1", [self.primary, self.other])
        self.entry.run(2.0)
        self.sequence = 1
        primary = self.entry.follower._primary
        if primary != "c1":
            self.primary, self.other = self.other, self.primary

    def announce(self, numbers, at, reaches_others=True, **change):
        """Announce upstreams; the other control VM is told unless cut off."""
        self.sequence += 1
        other = self.other if at is self.primary else self.primary
        for number in numbers:
            announcement = echo_harness.announcement(
                number, sequence=self.sequence, **change
            )
            entry = at.registry.on_announcement(announcement, self.entry.now)
            if reaches_others:
                other.registry.merge(entry.record, self.entry.now)

    def state(self, number):
        """Return an upstream's state at the entry VM, None if unknown."""
        entry = self.entry.registry.get(f"i-{number:08x}")
        return entry.record.state if entry is not None else None


def test_new_upstreams_are_sent_by_the_followed_control_vm_only():
    """Each of six control VMs sent each of 3,000 to each of 300."""
    fleet = Fleet()
    for first in range(1, 200, 5):
        fleet.announce(range(first, first + 5), fleet.other)
        fleet.entry.run(0.1)
    fleet.entry.run(2.0)
    assert len(fleet.entry.registry) == 200
    assert fleet.primary.records_sent < 220
    assert fleet.other.records_sent < 20


def test_a_drain_that_the_followed_control_vm_missed_arrives_in_time():
    """The cut between the control VMs isn't noticed for two seconds."""
    fleet = Fleet()
    fleet.announce([1, 2], fleet.other)
    fleet.entry.run(1.0)
    fleet.announce([1], fleet.other, reaches_others=False, draining=True)
    fleet.entry.run(1.2)
    assert fleet.state(1) == STATE.DRAINING


def test_upstreams_of_a_cut_off_half_arrive_once_it_is_noticed():
    fleet = Fleet()
    fleet.announce([1], fleet.other)
    fleet.announce([2], fleet.other, reaches_others=False)
    fleet.entry.run(1.2)
    assert fleet.state(2) is None
    fleet.other.heard = frozenset()
    fleet.entry.run(1.2)
    assert fleet.state(2) == STATE.READY


def test_what_a_lost_control_vm_did_not_tell_is_told_by_the_next():
    """The next one had left it out as long as the lost one was heard."""
    fleet = Fleet()
    fleet.announce([1], fleet.other)
    fleet.entry.run(1.0)
    fleet.primary.source.handle_poll = lambda *args: []
    fleet.entry.unreachable = {fleet.primary.name}
    fleet.announce([2], fleet.other)
    fleet.entry.run(2.0)
    assert fleet.state(2) == STATE.READY


def test_a_part_of_the_registry_costs_no_walk_through_all_of_it():
    """300 entry VMs that join each fetch 3,000 records in 300 parts."""
    registry = echo_harness.ControlVm("c1").registry
    for number in range(1, 301):
        address = f"10.0.{number >> 8}.{number & 255}"
        announcement = echo_harness.announcement(number, address=address)
        registry.on_announcement(announcement, 0.0)
    changed = registry.changed_since(0)
    ids = [next(changed).record.id for _ in range(3)]
    assert ids == [f"i-{number:08x}" for number in (1, 2, 3)]
    assert len(list(changed)) == 297


def test_superseded_changes_are_removed():
    """Guards against memory that grows with each change."""
    log = changes.Changes()
    for revision in range(1, 5001):
        log.add(revision, f"i-{revision % 10}")
        if log.is_long(10):
            latest = {
                f"i-{n % 10}": n for n in range(revision - 9, 1 + revision)
            }
            log.compact(latest)
    assert len(log._ids) <= 2 * 10 + changes.MAX_SUPERSEDED
    assert [n for n, _ in log.since(4990)] == list(range(4991, 5001))


def test_registries_of_starting_upstreams_are_compared_seldom():
    """All registries differ for as long as upstreams start.

    Each comparison with one of five peers led to all records.
    """
    registry = registry_tests.make_registry()
    for number in range(3000):
        address = f"10.0.{number >> 8}.{number & 255}"
        registry_tests.announce(
            registry, 0.0, id=f"i-{number}", address=address
        )
    exchange = gossip.RegistryGossip(
        "c1", (), registry, recorders.MemoryRecorder()
    )
    compared = 0
    for step in range(20):
        for number in range(2, 7):
            msg = records.Digest(number, 0, "")
            out = exchange.handle(f"c{number}", msg, step * 0.5)
            compared += len(out)
    assert compared <= 11


def test_a_peer_that_is_heard_but_gets_nothing_is_not_relied_on():
    """A cut in one direction: entry VMs would miss new upstreams."""
    registry = registry_tests.make_registry()
    exchange = gossip.RegistryGossip(
        "c1", (), registry, recorders.MemoryRecorder()
    )
    digest = registry.digest()
    registry_tests.announce(registry, 0.0)
    for step in range(10):
        now = step * 0.5
        exchange.handle("c2", records.Digest(digest, 0, ""), now)
        exchange.handle("c3", records.Digest(registry.digest(), 0, ""), now)
        if step == 4:
            assert exchange.agreeing_peers(now) == {"c2", "c3"}
    assert exchange.live_peers(now) == ["c2", "c3"]
    assert exchange.agreeing_peers(now) == {"c3"}
