"""Model of plan confirmation.

Two operators, each with a plan, may confirm or discard either plan under
the same request ids, and may resend a request. The replicated log is not
modelled: requests are applied in one total order.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple

from modelcheck import specification


PLANS = (0, 1)
OPERATORS = ("ann", "bob")


class Mistake(enum.Enum):
    """Faults that can be seeded into the model, which must detect them."""

    STATE_NOT_CHECKED = "state_not_checked"
    BASIS_NOT_CHECKED = "basis_not_checked"


class Request(NamedTuple):
    """A request of an operator; a resend has the same request id."""

    operator: str
    confirm: bool


REQUESTS = tuple(
    Request(name, confirm) for name in OPERATORS for confirm in (True, False)
)


class State(NamedTuple):
    """Plans, the configuration revision, and stored answers.

    :param config: revision of the configuration
    :param basis: revision each plan was computed from, -1 for no plan
    :param open: whether each plan can still be confirmed or discarded
    :param in_force: how many times each plan was applied
    :param answers: (request, plan, accepted) of every answered request
    :param stale_applied: a plan was applied on an outdated basis
    :param discarded_applied: a discarded plan was applied
    """

    config: int = 0
    basis: tuple[int, ...] = (-1, -1)
    open: tuple[bool, ...] = (False, False)
    in_force: tuple[int, ...] = (0, 0)
    answers: frozenset[tuple[Request, int, bool]] = frozenset()
    stale_applied: bool = False
    discarded_applied: bool = False


Step = tuple[tuple, State]


class ConfirmModel(specification.Specification):
    """Two operators stating, confirming and discarding two plans."""

    name = "confirmation"
    initial = State()

    def __init__(self, *mistakes: Mistake) -> None:
        """Set the faults to seed."""
        self.mistakes = mistakes

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return the predicates that must hold in every state, by name."""
        return {
            "confirmed_once": confirmed_once,
            "basis_held": basis_held,
            "discarded_stays_so": discarded_stays_so,
        }

    def steps(self, state: State) -> Iterator[Step]:
        """Yield (label, successor) of every transition from a state."""
        for plan in PLANS:
            if state.basis[plan] < 0:
                stated = state._replace(
                    basis=_with(state.basis, plan, state.config),
                    open=_with(state.open, plan, True),
                )
                yield ("state", plan), stated
                continue
            for request in REQUESTS:
                yield (
                    ("ask", request, plan),
                    self.apply_request(state, request, plan),
                )

    def apply_request(
        self, state: State, request: Request, plan: int
    ) -> State:
        """Return the state after an operator's request about a plan."""
        if any(answered == request for answered, _, _ in state.answers):
            return state
        accepted = self._is_accepted(state, request, plan)
        is_open = state.open[plan]
        if request.confirm or is_open:
            state = state._replace(open=_with(state.open, plan, False))
        if accepted and request.confirm:
            basis_current = state.basis[plan] == state.config
            applied = state.in_force[plan] + 1
            state = state._replace(
                config=state.config + 1,
                in_force=_with(state.in_force, plan, applied),
                stale_applied=state.stale_applied or not basis_current,
                discarded_applied=state.discarded_applied
                or _was_discarded(state, plan),
            )
        answers = state.answers | {(request, plan, accepted)}
        return state._replace(answers=answers)

    def _is_accepted(self, state: State, request: Request, plan: int) -> bool:
        """Return whether a new request about a plan is accepted."""
        is_open = state.open[plan]
        if Mistake.STATE_NOT_CHECKED in self.mistakes:
            is_open = True
        basis_current = state.basis[plan] == state.config
        if Mistake.BASIS_NOT_CHECKED in self.mistakes:
            basis_current = True
        return is_open and (basis_current or not request.confirm)


def _with(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _was_discarded(state: State, plan: int) -> bool:
    return any(
        accepted and not request.confirm and answered_plan == plan
        for request, answered_plan, accepted in state.answers
    )


def confirmed_once(fields: dict) -> bool:
    """Return whether no plan was applied twice."""
    return max(fields["in_force"]) <= 1


def basis_held(fields: dict) -> bool:
    """Return whether no plan was applied on an outdated basis."""
    return not fields["stale_applied"]


def discarded_stays_so(fields: dict) -> bool:
    """Return whether no discarded plan was applied."""
    return not fields["discarded_applied"]
