"""Protocols between the deciding slices and their adapters.

Slices do no I/O: they take a message and the present time and return
actions. Whoever attaches a bench writes one adapter for these.
"""

from typing import Protocol

from ebonytally import actions
from ebonytally import view


class Slice(Protocol):
    """A duty of the daemon with its own state."""

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message from another entry VM."""

    def tick(self, now: float) -> list[actions.Action]:
        """Do what is due; called every 50 ms or so."""

    def changed(
        self,
        new: view.View,
        now: float,
    ) -> list[actions.Action]:
        """Take a newer configuration."""


class Disk(Protocol):
    """Files under the data folder; names are relative to it."""

    def read(self, name: str) -> bytes | None:
        """Return the whole file, None when there is none."""

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file; durable only after `sync`."""

    def sync(self, name: str) -> None:
        """Make all that was appended to the file durable."""

    def replace(self, name: str, data: bytes) -> None:
        """Put a whole file in place, atomically and durably."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes, durably."""

    def remove(self, name: str) -> None:
        """Delete a file if it is there, durably."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""


class Clock(Protocol):
    """The present time of one machine."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since 1970 by this machine's clock."""
