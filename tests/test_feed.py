"""How entry VMs follow control VMs that are late, cut off or restarted."""

import random

import attrs

from ebonytally.configuration import machine as machines
from tests import echo_bed as beds


def routes(count):
    """Return a content of many routes."""
    many = tuple(
        attrs.evolve(beds.ROUTE, name=f"r-{n}", port=1000 + n)
        for n in range(count)
    )
    return attrs.evolve(beds.CONTENT, routes=(beds.ROUTE, *many))


def test_large_configuration_is_put_in_force_whole():
    control, entry = beds.bed()
    control.put(5, routes(400))
    seen = set()
    do = entry.follower.handle

    def watch(peer, msg, now):
        out = do(peer, msg, now)
        seen.add(
            (
                entry.follower.view.version,
                len(entry.follower.view.content.routes),
            )
        )
        return out

    entry.follower.handle = watch
    entry.run(1.0)
    assert seen == {(2, 1), (5, 401)}


def test_changes_arrive_though_datagrams_are_lost():
    control, entry = beds.bed(upstreams=30)
    rng = random.Random(4)
    handle = control.handle

    def lossy(peer, msg, now):
        return handle(peer, msg, now) if rng.random() > 0.3 else []

    control.handle = lossy
    for version in range(3, 12):
        control.put(version, routes(40 * version))
        control.register.announced(
            beds.announcement(version, sequence=2, draining=True), entry.now
        )
        entry.run(2.5)
        assert entry.follower.view.version == version
        mine = entry.register.get(f"i-{version:08x}").record
        assert mine.state == mine.state.DRAINING


def test_an_older_control_vm_never_takes_anything_back():
    new = beds.ControlVm("c1")
    old = beds.ControlVm("c2")
    for one, version in ((new, 9), (old, 4)):
        one.names = ("c1", "c2")
        one.put(version)
        one.register.announced(beds.announcement(1), 0.0)
    new.machine.apply(machines.DataCentreSet("north", True))
    entry = beds.EntryVm("e1", [new, old])
    entry.run(1.0)
    assert entry.follower.view.version == 9
    entry.dark = {"c1"}
    entry.run(3.0)
    assert entry.follower.view.version == 9
    assert entry.follower.view.out == {"north"}


def test_a_cut_off_control_vm_is_left_for_one_in_touch():
    new = beds.ControlVm("c1")
    cut = beds.ControlVm("c2")
    for one in (new, cut):
        one.names = ("c1", "c2")
        one.put(4)
    entry = beds.EntryVm("e1", [new, cut])
    entry.run(2.0)
    cut.in_touch = False
    entry.run(1.0)
    drained = beds.announcement(1, draining=True)
    new.register.announced(drained, entry.now)
    entry.run(0.7)
    assert entry.register.get("i-00000001") is not None
    assert entry.follower.fresh(entry.now)


def test_nothing_is_fresh_without_a_control_vm_in_touch():
    control, entry = beds.bed()
    control.in_touch = False
    entry.run(2.0)
    assert not entry.follower.fresh(entry.now)
    assert entry.follower.complete()


def test_a_restarted_control_vm_is_followed_anew():
    control, entry = beds.bed(upstreams=3)
    again = beds.ControlVm("c1", start=2)
    again.put(3)
    again.register.announced(beds.announcement(7), entry.now)
    entry.control_vms = {"c1": again}
    entry.run(1.0)
    assert entry.follower.view.version == 3
    assert entry.register.get("i-00000007") is not None
    assert entry.register.get("i-00000001") is not None


def test_control_vms_that_no_seed_names_are_followed_too():
    control, entry = beds.bed()
    other = beds.ControlVm("c9")
    entry.control_vms["c9"] = other
    control.names = ("c1", "c9")
    other.names = ("c1", "c9")
    entry.run(1.0)
    other.put(8)
    entry.dark = {"c1"}
    entry.run(2.0)
    assert entry.follower.view.version == 8


def test_seeds_of_changed_settings_are_followed():
    control, entry = beds.bed()
    other = beds.ControlVm("c9")
    other.put(8)
    entry.control_vms["c9"] = other
    entry.dark = {"c1"}
    entry.follower.use_seeds(("c9",))
    entry.run(2.0)
    assert entry.follower.view.version == 8


def test_a_control_vm_that_answers_nothing_is_left_for_good():
    near = beds.ControlVm("c1")
    far = beds.ControlVm("c2")
    for one in (near, far):
        one.names = ("c1", "c2")
        one.put(4)
    entry = beds.EntryVm("e1", [near, far])
    entry.run(2.0)
    assert chosen_in(entry, 20.0) == []
    entry.dark = {"c1"}
    entry.run(1.0)
    assert chosen_in(entry, 20.0) == []
    assert entry.follower.fresh(entry.now)


def chosen_in(entry, seconds):
    """Return the control VMs chosen while time passes."""
    before = len(entry.recorder.events)
    entry.run(seconds)
    return [
        fields["peer"]
        for event, fields in entry.recorder.events[before:]
        if event.name == "CONTROL_VM_CHOSEN"
    ]
