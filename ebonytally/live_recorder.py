"""The recorder of a running daemon: log lines and metrics."""

import contextlib
import time
from typing import TextIO

from ebonytally import events
from ebonytally import later
from ebonytally import log
from ebonytally import reasons
from ebonytally import settings
from ebonytally import tally

MAX_PER_SECOND = 20
_LIMITED = (
    events.Event.FRAME_REFUSED,
    events.Event.PACKET_REFUSED,
    events.Event.FLOW_REFUSED,
    events.Event.FLOW_RESET,
    events.Event.COOKIE_UNKNOWN,
    events.Event.UPSTREAM_SILENT,
    events.Event.TASK_FAILED,
    events.Event.REQUEST_REFUSED,
    events.Event.ANNOUNCEMENT_REFUSED,
    events.Event.TOKEN_REFUSED,
    events.Event.OPERATOR_REQUEST_REFUSED,
)


class EventLimit:
    """Lets through a number of lines of an event each second.

    Events that whoever sends packets can cause at will don't fill disks.
    """

    def __init__(self) -> None:
        """Start with nothing suppressed."""
        self._second = 0
        self._seen: dict[events.Event, int] = {}
        self._suppressed: dict[events.Event, int] = {}

    def passes(self, event: events.Event, now: float) -> bool:
        """Tell whether to write a line at `now` (seconds)."""
        if event not in _LIMITED:
            return True
        if int(now) != self._second:
            self._second = int(now)
            self._seen.clear()
        seen = self._seen.get(event, 0)
        self._seen[event] = seen + 1
        if seen < MAX_PER_SECOND:
            return True
        self._suppressed[event] = self._suppressed.get(event, 0) + 1
        return False

    def take_suppressed(self, event: events.Event) -> int:
        """Return how many lines were left out since the last call."""
        return self._suppressed.pop(event, 0)


class LiveRecorder:
    """Writes the log and serves the metrics; a `recorder.Recorder`."""

    def __init__(
        self,
        cfg: settings.Settings,
        stack: contextlib.ExitStack,
        stream: TextIO | None = None,
        metrics_after_s: float = 0.0,
    ) -> None:
        """Start the log and open the metrics port.

        :param stack: closes both
        :param stream: of the log, standard output if None
        :param metrics_after_s: serve the metrics only after this;
            loading what they need takes longer than all else together
        :raises OSError: when the port can't be opened at once
        """
        self._log = log.Log(cfg.name, stack, stream)
        self._limit = EventLimit()
        self._cfg = cfg
        self.tally = tally.Tally()
        if not metrics_after_s:
            self.serve(stack)
            return
        later.run(
            metrics_after_s,
            "open metrics port",
            lambda: self.serve(stack),
            stack,
            self,
        )

    def serve(self, stack: contextlib.ExitStack) -> None:
        """Open the metrics port.

        :raises OSError: when it can't be opened
        """
        metrics = later.load("ebonytally.metrics")
        metrics_http = later.load("ebonytally.metrics_http")
        shown = metrics.Metrics(self._cfg.name, self.tally)
        stack.callback(shown.close)
        shown.gauge(
            "log_lines_dropped",
            "log lines dropped because their reader didn't keep up",
            lambda: self._log.dropped,
        )
        address = (self._cfg.address, self._cfg.ports.metrics)
        self.server = metrics_http.MetricsServer(address, shown)
        self.server.start()
        stack.callback(self.server.stop)

    def event(self, event: events.Event, **fields: object) -> None:
        """Write one log event."""
        wall = time.time()
        if not self._limit.passes(event, wall):
            return
        suppressed = self._limit.take_suppressed(event)
        if suppressed:
            fields["suppressed"] = suppressed
        self._log.write(event, fields, wall)

    def refused(self, reason: reasons.Refusal) -> None:
        """Count one refusal."""
        self.tally.refusals[reason.value] += 1

    def retried(self, reason: reasons.Retry) -> None:
        """Count one retry."""
        self.tally.retries[reason.value] += 1

    def counted(self, name: str, amount: int = 1) -> None:
        """Add to the counter `name`."""
        counts = self.tally.counts
        counts[name] = counts.get(name, 0) + amount

    def measured(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram, by its metric name."""
        self.tally.durations.append((name, seconds))
