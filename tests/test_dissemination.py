"""Tests of the dissemination of leases and revisions."""

import pytest

from ebonytally import commands
from ebonytally.dissemination import dissemination
from ebonytally.dissemination import dissemination_messages
from ebonytally.dissemination import dissemination_tree
from ebonytally import recorder
from ebonytally import view
from ebonytally import wire
from tests import virtual_net

LEASE_S = 1.5
NAMES = ("a", "b", "c", "d", "e")


class _Node:
    """A VM that renews its own lease while it leads `term`."""

    def __init__(self, replica: dissemination.Dissemination) -> None:
        self.dissemination = replica
        self.term: int | None = None

    def handle(self, peer, msg, now):
        return self.dissemination.handle(peer, msg, now)

    def tick(self, now):
        self.dissemination.set_leading_term(self.term, now)
        return self.dissemination.tick(now)


def _vms(names, per_centre=1):
    return tuple(
        view.Vm(
            name,
            "127.0.0.1",
            f"dc-{index // per_centre}",
            "west",
            False,
        )
        for index, name in enumerate(names)
    )


def _start(names=NAMES, per_centre=1, leader="a") -> virtual_net.Net:
    net = virtual_net.Net(1)
    first = view.View(vms=_vms(names, per_centre))
    for index, name in enumerate(names):
        replica = dissemination.Dissemination(
            virtual_net.cfg(name, lease_s=LEASE_S),
            name,
            first,
            recorder.MemoryRecorder(),
            index,
        )
        replica.set_alive(frozenset(names) - {name})
        net.components[name] = _Node(replica)
    net.components[leader].term = 1
    return net


def _apply_commands(net, count, leader="a"):
    replica = net.components[leader].dissemination
    for _ in range(count):
        revision = replica.current_view.revision + 1
        command = commands.DataCentreOut(f"dc-x{revision}")
        replica.on_command_applied(revision, command)


def _leased_vms(net):
    return {
        name
        for name, node in net.components.items()
        if node.dissemination.is_leased(net.now)
    }


def test_lease_is_ignored_without_the_grantors_revision():
    net = _start()
    replica = net.components["b"].dissemination
    lease = dissemination_messages.Lease(1, "a", 1, LEASE_S, 0.0, 1)
    replica.handle("a", lease, 0.1)
    assert not replica.is_leased(0.1)
    command = wire.pack_message(commands.DataCentreOut("dc-3"))
    replica.handle("a", dissemination_messages.Entries(1, (command,)), 0.2)
    replica.handle("a", lease, 0.3)
    assert replica.is_leased(0.3)


def test_every_vm_gets_a_lease_and_each_revision():
    net = _start()
    net.run(1.0)
    assert _leased_vms(net) == set(NAMES)
    _apply_commands(net, 3)
    net.run(0.2)
    for node in net.components.values():
        assert node.dissemination.current_view.revision == 3
    net.run(0.5)
    applied = net.components["a"].dissemination.applied_revisions(net.now)
    assert applied == dict.fromkeys(NAMES, 3)


def test_lost_revisions_are_fetched_again():
    net = _start()
    net.run(1.0)
    net.loss_share = 0.3
    _apply_commands(net, 50)
    net.run(5.0)
    for node in net.components.values():
        assert node.dissemination.current_view.revision == 50


def test_vm_far_behind_gets_the_whole_view():
    net = _start()
    net.run(1.0)
    net.isolate({"e"})
    _apply_commands(net, 1500)
    net.heal()
    net.run(5.0)
    assert (
        net.components["e"].dissemination.current_view
        == net.components["a"].dissemination.current_view
    )


def test_lease_of_a_cut_off_vm_ends_before_the_leader_relies_on_it():
    net = _start()
    net.run(2.0)
    net.isolate({"d"})
    while "d" not in net.components["a"].dissemination.expired_vms(net.now):
        net.run(0.05)
        assert net.now < 10.0
    assert "d" not in _leased_vms(net)
    assert net.now - 2.0 <= 2 * LEASE_S + 0.5
    net.heal()
    net.run(1.5)
    assert "d" in _leased_vms(net)
    assert (
        net.components["a"].dissemination.expired_vms(net.now) == frozenset()
    )


def test_a_vm_that_is_heard_but_hears_nothing_has_no_lease():
    net = _start()
    net.run(2.0)
    net.cut_links = {(other, "d") for other in NAMES}
    net.run(LEASE_S + 0.1)
    assert "d" not in _leased_vms(net)


def test_a_delayed_lease_is_not_extended():
    net = _start()
    net.run(1.0)
    lease = dissemination_messages.Lease(1, "a", 0, LEASE_S, net.now, 10_000)
    net.isolate({"d"})
    replica = net.components["d"].dissemination
    net.run(5.0)
    replica.handle("a", lease, net.now)
    assert not replica.is_leased(net.now)


def test_leases_end_when_the_leader_may_not_grant():
    net = _start()
    net.run(1.0)
    net.components["a"].term = None
    net.run(LEASE_S + 0.1)
    assert _leased_vms(net) == set()


def test_an_old_leader_grants_nothing_after_a_new_term():
    net = _start()
    net.run(1.0)
    net.components["b"].term = 2
    net.components["a"].term = None
    net.run(1.0)
    lease = dissemination_messages.Lease(1, "a", 99, 9.0, net.now, 10_000)
    replica = net.components["c"].dissemination
    assert replica.handle("a", lease, net.now) == []
    assert replica.leader == "b"


def test_revisions_never_go_down():
    net = _start()
    net.run(0.5)
    _apply_commands(net, 5)
    net.run(0.5)
    replica = net.components["c"].dissemination
    stale = view.View(revision=2, vms=replica.current_view.vms)
    assert not replica.replace_view(stale)
    entries = dissemination_messages.Entries(2, (b"\x00",))
    replica.handle("a", entries, net.now)
    assert replica.current_view.revision == 5


@pytest.mark.parametrize("count", [5, 41, 410])
def test_the_tree_reaches_every_vm_with_bounded_fan_out(count):
    names = tuple(f"vm-{index:03}" for index in range(count))
    vms = _vms(names, per_centre=max(1, count // 8))
    alive = frozenset(names)
    reached = {"vm-007" if count > 7 else "vm-000"}
    leader = next(iter(reached))
    frontier = [leader]
    while frontier:
        name = frontier.pop()
        child_names = dissemination_tree.children(name, leader, vms, alive)
        centres = len({vm.data_centre for vm in vms})
        limit = dissemination_tree.FAN_OUT
        if name == leader:
            limit += centres
        assert len(child_names) <= limit
        assert not reached & set(child_names)
        reached |= set(child_names)
        frontier += child_names
    assert reached == set(names)


def test_a_lost_relay_is_replaced():
    names = tuple(f"vm-{index:02}" for index in range(12))
    net = _start(names, per_centre=4, leader="vm-00")
    net.run(1.0)
    del net.components["vm-04"]
    net.run(LEASE_S + 2.0)
    assert _leased_vms(net) == set(names) - {"vm-04"}


def test_cost_for_each_vm_is_bounded():
    """VMs that disagree on a parent must not send a flood of messages."""
    net = _start()
    net.run(2.0)
    net.components["c"].dissemination.set_alive(frozenset({"a", "b"}))
    net.components["a"].dissemination.set_alive(frozenset({"b", "d"}))
    before = net.sent
    net.run(20.0)
    messages_per_s = (net.sent - before) / len(NAMES) / 20.0
    assert messages_per_s <= 12.0


def test_a_vm_on_an_older_view_gets_no_lease_before_it_caught_up():
    """The leader must not count a VM restarted on an older view as current."""
    net = _start()
    net.run(1.0)
    _apply_commands(net, 5)
    net.run(1.0)
    restarted = dissemination.Dissemination(
        virtual_net.cfg("d", lease_s=LEASE_S),
        "d",
        view.View(vms=_vms(NAMES)),
        recorder.MemoryRecorder(),
        9,
    )
    restarted.set_alive(frozenset(NAMES) - {"d"})
    net.components["d"] = _Node(restarted)
    for _ in range(100):
        net.run(0.02, step_s=0.02)
        assert (
            not restarted.is_leased(net.now)
            or restarted.current_view.revision == 5
        )
    assert restarted.is_leased(net.now)
