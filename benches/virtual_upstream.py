"""Model of an upstream endpoint with slots and a cold start."""

import math
import random

import attrs

LOAD_WINDOW_S = 1.0


@attrs.define
class Endpoint:
    """An endpoint with limited concurrency that starts cold.

    While cold it can serve only a share of full load, which grows with
    the requests completed since its start; above that share it crashes,
    drops its running requests and is down for a while.

    :param mean_s: mean duration of a request
    :param cold_share: share of full load that it can serve at start
    :param warm_after: completed requests after which it serves full load
    :param up: it accepts connections; otherwise it refuses them
    :param silent: its data centre is lost, so no reply arrives
    :param draining_from: time from which it announces that it drains
    :param muted_until: time until which it sends no announcement
    :param late_starts: requests started over 2 s after `draining_from`
    :param max_cold_load: most load while cold, relative to `load_limit`
    """

    address: str
    service: str
    data_centre: str
    slots: int = 2
    mean_s: float = 0.05
    cold_share: float = 0.1
    warm_after: int = 60
    incarnation: int = 1
    up: bool = True
    silent: bool = False
    draining_from: float = math.inf
    completed: int = 0
    running: dict[int, float] = attrs.field(factory=dict)
    recent_starts: list[float] = attrs.field(factory=list)
    max_running: int = 0
    over_slots: int = 0
    crashes: int = 0
    sheds: int = 0
    late_starts: int = 0
    busy_s: float = 0.0
    max_cold_load: float = 0.0
    muted_until: float = 0.0
    warm_at: float = -1.0

    @property
    def load_limit(self) -> float:
        """Return the share of full load that it can serve now."""
        warmth = min(1.0, self.completed / self.warm_after)
        return self.cold_share + (1 - self.cold_share) * warmth

    def begin(
        self,
        attempt: int,
        now: float,
        rng: random.Random,
    ) -> tuple[str, float]:
        """Start a request.

        :returns: "runs", "shed" or "fell" (crashed), and the time in
            seconds after which the attempt ends
        """
        if len(self.running) >= self.slots:
            self.over_slots += 1
            self.sheds += 1
            return "shed", 0.0005
        if now > self.draining_from + 2.0:
            self.late_starts += 1
        self.recent_starts = [
            at for at in self.recent_starts if at > now - LOAD_WINDOW_S
        ]
        self.recent_starts.append(now)
        full_load = self.slots / self.mean_s * LOAD_WINDOW_S
        load = (len(self.recent_starts) - 1) / full_load
        if self.load_limit < 1.0:
            self.max_cold_load = max(
                self.max_cold_load, load / self.load_limit
            )
        if self.load_limit < 1.0 and load > self.load_limit:
            self.crashes += 1
            return "fell", 0.0
        took_s = self.mean_s * min(4.0, rng.gammavariate(4, 0.25))
        self.running[attempt] = now + took_s
        self.max_running = max(self.max_running, len(self.running))
        return "runs", took_s

    def end(self, attempt: int, took_s: float, now: float) -> None:
        """Record that a request completed."""
        self.running.pop(attempt, None)
        self.completed += 1
        if self.completed == self.warm_after:
            self.warm_at = now
        self.busy_s += took_s

    def restart(self) -> list[int]:
        """Restart cold; return the attempts that were running."""
        interrupted = list(self.running)
        self.running = {}
        self.recent_starts = []
        self.completed = 0
        self.incarnation += 1
        self.up = True
        return interrupted
