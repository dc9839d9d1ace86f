"""Recorder of log events, counters and durations."""

from typing import Protocol

from ebonytally import events
from ebonytally import reasons


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
