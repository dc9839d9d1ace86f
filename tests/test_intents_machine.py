"""Model-based tests of intents: resends, races, expiry, restarts.

Two replicas apply the same commands; one of them is restored from the
other's snapshot now and then. The model records the first answer to each
request, which plans were confirmed, and how a confirmation changes the view.
"""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from ebonytally.agreement import control_state
from ebonytally import commands
from ebonytally.intents import plan_book
from ebonytally.intents import plan_messages as messages
from ebonytally import view
from tests import intent_fakes as fakes

_OPERATORS = st.sampled_from(["mair", "ion"])
_IDS = st.integers(1, 12).map(str)
_CENTRES = st.sampled_from(["north", "south", "east", "nowhere"])
_SERVICES = st.sampled_from(["desk", "store"])
_INTENTS = st.one_of(
    st.builds(messages.TakeOut, _CENTRES),
    st.builds(messages.BringBack, _CENTRES),
    st.builds(messages.RemoveService, _SERVICES),
    st.builds(
        messages.ChangeService,
        _SERVICES,
        max_queue=st.integers(1, 3),
    ),
    st.builds(
        messages.CreateService,
        st.builds(fakes.service, _SERVICES, st.integers(80, 81)),
    ),
    st.builds(messages.RetireVm, st.sampled_from(["vm-4", "vm-1"])),
)
_FACTS = st.builds(messages.VmFacts, counted_by=st.integers(0, 5))
_PLAN_S = 50.0


class IntentMachine(stateful.RuleBasedStateMachine):
    """Two replicas, and operators who resend requests and race."""

    plans = stateful.Bundle("plans")

    def __init__(self) -> None:
        """Create two replicas with the VMs of `fakes`."""
        super().__init__()
        self.replicas = [control_state.Machine(), control_state.Machine()]
        self.wall = 1000.0
        self.first_answers: dict[tuple, tuple[object, messages.Answer]] = {}
        self.confirmed: set[str] = set()
        self.plans_made: dict[str, messages.Plan] = {}
        self.proposed: list[object] = []
        self._apply(commands.Genesis(fakes.vms()))

    def _apply(self, command: object) -> object:
        result, other = (each.apply(command) for each in self.replicas)
        assert result == other
        for replica in self.replicas:
            effects = replica.take_effects()
            revisions = [effect.revision for effect in effects]
            last = replica.view.revision
            wanted = range(last - len(effects) + 1, last + 1)
            assert revisions == list(wanted)
        return result

    def _apply_and_check(self, key: tuple, content: object, command: object):
        """Apply an operator's command and check it against the model."""
        before = self.replicas[0].view
        answer = self._apply(command)
        after = self.replicas[0].view
        recorded = self.first_answers.get(key)
        if recorded is None:
            self.first_answers[key] = (content, answer)
        elif recorded[0] == content:
            assert answer == recorded[1]
            assert after == before
        else:
            assert answer.reason == "intent_id_reused"
            assert after == before
        return answer, recorded is None, before, after

    @stateful.rule(target=plans, who=_OPERATORS, name=_IDS, intent=_INTENTS)
    def state_intent(self, who, name, intent):
        """State an intent, sometimes with an id that was used before."""
        command = messages.IntentStated(
            who, name, intent, messages.VmFacts(), self.wall, _PLAN_S
        )
        self.proposed.append(command)
        key = (who, "intent", name)
        answer, _, before, after = self._apply_and_check(key, intent, command)
        assert after == before
        if answer.plan is None:
            return stateful.multiple()
        self.plans_made[answer.plan.id] = answer.plan
        return answer.plan.id

    @stateful.rule(
        target=plans, plan=plans, who=_OPERATORS, name=_IDS, facts=_FACTS
    )
    def confirm(self, plan, who, name, facts):
        """Confirm a plan, perhaps one that another operator confirmed."""
        command = messages.PlanConfirmed(who, name, plan, facts, self.wall)
        self.proposed.append(command)
        key = (who, "confirm", name)
        answer, is_new, before, after = self._apply_and_check(
            key, plan, command
        )
        if not is_new:
            return plan
        if answer.reason:
            assert after == before
        else:
            self._check_confirmed(plan, before, after)
        if answer.reason == "plan_basis_moved" and answer.plan is not None:
            self.plans_made[answer.plan.id] = answer.plan
            return answer.plan.id
        return plan

    def _check_confirmed(self, plan, before, after):
        expected = self.plans_made[plan]
        assert plan not in self.confirmed
        assert self.wall <= expected.expires_at
        assert expected.basis == before.config_revision
        assert after.config_revision > before.config_revision
        self.confirmed.add(plan)

    @stateful.rule(plan=plans, who=_OPERATORS, name=_IDS)
    def discard(self, plan, who, name):
        """Discard a plan."""
        command = messages.PlanDiscarded(who, name, plan, self.wall)
        key = (who, "discard", name)
        _, _, before, after = self._apply_and_check(key, plan, command)
        assert after == before

    @stateful.precondition(lambda self: self.proposed)
    @stateful.rule(data=st.data())
    def propose_twice(self, data):
        """Commit a command again, as a retried proposal does."""
        before = self.replicas[0].view
        command = data.draw(st.sampled_from(self.proposed))
        self._apply(command)
        assert self.replicas[0].view == before

    @stateful.rule(
        last=st.integers(1, 3),
        centre=st.sampled_from(["north", "south"]),
        service=_SERVICES,
    )
    def upstream_announces(self, last, centre, service):
        """Register an upstream, which doesn't make plans outdated."""
        config_revision = self.replicas[0].view.config_revision
        seen = fakes.upstream(last, centre, service)
        self._apply(commands.UpstreamSeen(seen))
        assert self.replicas[0].view.config_revision == config_revision

    @stateful.rule(step=st.sampled_from([-60.0, 1.0, 20.0, 60.0]))
    def advance_clock(self, step):
        """Advance the clock, or set it back."""
        self.wall += step

    @stateful.rule()
    def restart_a_replica(self):
        """Restore one replica from the other's snapshot."""
        restored = control_state.Machine()
        restored.restore(self.replicas[0].snapshot())
        self.replicas[1] = restored

    @stateful.invariant()
    def replicas_agree(self):
        """Both replicas have the same state."""
        snapshot, other = (each.snapshot() for each in self.replicas)
        assert snapshot == other

    @stateful.invariant()
    def confirmed_plans_stay_confirmed(self):
        """An acknowledged confirmation is never lost."""
        for plan in self.confirmed:
            read = self.replicas[0].apply(messages.PlanRead(plan, self.wall))
            assert read.plan.state is messages.PlanState.CONFIRMED


TestIntents = IntentMachine.TestCase
TestIntents.settings = hypothesis.settings(
    max_examples=int(os.environ.get("EBONYTALLY_SEEDS", "60")),
    stateful_step_count=40,
    deadline=None,
    derandomize="EBONYTALLY_SEEDS" not in os.environ,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def _make_machine() -> control_state.Machine:
    machine = control_state.Machine()
    machine.apply(commands.Genesis(fakes.vms()))
    machine.apply(commands.ServiceSet(fakes.service()))
    for last, centre in enumerate(("north", "north", "south"), start=1):
        seen = fakes.upstream(last, centre)
        machine.apply(commands.UpstreamSeen(seen))
    return machine


def _state_intent(machine, intent, name="1", facts=None, wall=100.0):
    facts = facts or messages.VmFacts(counted_by=5)
    command = messages.IntentStated("mair", name, intent, facts, wall, 600.0)
    return machine.apply(command)


def _warning_kinds(plan) -> list[str]:
    return [warn.caution.value for warn in plan.draft.warnings]


def test_plan_shows_ending_flows_and_remaining_capacity():
    facts = messages.VmFacts(
        (
            messages.UpstreamLoad(1, 1500, 2),
            messages.UpstreamLoad(2, 1000, 1),
            messages.UpstreamLoad(3, 10, 0),
        ),
        counted_by=4,
        silent_vms=("vm-5",),
    )
    plan = _state_intent(
        _make_machine(), messages.TakeOut("north"), facts=facts
    ).plan
    assert plan.draft.flows_ending == 2500
    left = plan.draft.capacities[0]
    assert (left.upstreams_before, left.upstreams_after) == (3, 1)
    assert (left.slots_after, left.connections_after) == (2, 2000)
    assert _warning_kinds(plan) == [
        "capacity_below_load",
        "capacity_below_load",
        "vms_not_heard",
        "counts_partial",
    ]


def test_plan_warns_of_the_last_data_centre():
    machine = _make_machine()
    for name in ("north", "south"):
        machine.apply(commands.DataCentreOut(name))
    plan = _state_intent(machine, messages.TakeOut("east")).plan
    assert _warning_kinds(plan) == ["last_data_centre"]


def test_confirmation_is_refused_when_there_is_a_new_severe_warning():
    machine = _make_machine()
    plan = _state_intent(machine, messages.TakeOut("north")).plan
    machine.apply(commands.UpstreamGone(3, 1))
    command = messages.PlanConfirmed(
        "mair", "1", plan.id, messages.VmFacts(), 101.0
    )
    answer = machine.apply(command)
    assert answer.reason == "plan_basis_moved"
    assert _warning_kinds(answer.plan)[0] == "no_upstream_left"
    assert machine.view.out == ()


def _confirm(machine, plan, name="1", wall=101.0):
    facts = messages.VmFacts(counted_by=5)
    command = messages.PlanConfirmed("mair", name, plan.id, facts, wall)
    return machine.apply(command)


def test_plan_can_be_confirmed_up_to_its_expiry_and_not_after():
    machine = _make_machine()
    late = _state_intent(machine, messages.TakeOut("north"), "1").plan
    answer = _confirm(machine, late, "1", wall=late.expires_at + 0.1)
    assert answer.reason == "plan_expired"
    assert machine.view.out == ()
    in_time = _state_intent(machine, messages.TakeOut("north"), "2").plan
    answer = _confirm(machine, in_time, "2", wall=in_time.expires_at)
    assert answer.reason == ""
    assert machine.view.out == ("north",)


def test_plan_is_void_after_another_configuration_change():
    machine = _make_machine()
    first = _state_intent(machine, messages.TakeOut("north"), "1").plan
    other = _state_intent(machine, messages.RetireVm("vm-4"), "2").plan
    assert _confirm(machine, other, "2").reason == ""
    answer = _confirm(machine, first, "1")
    assert answer.reason == "plan_basis_moved"
    assert machine.view.out == ()
    assert answer.plan.id != first.id
    assert _confirm(machine, first, "3").reason == "plan_basis_moved"
    assert _confirm(machine, answer.plan, "4").reason == ""
    assert machine.view.out == ("north",)


def test_unknown_counts_are_not_shown_as_zero():
    facts = messages.VmFacts()
    plan = _state_intent(
        _make_machine(), messages.TakeOut("north"), facts=facts
    ).plan
    assert plan.draft.flows_ending == -1
    assert any("isn't known" in line for line in plan.draft.changes)
    facts = messages.VmFacts(counted_by=1)
    plan = _state_intent(
        _make_machine(), messages.TakeOut("north"), facts=facts
    ).plan
    assert "No open flow ends." not in plan.draft.changes
    assert any("At least 0" in line for line in plan.draft.changes)


def test_control_vms_can_not_fall_below_the_minimum():
    machine = _make_machine()
    answer = _state_intent(machine, messages.RetireVm("vm-1"))
    assert answer.reason == "intent_not_possible"
    facts = messages.VmFacts(silent_vms=("vm-2",))
    replace = messages.ReplaceVm("vm-1", "127.20.0.9")
    plan = _state_intent(machine, replace, "2", facts).plan
    assert "control_majority" in _warning_kinds(plan)


def test_plan_warns_of_the_last_entry_vm_of_a_data_centre():
    plan = _state_intent(_make_machine(), messages.RetireVm("vm-4")).plan
    assert _warning_kinds(plan) == ["no_entry_vm_left"]
    plan = _state_intent(_make_machine(), messages.RetireVm("vm-5")).plan
    assert _warning_kinds(plan) == []


def test_memory_of_plans_and_answers_is_bounded():
    machine = _make_machine()
    sizes = []
    for number in range(800):
        operator = f"operator-{number % 12}"
        machine.apply(
            messages.IntentStated(
                operator,
                f"{number}",
                messages.TakeOut("north"),
                messages.VmFacts(),
                100.0,
                600.0,
            )
        )
        if number in (700, 799):
            sizes.append(len(machine.snapshot()))
    assert sizes[1] <= sizes[0] * 1.02
    assert sizes[1] < 1_000_000


def test_many_intents_of_one_operator_do_not_evict_those_of_others():
    machine = _make_machine()
    first = _state_intent(machine, messages.TakeOut("north"))
    for number in range(500):
        command = messages.IntentStated(
            "ion",
            f"{number}",
            messages.TakeOut("south"),
            messages.VmFacts(),
            100.0,
            600.0,
        )
        machine.apply(command)
    still_open = machine.apply(messages.OpenPlansRead(100.0)).plans
    assert len(still_open) == 1 + plan_book.MAX_OPEN_PER_OPERATOR
    assert _state_intent(machine, messages.TakeOut("north")) == first
    read = messages.PlanRead(first.plan.id, 100.0)
    assert machine.apply(read).plan.state is messages.PlanState.OPEN


def test_changing_a_service_keeps_the_fields_that_are_not_given():
    machine = _make_machine()
    change = messages.ChangeService("cutting-desk", ("north",))
    plan = _state_intent(machine, change).plan
    assert _confirm(machine, plan).reason == ""
    expected = fakes.service()
    changed = machine.view.services[0]
    assert changed.data_centres == ("north",)
    assert (changed.address, changed.port) == (expected.address, expected.port)
    assert isinstance(changed, view.Service)
