"""Refusals of intents and confirmations, in words."""

from ebonytally.intents import plan_messages as messages
from ebonytally import reasons


def refused(reason: reasons.Refusal, text: str) -> messages.Answer:
    """Return a refusal."""
    return messages.Answer(reason.value, text)


def unknown(name: str) -> messages.Answer:
    """Return that there is no such plan."""
    return refused(
        reasons.Refusal.PLAN_UNKNOWN,
        f"There is no plan {name}. Plans are forgotten after a while; "
        "state the intent again.",
    )


def closed(plan: messages.Plan) -> messages.Answer:
    """Return why a plan that isn't open can't be confirmed."""
    reason, text = {
        messages.PlanState.CONFIRMED: (
            reasons.Refusal.PLAN_ALREADY_CONFIRMED,
            f"was confirmed by {plan.closed_by} before and is in force as "
            f"revision {plan.revision}",
        ),
        messages.PlanState.DISCARDED: (
            reasons.Refusal.PLAN_DISCARDED,
            f"was discarded by {plan.closed_by or 'newer plans'}",
        ),
        messages.PlanState.EXPIRED: (
            reasons.Refusal.PLAN_EXPIRED,
            "has expired; state the intent again to get a fresh one",
        ),
        messages.PlanState.BASIS_MOVED: (
            reasons.Refusal.PLAN_BASIS_MOVED,
            "is void, because the configuration changed; state the intent "
            "again to get a fresh one",
        ),
    }[plan.state]
    return messages.Answer(reason.value, f"Plan {plan.id} {text}.", plan)
