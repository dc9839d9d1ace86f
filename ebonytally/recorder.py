"""Recorder of log events, counters and durations."""

import traceback
from typing import Protocol

from ebonytally import events
from ebonytally import reasons


MAX_TRACEBACK_CHARS = 480


class Recorder(Protocol):
    """Records log events and metrics; never raises and never blocks."""

    def log_event(self, event: events.Event, **fields: object) -> None:
        """Write one log event."""

    def count_refusal(self, reason: reasons.Refusal) -> None:
        """Count one refusal."""

    def count_retry(self, reason: reasons.Retry) -> None:
        """Count one retry."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter other than refusals and retries, by its name."""

    def record_duration(self, name: str, seconds: float) -> None:
        """Add a duration to the histogram series `name`."""


def log_failure(recorder: Recorder, step: str, peer: str) -> None:
    """Log the exception being handled, with the end of its traceback.

    :param step: name of the step that failed
    :param peer: VM whose message is handled, "" for none
    """
    recorder.log_event(
        events.Event.TASK_FAILED,
        step=step,
        peer=peer,
        detail=traceback.format_exc()[-MAX_TRACEBACK_CHARS:],
    )


class MemoryRecorder:
    """Keeps events and metrics in memory, for tests and scenarios."""

    def __init__(self) -> None:
        """Set up without events, counts or durations."""
        self.events: list[tuple[events.Event, dict[str, object]]] = []
        self.counts: dict[str, int] = {}
        self.durations: dict[str, list[float]] = {}

    def log_event(self, event: events.Event, **fields: object) -> None:
        """Store one log event."""
        self.events.append((event, fields))

    def count_refusal(self, reason: reasons.Refusal) -> None:
        """Count one refusal."""
        self.count(reason.value)

    def count_retry(self, reason: reasons.Retry) -> None:
        """Count one retry."""
        self.count(reason.value)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to the counter `name`."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def record_duration(self, name: str, seconds: float) -> None:
        """Store a duration."""
        self.durations.setdefault(name, []).append(seconds)
