"""Tests of leases and revisions on their way down the tree."""

import pytest

from ebonytally import commands
from ebonytally import recorder
from ebonytally.spread import spread
from ebonytally.spread import spread_messages
from ebonytally.spread import spread_tree
from ebonytally import view
from ebonytally import wire
from tests import virtual_net

LEASE_S = 1.5
NAMES = ("a", "b", "c", "d", "e")


class _Part:
    """A spread slice whose leader renews its own lease."""

    def __init__(self, slice_: spread.Spread) -> None:
        self.slice = slice_
        self.term: int | None = None

    def handle(self, peer, msg, now):
        return self.slice.handle(peer, msg, now)

    def tick(self, now):
        self.slice.lead(self.term, now)
        return self.slice.tick(now)


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
        slice_ = spread.Spread(
            virtual_net.cfg(name, lease_s=LEASE_S),
            name,
            first,
            recorder.MemoryRecorder(),
            index,
        )
        slice_.reach(frozenset(names) - {name})
        net.parts[name] = _Part(slice_)
    net.parts[leader].term = 1
    return net


def _offer(net, count, leader="a"):
    slice_ = net.parts[leader].slice
    for _ in range(count):
        revision = slice_.present.revision + 1
        command = commands.DataCentreOut(f"dc-x{revision}")
        slice_.offer(revision, command)


def _leased(net):
    return {
        name for name, part in net.parts.items() if part.slice.leased(net.now)
    }


def test_lease_isnt_taken_without_the_grantors_revision():
    net = _start()
    slice_ = net.parts["b"].slice
    lease = spread_messages.Lease(1, "a", 1, LEASE_S, 0.0, 1)
    slice_.handle("a", lease, 0.1)
    assert not slice_.leased(0.1)
    command = wire.pack_message(commands.DataCentreOut("dc-3"))
    slice_.handle("a", spread_messages.Entries(1, (command,)), 0.2)
    slice_.handle("a", lease, 0.3)
    assert slice_.leased(0.3)


def test_everyone_gets_a_lease_and_each_revision():
    net = _start()
    net.run(1.0)
    assert _leased(net) == set(NAMES)
    _offer(net, 3)
    net.run(0.2)
    for part in net.parts.values():
        assert part.slice.present.revision == 3
    net.run(0.5)
    applied = net.parts["a"].slice.applied(net.now)
    assert applied == dict.fromkeys(NAMES, 3)


def test_lost_messages_are_made_good():
    net = _start()
    net.run(1.0)
    net.drop = 0.3
    _offer(net, 50)
    net.run(5.0)
    for part in net.parts.values():
        assert part.slice.present.revision == 50


def test_far_behind_gets_the_whole_view():
    net = _start()
    net.run(1.0)
    net.isolate({"e"})
    _offer(net, 1500)
    net.heal()
    net.run(5.0)
    assert net.parts["e"].slice.present == net.parts["a"].slice.present


def test_a_cut_off_vm_loses_its_lease_before_the_leader_counts_on_it():
    net = _start()
    net.run(2.0)
    net.isolate({"d"})
    while "d" not in net.parts["a"].slice.lapsed(net.now):
        net.run(0.05)
        assert net.now < 10.0
    assert "d" not in _leased(net)
    assert net.now - 2.0 <= 2 * LEASE_S + 0.5
    net.heal()
    net.run(1.5)
    assert "d" in _leased(net)
    assert net.parts["a"].slice.lapsed(net.now) == frozenset()


def test_a_vm_that_is_heard_but_hears_nothing_has_no_lease():
    net = _start()
    net.run(2.0)
    net.cut = {(other, "d") for other in NAMES}
    net.run(LEASE_S + 0.1)
    assert "d" not in _leased(net)


def test_a_delayed_lease_is_no_longer_for_that():
    net = _start()
    net.run(1.0)
    late = spread_messages.Lease(1, "a", 0, LEASE_S, net.now, 10_000)
    net.isolate({"d"})
    part = net.parts["d"].slice
    net.run(5.0)
    part.handle("a", late, net.now)
    assert not part.leased(net.now)


def test_leases_end_when_the_leader_may_not_grant():
    net = _start()
    net.run(1.0)
    net.parts["a"].term = None
    net.run(LEASE_S + 0.1)
    assert _leased(net) == set()


def test_an_old_leader_grants_nothing_after_a_new_term():
    net = _start()
    net.run(1.0)
    net.parts["b"].term = 2
    net.parts["a"].term = None
    net.run(1.0)
    old = spread_messages.Lease(1, "a", 99, 9.0, net.now, 10_000)
    part = net.parts["c"].slice
    assert part.handle("a", old, net.now) == []
    assert part.leader == "b"


def test_revisions_never_go_down():
    net = _start()
    net.run(0.5)
    _offer(net, 5)
    net.run(0.5)
    part = net.parts["c"].slice
    stale = view.View(revision=2, vms=part.present.vms)
    assert not part.adopt(stale)
    packed = spread_messages.Entries(2, (b"\x00",))
    part.handle("a", packed, net.now)
    assert part.present.revision == 5


@pytest.mark.parametrize("count", [5, 41, 410])
def test_the_tree_reaches_everyone_with_bounded_fan_out(count):
    names = tuple(f"vm-{index:03}" for index in range(count))
    vms = _vms(names, per_centre=max(1, count // 8))
    alive = frozenset(names)
    reached = {"vm-007" if count > 7 else "vm-000"}
    leader = next(iter(reached))
    frontier = [leader]
    while frontier:
        name = frontier.pop()
        below = spread_tree.children(name, leader, vms, alive)
        centres = len({vm.data_centre for vm in vms})
        limit = spread_tree.FAN_OUT
        if name == leader:
            limit += centres
        assert len(below) <= limit
        assert not reached & set(below)
        reached |= set(below)
        frontier += below
    assert reached == set(names)


def test_a_lost_relay_is_gone_round():
    names = tuple(f"vm-{index:02}" for index in range(12))
    net = _start(names, per_centre=4, leader="vm-00")
    net.run(1.0)
    del net.parts["vm-04"]
    net.run(LEASE_S + 2.0)
    assert _leased(net) == set(names) - {"vm-04"}


def test_cost_for_each_vm_is_bounded():
    """Messages stay few, also when the parent isn't agreed on."""
    net = _start()
    net.run(2.0)
    net.parts["c"].slice.reach(frozenset({"a", "b"}))
    net.parts["a"].slice.reach(frozenset({"b", "d"}))
    before = net.sent
    net.run(20.0)
    each = (net.sent - before) / len(NAMES) / 20.0
    assert each <= 12.0


def test_a_vm_that_fell_back_has_no_lease_before_it_caught_up():
    """A restart on an older view must not be taken for the newest."""
    net = _start()
    net.run(1.0)
    _offer(net, 5)
    net.run(1.0)
    old = spread.Spread(
        virtual_net.cfg("d", lease_s=LEASE_S),
        "d",
        view.View(vms=_vms(NAMES)),
        recorder.MemoryRecorder(),
        9,
    )
    old.reach(frozenset(NAMES) - {"d"})
    net.parts["d"] = _Part(old)
    for _ in range(100):
        net.run(0.02, step_s=0.02)
        assert not old.leased(net.now) or old.present.revision == 5
    assert old.leased(net.now)
