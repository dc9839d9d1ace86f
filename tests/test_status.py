"""Tests of the status report: always ten lines, which name each fault."""

import attrs
import pytest

from ebonytally.agreement import control_state
from ebonytally import commands
from ebonytally import status
from ebonytally import status_verdict
from ebonytally import view
from tests import intent_fakes as fakes

_FACTS = status.NodeFacts("vm-1", "vm-2", True, 1_000_000.0)


def _view(*steps: object) -> view.View:
    machine = control_state.Machine()
    machine.apply(commands.Genesis(fakes.vms()))
    machine.apply(commands.ServiceSet(fakes.service()))
    machine.apply(commands.UpstreamSeen(fakes.upstream(1, "north")))
    for step in steps:
        machine.apply(step)
    return machine.view


@pytest.mark.parametrize(
    ("facts", "plans", "steps", "level", "expected_text"),
    [
        ({}, (), (), "well", "nothing"),
        (
            {"silent_vms": (status.SilentVm("vm-5", 12.0),)},
            (),
            (),
            "care",
            "vm-5 (for 12 s)",
        ),
        ({"has_lease": False}, None, (), "trouble", "CUT OFF"),
        ({}, None, (), "trouble", "NOT possible"),
        ({"storage_fault": "no space"}, (), (), "trouble", "no space"),
        (
            {},
            (),
            (commands.DataCentreOut("north"),),
            "trouble",
            "OUT: north",
        ),
        (
            {},
            (),
            (commands.DataCentreOut("west"),),
            "care",
            "datacentre back west",
        ),
        ({}, (), (commands.UpstreamGone(1, 1),), "trouble", "NOT SERVED"),
    ],
)
def test_status_names_the_fault_in_ten_lines(
    facts, plans, steps, level, expected_text
):
    facts = attrs.evolve(_FACTS, **facts)
    result = status_verdict.assess(_view(*steps), facts, plans)
    assert result.level == level
    assert len(result.lines) == 10
    assert expected_text in "\n".join(result.lines)
    assert bool(result.next_steps) == (level != "well")


def test_lines_stay_short_with_hundreds_of_vms():
    vms = tuple(
        view.Vm(f"vm-{n}", f"10.0.{n // 250}.{n % 250}", f"dc-{n}", "w", n < 3)
        for n in range(410)
    )
    cfg = attrs.evolve(_view(), vms=vms)
    silent = tuple(status.SilentVm(vm.name, -1.0) for vm in vms)
    facts = attrs.evolve(_FACTS, silent_vms=silent)
    result = status_verdict.assess(cfg, facts, ())
    assert all(len(line) < 200 for line in result.lines)
