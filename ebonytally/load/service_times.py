"""Times to answer of one service, the reference for its upstreams.

Load condition: all upstreams of a service become slow together, which must
not be taken for the slowness of those that answered last.
"""

import collections
import math
import statistics

import attrs

from ebonytally.load import decay

# Samples of the reference. It follows a change after half of them.
MAX_SAMPLES = 21
MIN_SAMPLES = 5
# The way is at most the rest of a time to answer.
MIN_WORK_SHARE = 0.1
HALF_LIFE_S = 6.0
# Memories in which a change of an upstream shows soon.
RECENT_TIMES_HALF_LIFE_S = 1.5
RECENT_BAD_HALF_LIFE_S = 0.7
# A full queue of an upstream is empty again in less than a second.
FULL_HALF_LIFE_S = 2.0
# Admission has to react to rejections within a second.
REJECTED_HALF_LIFE_S = 1.0
# Above this multiple of the time without waiting, queues may be full.
STRAINED_TIMES = 1.5
# The time without waiting is the least reference lately; it may rise by
# this factor each second.
FLOOR_RISE_PER_S = 1.02
# Deviation of the logarithms of an upstream's times, until it is known, and
# its bounds: times that never vary would make any difference significant.
UNKNOWN_DEVIATION = 0.5
MIN_DEVIATION = 0.25
MAX_DEVIATION = 1.3
# Logarithm of the longest time that counts as variation. 3% of requests
# take 7 times as long; unbounded, they alone would double the deviation.
MAX_RESIDUAL = 1.2


class RecentMedian:
    """Median of the latest samples, and its floor."""

    def __init__(self) -> None:
        """Create a median without samples."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._floor = math.inf
        self._floor_at = 0.0
        self.value: float | None = None

    def add(self, sample: float, now: float) -> None:
        """Add a sample above 0."""
        self._samples.append(sample)
        if len(self._samples) < MIN_SAMPLES:
            return
        self.value = statistics.median(self._samples)
        self._floor = min(self.floor(now) or math.inf, self.value)
        self._floor_at = now

    def floor(self, now: float) -> float | None:
        """Return the least median lately, None without enough samples."""
        if self.value is None or math.isinf(self._floor):
            return None
        rise = FLOOR_RISE_PER_S ** min(600.0, now - self._floor_at)
        return min(self._floor * rise, self.value)


@attrs.define
class ServiceTimes:
    """What the upstreams of one service do together.

    :param openings: median time of openings, seconds: the way to and fro
    :param answers: median time to answer without the way, seconds
    :param residuals: logarithms of times to answer, less the reference
    :param variances: squared deviations from the upstream's own mean
    :param bad: requests, 1 for one that failed
    :param rejected: requests, 1 for one rejected for lack of room
    :param silent: openings, 1 for one without an answer
    :param lately_rejected: like `rejected`, with a short memory
    """

    openings: RecentMedian = attrs.field(factory=RecentMedian)
    answers: RecentMedian = attrs.field(factory=RecentMedian)
    residuals: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(HALF_LIFE_S)
    )
    variances: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(HALF_LIFE_S)
    )
    bad: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(HALF_LIFE_S)
    )
    rejected: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(FULL_HALF_LIFE_S)
    )
    silent: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(HALF_LIFE_S)
    )
    lately_rejected: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(REJECTED_HALF_LIFE_S)
    )

    def deviation(self) -> float:
        """Return the deviation of the logarithms of one upstream's times."""
        if self.variances.weight < MIN_SAMPLES:
            return UNKNOWN_DEVIATION
        deviation = math.sqrt(self.variances.mean())
        return min(max(deviation, MIN_DEVIATION), MAX_DEVIATION)

    def service_time_s(self, now: float) -> float | None:
        """Return the time of a request without waiting and without the way."""
        return self.answers.floor(now)

    def without_way(self, took_s: float, now: float) -> float:
        """Return a time to answer without the time on the way, seconds."""
        way_s = self.openings.floor(now) or 0.0
        return max(took_s - way_s, MIN_WORK_SHARE * took_s, 1e-6)

    def is_strained(self, now: float) -> bool:
        """Return whether requests of the service wait in queues."""
        floor_s = self.answers.floor(now)
        if floor_s is None or self.answers.value is None:
            return False
        return self.answers.value > STRAINED_TIMES * floor_s

    def is_quick(self, took_s: float, now: float) -> bool:
        """Return whether an answer came too early to be the work's result."""
        service_s = self.service_time_s(now)
        if service_s is None:
            return False
        way_s = self.openings.floor(now) or 0.0
        return took_s <= 1.5 * way_s + 0.5 * service_s
