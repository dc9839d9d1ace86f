"""Protocols between components and their adapters.

Components do no I/O: they take a message and the current time and return
actions. A daemon, simulator or benchmark implements the I/O protocols.
"""

import enum
from typing import Protocol
from typing import TYPE_CHECKING

import attrs

from ebonytally import actions

if TYPE_CHECKING:
    from ebonytally import view

MAX_RECORDED_BYTES = 16 * 1024


class Component(Protocol):
    """A component of the daemon with its own state, such as `requests`."""

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message from another VM."""

    def tick(self, now: float) -> list[actions.Action]:
        """Run periodic work and expire timers; called about every 50 ms."""

    def on_view_change(
        self,
        new: "view.View",
        now: float,
    ) -> list[actions.Action]:
        """Apply a newer view of the configuration."""


class StateMachine(Protocol):
    """State machine replicated by the log; deterministic on all replicas."""

    def apply(self, command: object) -> object:
        """Apply one committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the complete state as bytes, for log compaction."""

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned."""


class SlotSource(Protocol):
    """Grants request slots of upstreams to requests at this entry VM.

    A slot is the right to run one request at an upstream.
    """

    def acquire_slot(
        self,
        service: str,
        exclude: frozenset[int],
        now: float,
        deadline: float | None = None,
    ) -> "view.Upstream | None":
        """Acquire a slot of the best upstream; None if none is free here.

        :param exclude: ids of upstreams that must not be chosen
        :param deadline: latest end of the attempt, monotonic seconds;
            without it the slot counts as used for the longest timeout
        """

    def set_waiting(
        self,
        service: str,
        count: int,
        now: float,
    ) -> list[actions.Action]:
        """Set how many queued requests need a slot of the service."""

    def release_slot(
        self,
        upstream: int,
        result: "AttemptResult",
        now: float,
    ) -> list[actions.Action]:
        """Release an acquired slot and report the result of its attempt."""


@attrs.frozen
class AttemptResult:
    """Result of one attempt to send a request to an upstream.

    :param took_s: seconds from dispatch to the end
    :param status: HTTP status, 0 without a complete answer
    :param detail: the error, for the log
    :param headers: of a small answer to a request with an idempotency key
    :param body: of such an answer, at most `MAX_RECORDED_BYTES`
    :param has_body: `headers` and `body` are the complete answer
    """

    kind: "AttemptEnd"
    took_s: float
    status: int = 0
    detail: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    has_body: bool = False


class AttemptEnd(enum.StrEnum):
    """End of an attempt, by whether the upstream may have run the request.

    :cvar NOT_SENT: the attempt ended before the request was sent
    :cvar SHED: the upstream answered that it did not run the request
    :cvar LOST: no answer, or the upstream can't be reached any more
    :cvar BROKEN: the answer is malformed, truncated or of another request
    :cvar SILENT: the connection stalled, but the upstream accepts new ones
    """

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    SHED = "shed"
    LOST = "lost"
    BROKEN = "broken"
    SILENT = "silent"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


class Disk(Protocol):
    """Files in the data folder; names are relative to it."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, None if it does not exist."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; durable only after `sync`."""

    def sync(self, name: str) -> None:
        """Make everything appended to a file durable."""

    def replace(self, name: str, data: bytes) -> None:
        """Create or replace a file, atomically and durably."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes, durably."""

    def remove(self, name: str) -> None:
        """Delete a file if it exists, durably."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""


class Clock(Protocol):
    """Monotonic and wall-clock time of one machine."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since 1970 by this machine's wall clock."""
