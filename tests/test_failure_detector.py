"""Tests of the failure detector."""

import pytest

from ebonytally.dissemination import failure_detector
from ebonytally import recorder
from ebonytally import view
from tests import virtual_net

NAMES = ("a", "b", "c", "d", "e")


def _view(names=NAMES) -> view.View:
    vms = tuple(
        view.Vm(name, "127.0.0.1", name, "west", False) for name in names
    )
    return view.View(revision=1, vms=vms)


def _start(seed: int = 1, names=NAMES) -> virtual_net.Net:
    net = virtual_net.Net(seed)
    for index, name in enumerate(names):
        net.components[name] = failure_detector.FailureDetector(
            virtual_net.cfg(name),
            name,
            100 + index,
            recorder.MemoryRecorder(),
            seed + index,
        )
        net.components[name].on_view_change(_view(names), 0.0)
    return net


def _others(name: str) -> frozenset[str]:
    return frozenset(NAMES) - {name}


def test_all_are_alive_without_faults():
    net = _start()
    net.run(30.0)
    for name, detector in net.components.items():
        assert detector.alive() == _others(name)


def test_a_lost_vm_is_dead_everywhere_within_seconds():
    net = _start()
    net.run(5.0)
    del net.components["c"]
    net.run(5.0)
    for detector in net.components.values():
        assert "c" in detector.dead()


def test_a_restored_vm_is_alive_again():
    net = _start()
    detector_c = net.components.pop("c")
    net.run(6.0)
    net.components["c"] = detector_c
    net.run(4.0)
    for name, detector in net.components.items():
        assert detector.alive() == _others(name)


def test_a_cut_between_two_vms_declares_neither_dead():
    net = _start()
    net.run(2.0)
    net.cut_links = {("a", "b"), ("b", "a")}
    for _ in range(200):
        net.run(0.2)
        assert "b" not in net.components["a"].dead()
        assert "a" not in net.components["b"].dead()


def test_a_one_way_cut_does_not_flap():
    net = _start()
    net.run(2.0)
    net.cut_links = {("a", other) for other in ("b", "c")}
    recorders = [detector._recorder for detector in net.components.values()]
    before = sum(len(recorder_.events) for recorder_ in recorders)
    net.run(30.0)
    for detector in net.components.values():
        assert detector.dead() == frozenset()
    changes = sum(len(recorder_.events) for recorder_ in recorders) - before
    assert changes <= 60


def test_a_vm_that_hears_nobody_gets_no_other_suspected():
    net = _start()
    net.run(2.0)
    net.cut_links = {(other, "e") for other in NAMES if other != "e"}
    net.run(6.0)
    for name in ("a", "b", "c", "d"):
        others = _others(name) - {"e"}
        assert others <= net.components[name].alive()


def test_a_partition_is_detected_on_both_sides_and_heals():
    net = _start()
    net.run(2.0)
    net.isolate({"a", "b"})
    net.run(6.0)
    assert net.components["a"].alive() == {"b"}
    assert net.components["d"].alive() == {"c", "e"}
    net.heal()
    net.run(5.0)
    for name, detector in net.components.items():
        assert detector.alive() == _others(name)


@pytest.mark.parametrize("count", [5, 40])
def test_cost_for_each_vm_does_not_grow(count):
    names = tuple(f"vm-{index}" for index in range(count))
    net = _start(names=names)
    net.run(20.0)
    messages_per_s = net.sent / count / 20.0
    assert messages_per_s <= 6.0
