"""A message queue under virtual time, for slices that talk."""

import heapq
import itertools
import random

from ebonytally import actions
from ebonytally import settings


def cfg(name: str, **limits: object) -> settings.Settings:
    """Return settings of an entry VM, without seeds."""
    return settings.Settings(
        name=name,
        address="127.0.0.1",
        data_centre="dc",
        region="west",
        cluster_key="ab" * 32,
        data_folder="",
        seeds=(),
        limits=settings.Control(**limits),
    )


class Net:
    """Delivers messages between slices after a random delay."""

    def __init__(self, seed: int, delay_s: float = 0.002) -> None:
        """Start at time 0 with no slice."""
        self.now = 0.0
        self.parts: dict[str, object] = {}
        self.cut: set[tuple[str, str]] = set()
        self.delay_s = delay_s
        self.drop = 0.0
        self.twice = 0.0
        self.sent = 0
        self._random = random.Random(seed)
        self._queue: list[tuple] = []
        self._count = itertools.count()

    def send(self, src: str, out: list[actions.Action]) -> None:
        """Queue what a slice wants to send."""
        for action in out:
            if not isinstance(action, actions.Send):
                continue
            self.sent += 1
            copies = 1 + (self._random.random() < self.twice)
            for _ in range(copies):
                self._queue_one(src, action)

    def _queue_one(self, src: str, action: actions.Send) -> None:
        if (src, action.peer) in self.cut:
            return
        if self._random.random() < self.drop:
            return
        at = self.now + self.delay_s * self._random.uniform(0.5, 1.5)
        item = (at, next(self._count), src, action.peer, action.msg)
        heapq.heappush(self._queue, item)

    def isolate(self, names: set[str]) -> None:
        """Cut the named slices off from all others, both ways."""
        for one in names:
            for other in self.parts.keys() - names:
                self.cut |= {(one, other), (other, one)}

    def heal(self) -> None:
        """Let every message through again."""
        self.cut.clear()

    def run(self, seconds: float, step_s: float = 0.05) -> None:
        """Let time pass; each slice ticks every `step_s`."""
        end = self.now + seconds
        while self.now < end:
            due = self.now + step_s
            while self._queue and self._queue[0][0] <= due:
                at, _, src, dst, msg = heapq.heappop(self._queue)
                self.now = max(self.now, at)
                part = self.parts.get(dst)
                if part is not None and (src, dst) not in self.cut:
                    self.send(dst, part.handle(src, msg, self.now))
            self.now = due
            for name, part in list(self.parts.items()):
                self.send(name, part.tick(self.now))
