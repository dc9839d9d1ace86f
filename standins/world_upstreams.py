"""Fake upstreams for scenarios: slots, cold starts and faults."""

from collections.abc import Callable
import random

import attrs

from ebonytally import ports

COLD_RUNS = 10
COLD_LOAD_WINDOW_S = 2.0
COLD_TIME_FACTOR = 2.0


@attrs.define
class Run:
    """A request that runs or ran on an upstream.

    :param mark: identifier of the request
    :param on_done: callback for the result, not called by these fakes
    """

    mark: str
    on_done: Callable[[ports.AttemptResult], None]
    began: float
    cancelled: bool = False


@attrs.define
class Upstream:
    """A fake upstream.

    :param service_s: mean run time of a request when warm, seconds
    :param state: up, draining or gone
    :param reports_healthy: its health and load pages report that all is well
        in any state; these fakes serve no such pages
    :param cold_overloads: number of starts above a tenth of full load while
        cold
    :param run_starts: times at which recent requests began
    :param silent_from: VMs whose open connections get no answer any more
    :param lost_answer_share: share of answers that are lost, 0 to 1
    """

    name: str
    service: str
    data_centre: str
    address: str
    incarnation: int
    rng: random.Random
    slots: int = 2
    service_s: float = 0.1
    state: str = "up"
    reports_healthy: bool = False
    completed: int = 0
    cold_overloads: int = 0
    max_running: int = 0
    running: list[Run] = attrs.field(factory=list)
    run_starts: list[float] = attrs.field(factory=list)
    silent_from: set[str] = attrs.field(factory=set)
    lost_answer_share: float = 0.0

    @property
    def is_cold(self) -> bool:
        """Return whether fewer than `COLD_RUNS` requests completed."""
        return self.completed < COLD_RUNS

    def restart(self, incarnation: int) -> None:
        """Restart cold and lose all running requests."""
        self.incarnation = incarnation
        self.completed = 0
        self.running = []
        self.run_starts = []
        self.state = "up"

    def start_run(self, run: Run) -> float | None:
        """Begin a request.

        :return: its run time in seconds, None if it is shed
        """
        if len(self.running) >= self.slots:
            return None
        self.running.append(run)
        self.max_running = max(self.max_running, len(self.running))
        self._count_cold_overload(run.began)
        factor = COLD_TIME_FACTOR if self.is_cold else 1.0
        return self.service_s * factor * self.rng.uniform(0.5, 1.5)

    def _count_cold_overload(self, now: float) -> None:
        self.run_starts = [
            at for at in self.run_starts if now - at < COLD_LOAD_WINDOW_S
        ]
        self.run_starts.append(now)
        full_load = self.slots / self.service_s * COLD_LOAD_WINDOW_S
        if self.is_cold and len(self.run_starts) > max(1.0, full_load / 10):
            self.cold_overloads += 1

    def end_run(self, run: Run) -> bool:
        """End a request.

        :return: False if a restart, crash or cancellation ended it before
        """
        if run not in self.running:
            return False
        self.running.remove(run)
        self.completed += 1
        return True
