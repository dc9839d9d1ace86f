"""Requests of the operators' API, as typed objects."""

import attrs

from ebonytally.intents import plan_messages as messages


@attrs.frozen
class StateIntent:
    """Ask for a plan that carries out an intent.

    :param id: the operator's own id, the idempotency key of the request
    """

    operator: str
    id: str
    intent: messages.Intent


@attrs.frozen
class ConfirmPlan:
    """Apply the changes of an open plan.

    :param id: the operator's own id for the confirmation
    :param plan: id of the plan
    """

    operator: str
    id: str
    plan: str


@attrs.frozen
class DiscardPlan:
    """Close an open plan without applying its changes.

    :param id: the operator's own id for the discard
    :param plan: id of the plan
    """

    operator: str
    id: str
    plan: str


@attrs.frozen
class ReadPlan:
    """Return one plan, given its id."""

    operator: str
    plan: str


@attrs.frozen
class ListPlans:
    """Return all open plans."""

    operator: str


Request = StateIntent | ConfirmPlan | DiscardPlan | ReadPlan | ListPlans
