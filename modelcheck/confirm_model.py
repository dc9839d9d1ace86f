"""Plans and their confirmation, as a specification.

Two operators, each with a plan, may confirm or discard either plan,
under the same numbers, and may resend what they asked. The log has put
all this into one order already.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple

from modelcheck import specification


PLANS = (0, 1)
OPERATORS = ("ann", "bob")


class Mistake(enum.Enum):
    """Faults that can be put into the specification."""

    STATE_NOT_CHECKED = "state_not_checked"
    BASIS_NOT_CHECKED = "basis_not_checked"


class Ask(NamedTuple):
    """What an operator asks, under the same number each time."""

    operator: str
    confirm: bool


ASKS = tuple(Ask(name, done) for name in OPERATORS for done in (True, False))


class State(NamedTuple):
    """Plans, the configuration, and the answers kept.

    :param basis: configuration each plan was made from, -1 for no plan
    :param open: whether each plan is open
    :param in_force: how often each plan was put in force
    :param kept: (ask, plan, done) of all that was answered
    :param moved: a plan was put in force on a basis that had moved
    :param revived: a discarded plan was put in force
    """

    config: int = 0
    basis: tuple[int, ...] = (-1, -1)
    open: tuple[bool, ...] = (False, False)
    in_force: tuple[int, ...] = (0, 0)
    kept: frozenset[tuple[Ask, int, bool]] = frozenset()
    moved: bool = False
    revived: bool = False


Step = tuple[tuple, State]


class ConfirmModel(specification.Specification):
    """Transitions of the specification."""

    name = "confirmation"
    initial = State()

    def __init__(self, *mistakes: Mistake) -> None:
        """Take the faults to put in."""
        self.mistakes = mistakes

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return what must hold in each state, by name."""
        return {
            "confirmed_once": confirmed_once,
            "basis_held": basis_held,
            "discarded_stays_so": discarded_stays_so,
        }

    def steps(self, state: State) -> Iterator[Step]:
        """Yield (label, next state) of every step."""
        for plan in PLANS:
            if state.basis[plan] < 0:
                made = state._replace(
                    basis=_with(state.basis, plan, state.config),
                    open=_with(state.open, plan, True),
                )
                yield ("state", plan), made
                continue
            for ask in ASKS:
                yield ("ask", ask, plan), self.ask(state, ask, plan)

    def ask(self, state: State, ask: Ask, plan: int) -> State:
        """Return the state after an operator asked something."""
        if any(known == ask for known, _, _ in state.kept):
            return state
        done = self._may(state, ask, plan)
        is_open = state.open[plan]
        if ask.confirm or is_open:
            state = state._replace(open=_with(state.open, plan, False))
        if done and ask.confirm:
            held = state.basis[plan] == state.config
            count = state.in_force[plan] + 1
            state = state._replace(
                config=state.config + 1,
                in_force=_with(state.in_force, plan, count),
                moved=state.moved or not held,
                revived=state.revived or _was_discarded(state, plan),
            )
        kept = state.kept | {(ask, plan, done)}
        return state._replace(kept=kept)

    def _may(self, state: State, ask: Ask, plan: int) -> bool:
        is_open = state.open[plan]
        if Mistake.STATE_NOT_CHECKED in self.mistakes:
            is_open = True
        held = state.basis[plan] == state.config
        if Mistake.BASIS_NOT_CHECKED in self.mistakes:
            held = True
        return is_open and (held or not ask.confirm)


def _with(values: tuple, place: int, value: object) -> tuple:
    return (*values[:place], value, *values[place + 1 :])


def _was_discarded(state: State, plan: int) -> bool:
    return any(
        done and not ask.confirm and about == plan
        for ask, about, done in state.kept
    )


def confirmed_once(fields: dict) -> bool:
    """No plan is put in force twice."""
    return max(fields["in_force"]) <= 1


def basis_held(fields: dict) -> bool:
    """No plan is put in force on a basis that has moved."""
    return not fields["moved"]


def discarded_stays_so(fields: dict) -> bool:
    """No discarded plan is put in force."""
    return not fields["revived"]
