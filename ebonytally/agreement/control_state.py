"""The state machine that the replicated log drives."""

import collections

import attrs

from ebonytally import config
from ebonytally.intents import plan_book
from ebonytally.intents import plan_messages as messages
from ebonytally import view
from ebonytally import wire

MAX_EFFECTS = 4096
# Read-only commands, which need no log entry.
READ_COMMANDS = (messages.PlanRead, messages.OpenPlansRead)


@attrs.frozen
class Effect:
    """A command and the revision of the view that it produced."""

    revision: int
    command: object


@attrs.frozen
class _State:
    view: view.View
    book: plan_book.Snapshot


class Machine:
    """The replicated state: view, plans and answers to intents.

    Implements `ports.StateMachine`.
    """

    def __init__(self) -> None:
        """Set up with the empty view of revision 0."""
        self.view = view.View()
        self._book = plan_book.PlanBook()
        self._effects: collections.deque[Effect] = collections.deque(
            maxlen=MAX_EFFECTS,
        )

    def apply(self, command: object) -> object:
        """Apply one committed command and return its result.

        :raises TypeError: if the command is unknown
        """
        match command:
            case messages.PlanRead(plan=plan, wall=wall):
                return self._book.read(plan, wall)
            case messages.OpenPlansRead(wall=wall):
                plans = self._book.open_plans(self.view, wall)
                return messages.OpenPlans(plans)
            case (
                messages.IntentStated()
                | messages.PlanConfirmed()
                | messages.PlanDiscarded()
            ):
                return self._decide(command)
        self._apply_step(command)
        return messages.Applied(self.view.revision)

    def take_effects(self) -> list[Effect]:
        """Return the revisions produced since the last call, in order.

        Some are missing after `restore` and after more than
        `MAX_EFFECTS` revisions; then use the whole view instead.
        """
        effects = list(self._effects)
        self._effects.clear()
        return effects

    def snapshot(self) -> bytes:
        """Return the serialised state."""
        return wire.pack(_State(self.view, self._book.save()))

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned.

        :raises WireError: if the bytes can't be decoded
        """
        state = wire.unpack(data, _State)
        self.view = state.view
        self._book = plan_book.PlanBook(state.book)
        self._effects.clear()

    def _decide(self, command: object) -> messages.Answer:
        decision = self._book.decide(command, self.view)
        for step in decision.commands:
            self._apply_step(step)
        return decision.answer

    def _apply_step(self, command: object) -> None:
        self.view = config.apply(self.view, command)
        self._effects.append(Effect(self.view.revision, command))
