"""What an operator asks of the daemon, as typed requests."""

import attrs

from ebonytally.intents import plan_messages as messages


@attrs.frozen
class StateIntent:
    """State an intent; the answer is a plan.

    :param id: the operator's own id for it
    """

    operator: str
    id: str
    intent: messages.Intent


@attrs.frozen
class ConfirmPlan:
    """Put a plan in force.

    :param id: the operator's own id for the confirmation
    """

    operator: str
    id: str
    plan: str


@attrs.frozen
class DiscardPlan:
    """Close a plan unconfirmed.

    :param id: the operator's own id for the discard
    """

    operator: str
    id: str
    plan: str


@attrs.frozen
class ReadPlan:
    """Show a plan."""

    operator: str
    plan: str


@attrs.frozen
class ListPlans:
    """List the open plans."""

    operator: str


Request = StateIntent | ConfirmPlan | DiscardPlan | ReadPlan | ListPlans
