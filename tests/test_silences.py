"""What a cut off control VM believed doesn't outlast the cut."""

import attrs
import pytest

from ebonytally.registry import records
from tests import echo_harness
from tests import test_control_node as control_tests
from tests import test_registry_moves as moves_tests
from tests import test_restart_of_all as restart_tests

STATE = records.State
UPSTREAMS = range(1, 7)
BACK_S = 12.0


class CutSystem(restart_tests.FullSystem):
    """Four control VMs, upstreams at `a`, and an entry VM.

    The entry VM is on the side of `d`, which is cut off.

    :ivar muted: numbers of the upstreams that have crashed
    """

    def __init__(self):
        self.muted = set()
        self.sequence = 0
        self.announced_at = 0.0
        super().__init__()
        self.run(6.0)
        assert self.propose(self.leader, control_tests.put_command(3))
        assert self.propose(self.leader, control_tests.put_command(4))
        self.run(2.0)
        assert self.states() == {STATE.READY}

    def perform(self, sender, actions_):
        kept = [
            action
            for action in actions_
            if (sender in self.cut)
            == (getattr(action, "peer", sender) in self.cut)
        ]
        super().perform(sender, kept)

    def run(self, seconds):
        """Advance the time; upstreams announce themselves each second."""
        for _ in range(round(seconds / 0.1)):
            super().run(0.1)
            if self.now - self.announced_at >= 1.0:
                self.announced_at = self.now
                self.announce()

    def announce(self):
        """Let the upstreams announce themselves to a control VM."""
        self.sequence += 1
        to = next(name for name in "abc" if name in self.nodes)
        for number in sorted(set(UPSTREAMS) - self.muted):
            announcement = echo_harness.announcement(
                number, sequence=self.sequence
            )
            node = self.nodes[to]
            self.perform(to, node.on_announcement(announcement, self.now))

    def states(self, numbers=UPSTREAMS):
        """Return the states of upstreams at the entry VM."""
        registry = self.entry._registry
        return {
            registry.get(f"i-{number:08x}").record.state for number in numbers
        }


def cut_off(system):
    """Cut `d` and the entry VM off until they take all for silent."""
    system.cut = {"d", "e"}
    system.run(6.5)
    assert system.states() == {STATE.SILENT}


@pytest.mark.parametrize("loss", ["none", "restart", "disk", "for good"])
def test_upstreams_are_used_again_whatever_was_lost_in_a_cut(loss):
    """Guards against review case 2: a belief whose holder lost its disk."""
    system = CutSystem()
    cut_off(system)
    if loss != "none":
        system.stop("d")
    system.run(0.6)
    system.cut = set()
    if loss in ("restart", "disk"):
        system.run(1.0)
        system.start("d", wiped=loss == "disk")
    system.run(BACK_S)
    assert system.states() == {STATE.READY}


def test_upstreams_that_crashed_in_the_cut_stay_silent():
    system = CutSystem()
    cut_off(system)
    system.muted = {1, 2}
    system.stop("d")
    system.run(4.5)
    system.cut = set()
    system.start("d", wiped=True)
    system.run(BACK_S)
    assert system.states([1, 2]) == {STATE.SILENT}
    assert system.states([3, 4, 5, 6]) == {STATE.READY}


def test_a_crash_is_not_doubted_when_its_teller_restarts():
    """Its file may be older than the silence, and it tells so at first."""
    system = CutSystem()
    system.muted = {1}
    system.run(4.5)
    assert system.states([1]) == {STATE.SILENT}
    for name in "abcd":
        system.stop(name)
        system.run(0.3)
        system.start(name, wiped=True)
        for _ in range(30):
            system.run(0.1)
            assert system.states([1]) == {STATE.SILENT}


def test_a_withdrawn_silence_makes_no_draining_upstream_ready():
    """A control VM that lost its disk may alone have heard of the drain."""
    first, second = (
        echo_harness.ControlVm(name, start=5) for name in ("c1", "c2")
    )
    for control_vm in (first, second):
        control_vm.names = ("c1", "c2")
        control_vm.apply_configuration(2)
    ready = echo_harness.announcement(1)
    entry = first.registry.on_announcement(ready, 0.0)
    second.registry.merge(entry.record, 0.0)
    entry_vm = echo_harness.EntryVm("e1", [first, second])
    entry_vm.run(1.0)
    drained = attrs.evolve(ready, sequence=2, draining=True)
    second.registry.on_announcement(drained, entry_vm.now)
    entry_vm.run(1.2)
    second.registry.mark_silent_upstreams(frozenset({"c1"}), 10.0)
    entry_vm.run(1.2)
    assert entry_vm.registry.get(ready.id).record.state == STATE.SILENT
    entry_vm.unreachable = {"c2"}
    entry_vm.run(10.0)
    assert entry_vm.registry.get(ready.id).record.state == STATE.DRAINING
    again = attrs.evolve(drained, sequence=3)
    entry = first.registry.on_announcement(again, entry_vm.now)
    entry_vm.run(0.5)
    assert entry_vm.registry.get(ready.id).record == entry.record


def test_a_cut_off_control_vm_makes_no_upstream_gone():
    """A younger one at its address doesn't show that it left."""
    net = moves_tests.CountingNetwork()
    net.announce("c1", sequence=1)
    net.announce("c1", sequence=1, id="i-2", born_ms=9000)
    net.run(1.0)
    net.cut = {"c3"}
    for sequence in range(2, 9):
        net.announce("c1", sequence=sequence)
        net.run(1.0)
    (belief,) = [
        entry.record.state
        for entry in net.registries["c3"].entries()
        if entry.record.id == moves_tests.ID
    ]
    assert belief == STATE.SILENT
    net.cut = set()
    net.run(2.5)
    assert net.registries["c1"].get(moves_tests.ID).record.state == (
        STATE.READY
    )
    assert net.registries["c3"].get(moves_tests.ID).record.state == (
        STATE.READY
    )


def test_an_old_file_makes_no_upstream_silent_that_is_heard_elsewhere():
    """Its control VM was down for longer than a restart takes."""
    system = CutSystem()
    system.stop("d")
    system.run(25.0)
    system.start("d")
    for _ in range(20):
        system.run(0.1)
        assert system.states() == {STATE.READY}


def test_doubts_about_all_upstreams_of_a_large_fleet_are_settled_in_time():
    """Questions about the first upstreams must not keep others waiting."""
    first, second = (echo_harness.ControlVm(name) for name in ("c1", "c2"))
    for control_vm in (first, second):
        control_vm.names = ("c1", "c2")
        control_vm.apply_configuration(2)
    for number in range(1, 2901):
        announcement = echo_harness.announcement(
            number, address=f"10.0.{number >> 8}.{number & 255}"
        )
        entry = first.registry.on_announcement(announcement, 0.0)
        second.registry.merge(entry.record, 0.0)
    entry_vm = echo_harness.EntryVm("e1", [first, second])
    entry_vm.run(1.0)
    entry_vm.unreachable = {"c1"}
    second.registry.mark_silent_upstreams(frozenset(), 100.0)
    entry_vm.run(8.0)
    silent = entry_vm.registry.get("i-00000001").record.state
    assert silent == STATE.SILENT
    entry_vm.unreachable = {"c2"}
    entry_vm.run(BACK_S)
    states = {entry.record.state for entry in entry_vm.registry.entries()}
    assert states == {STATE.READY}


def test_silences_of_forgotten_upstreams_are_forgotten():
    """Guards against memory that grows with each upstream that ends."""
    system = CutSystem()
    system.muted = set(UPSTREAMS)
    system.run(5.0)
    assert system.states() == {STATE.SILENT}
    system.now += 60.0
    system.run(1.0)
    assert len(system.entry._registry) == 0
    assert not system.entry.follower._silences._silences
