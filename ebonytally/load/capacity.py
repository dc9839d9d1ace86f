"""What upstreams bear, learned from callers' packets.

Load conditions: upstreams of unequal speed, upstreams that slow down, fail
or are full while their health check is good, and demand that all of them
together can't serve. Upstreams answer callers directly: an entry VM sees
when a caller acknowledges an answer, and how many bytes of it.
"""

from ebonytally.echo import cookies
from ebonytally import events
from ebonytally.load import answer_sizes
from ebonytally.load import estimate as estimates
from ebonytally.load import interfaces
from ebonytally.load import service_times
from ebonytally.load import shared_suspicions
from ebonytally import recorder as recorders
from ebonytally.registry import registry as registries

UPDATE_INTERVAL_S = 0.25
SWEEP_INTERVAL_S = 5.0
# An upstream without a request for so long has no estimate.
KEPT_S = 60.0
# A longer time between two ticks means that this VM was paused: answers
# waited in its socket, and callers' packets too.
MAX_TICK_GAP_S = 0.3
# Callers whose packets waited may have given up meanwhile.
PAUSE_EFFECT_S = 1.0
# Rejections by one upstream while the others reject less than this share
# have another reason than lack of room.
LONE_SHARE = 0.02
LONE_DELAY_S = 0.5
# Own estimates worth telling other entry VMs.
TOLD_SLOWDOWN = 1.8
TOLD_FAILING = 0.1


class Capacity:
    """An `interfaces.Capacity` and `interfaces.FlowObserver`."""

    def __init__(
        self,
        registry: registries.Registry,
        recorder: recorders.Recorder,
        shared: interfaces.SharedLoad | None = None,
    ) -> None:
        """Create estimates without any upstream.

        :param shared: suspicions of other entry VMs, None without them
        """
        self._registry = registry
        self._recorder = recorder
        self._shared = shared_suspicions.SharedSuspicions(registry, shared)
        self._sizes = answer_sizes.AnswerSizes()
        self._services: dict[str, service_times.ServiceTimes] = {}
        self._estimates: dict[str, estimates.Estimate] = {}
        # Ids whose conclusions ageing changes.
        self._remarkable: set[str] = set()
        self._ticked_at: float | None = None
        self._paused_at = -1e9
        self._updated_at = -1e9
        self._swept_at = -1e9

    # Conclusions

    def speed(self, upstream: str, now: float) -> float:
        """Return the speed relative to its service's, 1.0 if unknown."""
        known = self._current(upstream)
        return 1.0 if known is None else known.speed

    def condition(self, upstream: str, now: float) -> interfaces.Condition:
        """Return what is known about an upstream."""
        known = self._current(upstream)
        if known is None:
            return interfaces.Condition.UNKNOWN
        return known.condition

    def service_time_s(self, service: str, now: float) -> float | None:
        """Return the time that a request takes without waiting, if known."""
        times = self._services.get(service)
        return None if times is None else times.service_time_s(now)

    def rejected_share(self, service: str, now: float) -> float:
        """Return the share of recent requests rejected for lack of room."""
        times = self._services.get(service)
        if times is None:
            return 0.0
        weight, total = times.lately_rejected.aged(now)
        return total / max(1.0, weight)

    def suspicions(self, now: float) -> tuple[interfaces.Suspicion, ...]:
        """Return the upstreams that this VM finds slow or failing.

        The worst comes first. Only its own observations count.
        """
        found = []
        for upstream in self._remarkable:
            known = self._current(upstream)
            entry = self._registry.get(upstream)
            if known is None or entry is None:
                continue
            slowdown = max(1.0, 1.0 / known.pace)
            if slowdown >= TOLD_SLOWDOWN or known.failing >= TOLD_FAILING:
                cookie = cookies.cookie_of(entry.record)
                found.append(
                    interfaces.Suspicion(cookie, slowdown, known.failing)
                )
        found.sort(key=lambda one: (1.0 - one.failing) / one.slowdown)
        return tuple(found)

    # Observations

    def on_opened(self, upstream: str, took_s: float, now: float) -> None:
        """Handle the opening of a flow."""
        known = self._known(upstream, now)
        if known is not None:
            times = self._times(known)
            times.openings.add(max(took_s, 1e-6), now)
            known.silent.add(0.0, now)
            times.silent.add(0.0, now)
            if known.silent.total:
                self._conclude(upstream, known, now)

    def on_silence(self, upstream: str, now: float) -> None:
        """Handle an opening packet that the upstream didn't answer."""
        known = self._known(upstream, now)
        if known is not None:
            known.silent.add(1.0, now)
            self._times(known).silent.add(1.0, now)
            self._conclude(upstream, known, now)

    def on_request(self, upstream: str, now: float) -> None:
        """Handle the first packet of a request."""
        known = self._known(upstream, now)
        if known is not None:
            known.begin(now)

    def on_answer(self, upstream: str, took_s: float, now: float) -> None:
        """Handle the first bytes of an answer."""
        self._find_pause(now)
        known = self._known(upstream, now)
        if known is None:
            return
        known.answered.append(took_s)
        request = known.take(now - took_s)
        if request is None or request.is_counted:
            return
        entry = self._registry.get(upstream)
        if entry is not None and entry.cold_until > request.began_at:
            return
        times = self._times(known)
        if not times.is_quick(took_s, now):
            work_s = times.without_way(took_s, now)
            # Some of the requests ahead were on the way.
            ahead = request.ahead * work_s / max(took_s, work_s)
            work_s /= known.waiting_factor(ahead)
            known.add_time(work_s, times, now)
            self._conclude(upstream, known, now)

    def on_request_end(
        self,
        upstream: str,
        service_address: bytes,
        answer_bytes: int,
        now: float,
    ) -> None:
        """Handle the end of a request: the next one, or the flow's end."""
        self._find_pause(now)
        known = self._known(upstream, now)
        if known is None:
            return
        if not answer_bytes:
            self._on_no_answer(upstream, known, now)
            return
        is_small = self._sizes.is_small(service_address, answer_bytes, now)
        took_s = known.take_answered(is_small)
        times = self._times(known)
        if not is_small:
            if took_s is not None and times.is_quick(took_s, now):
                # A whole answer: the reference is from slower times.
                times.answers.add(times.without_way(took_s, now), now)
            self._count(upstream, known, 0.0, 0.0, now)
            return
        is_quick = took_s is not None and times.is_quick(took_s, now)
        if is_quick:
            self._recorder.count("answers_rejected")
            self._count(upstream, known, 0.0, 1.0, now)
            if self._is_alone(known, now):
                known.lone_at.append(now)
        else:
            self._recorder.count("answers_small")
            self._count(upstream, known, 1.0, 0.0, now)

    def tick(self, now: float) -> None:
        """Age the estimates, and count requests without an answer."""
        self._find_pause(now)
        self._ticked_at = now
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        self._count_unanswered(now)
        self._count_lone(now)
        for upstream, suspicion in self._shared.current(now).items():
            known = self._known(upstream, now)
            if known is not None:
                known.shared = suspicion
                known.shared_at = now
                self._remarkable.add(upstream)
        for upstream in list(self._remarkable):
            known = self._current(upstream)
            if known is None:
                self._remarkable.discard(upstream)
            else:
                self._conclude(upstream, known, now)
        if now - self._swept_at >= SWEEP_INTERVAL_S:
            self._swept_at = now
            self._sweep(now)

    def _on_no_answer(
        self, upstream: str, known: estimates.Estimate, now: float
    ) -> None:
        """Count a failure, unless the request isn't known here.

        Requests that began before a pause, at another incarnation, or at
        another entry VM say nothing about the upstream.
        """
        if not known.running:
            return
        is_counted = known.running.pop(0).is_counted
        if not is_counted and now - self._paused_at > PAUSE_EFFECT_S:
            self._recorder.count("requests_unanswered")
            self._count(upstream, known, 1.0, 0.0, now)

    def _is_alone(self, known: estimates.Estimate, now: float) -> bool:
        """Return whether an upstream rejects requests without a reason.

        It has one if it is slow, if it has many requests of this VM, or if
        others of its service reject too or have queues.
        """
        times = self._times(known)
        if times.is_strained(now):
            return False
        times.rejected.age(now)
        known.rejected.age(now)
        others = times.rejected.weight - known.rejected.weight
        rejected = times.rejected.total - known.rejected.total
        return (
            rejected <= LONE_SHARE * others
            and len(known.running) < known.slots
            and known.pace > estimates.SLOW_SPEED
        )

    def _count(
        self,
        upstream: str,
        known: estimates.Estimate,
        bad: float,
        rejected: float,
        now: float,
    ) -> None:
        """Count the end of a request."""
        times = self._times(known)
        known.add_bad(bad, now)
        times.bad.add(bad, now)
        known.rejected.add(rejected, now)
        times.rejected.add(rejected, now)
        times.lately_rejected.add(rejected, now)
        if known.bad.total or known.rejected.total:
            self._conclude(upstream, known, now)

    def _count_lone(self, now: float) -> None:
        """Count lone rejections as failures.

        At the beginning of a burst one upstream is full first; soon after,
        others are, and then its rejections weren't failures.
        """
        for known in self._estimates.values():
            count = known.take_lone(now - LONE_DELAY_S) if known.lone_at else 0
            if count and self._is_alone(known, now):
                known.count_as_bad(count, now)
                self._times(known).bad.total += count

    def _count_unanswered(self, now: float) -> None:
        """Count requests that should have been answered long ago."""
        for upstream, known in self._estimates.items():
            if not known.running:
                continue
            usual_s = self._times(known).answers.value
            if usual_s is None:
                continue
            limit_s = min(
                max(
                    usual_s * estimates.UNANSWERED_TIMES,
                    estimates.MIN_UNANSWERED_S,
                ),
                estimates.MAX_UNANSWERED_S,
            )
            for request in known.running:
                if now - request.began_at < limit_s:
                    break
                if not request.is_counted:
                    request.is_counted = True
                    self._recorder.count("requests_unanswered")
                    self._count(upstream, known, 1.0, 0.0, now)
            while (
                known.running
                and now - known.running[0].began_at > estimates.RUNNING_KEPT_S
            ):
                del known.running[0]

    def _find_pause(self, now: float) -> None:
        """Forget running requests if this VM was paused."""
        if self._ticked_at is None or now - self._ticked_at <= MAX_TICK_GAP_S:
            return
        self._ticked_at = now
        self._paused_at = now
        for known in self._estimates.values():
            known.running.clear()

    # Estimates

    def _conclude(
        self, upstream: str, known: estimates.Estimate, now: float
    ) -> None:
        was = known.condition
        known.update(self._times(known), now)
        if known.is_remarkable():
            self._remarkable.add(upstream)
        else:
            self._remarkable.discard(upstream)
        is_avoided = known.condition in estimates.AVOIDED
        if known.condition == was or not (
            is_avoided or was in estimates.AVOIDED
        ):
            return
        if is_avoided and was not in estimates.AVOIDED:
            self._recorder.count("upstreams_avoided")
        self._recorder.log_event(
            events.Event.UPSTREAM_CONDITION,
            upstream=upstream,
            service=known.service,
            condition=known.condition.value,
            was=was.value,
            speed=round(known.speed, 2),
            failing=round(known.failing, 2),
            shared=known.shared is not None,
        )

    def _times(self, known: estimates.Estimate) -> service_times.ServiceTimes:
        times = self._services.get(known.service)
        if times is None:
            times = service_times.ServiceTimes()
            self._services[known.service] = times
        return times

    def _current(self, upstream: str) -> estimates.Estimate | None:
        """Return the estimate of an upstream's present incarnation."""
        known = self._estimates.get(upstream)
        if known is None or known.revision == self._registry.revision:
            return known
        entry = self._registry.get(upstream)
        if entry is None or known.incarnation != _incarnation_of(entry):
            return None
        known.revision = self._registry.revision
        return known

    def _known(self, upstream: str, now: float) -> estimates.Estimate | None:
        """Return an upstream's estimate, a new one if it has none."""
        entry = self._registry.get(upstream)
        if entry is None:
            return None
        known = self._estimates.get(upstream)
        incarnation = _incarnation_of(entry)
        if known is None or known.incarnation != incarnation:
            record = entry.record
            known = estimates.Estimate(
                incarnation,
                record.service,
                max(1, record.slots),
                self._registry.revision,
            )
            self._estimates[upstream] = known
        known.observed_at = now
        return known

    def _sweep(self, now: float) -> None:
        """Remove what is no longer used."""
        for upstream, known in list(self._estimates.items()):
            if (
                now - known.observed_at > KEPT_S
                or self._registry.get(upstream) is None
            ):
                del self._estimates[upstream]
                self._remarkable.discard(upstream)
        used = {known.service for known in self._estimates.values()}
        for service in self._services.keys() - used:
            del self._services[service]


def _incarnation_of(entry: registries.Entry) -> estimates.Incarnation:
    record = entry.record
    return record.address, record.port, record.born_ms
