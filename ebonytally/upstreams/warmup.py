"""How much work one upstream may get while it is cold or doubtful.

The share of full load grows with completed work. Below full share the
upstream has few attempts under way, each slot rests after each attempt
so that it is busy for its share of time only, and each start is lent
one by one.
"""

import math

from ebonytally import settings

FULL = 1000
REST_MARGIN = 1.25
FIRST_TOOK_S = 0.1
MIN_BACKOFF_S = 0.25
TOOK_DECAY = 0.8
RESTORE_OKS = 5
SAME_START_S = 0.5
FLOWS_WARM_S = 30.0
SLOW_RUN = 3
# An upstream may bear no more than its cold share until it has run this
# many requests: what the stand-ins for a cold start play.
COLD_ANSWERS = 10
STEPS = (100, 250, 500, FULL)


class Warmup:
    """Warm share of one upstream, kept by its lender.

    :param slots: attempts that it runs at the same time
    :param share: part of full load to start with, 1 to 1000
    """

    def __init__(
        self,
        cfg: settings.Upstreams,
        slots: int,
        share: int,
    ) -> None:
        """Start at `share`."""
        self._cfg = cfg
        self._slots = slots
        self._done = 0.0
        self._rests: list[float] = []
        self._aged: float | None = None
        self._restore: float | None = None
        self._restore_oks = 0
        self._same_start = False
        self._doubt_since = 0.0
        self._slow_run = 0
        self._backoff_s = 0.0
        self._retry_at = -math.inf
        self._took_s = FIRST_TOOK_S
        self._set_share(share)

    @property
    def share(self) -> int:
        """Return the part of full load that it may get, 1 to 1000."""
        cold = min(self._cfg.cold_share, FULL)
        part = min(1.0, self._done / self._cfg.warm_requests)
        share = math.floor(cold + (FULL - cold) * part)
        if self._done <= COLD_ANSWERS:
            # Rests are longer than the share asks for, by the margin.
            return min(share, math.floor(cold * REST_MARGIN))
        return share

    @property
    def step(self) -> int:
        """Return the share in few steps, for the replicated view."""
        share = self.share
        return max((step for step in STEPS if step <= share), default=share)

    @property
    def limited(self) -> bool:
        """Whether each start must be lent one by one."""
        return self.share < FULL or self._backoff_s > 0

    def limit(self, now: float) -> int:
        """Return how many attempts may be under way at `now`."""
        self._rests = [until for until in self._rests if until > now]
        return max(0, self._lanes() - len(self._rests))

    def due(self) -> float:
        """Return when the next rest ends, infinity for none."""
        return min(self._rests, default=math.inf)

    def _lanes(self) -> int:
        if self._backoff_s > 0:
            return 1
        return max(1, math.ceil(self.share * self._slots / FULL))

    def _set_share(self, share: float) -> None:
        cold = min(self._cfg.cold_share, FULL)
        part = 1.0 if cold == FULL else (share - cold) / (FULL - cold)
        self._done = max(0.0, part) * self._cfg.warm_requests

    def started_anew(self) -> None:
        """Note that it is cold, whatever was known of it."""
        self._restore = None
        self._set_share(0)

    def answered(self, count: int, took_s: float, now: float) -> None:
        """Note `count` answers that took the usual time."""
        self._slow_run = 0
        self._backoff_s = 0.0
        self._took_s = max(took_s, self._took_s * TOOK_DECAY)
        if self.limited:
            self._rest(count, now)
        self._done = min(self._done + count, self._cfg.warm_requests)
        if self._restore is None:
            return
        self._restore_oks += count
        if self._same_start and self._restore_oks >= RESTORE_OKS:
            self._done = max(self._done, self._restore)
            self._restore = None

    def aged(self, now: float) -> None:
        """Let an upstream that takes flows alone grow warm with time."""
        since = now if self._aged is None else self._aged
        self._aged = now
        part = max(0.0, now - since) / FLOWS_WARM_S
        warm = self._cfg.warm_requests
        self._done = min(self._done + part * warm, warm)

    def announced(self, at: float) -> None:
        """Note that the incarnation in the view announced itself.

        After a doubt it shows that the upstream didn't start anew, so
        that its former share may come back soon.

        :param at: when it did, seconds
        """
        if self._restore is not None:
            self._same_start = at > self._doubt_since + SAME_START_S

    def slow(self, count: int, took_s: float, now: float) -> None:
        """Note answers far slower than usual: it may be cold again."""
        self._took_s = max(self._took_s, took_s)
        self._slow_run += count
        self._restore = None
        if self.limited:
            self._rest(count, now)
        elif self._slow_run >= SLOW_RUN:
            self._set_share(0)

    def failed(self, now: float) -> None:
        """Note a lost or refused connection: it may have started anew."""
        if now < self._retry_at:
            return
        if self._restore is None and self._backoff_s == 0:
            self._restore = self._done
        self._doubt_since = now
        self._restore_oks = 0
        self._same_start = False
        self._set_share(0)
        doubled = max(MIN_BACKOFF_S, self._backoff_s * 2)
        self._backoff_s = min(doubled, self._cfg.eject_s)
        self._retry_at = now + self._backoff_s
        self._rests.append(self._retry_at)

    def shed(self, now: float) -> None:
        """Note that it refused an attempt: it bears less than thought."""
        if self.share < FULL:
            self._done /= 2
        self._rests.append(now + self._took_s)

    def _rest(self, count: int, now: float) -> None:
        busy = self.share * self._slots / FULL / self._lanes()
        rest_s = self._took_s * (REST_MARGIN / busy - 1)
        self._rests += [now + rest_s] * max(1, min(count, self._slots))
