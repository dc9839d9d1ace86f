"""Recorder of a running daemon: log lines and metrics."""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import http
import time
from typing import TextIO

import attrs

from ebonytally import deferred
from ebonytally import events
from ebonytally import log
from ebonytally import reasons
from ebonytally import settings
from ebonytally import tally

MAX_LINES_PER_S = 20
_RATE_LIMITED_EVENTS = (
    events.Event.FRAME_REFUSED,
    events.Event.PACKET_REFUSED,
    events.Event.FLOW_REFUSED,
    events.Event.FLOW_RESET,
    events.Event.COOKIE_UNKNOWN,
    events.Event.UPSTREAM_SILENT,
    events.Event.TASK_FAILED,
    events.Event.REQUEST_REFUSED,
    events.Event.ANNOUNCEMENT_REFUSED,
    events.Event.UPSTREAM_CONDITION,
    events.Event.TOKEN_REFUSED,
    events.Event.OPERATOR_REQUEST_REFUSED,
)


@attrs.frozen
class Gauge:
    """A gauge of a role.

    :param name: without the prefix of all metrics
    :param read: returns the values by labels, called at each scrape
    """

    name: str
    description: str
    labels: tuple[str, ...]
    read: Callable[[], Mapping[tuple[str, ...], float]]


@attrs.frozen
class Monitoring:
    """What a role adds to the metrics port.

    :param pages: by path; each takes the query string of the URL and
        returns the HTTP status and the fields of a JSON object
    """

    pages: Mapping[str, Callable[[str], tuple[http.HTTPStatus, dict]]] = (
        attrs.field(factory=dict)
    )
    gauges: tuple[Gauge, ...] = ()


class EventRateLimit:
    """Limits the rate of log lines, per event.

    Anyone who can send packets can trigger the limited events at any rate;
    without the limit they could fill the disk that stores the log.
    """

    def __init__(self) -> None:
        """Set up without any lines counted."""
        self._current_s = 0
        self._counts: dict[tuple[events.Event, str], int] = {}
        self._suppressed: dict[tuple[events.Event, str], int] = {}

    def allow(self, event: events.Event, now: float, reason: str = "") -> bool:
        """Return whether to write a line at `now` (seconds), and count it.

        :param reason: each reason of an event has its own limit; one of a
            fixed set
        """
        if event not in _RATE_LIMITED_EVENTS:
            return True
        key = event, reason
        if int(now) != self._current_s:
            self._current_s = int(now)
            self._counts.clear()
        count = self._counts.get(key, 0)
        self._counts[key] = count + 1
        if count < MAX_LINES_PER_S:
            return True
        self._suppressed[key] = self._suppressed.get(key, 0) + 1
        return False

    def pop_suppressed(self, event: events.Event, reason: str = "") -> int:
        """Return the lines suppressed since the last call."""
        return self._suppressed.pop((event, reason), 0)


class LiveRecorder:
    """A `recorder.Recorder` that writes the log and serves the metrics.

    :ivar monitoring: to be set before the metrics port is opened
    """

    def __init__(
        self,
        cfg: settings.Settings,
        stack: contextlib.ExitStack,
        stream: TextIO | None = None,
        metrics_after_s: float = 0.0,
    ) -> None:
        """Start the log and open the metrics port, at once or after a delay.

        :param stack: closes both
        :param stream: log output, standard output if None
        :param metrics_after_s: seconds before the metrics port is opened;
            importing OpenTelemetry takes longer than the rest of the start
        :raises OSError: when the port can't be opened and there is no delay
        """
        self._log = log.Log(cfg.name, stack, stream)
        self._rate_limit = EventRateLimit()
        self._cfg = cfg
        self.tally = tally.Tally()
        self.monitoring = Monitoring()
        if not metrics_after_s:
            self.serve(stack)
            return
        deferred.run_after(
            metrics_after_s,
            "open metrics port",
            lambda: self.serve(stack),
            stack,
            self,
        )

    def serve(self, stack: contextlib.ExitStack) -> None:
        """Open the metrics port.

        :param stack: closes the port and ends the collection
        :raises OSError: when the port can't be opened
        """
        metrics = deferred.load_in_thread("ebonytally.metrics")
        metrics_http = deferred.load_in_thread("ebonytally.metrics_http")
        exported = metrics.Metrics(self._cfg.name, self.tally)
        stack.callback(exported.close)
        exported.gauge(
            "log_lines_dropped",
            "log lines dropped because their reader didn't keep up",
            lambda: self._log.dropped,
        )
        for gauge in self.monitoring.gauges:
            exported.labelled_gauge(
                gauge.name, gauge.description, gauge.labels, gauge.read
            )
        address = (self._cfg.address, self._cfg.ports.metrics)
        self.server = metrics_http.MetricsServer(
            address, exported, self.monitoring.pages
        )
        self.server.start()
        stack.callback(self.server.stop)

    def log_event(self, event: events.Event, **fields: object) -> None:
        """Write one log event."""
        wall = time.time()
        reason = ""
        if event == events.Event.FLOW_REFUSED:
            reason = str(fields.get("reason", ""))
        if not self._rate_limit.allow(event, wall, reason):
            return
        suppressed = self._rate_limit.pop_suppressed(event, reason)
        if suppressed:
            fields["suppressed"] = suppressed
        self._log.write(event, fields, wall)

    def count_refusal(self, reason: reasons.Refusal) -> None:
        """Count one refusal."""
        self.tally.refusals[reason.value] += 1

    def count_retry(self, reason: reasons.Retry) -> None:
        """Count one retry."""
        self.tally.retries[reason.value] += 1

    def count(self, name: str, amount: int = 1) -> None:
        """Add to the counter series `name`."""
        counts = self.tally.counts
        counts[name] = counts.get(name, 0) + amount

    def record_duration(self, name: str, seconds: float) -> None:
        """Add a duration to the histogram series `name`."""
        self.tally.durations.append((name, seconds))
