"""Runs calls that may wait for the disk, one after the other."""

from collections.abc import Callable
from typing import Protocol

from ebonytally import actions

Call = Callable[[], list[actions.Action]]


class ControlRunner(Protocol):
    """Runs calls that may wait for the disk, one after the other."""

    def run(self, call: Call) -> list[actions.Action]:
        """Run a call now and return its actions, or later and none."""


class Inline:
    """Runs each call at once."""

    def run(self, call: Call) -> list[actions.Action]:
        """Return the actions of the call."""
        return call()
