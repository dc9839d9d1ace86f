"""Counters and gauges, exported by OpenTelemetry as Prometheus text.

The daemon increments plain numbers; OpenTelemetry reads them at each
scrape. docs/METRICS.md lists all metrics.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from opentelemetry.exporter import prometheus
import opentelemetry.metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
import prometheus_client

from ebonytally import tally

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
_METER = "ebonytally"
# From a round trip within a data centre to how long callers wait.
DURATION_BOUNDS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


class Metrics:
    """All counters, gauges and histograms of one daemon."""

    def __init__(self, vm: str, counts: tally.Tally) -> None:
        """Register the metrics that export a tally.

        :param vm: name of this VM, exported as ``host.name``
        """
        self._tally = counts
        self._registry = prometheus_client.CollectorRegistry()
        prometheus_client.ProcessCollector(registry=self._registry)
        reader = prometheus.PrometheusMetricReader(
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = sdk.MeterProvider(
            [reader],
            resources.Resource({"service.name": _METER, "host.name": vm}),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter(_METER)
        self._durations = self._meter.create_histogram(
            f"{_METER}_duration",
            unit="s",
            description="how long things took, by name",
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
        )
        self._counter("refusals", "refused, by reason", counts.refusals)
        self._counter("retries", "tried again, by reason", counts.retries)
        self._counter(
            "counts",
            "other things counted",
            counts.counts,
            "name",
        )

    def gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], float],
    ) -> None:
        """Add a gauge.

        :param name: with its unit as suffix
        :param read: returns the value, called at each scrape
        """

        def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
            return [api.Observation(read())]

        self._meter.create_observable_gauge(
            f"{_METER}_{name}",
            [observe],
            description=description,
        )

    def labelled_gauge(
        self,
        name: str,
        description: str,
        labels: tuple[str, ...],
        read: Callable[[], Mapping[tuple[str, ...], float]],
    ) -> None:
        """Add a gauge with a series for each value of its labels.

        :param read: returns the values by labels, called at each scrape
        """

        def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
            return [
                api.Observation(value, dict(zip(labels, key, strict=True)))
                for key, value in read().items()
            ]

        self._meter.create_observable_gauge(
            f"{_METER}_{name}",
            [observe],
            description=description,
        )

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        while self._tally.durations:
            name, seconds = self._tally.durations.popleft()
            self._durations.record(seconds, {"name": name})
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the OpenTelemetry provider."""
        self._provider.shutdown()

    def _counter(
        self,
        name: str,
        description: str,
        values: dict[str, int],
        label: str = "reason",
    ) -> None:
        """Add a counter that reads `values`, one series per key."""

        def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
            return [
                api.Observation(count, {label: key})
                for key, count in values.items()
            ]

        self._meter.create_observable_counter(
            f"{_METER}_{name}",
            [observe],
            description=description,
        )
