"""Conditions on which owners may place flows away from a base."""

import attrs

from ebonytally import commands
from ebonytally.flows import flow_placing
from ebonytally import view


def _vm(name, state=view.VmState.UP):
    return view.Vm(name, "10.0.0.1", "a", "r", True, state)


def _state(*vms):
    tracked = (
        view.SlotState(0, 1, 2, False, 5),
        view.SlotState(1, 1, 2, True),
    )
    table = view.Table("s", (1, 1), tracked, 5)
    return view.View(revision=7, vms=vms, tables=(table,))


def test_placing_waits_until_every_vm_has_applied_the_change():
    state = _state(_vm("a"), _vm("b"))
    assert (
        flow_placing.placing_commands(state, {"a": 7, "b": 4}, frozenset())
        == []
    )
    assert flow_placing.placing_commands(state, {"a": 7}, frozenset()) == []
    proposals = flow_placing.placing_commands(
        state, {"a": 7, "b": 5}, frozenset()
    )
    assert proposals == [commands.SlotsPlacing("s", (0,), 5)]


def test_placing_waits_for_a_down_vm_until_its_lease_has_expired():
    state = _state(_vm("a"), _vm("b", view.VmState.DOWN))
    assert flow_placing.placing_commands(state, {"a": 7}, frozenset()) == []
    assert flow_placing.placing_commands(state, {"a": 7}, frozenset({"b"}))
    state = attrs.evolve(state, vms=(_vm("a"), _vm("b")))
    assert (
        flow_placing.placing_commands(state, {"a": 7}, frozenset({"b"})) == []
    )
