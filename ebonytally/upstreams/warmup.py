"""Slow start: limits the load of an upstream that is or may be cold.

The share of full load grows with completed work. Below full share the
upstream has few attempts in progress, each slot pauses after an attempt
so that it is busy only for its share of the time, and starts are granted
one by one.
"""

import math

from ebonytally import settings

FULL_SHARE = 1000
PAUSE_MARGIN = 1.25
INITIAL_ANSWER_S = 0.1
MIN_BACKOFF_S = 0.25
ANSWER_TIME_DECAY = 0.8
RESTORE_ANSWERS = 5
SAME_START_GAP_S = 0.5
FLOW_WARMUP_S = 30.0
CONSECUTIVE_SLOW_ANSWERS = 3
# An upstream may be unable to handle more than its cold share until it has
# run this many requests.
COLD_REQUESTS = 10
SHARE_STEPS = (100, 250, 500, FULL_SHARE)


class Warmup:
    """Warm-up state of one upstream, kept by its grantor.

    :param slots: attempts that the upstream can run concurrently
    :param share: thousandths of full load to start with, 1 to 1000
    """

    def __init__(
        self,
        cfg: settings.Upstreams,
        slots: int,
        share: int,
    ) -> None:
        """Set up with the given share of full load."""
        self._cfg = cfg
        self._slots = slots
        self._completed = 0.0
        self._pauses: list[float] = []
        self._warmed_at: float | None = None
        self._completed_before: float | None = None
        self._restore_answers = 0
        self._is_same_start = False
        self._suspected_at = 0.0
        self._slow_answers = 0
        self._backoff_s = 0.0
        self._retry_at = -math.inf
        self._answer_s = INITIAL_ANSWER_S
        self._set_share(share)

    @property
    def share(self) -> int:
        """Return the thousandths of full load that it may get, 1 to 1000."""
        cold = min(self._cfg.cold_share, FULL_SHARE)
        progress = min(1.0, self._completed / self._cfg.warm_requests)
        share = math.floor(cold + (FULL_SHARE - cold) * progress)
        if self._completed <= COLD_REQUESTS:
            # Pauses are longer than the share requires, by this margin.
            return min(share, math.floor(cold * PAUSE_MARGIN))
        return share

    @property
    def step(self) -> int:
        """Return the share rounded down to a step, for the view.

        Few steps mean few changes of the replicated view.
        """
        share = self.share
        return max(
            (step for step in SHARE_STEPS if step <= share), default=share
        )

    @property
    def is_limited(self) -> bool:
        """Whether starts must be granted one by one."""
        return self.share < FULL_SHARE or self._backoff_s > 0

    def attempt_limit(self, now: float) -> int:
        """Return how many attempts may be in progress at `now`."""
        self._pauses = [until for until in self._pauses if until > now]
        return max(0, self._max_concurrency() - len(self._pauses))

    def next_pause_end(self) -> float:
        """Return when the next pause ends, infinity for none."""
        return min(self._pauses, default=math.inf)

    def _max_concurrency(self) -> int:
        if self._backoff_s > 0:
            return 1
        return max(1, math.ceil(self.share * self._slots / FULL_SHARE))

    def _set_share(self, share: float) -> None:
        cold = min(self._cfg.cold_share, FULL_SHARE)
        progress = (
            1.0 if cold == FULL_SHARE else (share - cold) / (FULL_SHARE - cold)
        )
        self._completed = max(0.0, progress) * self._cfg.warm_requests

    def reset_to_cold(self) -> None:
        """Treat the upstream as cold, whatever was known of it."""
        self._completed_before = None
        self._set_share(0)

    def on_answers(self, count: int, took_s: float, now: float) -> None:
        """Record `count` answers that took about the usual time."""
        self._slow_answers = 0
        self._backoff_s = 0.0
        self._answer_s = max(took_s, self._answer_s * ANSWER_TIME_DECAY)
        if self.is_limited:
            self._pause_slots(count, now)
        self._completed = min(self._completed + count, self._cfg.warm_requests)
        if self._completed_before is None:
            return
        self._restore_answers += count
        if self._is_same_start and self._restore_answers >= RESTORE_ANSWERS:
            self._completed = max(self._completed, self._completed_before)
            self._completed_before = None

    def warm_by_time(self, now: float) -> None:
        """Warm up with time an upstream that serves flows only."""
        since = now if self._warmed_at is None else self._warmed_at
        self._warmed_at = now
        progress = max(0.0, now - since) / FLOW_WARMUP_S
        warm = self._cfg.warm_requests
        self._completed = min(self._completed + progress * warm, warm)

    def on_announcement(self, at: float) -> None:
        """Record that the incarnation in the view announced itself.

        After a lost connection this shows that the upstream has not
        restarted, so its former share may be restored soon.

        :param at: time of the announcement, seconds
        """
        if self._completed_before is not None:
            self._is_same_start = at > self._suspected_at + SAME_START_GAP_S

    def on_slow_answers(self, count: int, took_s: float, now: float) -> None:
        """Record answers much slower than its peers': it may be cold again."""
        self._answer_s = max(self._answer_s, took_s)
        self._slow_answers += count
        self._completed_before = None
        if self.is_limited:
            self._pause_slots(count, now)
        elif self._slow_answers >= CONSECUTIVE_SLOW_ANSWERS:
            self._set_share(0)

    def on_connection_lost(self, now: float) -> None:
        """Record a lost or refused connection: it may have restarted."""
        if now < self._retry_at:
            return
        if self._completed_before is None and self._backoff_s == 0:
            self._completed_before = self._completed
        self._suspected_at = now
        self._restore_answers = 0
        self._is_same_start = False
        self._set_share(0)
        doubled_s = max(MIN_BACKOFF_S, self._backoff_s * 2)
        self._backoff_s = min(doubled_s, self._cfg.eject_s)
        self._retry_at = now + self._backoff_s
        self._pauses.append(self._retry_at)

    def on_shed(self, now: float) -> None:
        """Record that it shed an attempt: its share was set too high."""
        if self.share < FULL_SHARE:
            self._completed /= 2
        self._pauses.append(now + self._answer_s)

    def _pause_slots(self, count: int, now: float) -> None:
        busy_share = (
            self.share * self._slots / FULL_SHARE / self._max_concurrency()
        )
        pause_s = self._answer_s * (PAUSE_MARGIN / busy_share - 1)
        self._pauses += [now + pause_s] * max(1, min(count, self._slots))
