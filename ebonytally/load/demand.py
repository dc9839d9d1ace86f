"""Measures the demand of an entry VM's own callers, by service.

Load condition handled: demand that exceeds capacity, or that differs
between data centres, is known only if somebody counts it.
"""

import math

from ebonytally.load import interfaces
from ebonytally.registry import registry as registries

# Time in which the weight of a request falls to 37%. At 11 requests a
# second, the least that an entry VM of the known deployments sees, the
# standard deviation of its figure is a quarter.
SMOOTHING_S = 0.8
# Rates measured for a shorter time are too inaccurate to be reported.
MIN_MEASURED_S = 0.4
# A longer time between two ticks means that this VM was paused.
MAX_TICK_GAP_S = 0.3
# After a pause, packets that waited arrive in a burst.
SETTLE_S = 0.3
# Requests a second that count as none.
MIN_RATE_PER_S = 0.05


class DemandMeter(interfaces.FlowObserver):
    """Counts callers' requests by service; an `interfaces.FlowObserver`.

    The weight of a request falls with its age.
    """

    def __init__(self, registry: registries.Registry) -> None:
        """Create a meter that hasn't counted anything."""
        self._registry = registry
        self._began_at: float | None = None
        self._ticked_at = 0.0
        self._settled_at = 0.0
        # Aged number of requests, and the time of the last one.
        self._counts: dict[str, tuple[float, float]] = {}

    def tick(self, now: float) -> None:
        """Start anew if this VM was paused since the last tick."""
        gap_s = now - self._ticked_at
        if self._began_at is None or gap_s > MAX_TICK_GAP_S:
            self._counts.clear()
            self._settled_at = now
            if self._began_at is not None:
                self._settled_at += SETTLE_S
            self._began_at = self._settled_at
        self._ticked_at = now

    def on_refused(self, service: str, now: float) -> None:
        """Count a flow refused here, whose caller has a request to send."""
        self._count(service, now)

    def on_request(self, upstream: str, now: float) -> None:
        """Handle the first packet of a request."""
        entry = self._registry.get(upstream)
        if entry is not None:
            self._count(entry.record.service, now)

    def rates_per_s(self, now: float) -> dict[str, float]:
        """Return the requests a second by service, empty if not known yet."""
        if (
            self._began_at is None
            or now - self._ticked_at > MAX_TICK_GAP_S
            or now - self._began_at < MIN_MEASURED_S
        ):
            return {}
        measured_s = now - self._began_at
        window_s = SMOOTHING_S * -math.expm1(-measured_s / SMOOTHING_S)
        rates: dict[str, float] = {}
        for service, (count, at) in list(self._counts.items()):
            rate = _age(count, now - at) / window_s
            if rate >= MIN_RATE_PER_S:
                rates[service] = rate
            else:
                del self._counts[service]
        return rates

    def _count(self, service: str, now: float) -> None:
        # Before the first tick after a pause, `_ticked_at` is old.
        is_paused = now - self._ticked_at > MAX_TICK_GAP_S
        if self._began_at is None or is_paused or now < self._settled_at:
            return
        count, at = self._counts.get(service, (0.0, now))
        self._counts[service] = (_age(count, now - at) + 1.0, now)


def _age(count: float, passed_s: float) -> float:
    return count * math.exp(-max(0.0, passed_s) / SMOOTHING_S)
