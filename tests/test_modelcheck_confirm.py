"""The specification of confirming plans: checked, and tied to the code."""

import os
import random

import minicheck
import pytest

from ebonytally.agreement import control_state
from ebonytally import commands
from ebonytally.intents import plan_messages
from ebonytally import view
from modelcheck import confirm_model

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))
Mistake = confirm_model.Mistake
FAULTY = {
    (Mistake.STATE_NOT_CHECKED,): "discarded_stays_so",
    (Mistake.BASIS_NOT_CHECKED,): "basis_held",
    tuple(Mistake): "confirmed_once",
}


def test_specification_is_safe():
    found = minicheck.check_safety(confirm_model.ConfirmModel().protocol())
    assert found["exhaustive"]
    assert all(v["holds"] for v in found["properties"].values())


@pytest.mark.parametrize("mistakes", FAULTY)
def test_mistake_is_found(mistakes):
    model = confirm_model.ConfirmModel(*mistakes).protocol()
    found = minicheck.check_safety(model)
    assert found["properties"][FAULTY[mistakes]]["holds"] is False


class Replay:
    """Carries the specification's steps out on the state machine."""

    def __init__(self):
        self.machine = control_state.Machine()
        vms = tuple(
            view.Vm(f"e{n}", f"127.0.0.{n}", f"d{n}", "r1", n < 4)
            for n in range(1, 6)
        )
        self.machine.apply(commands.Genesis(vms))
        self.first = self.machine.view.config_revision
        self.plans = {}

    def state(self, plan):
        answer = self.machine.apply(
            plan_messages.IntentStated(
                confirm_model.OPERATORS[plan],
                "1",
                plan_messages.TakeOut(f"d{plan + 1}"),
                plan_messages.Facts(),
                0.0,
                600.0,
            )
        )
        self.plans[plan] = answer.plan.id

    def ask(self, ask, plan):
        name = self.plans[plan]
        if ask.confirm:
            facts = plan_messages.Facts()
            command = plan_messages.PlanConfirmed(
                ask.operator, "7", name, facts, 1.0
            )
        else:
            command = plan_messages.PlanDiscarded(ask.operator, "7", name, 1.0)
        return self.machine.apply(command)

    def in_force(self):
        return tuple(
            int(f"d{plan + 1}" in self.machine.view.out)
            for plan in confirm_model.PLANS
        )


@pytest.mark.parametrize("seed", range(20 + 40 * SEEDS))
def test_code_takes_the_steps_of_the_specification(seed):
    rng = random.Random(seed)
    model = confirm_model.ConfirmModel()
    replay = Replay()
    state = confirm_model.State()
    changes = 0
    for _ in range(14):
        label, following = rng.choice(list(model.steps(state)))
        if label[0] == "state":
            replay.state(label[1])
        else:
            answer = replay.ask(*label[1:])
            kept = following.kept - state.kept
            for _, _, done in kept:
                assert done == (answer.reason == "")
        changes += following.config - state.config
        state = following
        assert replay.in_force() == state.in_force
        steps = replay.machine.view.config_revision > replay.first
        assert steps == (changes > 0)
