"""Upstream fakes for scenarios: slots, cold starts, lies and silence."""

from collections.abc import Callable
import random

import attrs

from ebonytally import ports

COLD_RUNS = 10
COLD_WINDOW_S = 2.0
COLD_FACTOR = 2.0


@attrs.define
class Run:
    """One request that runs or ran on an upstream.

    :param done: told the result, unless the connection is silent
    """

    mark: str
    done: Callable[[ports.AttemptResult], None]
    began: float
    cancelled: bool = False


@attrs.define
class Upstream:
    """One upstream fake.

    :param state: up, draining or gone
    :param service_s: mean time of a run when warm, seconds
    :param lies: its health and load pages say that all is well
    :param silent_from: VMs whose open connections swallow everything
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
    lies: bool = False
    completed: int = 0
    fell: int = 0
    most_running: int = 0
    running: list[Run] = attrs.field(factory=list)
    starts: list[float] = attrs.field(factory=list)
    silent_from: set[str] = attrs.field(factory=set)
    lose_answers: float = 0.0

    @property
    def cold(self) -> bool:
        """Return whether only a little can be borne yet."""
        return self.completed < COLD_RUNS

    def restart(self, incarnation: int) -> None:
        """Start anew: cold, with everything in hand lost."""
        self.incarnation = incarnation
        self.completed = 0
        self.running = []
        self.starts = []
        self.state = "up"

    def begin(self, run: Run) -> float | None:
        """Take a request; return how long it runs, None when shed."""
        if len(self.running) >= self.slots:
            return None
        self.running.append(run)
        self.most_running = max(self.most_running, len(self.running))
        self._note_cold_load(run.began)
        factor = COLD_FACTOR if self.cold else 1.0
        return self.service_s * factor * self.rng.uniform(0.5, 1.5)

    def _note_cold_load(self, now: float) -> None:
        self.starts = [at for at in self.starts if now - at < COLD_WINDOW_S]
        self.starts.append(now)
        full = self.slots / self.service_s * COLD_WINDOW_S
        if self.cold and len(self.starts) > max(1.0, full / 10):
            self.fell += 1

    def end(self, run: Run) -> bool:
        """End a run; False when it was lost in between."""
        if run not in self.running:
            return False
        self.running.remove(run)
        self.completed += 1
        return True
