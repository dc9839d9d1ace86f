"""Plan confirmation: check the model, replay its steps on the code."""

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
VIOLATED = {
    (Mistake.STATE_NOT_CHECKED,): "discarded_stays_so",
    (Mistake.BASIS_NOT_CHECKED,): "basis_held",
    tuple(Mistake): "confirmed_once",
}


def test_specification_is_safe():
    report = minicheck.check_safety(confirm_model.ConfirmModel().protocol())
    assert report["exhaustive"]
    assert all(v["holds"] for v in report["properties"].values())


@pytest.mark.parametrize("mistakes", VIOLATED)
def test_mistake_is_found(mistakes):
    model = confirm_model.ConfirmModel(*mistakes).protocol()
    report = minicheck.check_safety(model)
    assert report["properties"][VIOLATED[mistakes]]["holds"] is False


class Replay:
    """Replay the model's steps on the control state machine."""

    def __init__(self):
        self.machine = control_state.Machine()
        vms = tuple(
            view.Vm(f"e{n}", f"127.0.0.{n}", f"d{n}", "r1", n < 4)
            for n in range(1, 6)
        )
        self.machine.apply(commands.Genesis(vms))
        self.first_revision = self.machine.view.config_revision
        self.plans = {}

    def state_intent(self, plan):
        answer = self.machine.apply(
            plan_messages.IntentStated(
                confirm_model.OPERATORS[plan],
                "1",
                plan_messages.TakeOut(f"d{plan + 1}"),
                plan_messages.VmFacts(),
                0.0,
                600.0,
            )
        )
        self.plans[plan] = answer.plan.id

    def send_request(self, request, plan):
        plan_id = self.plans[plan]
        if request.confirm:
            facts = plan_messages.VmFacts()
            command = plan_messages.PlanConfirmed(
                request.operator, "7", plan_id, facts, 1.0
            )
        else:
            command = plan_messages.PlanDiscarded(
                request.operator, "7", plan_id, 1.0
            )
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
        label, next_state = rng.choice(list(model.steps(state)))
        if label[0] == "state":
            replay.state_intent(label[1])
        else:
            answer = replay.send_request(*label[1:])
            new_answers = next_state.answers - state.answers
            for _, _, accepted in new_answers:
                assert accepted == (answer.reason == "")
        changes += next_state.config - state.config
        state = next_state
        assert replay.in_force() == state.in_force
        revision_rose = (
            replay.machine.view.config_revision > replay.first_revision
        )
        assert revision_rose == (changes > 0)
