"""Protocols between the deciding slices and their adapters.

Slices do no I/O: they take a message and the present time and return
actions. Whoever attaches a bench writes one adapter for these.
"""

import enum
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from ebonytally import actions

if TYPE_CHECKING:
    from ebonytally import view

MAX_KEPT_BYTES = 16 * 1024


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
        new: "view.View",
        now: float,
    ) -> list[actions.Action]:
        """Take a newer configuration."""


class StateMachine(Protocol):
    """What the replicated log drives; the same at every control VM."""

    def apply(self, command: object) -> object:
        """Apply one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by what `snapshot` returned."""


class SlotSource(Protocol):
    """Lends request slots of upstreams to this entry VM."""

    def take(
        self,
        service: str,
        exclude: frozenset[int],
        now: float,
        deadline: float | None = None,
    ) -> "view.Upstream | None":
        """Take a free slot of the best upstream, None if none is here.

        :param deadline: when the attempt ends at the latest; without
            it the slot counts as used for the longest timeout
        """

    def want(
        self,
        service: str,
        count: int,
        now: float,
    ) -> list[actions.Action]:
        """Say how many requests wait for a slot of the service."""

    def give_back(
        self,
        upstream: int,
        result: "AttemptResult",
        now: float,
    ) -> list[actions.Action]:
        """Return a taken slot with how the attempt went."""


@attrs.frozen
class AttemptResult:
    """How one attempt at an upstream went.

    :param took_s: seconds from dispatch to the end
    :param status: HTTP status, 0 when there was no whole answer
    :param detail: what went wrong, for the log
    :param headers: of a small answer to a request with a key
    :param body: of such an answer, `MAX_KEPT_BYTES` at most
    :param has_body: `headers` and `body` are the whole answer
    """

    kind: "AttemptKind"
    took_s: float
    status: int = 0
    detail: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    has_body: bool = False


class AttemptKind(enum.StrEnum):
    """Ends of an attempt, told apart by what the upstream may have run."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    SHED = "shed"
    LOST = "lost"
    BROKEN = "broken"
    SILENT = "silent"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


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
