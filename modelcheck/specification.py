"""Base class of the models: an adapter to the model checker."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import ClassVar
from typing import NamedTuple

import minicheck

Step = tuple[tuple, NamedTuple]
Invariant = Callable[[dict], bool]


class Specification:
    """A transition system within bounds, with at most one seeded fault.

    :cvar name: title in the checker's report
    :cvar initial: initial state
    """

    name: ClassVar[str]
    initial: ClassVar[NamedTuple]

    def __init__(self, bounds: object, mistake: object = None) -> None:
        """Set the search bounds and the fault to seed, None for none."""
        self.bounds = bounds
        self.mistake = mistake

    def steps(self, state: NamedTuple) -> Iterator[Step]:
        """Yield (label, successor) of every transition from a state."""
        raise NotImplementedError

    def invariants(self) -> dict[str, Invariant]:
        """Return the predicates that must hold in every state, by name."""
        raise NotImplementedError

    def protocol(self) -> minicheck.Protocol:
        """Return the model in the form that the checker takes."""
        state_type = type(self.initial)
        return minicheck.Protocol(
            name=self.name,
            candidate=False,
            fields=state_type._fields,
            initial=self.initial,
            transitions=lambda state: list(self.steps(state_type(*state))),
            invariants=self.invariants(),
        )
