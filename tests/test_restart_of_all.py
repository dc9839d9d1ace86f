"""All VMs restart at once: entry VMs serve with the first control VM."""

import attrs

from ebonytally import deployment
from ebonytally import entry_node
from ebonytally import recorder as recorders
from ebonytally import wire
from tests import agreement_fakes as fakes
from tests import echo_bed as beds
from tests import test_control_node as control_bed

SEEDS = ("a", "b", "c")
ENTRY = "e"


class Everything(control_bed.Cluster):
    """Four control VMs, of which the seeds name three, and an entry VM."""

    def __init__(self):
        self.entry = None
        super().__init__("abcd", SEEDS)
        self.start_entry()

    def start_entry(self):
        """Start the entry VM; it knows the seeds alone."""
        told = attrs.evolve(
            control_bed.told(ENTRY, SEEDS, False),
            role=deployment.Role.ENTRY,
        )
        recorder = recorders.MemoryRecorder()
        self.entry = entry_node.EntryNode(told, recorder, 1)

    def stop_all(self):
        """End everything at once; disks keep what was synced."""
        self.entry = None
        for name in list(self.nodes):
            self.stop(name)

    def do(self, sender, out):
        """Deliver messages to the entry VM as well."""
        rest = []
        for action in out:
            if getattr(action, "peer", "") != ENTRY:
                rest.append(action)
            elif self.entry is not None:
                msg = wire.decode(fakes.KEY, self.frame(sender, action.msg))[1]
                self.do(ENTRY, self.entry.message(sender, msg, self.now))
        super().do(sender, rest)

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / control_bed.STEP_S)):
            super().run(control_bed.STEP_S)
            if self.entry is not None:
                self.do(ENTRY, self.entry.tick(self.now)[1])


def served():
    """Return a cluster that is up, with a configuration in force."""
    cluster = Everything()
    cluster.run(6.0)
    # What is committed is on disk with the next entry.
    assert cluster.order(cluster.leader, control_bed.put(3))
    assert cluster.order(cluster.leader, control_bed.put(4))
    cluster.leader.announced(beds.announcement(1), cluster.now)
    cluster.run(2.0)
    assert cluster.entry.ready()
    return cluster


def test_an_entry_vm_serves_once_one_control_vm_is_back():
    """The first one back may be none of the seeds."""
    cluster = served()
    cluster.stop_all()
    cluster.run(0.8)
    cluster.start_entry()
    cluster.run(0.2)
    cluster.start("d")
    cluster.run(0.1)
    assert cluster.entry.ready()


def test_an_entry_vm_that_starts_after_the_control_vm_is_greeted_too():
    cluster = served()
    cluster.stop_all()
    cluster.run(0.8)
    cluster.start("d")
    cluster.run(0.4)
    cluster.start_entry()
    cluster.run(0.15)
    assert cluster.entry.ready()


def test_entry_vms_are_remembered_over_two_restarts():
    cluster = served()
    for _ in range(2):
        cluster.stop_all()
        cluster.start("d")
        cluster.run(1.5)
    cluster.stop_all()
    cluster.start_entry()
    cluster.start("d")
    cluster.run(0.1)
    assert cluster.entry.ready()


def test_a_control_vm_stops_greeting_those_that_have_asked():
    cluster = served()
    cluster.stop_all()
    cluster.start_entry()
    cluster.start("d")
    cluster.run(0.1)
    assert cluster.nodes["d"].tick(cluster.now + 0.2, 0.0) == []
