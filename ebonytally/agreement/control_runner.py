"""Runners of the control VM's calls that may wait for the disk."""

from collections.abc import Callable
from typing import Protocol

from ebonytally import actions

Call = Callable[[], list[actions.Action]]


class ControlRunner(Protocol):
    """Runs calls that may wait for the disk, one at a time."""

    def run(self, call: Call) -> list[actions.Action]:
        """Run a call and return its actions, or queue it and return []."""


class InlineRunner:
    """Runs each call directly in the calling task."""

    def run(self, call: Call) -> list[actions.Action]:
        """Return the actions of the call."""
        return call()
