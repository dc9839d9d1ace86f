"""Estimate of one incarnation of an upstream.

Load conditions: an upstream that is slower or faster than the others of its
service, one that fails a share of its requests, and one that is full.
"""

import collections
import math

import attrs

from ebonytally.load import decay
from ebonytally.load import interfaces
from ebonytally.load import service_times

# Bounds of a speed. The least keeps a share to learn from.
MIN_SPEED = 0.05
MAX_SPEED = 2.5
# The logarithm of a time to answer is cut at 20 times the usual one.
MAX_LOG = 3.0
# A mean that differs by less than this many standard errors is chance.
CHANCE_ERRORS = 1.5
# Recent samples that differ from all by more standard errors than this
# replace them: the upstream has changed.
CHANGE_ERRORS = 3.5
# Weight of samples, without the longest time, that can make one slow.
MIN_WEIGHT = 0.25
# Requests that count as good in addition to those seen.
GOOD_BEFORE = 2.0
# Failures count beyond those that the others of the service would have,
# plus this many standard errors of chance.
OTHERS_ERRORS = 2.0
# Requests of the other upstreams without which there is no comparison.
MIN_OTHERS = 3.0
# Failures, aged, below which no upstream is avoided: two within seconds.
MIN_FAILURES = 1.3
AVOIDED_SHARE = 0.2
# Shares of failures on which several entry VMs agree count from here.
SHARED_AVOIDED_SHARE = 0.1
# A smaller share of failures counts as none.
MIN_SHARE = 0.01
SLOW_SPEED = 0.4
# An upstream stays avoided until it has improved by this factor.
HYSTERESIS = 1.5
# Requests without an answer by this multiple of the usual time have failed,
# within the bounds: 3% of good requests take 7 times as long.
UNANSWERED_TIMES = 12.0
MIN_UNANSWERED_S = 0.5
MAX_UNANSWERED_S = 5.0
# An unanswered request is remembered for so long.
RUNNING_KEPT_S = 10.0
MAX_ANSWERED = 64
SAME_TIME_S = 1e-6
Incarnation = tuple[str, int, int]
AVOIDED = frozenset(
    {
        interfaces.Condition.SLOW,
        interfaces.Condition.FAILING,
        interfaces.Condition.FULL,
    }
)


@attrs.define
class Running:
    """A request without an answer.

    :param ahead: requests of this entry VM that it found at the upstream
    :param is_counted: it has been counted as failed
    """

    began_at: float
    ahead: int
    is_counted: bool = False


@attrs.define
class Estimate:
    """Own observations of an upstream, and what others suspect.

    :param incarnation: address, port and start
    :param slots: requests that it can run concurrently
    :param revision: of the registry when it had this incarnation
    :param times: logarithms of times to answer, less the service's
    :param peak: the greatest of them that still has weight, seen `peak_at`
    :param recent_times: the same with a short memory
    :param bad: requests, 1 for one that failed
    :param recent_bad: the same with a short memory
    :param rejected: requests, 1 for one rejected for lack of room
    :param silent: openings, 1 for one without an answer
    :param running: requests without an answer, oldest first
    :param answered: times to answer of requests that haven't ended
    :param lone_at: times of rejections that no lack of room explains so far
    :param shared: suspicion of other entry VMs, seen at `shared_at`
    :param observed_at: time of the latest observation, seconds
    :param shared_failing: share of failures that they suspect now
    :param pace: relative speed of the requests that it answers
    :param failing: share of its requests that fail beyond the usual
    """

    incarnation: Incarnation
    service: str
    slots: int
    revision: int
    times: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(service_times.HALF_LIFE_S)
    )
    peak: float = 0.0
    peak_at: float = -1e9
    bad: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(service_times.HALF_LIFE_S)
    )
    recent_times: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(service_times.RECENT_TIMES_HALF_LIFE_S)
    )
    recent_bad: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(service_times.RECENT_BAD_HALF_LIFE_S)
    )
    rejected: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(service_times.FULL_HALF_LIFE_S)
    )
    silent: decay.Decayed = attrs.field(
        factory=lambda: decay.Decayed(service_times.HALF_LIFE_S)
    )
    running: list[Running] = attrs.field(factory=list)
    answered: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_ANSWERED)
    )
    lone_at: list[float] = attrs.field(factory=list)
    shared: interfaces.Suspicion | None = None
    shared_at: float = 0.0
    observed_at: float = 0.0
    shared_failing: float = 0.0
    pace: float = 1.0
    failing: float = 0.0
    speed: float = 1.0
    condition: interfaces.Condition = interfaces.Condition.UNKNOWN

    # Samples

    def begin(self, now: float) -> None:
        """Add a request."""
        self.running.append(Running(now, len(self.running)))

    def take(self, began_at: float) -> Running | None:
        """Remove and return the request that began then, if it is known."""
        for index, request in enumerate(self.running):
            if abs(request.began_at - began_at) < SAME_TIME_S:
                return self.running.pop(index)
        return None

    def take_answered(self, is_small: bool) -> float | None:
        """Remove and return the time to answer of a request that ends.

        Several may have been answered and not ended. Rejections come at
        once, so a small answer is taken for the earliest.
        """
        if not self.answered:
            return None
        took_s = min(self.answered) if is_small else max(self.answered)
        self.answered.remove(took_s)
        return took_s

    def waiting_factor(self, ahead: float) -> float:
        """Return the usual time of a request behind others, 1 for none."""
        # Of the running ones, the first ends after a share of their time.
        first_end = self.slots / (self.slots + 1)
        return 1.0 + max(0.0, ahead - self.slots + first_end) / self.slots

    def add_time(
        self, took_s: float, times: service_times.ServiceTimes, now: float
    ) -> None:
        """Add a time to answer.

        :param took_s: without the way and the wait for this VM's requests
        """
        reference = times.answers.value
        times.answers.add(took_s, now)
        if reference is None:
            return
        sample = math.log(took_s / reference)
        sample = min(max(sample, -MAX_LOG), MAX_LOG)
        self.times.age(now)
        if self.times.weight > 1.0:
            residual = sample - self.times.mean()
            residual = min(abs(residual), service_times.MAX_RESIDUAL)
            share = self.times.weight / (self.times.weight + 1.0)
            times.variances.add(residual * residual * share, now)
        self.times.add(sample, now)
        times.residuals.add(sample, now)
        self.recent_times.add(sample, now)
        if sample >= self.peak * self._peak_weight(self.times, now):
            self.peak = sample
            self.peak_at = now
        self._forget_old_times(times)

    def add_bad(self, bad: float, now: float) -> None:
        """Add the end of a request, 1 for one that failed."""
        self.bad.add(bad, now)
        self.recent_bad.add(bad, now)
        self._forget_old_bad()

    def _forget_old_bad(self) -> None:
        """Replace the ends of requests by the recent ones after a change."""
        recent, old = self.recent_bad, self.bad
        if (
            recent.total >= MIN_FAILURES
            and recent.total >= AVOIDED_SHARE * (recent.weight + GOOD_BEFORE)
            and recent.weight < old.weight
        ):
            old.weight, old.total = recent.weight, recent.total

    def count_as_bad(self, count: int, now: float) -> None:
        """Count requests as failed that were counted as good before."""
        for sums in (self.bad, self.recent_bad):
            sums.age(now)
            sums.total = min(sums.total + count, sums.weight)
        self._forget_old_bad()

    def take_lone(self, before: float) -> int:
        """Remove the lone rejections before a time; return their number."""
        kept = [at for at in self.lone_at if at > before]
        taken = len(self.lone_at) - len(kept)
        self.lone_at = kept
        return taken

    def _forget_old_times(self, times: service_times.ServiceTimes) -> None:
        """Replace the times by the recent ones after a change."""
        now = self.recent_times.at
        total, weight = self._without_peak(self.recent_times, now)
        if weight < 1.0:
            return
        difference = abs(total / weight - self.times.mean())
        errors = difference * math.sqrt(weight) / times.deviation()
        if errors > CHANGE_ERRORS:
            self.times.total = self.recent_times.total
            self.times.weight = self.recent_times.weight

    # Conclusions

    def update(self, times: service_times.ServiceTimes, now: float) -> None:
        """Conclude speed and condition from the samples at `now`."""
        self.pace = math.exp(-self._log_slowness(times, now))
        self.pace = min(max(self.pace, MIN_SPEED), MAX_SPEED)
        self.failing = max(
            _excess(self.bad, self.bad, times.bad, now),
            _excess(self.recent_bad, self.bad, times.bad, now),
            _excess(self.silent, self.silent, times.silent, now),
        )
        full = _excess(self.rejected, self.rejected, times.rejected, now)
        pace = min(self.pace, self._shared_pace(now))
        failing = max(self.failing, self.shared_failing)
        speed = pace * (1.0 - failing) * (1.0 - full)
        self.speed = max(speed, MIN_SPEED)
        self.condition = self._conclude(pace, full)

    def is_remarkable(self) -> bool:
        """Return whether ageing alone may change the conclusions."""
        return self.speed != 1.0 or self.condition in AVOIDED

    def _conclude(self, pace: float, full: float) -> interfaces.Condition:
        was = self.condition
        worst = max(self.bad.total, self.silent.total)
        is_failing = self._is_avoided(
            self.failing, worst, was == interfaces.Condition.FAILING
        )
        if is_failing or self.shared_failing >= SHARED_AVOIDED_SHARE:
            return interfaces.Condition.FAILING
        if self._is_avoided(
            full, self.rejected.total, was == interfaces.Condition.FULL
        ):
            return interfaces.Condition.FULL
        is_slow = was == interfaces.Condition.SLOW
        if pace < SLOW_SPEED * (HYSTERESIS if is_slow else 1.0):
            return interfaces.Condition.SLOW
        if self.times.weight + self.bad.weight < 1.0:
            return interfaces.Condition.UNKNOWN
        return interfaces.Condition.NORMAL

    def _is_avoided(self, share: float, count: float, was: bool) -> bool:
        if was:
            return share >= AVOIDED_SHARE / HYSTERESIS
        return count >= MIN_FAILURES and share >= AVOIDED_SHARE

    def _shared_pace(self, now: float) -> float:
        """Return the pace that others suspect; update their failing share.

        The weight of others' suspicions ends gradually, so that not all
        entry VMs come back at the same moment.
        """
        self.shared_failing = 0.0
        if self.shared is None:
            return MAX_SPEED
        weight = math.exp2(
            (self.shared_at - now) / service_times.FULL_HALF_LIFE_S
        )
        if weight < MIN_SPEED:
            self.shared = None
            return MAX_SPEED
        self.shared_failing = weight * min(self.shared.failing, 1.0)
        if self.shared.slowdown <= 1.0:
            return MAX_SPEED
        return max(self.shared.slowdown**-weight, MIN_SPEED)

    def _log_slowness(
        self, times: service_times.ServiceTimes, now: float
    ) -> float:
        """Return the logarithm of its time relative to the service's.

        It is 0 while chance may explain the difference. The longest time
        doesn't make an upstream slow: 3% of good requests take as long.
        """
        self.times.age(now)
        times.residuals.age(now)
        weight = self.times.weight
        if weight < MIN_WEIGHT:
            return 0.0
        usual = times.residuals.mean()
        mean = self.times.mean() - usual
        if mean > 0.0:
            total, weight = self._without_peak(self.times, now)
            if weight < MIN_WEIGHT:
                return 0.0
            mean = max(0.0, total / weight - usual)
        errors = abs(mean) * math.sqrt(weight) / times.deviation()
        if errors <= CHANCE_ERRORS:
            return 0.0
        return mean * (1.0 - (CHANCE_ERRORS / errors) ** 2)

    def _without_peak(
        self, sums: decay.Decayed, now: float
    ) -> tuple[float, float]:
        """Return total and weight of times without the longest one."""
        weight = min(self._peak_weight(sums, now), sums.weight)
        return sums.total - weight * self.peak, sums.weight - weight

    def _peak_weight(self, sums: decay.Decayed, now: float) -> float:
        return math.exp2((self.peak_at - now) / sums.half_life_s)


def _excess(
    judged: decay.Decayed,
    own: decay.Decayed,
    service: decay.Decayed,
    now: float,
) -> float:
    """Return the share of failures beyond that of the service's others.

    :param judged: the upstream's own, with any memory
    :param own: the upstream's own, with the memory of `service`
    """
    if not judged.total:
        return 0.0
    for sums in (judged, own, service):
        sums.age(now)
    others = service.weight - own.weight
    if others < MIN_OTHERS:
        return 0.0
    others_share = max(0.0, service.total - own.total) / others
    others_share = min(others_share, 1.0)
    usual = others_share * judged.weight
    usual += OTHERS_ERRORS * math.sqrt(usual * (1.0 - others_share))
    share = (judged.total - usual) / (judged.weight + GOOD_BEFORE)
    return share if share >= MIN_SHARE else 0.0
