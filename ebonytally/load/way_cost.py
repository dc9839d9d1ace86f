"""Time lost on the way to other data centres, and cut links to them.

Handles the load condition that sending load away costs callers more time
than the queue at home, or reaches nobody. Both are learned from the
openings of this entry VM's flows.
"""

import collections
import statistics

import attrs

from ebonytally.load import interfaces
from ebonytally.registry import registry as registries

# Openings remembered by data centre; their median ignores single losses,
# which cost 60 ms or more.
MAX_SAMPLES = 15
# Older openings say nothing about the way now; a way that was too long is
# then tried again by a few flows.
SAMPLE_AGE_S = 30.0
# Silences without an opening in between: of so many upstreams, or so many
# of one. Single packets are lost on working links, too.
CUT_UPSTREAMS = 2
CUT_SILENCES = 3
# Silences further apart than this are unrelated.
SILENCE_AGE_S = 2.0
# How long nothing is sent over a cut link; doubled each time.
CUT_S = 2.0
MAX_CUT_S = 16.0


@attrs.define
class _Way:
    """What is known about the way to one data centre.

    :param samples: time and duration of openings, seconds
    :param silent: upstreams whose silences came since the last opening
    """

    samples: collections.deque[tuple[float, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    silent: set[str] = attrs.field(factory=set)
    silences: int = 0
    silent_at: float = -1e9
    cut_until: float = -1e9
    cut_s: float = CUT_S

    def opening_s(self, now: float) -> float | None:
        """Return the median time of recent openings, if there are any."""
        recent = [
            took_s for at, took_s in self.samples if now - at <= SAMPLE_AGE_S
        ]
        return statistics.median(recent) if recent else None


class WayCost(interfaces.FlowObserver):
    """Learns the ways to data centres as an `interfaces.FlowObserver`."""

    def __init__(self, registry: registries.Registry, home: str) -> None:
        """Create it without any samples.

        :param home: data centre of this entry VM
        """
        self._registry = registry
        self._home = home
        self._ways: dict[str, _Way] = {}

    def extra_s(self, data_centre: str, now: float) -> float:
        """Return by how much an opening there takes longer than at home.

        :return: 0 while one of both isn't known; the first flows show it
        """
        there = self._opening_s(data_centre, now)
        here = self._opening_s(self._home, now)
        if there is None or here is None:
            return 0.0
        return max(0.0, there - here)

    def is_cut(self, data_centre: str, now: float) -> bool:
        """Return whether openings there remain unanswered.

        Home is never cut off: silences there are those of upstreams.
        """
        way = self._ways.get(data_centre)
        if way is None or data_centre == self._home:
            return False
        return now < way.cut_until

    def on_opened(self, upstream: str, took_s: float, now: float) -> None:
        """Learn the time of an opening; the way isn't cut."""
        way = self._way(upstream)
        if way is None:
            return
        way.samples.append((now, took_s))
        way.silent.clear()
        way.silences = 0
        if now >= way.cut_until:
            way.cut_s = CUT_S

    def on_silence(self, upstream: str, now: float) -> None:
        """Count a silence; several in a row mean that the way is cut."""
        way = self._way(upstream)
        if way is None or now < way.cut_until:
            return
        if now - way.silent_at > SILENCE_AGE_S:
            way.silent.clear()
            way.silences = 0
        way.silent_at = now
        way.silent.add(upstream)
        way.silences += 1
        if (
            len(way.silent) >= CUT_UPSTREAMS
            or way.silences >= CUT_SILENCES
            or way.cut_s > CUT_S
        ):
            way.cut_until = now + way.cut_s
            way.cut_s = min(2.0 * way.cut_s, MAX_CUT_S)
            way.silent.clear()
            way.silences = 0

    def _opening_s(self, data_centre: str, now: float) -> float | None:
        way = self._ways.get(data_centre)
        return way.opening_s(now) if way is not None else None

    def _way(self, upstream: str) -> _Way | None:
        entry = self._registry.get(upstream)
        if entry is None:
            return None
        name = entry.record.data_centre
        if name not in self._ways:
            self._sweep()
            self._ways[name] = _Way()
        return self._ways[name]

    def _sweep(self) -> None:
        """Forget data centres of which no upstream is registered."""
        known = {
            entry.record.data_centre for entry in self._registry.entries()
        }
        for name in self._ways.keys() - known:
            del self._ways[name]
