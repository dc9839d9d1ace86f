"""Plans and the answers kept for resent intents and confirmations.

A part of the replicated state: deterministic, and bounded in memory.
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
class Saved:
    """The whole book, for snapshots."""

    next_number: int = 1
    plans: tuple[messages.Plan, ...] = ()
    answers: tuple[plan_answers.KeptAnswer, ...] = ()


@attrs.frozen
class Ruling:
    """An answer, and the commands that came into force with it."""

    answer: messages.Answer
    steps: tuple[object, ...] = ()


class PlanBook:
    """Decides about intents, confirmations and discards."""

    def __init__(self, saved: Saved | None = None) -> None:
        """Start empty, or from what `save` returned."""
        saved = saved or Saved()
        self._next_number = saved.next_number
        self._plans = {plan.id: plan for plan in saved.plans}
        self._answers = plan_answers.PlanAnswers(saved.answers)

    def save(self) -> Saved:
        """Return the whole book."""
        return Saved(
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
        """Return a plan as it stands at `wall`, seconds since 1970."""
        plan = self._plans.get(name)
        if plan is None:
            return plan_refusals.unknown(name)
        expired = wall > plan.expires_at
        if expired and plan.state is messages.PlanState.OPEN:
            plan = attrs.evolve(plan, state=messages.PlanState.EXPIRED)
        return messages.Answer(plan=plan)

    def decide(self, command: object, cfg: view.View) -> Ruling:
        """Answer a command once; a resent one gets the first answer."""
        verb, content = _content(command)
        key = (command.operator, verb, command.id)
        digest = _digest(content)
        kept = self._answers.find(key)
        if kept is None:
            ruling = self._first(command, cfg)
            first = plan_answers.KeptAnswer(*key, digest, ruling.answer)
            self._answers.keep(first)
            return ruling
        if kept.digest == digest:
            return Ruling(kept.answer)
        return Ruling(
            plan_refusals.refused(
                reasons.Refusal.INTENT_ID_REUSED,
                f"You used the id {command.id} for something else before; "
                "take a new id.",
            )
        )

    def _first(self, command: object, cfg: view.View) -> Ruling:
        match command:
            case messages.IntentStated():
                return Ruling(self._stated(command, cfg))
            case messages.PlanConfirmed():
                return self._confirmed(command, cfg)
            case messages.PlanDiscarded():
                return Ruling(self._discarded(command))
        raise TypeError(f"{type(command).__name__} is no plan command")

    def _stated(
        self,
        command: messages.IntentStated,
        cfg: view.View,
    ) -> messages.Answer:
        others = self.open_plans(cfg, command.wall)
        made = plans.make(cfg, command.intent, command.facts, others)
        if not isinstance(made, result.Success):
            return plan_refusals.refused(
                reasons.Refusal.INTENT_NOT_POSSIBLE,
                f"Not possible: {made.failure()}.",
            )
        plan = self._opened(command, made.unwrap(), cfg)
        return messages.Answer(
            text=f"Plan {plan.id} is made. Nothing changes until somebody "
            "confirms it.",
            plan=plan,
        )

    def _opened(
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
        self._trim(command.operator, command.wall)
        return plan

    def _confirmed(
        self,
        command: messages.PlanConfirmed,
        cfg: view.View,
    ) -> Ruling:
        answer = self.read(command.plan, command.wall)
        plan = answer.plan
        if plan is None:
            return Ruling(answer)
        if plan.state is not messages.PlanState.OPEN:
            return Ruling(plan_refusals.closed(plan))
        steps = plan_checks.commands_for(plan.intent, cfg)
        moved = self._moved(plan, command, cfg)
        if moved or not isinstance(steps, result.Success):
            return Ruling(self._made_afresh(plan, command, cfg, moved))
        steps = steps.unwrap()
        closed = attrs.evolve(
            plan,
            state=messages.PlanState.CONFIRMED,
            closed_by=command.operator,
            closed_at=command.wall,
            revision=cfg.revision + len(steps),
        )
        self._plans[plan.id] = closed
        text = (
            f"Plan {plan.id} is confirmed and in force as revision "
            f"{closed.revision}."
        )
        return Ruling(messages.Answer(text=text, plan=closed), steps)

    def _moved(
        self,
        plan: messages.Plan,
        command: messages.PlanConfirmed,
        cfg: view.View,
    ) -> str:
        """Return why the plan's basis doesn't hold, "" if it does."""
        if plan.basis != cfg.config_revision:
            return (
                "the configuration has changed since the plan was made "
                f"(revision {plan.basis} then, {cfg.config_revision} now)"
            )
        now = plans.make(cfg, plan.intent, command.facts, ())
        if not isinstance(now, result.Success):
            return f"it isn't possible any more: {now.failure()}"
        seen = plan_warnings.severe(plan.draft)
        fresh = plan_warnings.severe(now.unwrap()) - seen
        texts = sorted(text for _, text in fresh)
        if texts:
            return f"there is a grave new warning: {texts[0]}"
        return ""

    def _made_afresh(
        self,
        plan: messages.Plan,
        command: messages.PlanConfirmed,
        cfg: view.View,
        moved: str,
    ) -> messages.Answer:
        """Close a plan whose basis moved, and make it anew to look at."""
        self._plans[plan.id] = attrs.evolve(
            plan,
            state=messages.PlanState.BASIS_MOVED,
            closed_at=command.wall,
        )
        again = messages.IntentStated(
            command.operator,
            plan.intent_id,
            plan.intent,
            command.facts,
            command.wall,
            plan.expires_at - plan.made_at,
        )
        fresh = self._stated(again, cfg)
        text = f"Plan {plan.id} is not put in force: {moved}."
        if fresh.plan is None:
            text = f"{text} {fresh.text}"
        else:
            text = f"{text} Look at the fresh plan {fresh.plan.id} instead."
        return messages.Answer(
            reasons.Refusal.PLAN_BASIS_MOVED.value,
            text,
            fresh.plan,
        )

    def _discarded(self, command: messages.PlanDiscarded) -> messages.Answer:
        answer = self.read(command.plan, command.wall)
        plan = answer.plan
        if plan is None:
            return answer
        if plan.state is not messages.PlanState.OPEN:
            return plan_refusals.closed(plan)
        closed = attrs.evolve(
            plan,
            state=messages.PlanState.DISCARDED,
            closed_by=command.operator,
            closed_at=command.wall,
        )
        self._plans[plan.id] = closed
        text = f"Plan {plan.id} is discarded; nothing changes."
        return messages.Answer(text=text, plan=closed)

    def _trim(self, operator: str, wall: float) -> None:
        """Close and drop the oldest plans above the limits.

        An operator's own go first, so that one who states very many
        intents leaves the others' plans alone.
        """
        mine = [
            plan for plan in self._plans.values() if plan.operator == operator
        ]
        still_open = [
            plan for plan in mine if plan.state is messages.PlanState.OPEN
        ]
        for plan in still_open[:-MAX_OPEN_PER_OPERATOR]:
            self._plans[plan.id] = attrs.evolve(
                plan,
                state=messages.PlanState.DISCARDED,
                closed_at=wall,
            )
        for plan in mine[:-MAX_PLANS_PER_OPERATOR]:
            del self._plans[plan.id]
        while len(self._plans) > MAX_PLANS:
            del self._plans[next(iter(self._plans))]


def _content(command: object) -> tuple[str, object]:
    """Return what was asked, and what must be equal in a resent one."""
    match command:
        case messages.IntentStated(intent=intent):
            return "intent", intent
        case messages.PlanConfirmed(plan=plan):
            return "confirm", messages.PlanRead(plan, 0.0)
        case messages.PlanDiscarded(plan=plan):
            return "discard", messages.PlanRead(plan, 0.0)
    raise TypeError(f"{type(command).__name__} is no plan command")


def _digest(msg: object) -> bytes:
    packed = wire.pack_message(msg)
    return hashlib.blake2s(packed, digest_size=_DIGEST_BYTES).digest()
