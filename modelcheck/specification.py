"""What all specifications have in common."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import ClassVar
from typing import NamedTuple

import minicheck

Step = tuple[tuple, NamedTuple]
Invariant = Callable[[dict], bool]


class Specification:
    """Transitions within bounds, with at most one fault put in.

    :cvar name: for the checker's report
    :cvar initial: the state to begin with
    """

    name: ClassVar[str]
    initial: ClassVar[NamedTuple]

    def __init__(self, bounds: object, mistake: object = None) -> None:
        """Take the bounds, and the fault to put in."""
        self.bounds = bounds
        self.mistake = mistake

    def steps(self, state: NamedTuple) -> Iterator[Step]:
        """Yield (label, next state) of every step."""
        raise NotImplementedError

    def invariants(self) -> dict[str, Invariant]:
        """Return what must hold in each state, by name."""
        raise NotImplementedError

    def protocol(self) -> minicheck.Protocol:
        """Return the specification for the checker."""
        make = type(self.initial)
        return minicheck.Protocol(
            name=self.name,
            candidate=False,
            fields=make._fields,
            initial=self.initial,
            transitions=lambda state: list(self.steps(make(*state))),
            invariants=self.invariants(),
        )
