"""Answers that refuse an intent, a confirmation or a discard."""

from ebonytally.intents import plan_messages as messages
from ebonytally import reasons


def refusal(reason: reasons.Refusal, text: str) -> messages.Answer:
    """Return an answer that refuses a request."""
    return messages.Answer(reason.value, text)


def unknown_plan(name: str) -> messages.Answer:
    """Return the refusal for the id of a plan that isn't stored."""
    return refusal(
        reasons.Refusal.PLAN_UNKNOWN,
        f"There is no plan {name}. Old plans are deleted; state the intent "
        "again.",
    )


def closed_plan(plan: messages.Plan) -> messages.Answer:
    """Return the refusal to confirm or discard a plan that isn't open."""
    reason, text = {
        messages.PlanState.CONFIRMED: (
            reasons.Refusal.PLAN_ALREADY_CONFIRMED,
            f"was already confirmed by {plan.closed_by} and is in force as "
            f"revision {plan.revision}",
        ),
        messages.PlanState.DISCARDED: (
            reasons.Refusal.PLAN_DISCARDED,
            f"was discarded by {plan.closed_by or 'newer plans'}",
        ),
        messages.PlanState.EXPIRED: (
            reasons.Refusal.PLAN_EXPIRED,
            "has expired; state the intent again to get a new plan",
        ),
        messages.PlanState.BASIS_MOVED: (
            reasons.Refusal.PLAN_BASIS_MOVED,
            "is void, because the configuration changed; state the intent "
            "again to get a new plan",
        ),
    }[plan.state]
    return messages.Answer(reason.value, f"Plan {plan.id} {text}.", plan)
