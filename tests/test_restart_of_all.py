"""Restart of all VMs: an entry VM serves once one control VM is back."""

import attrs

from ebonytally import deployment
from ebonytally import entry_node
from ebonytally import recorder as recorders
from ebonytally import wire
from tests import agreement_fakes as fakes
from tests import echo_harness
from tests import test_control_node as control_tests

SEEDS = ("a", "b", "c")
ENTRY = "e"


class FullSystem(control_tests.Cluster):
    """Four control VMs, three of them seeds, and an entry VM."""

    def __init__(self):
        self.entry = None
        super().__init__("abcd", SEEDS)
        self.start_entry()

    def start_entry(self):
        """Start the entry VM, which knows only the seeds."""
        entry_deployment = attrs.evolve(
            control_tests.make_deployment(ENTRY, SEEDS, False),
            role=deployment.Role.ENTRY,
        )
        recorder = recorders.MemoryRecorder()
        self.entry = entry_node.EntryNode(entry_deployment, recorder, 1)

    def stop_all(self):
        """Kill all VMs; disks keep what was synced."""
        self.entry = None
        for name in list(self.nodes):
            self.stop(name)

    def perform(self, sender, actions_):
        """Perform a VM's actions, with messages to the entry VM."""
        control_actions = []
        for action in actions_:
            if getattr(action, "peer", "") != ENTRY:
                control_actions.append(action)
            elif self.entry is not None:
                msg = wire.decode(fakes.KEY, self.frame(sender, action.msg))[1]
                self.perform(ENTRY, self.entry.handle(sender, msg, self.now))
        super().perform(sender, control_actions)

    def run(self, seconds):
        """Advance the time; the entry VM ticks as well."""
        for _ in range(round(seconds / control_tests.STEP_S)):
            super().run(control_tests.STEP_S)
            if self.entry is not None:
                self.perform(ENTRY, self.entry.tick(self.now)[1])


def served_system():
    """Return a running system with a configuration and an upstream."""
    system = FullSystem()
    system.run(6.0)
    # The commit of an entry reaches the disk with the next entry.
    assert system.propose(system.leader, control_tests.put_command(3))
    assert system.propose(system.leader, control_tests.put_command(4))
    system.leader.on_announcement(echo_harness.announcement(1), system.now)
    system.run(2.0)
    assert system.entry.is_ready()
    return system


def test_an_entry_vm_serves_once_one_control_vm_is_back():
    """The control VM that is back first may not be a seed."""
    system = served_system()
    system.stop_all()
    system.run(0.8)
    system.start_entry()
    system.run(0.2)
    system.start("d")
    system.run(0.1)
    assert system.entry.is_ready()


def test_an_entry_vm_that_starts_after_the_control_vm_is_notified_too():
    system = served_system()
    system.stop_all()
    system.run(0.8)
    system.start("d")
    system.run(0.4)
    system.start_entry()
    system.run(0.15)
    assert system.entry.is_ready()


def test_entry_vms_are_remembered_over_two_restarts():
    system = served_system()
    for _ in range(2):
        system.stop_all()
        system.start("d")
        system.run(1.5)
    system.stop_all()
    system.start_entry()
    system.start("d")
    system.run(0.1)
    assert system.entry.is_ready()


def test_a_control_vm_stops_notifying_entry_vms_that_have_polled():
    system = served_system()
    system.stop_all()
    system.start_entry()
    system.start("d")
    system.run(0.1)
    assert system.nodes["d"].tick(system.now + 0.2, 0.0) == []
