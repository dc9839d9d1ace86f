"""Announcements that move to another control VM, and silences after that."""

import collections

import attrs

from ebonytally.registry import records
from ebonytally import wire
from tests import agreement_fakes as fakes
from tests import echo_harness
from tests import test_registry as registry_tests

STATE = records.State
ID = registry_tests.ANNOUNCEMENT.id
INTERVAL_S = 1.0


class CountingNetwork(registry_tests.LossyNetwork):
    """Control VMs whose messages are counted, by class.

    :ivar sent: bytes of frames by class
    """

    def __init__(self, names=("c1", "c2", "c3"), loss=0.0, seed=1):
        super().__init__(names, loss, seed)
        self.sent = collections.Counter()
        self.run(1.0)

    def perform(self, sender, out):
        for action in out:
            frame = wire.encode(fakes.KEY, sender, action.msg)
            self.sent[type(action.msg).__name__] += len(frame)
        super().perform(sender, out)

    def announce_all(self, name, numbers, sequence):
        """Announce upstreams with their numbers as ids."""
        for number in numbers:
            address = f"10.0.{number >> 8}.{number & 255}"
            self.announce(
                name, id=f"i-{number}", address=address, sequence=sequence
            )

    def states(self):
        """Return the states of all upstreams at all control VMs."""
        return {
            entry.record.state
            for registry in self.registries.values()
            for entry in registry.entries()
        }

    def revisions(self):
        """Return the revision of each registry."""
        return [registry.revision for registry in self.registries.values()]


def test_an_announcement_that_moves_costs_entry_vms_nothing():
    """An upstream whose control VM is slow announces itself to the next.

    Nothing else has changed. At a thousand upstreams and a hundred entry
    VMs such announcements keep busy control VMs busy.
    """
    first, second = (echo_harness.ControlVm(name) for name in ("c1", "c2"))
    for control_vm in (first, second):
        control_vm.names = ("c1", "c2")
        control_vm.apply_configuration(2)
    for number in range(1, 31):
        announcement = echo_harness.announcement(number)
        entry = first.registry.on_announcement(announcement, 0.0)
        second.registry.merge(first.registry.to_record(entry, 0.0), 0.0)
    entry_vm = echo_harness.EntryVm("e1", [first, second])
    entry_vm.run(2.0)
    before = entry_vm.registry.revision
    for number in range(1, 31):
        moved = echo_harness.announcement(number, sequence=2)
        entry = second.registry.on_announcement(moved, entry_vm.now)
        record = second.registry.to_record(entry, entry_vm.now)
        first.registry.merge(record, entry_vm.now)
    entry_vm.run(2.0)
    assert entry_vm.registry.revision == before


def test_moves_of_all_upstreams_cost_control_vms_little():
    """A record of each move, sent twice to all, kept control VMs busy."""
    net = CountingNetwork()
    net.announce_all("c1", range(300), 1)
    net.run(1.0)
    net.sent.clear()
    before = net.revisions()
    for sequence in range(2, 10):
        net.announce_all(f"c{1 + sequence % 3}", range(300), sequence)
        net.run(INTERVAL_S)
    assert net.revisions() == before
    assert not net.sent["RecordsChanged"]
    assert not net.sent["BucketDigests"]
    bytes_per_move = net.sent["AnnouncementsMoved"] / (300 * 8 * 2)
    assert bytes_per_move < 60


def test_no_control_vm_takes_a_moved_upstream_for_silent():
    """The earlier receiver hears no more announcements."""
    for seed in range(10):
        net = CountingNetwork(loss=0.2, seed=seed)
        net.announce("c1", sequence=1)
        for sequence in range(2, 16):
            net.announce(f"c{1 + sequence // 5 % 3}", sequence=sequence)
            net.run(INTERVAL_S)
        net.run(1.0)
        assert net.states() == {STATE.READY}, seed


def test_a_crash_after_a_move_is_found_within_three_intervals():
    net = CountingNetwork()
    net.announce("c1", sequence=1)
    net.run(INTERVAL_S)
    net.announce("c2", sequence=2)
    net.run(3 * INTERVAL_S + 0.1)
    assert net.states() == {STATE.SILENT}


def test_a_crash_is_found_when_the_later_receiver_is_lost_too():
    """The other control VMs know from whom to take over."""
    net = CountingNetwork()
    net.announce("c1", sequence=1)
    net.announce("c2", sequence=2)
    net.run(1.0)
    net.cut = {"c2"}
    net.run(2.0 + 3 * INTERVAL_S + 0.2)
    (entry,) = net.registries["c1"].entries()
    assert entry.record.state == STATE.SILENT
    assert entry.record.lost == "c2"


def test_a_move_that_a_cut_off_control_vm_missed_outranks_its_silence():
    """It believes itself to be the receiver, so entry VMs trust it."""
    net = CountingNetwork()
    net.announce("c1", sequence=1)
    net.announce("c3", sequence=2)
    net.run(1.2)
    net.cut = {"c3"}
    net.announce("c2", sequence=3)
    for sequence in range(4, 9):
        net.run(INTERVAL_S)
        net.announce("c2", sequence=sequence)
    belief = net.registries["c3"].get(ID).record
    assert (belief.state, belief.lost) == (STATE.SILENT, "")
    for name in ("c1", "c2"):
        record = net.registries[name].get(ID).record
        assert record.state == STATE.READY
        assert record.rank > belief.rank


def test_a_move_from_a_lost_control_vm_is_a_change():
    net = CountingNetwork()
    net.announce("c3", sequence=1)
    net.run(1.0)
    net.cut = {"c3"}
    net.run(2.5)
    net.announce("c2", sequence=2)
    assert net.registries["c1"].get(ID).record.sequence == 2


def test_a_notice_of_an_earlier_start_changes_nothing():
    """Announcements of the new start would have been taken for late ones."""
    net = CountingNetwork()
    net.announce("c1", sequence=1, born_ms=2000)
    registry = net.registries["c1"]
    registry.on_move("c2", ID, 1000, 900, net.now)
    net.announce("c1", sequence=2, born_ms=2000)
    entry = registry.get(ID)
    assert (entry.receiver, entry.sequence) == ("c1", 2)


def test_a_silence_found_by_the_later_receiver_is_believed_at_once():
    """The entry VM knows only the earlier receiver, which answers it."""
    first, second = (echo_harness.ControlVm(name) for name in ("c1", "c2"))
    for control_vm in (first, second):
        control_vm.names = ("c1", "c2")
        control_vm.apply_configuration(2)
    announcement = echo_harness.announcement(1)
    entry = first.registry.on_announcement(announcement, 0.0)
    second.registry.merge(first.registry.to_record(entry, 0.0), 0.0)
    entry_vm = echo_harness.EntryVm("e1", [first, second])
    entry_vm.run(1.0)
    moved = attrs.evolve(announcement, sequence=2)
    second.registry.on_announcement(moved, entry_vm.now)
    first.registry.on_move("c2", announcement.id, 1000, 2, entry_vm.now)
    second.registry.mark_silent_upstreams(frozenset({"c1"}), 10.0)
    entry_vm.run(1.2)
    entry = entry_vm.registry.get(announcement.id)
    assert entry.record.state == STATE.SILENT
