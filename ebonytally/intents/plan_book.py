"""Plans, and the recorded answers to intents and confirmations.

Part of the replicated state machine: deterministic and bounded in memory.
"""

import hashlib

import attrs
from returns import result

from ebonytally.intents import plan_answers
from ebonytally.intents import plan_checks
from ebonytally.intents import plan_messages as messages
from ebonytally.intents import plan_refusals
from ebonytally.intents import plan_warnings
from ebonytally.intents import plans
from ebonytally import reasons
from ebonytally import view
from ebonytally import wire

MAX_PLANS = 256
MAX_PLANS_PER_OPERATOR = 32
MAX_OPEN_PER_OPERATOR = 8
_DIGEST_BYTES = 8
_CHECK_DIGITS = 4


@attrs.frozen
class Snapshot:
    """State of a `PlanBook`, as stored in snapshots."""

    next_number: int = 1
    plans: tuple[messages.Plan, ...] = ()
    answers: tuple[plan_answers.CachedAnswer, ...] = ()


@attrs.frozen
class Decision:
    """Result of an operator's command.

    :param commands: configuration commands to apply, in order
    """

    answer: messages.Answer
    commands: tuple[object, ...] = ()


class PlanBook:
    """Replicated state of plans; decides intents, confirms, discards."""

    def __init__(self, saved: Snapshot | None = None) -> None:
        """Create an empty book, or restore one from a snapshot."""
        saved = saved or Snapshot()
        self._next_number = saved.next_number
        self._plans = {plan.id: plan for plan in saved.plans}
        self._answers = plan_answers.AnswerCache(saved.answers)

    def save(self) -> Snapshot:
        """Return the state for a snapshot."""
        return Snapshot(
            self._next_number,
            tuple(self._plans.values()),
            self._answers.save(),
        )

    def open_plans(
        self,
        cfg: view.View,
        wall: float,
    ) -> tuple[messages.Plan, ...]:
        """Return the plans that may still be confirmed, oldest first.

        :param wall: present time, seconds since 1970
        """
        return tuple(
            plan
            for plan in self._plans.values()
            if plan.state is messages.PlanState.OPEN
            and plan.basis == cfg.config_revision
            and wall <= plan.expires_at
        )

    def read(self, name: str, wall: float) -> messages.Answer:
        """Return a plan with its state at the time `wall`.

        :param name: id of the plan
        :param wall: present time, seconds since 1970
        """
        plan = self._plans.get(name)
        if plan is None:
            return plan_refusals.unknown_plan(name)
        expired = wall > plan.expires_at
        if expired and plan.state is messages.PlanState.OPEN:
            plan = attrs.evolve(plan, state=messages.PlanState.EXPIRED)
        return messages.Answer(plan=plan)

    def decide(self, command: object, cfg: view.View) -> Decision:
        """Decide a command once; a resent one gets the recorded answer.

        The same id with other content is refused.
        """
        verb, content = _verb_and_content(command)
        key = (command.operator, verb, command.id)
        digest = _digest(content)
        cached = self._answers.find(key)
        if cached is None:
            decision = self._decide_new(command, cfg)
            new = plan_answers.CachedAnswer(*key, digest, decision.answer)
            self._answers.add(new)
            return decision
        if cached.digest == digest:
            return Decision(cached.answer)
        return Decision(
            plan_refusals.refusal(
                reasons.Refusal.INTENT_ID_REUSED,
                f"You already used the id {command.id} for a different "
                "request; use a new id.",
            )
        )

    def _decide_new(self, command: object, cfg: view.View) -> Decision:
        match command:
            case messages.IntentStated():
                return Decision(self._make_plan(command, cfg))
            case messages.PlanConfirmed():
                return self._confirm(command, cfg)
            case messages.PlanDiscarded():
                return Decision(self._discard(command))
        raise TypeError(
            "expected IntentStated, PlanConfirmed or PlanDiscarded, got "
            f"{type(command).__name__}"
        )

    def _make_plan(
        self,
        command: messages.IntentStated,
        cfg: view.View,
    ) -> messages.Answer:
        others = self.open_plans(cfg, command.wall)
        drafted = plans.draft_plan(cfg, command.intent, command.facts, others)
        if not isinstance(drafted, result.Success):
            return plan_refusals.refusal(
                reasons.Refusal.INTENT_NOT_POSSIBLE,
                f"Not possible: {drafted.failure()}.",
            )
        plan = self._open_plan(command, drafted.unwrap(), cfg)
        return messages.Answer(
            text=f"Plan {plan.id} is ready. Nothing changes until an operator "
            "confirms it.",
            plan=plan,
        )

    def _open_plan(
        self,
        command: messages.IntentStated,
        draft: messages.Draft,
        cfg: view.View,
    ) -> messages.Plan:
        number = self._next_number
        self._next_number += 1
        digits = _digest(command).hex()[:_CHECK_DIGITS]
        plan = messages.Plan(
            id=f"{number}-{digits}",
            operator=command.operator,
            intent_id=command.id,
            intent=command.intent,
            basis=cfg.config_revision,
            made_at=command.wall,
            expires_at=command.wall + command.plan_s,
            draft=draft,
        )
        self._plans[plan.id] = plan
        self._enforce_limits(command.operator, command.wall)
        return plan

    def _confirm(
        self,
        command: messages.PlanConfirmed,
        cfg: view.View,
    ) -> Decision:
        answer = self.read(command.plan, command.wall)
        plan = answer.plan
        if plan is None:
            return Decision(answer)
        if plan.state is not messages.PlanState.OPEN:
            return Decision(plan_refusals.closed_plan(plan))
        commands = plan_checks.commands_for(plan.intent, cfg)
        fault = self._basis_fault(plan, command, cfg)
        if fault or not isinstance(commands, result.Success):
            return Decision(self._replace_plan(plan, command, cfg, fault))
        commands = commands.unwrap()
        closed = attrs.evolve(
            plan,
            state=messages.PlanState.CONFIRMED,
            closed_by=command.operator,
            closed_at=command.wall,
            revision=cfg.revision + len(commands),
        )
        self._plans[plan.id] = closed
        text = (
            f"Plan {plan.id} is confirmed and in force as revision "
            f"{closed.revision}."
        )
        return Decision(messages.Answer(text=text, plan=closed), commands)

    def _basis_fault(
        self,
        plan: messages.Plan,
        command: messages.PlanConfirmed,
        cfg: view.View,
    ) -> str:
        """Return why the plan is outdated, "" if it still holds.

        A plan is outdated when the configuration has changed, the intent
        isn't possible any more, or there is a severe warning that the plan
        doesn't list.
        """
        if plan.basis != cfg.config_revision:
            return (
                "the configuration has changed since the plan was made "
                f"(revision {plan.basis} then, {cfg.config_revision} now)"
            )
        drafted = plans.draft_plan(cfg, plan.intent, command.facts, ())
        if not isinstance(drafted, result.Success):
            return f"it isn't possible any more: {drafted.failure()}"
        seen = plan_warnings.severe_warnings(plan.draft)
        unseen = plan_warnings.severe_warnings(drafted.unwrap()) - seen
        texts = sorted(text for _, text in unseen)
        if texts:
            return f"there is a severe new warning: {texts[0]}"
        return ""

    def _replace_plan(
        self,
        plan: messages.Plan,
        command: messages.PlanConfirmed,
        cfg: view.View,
        fault: str,
    ) -> messages.Answer:
        """Close an outdated plan, and open a new one for the same intent."""
        self._plans[plan.id] = attrs.evolve(
            plan,
            state=messages.PlanState.BASIS_MOVED,
            closed_at=command.wall,
        )
        restated = messages.IntentStated(
            command.operator,
            plan.intent_id,
            plan.intent,
            command.facts,
            command.wall,
            plan.expires_at - plan.made_at,
        )
        answer = self._make_plan(restated, cfg)
        text = f"Plan {plan.id} is not put in force: {fault}."
        if answer.plan is None:
            text = f"{text} {answer.text}"
        else:
            text = f"{text} Review the new plan {answer.plan.id} instead."
        return messages.Answer(
            reasons.Refusal.PLAN_BASIS_MOVED.value,
            text,
            answer.plan,
        )

    def _discard(self, command: messages.PlanDiscarded) -> messages.Answer:
        answer = self.read(command.plan, command.wall)
        plan = answer.plan
        if plan is None:
            return answer
        if plan.state is not messages.PlanState.OPEN:
            return plan_refusals.closed_plan(plan)
        closed = attrs.evolve(
            plan,
            state=messages.PlanState.DISCARDED,
            closed_by=command.operator,
            closed_at=command.wall,
        )
        self._plans[plan.id] = closed
        text = f"Plan {plan.id} is discarded; nothing changes."
        return messages.Answer(text=text, plan=closed)

    def _enforce_limits(self, operator: str, wall: float) -> None:
        """Close and delete the oldest plans above the limits.

        The limits per operator come first, so that an operator who states
        very many intents doesn't evict the plans of others.
        """
        own_plans = [
            plan for plan in self._plans.values() if plan.operator == operator
        ]
        own_open = [
            plan for plan in own_plans if plan.state is messages.PlanState.OPEN
        ]
        for plan in own_open[:-MAX_OPEN_PER_OPERATOR]:
            self._plans[plan.id] = attrs.evolve(
                plan,
                state=messages.PlanState.DISCARDED,
                closed_at=wall,
            )
        for plan in own_plans[:-MAX_PLANS_PER_OPERATOR]:
            del self._plans[plan.id]
        while len(self._plans) > MAX_PLANS:
            del self._plans[next(iter(self._plans))]


def _verb_and_content(command: object) -> tuple[str, object]:
    """Return the kind of request, and the content that its digest covers.

    The facts and the time are left out: they differ in a resent request.
    """
    match command:
        case messages.IntentStated(intent=intent):
            return "intent", intent
        case messages.PlanConfirmed(plan=plan):
            return "confirm", messages.PlanRead(plan, 0.0)
        case messages.PlanDiscarded(plan=plan):
            return "discard", messages.PlanRead(plan, 0.0)
    raise TypeError(
        "expected IntentStated, PlanConfirmed or PlanDiscarded, got "
        f"{type(command).__name__}"
    )


def _digest(msg: object) -> bytes:
    packed = wire.pack_message(msg)
    return hashlib.blake2s(packed, digest_size=_DIGEST_BYTES).digest()
