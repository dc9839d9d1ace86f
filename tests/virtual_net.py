"""Simulated network in virtual time, for components that send messages."""

import heapq
import itertools
import random

from ebonytally import actions
from ebonytally import settings


def cfg(name: str, **limits: object) -> settings.Settings:
    """Return settings of an entry VM, without seeds.

    :param limits: fields of `settings.Control`
    """
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
    """Delivers messages between components after a random delay.

    :ivar components: component by VM name, with `handle` and `tick`
    :ivar cut_links: (sender, receiver) pairs whose messages are lost
    :ivar delay_s: mean one-way delay
    :ivar loss_share: share of messages that are lost
    :ivar duplicate_share: share of messages that are duplicated
    :ivar sent: number of messages sent, lost ones included
    """

    def __init__(self, seed: int, delay_s: float = 0.002) -> None:
        """Start at time 0 without components."""
        self.now = 0.0
        self.components: dict[str, object] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.delay_s = delay_s
        self.loss_share = 0.0
        self.duplicate_share = 0.0
        self.sent = 0
        self._random = random.Random(seed)
        self._queue: list[tuple] = []
        self._count = itertools.count()

    def send(self, src: str, actions_: list[actions.Action]) -> None:
        """Queue the messages among a component's actions."""
        for action in actions_:
            if not isinstance(action, actions.Send):
                continue
            self.sent += 1
            copies = 1 + (self._random.random() < self.duplicate_share)
            for _ in range(copies):
                self._queue_copy(src, action)

    def _queue_copy(self, src: str, action: actions.Send) -> None:
        if (src, action.peer) in self.cut_links:
            return
        if self._random.random() < self.loss_share:
            return
        at = self.now + self.delay_s * self._random.uniform(0.5, 1.5)
        item = (at, next(self._count), src, action.peer, action.msg)
        heapq.heappush(self._queue, item)

    def isolate(self, names: set[str]) -> None:
        """Partition the named VMs from all others, in both directions."""
        for name in names:
            for other in self.components.keys() - names:
                self.cut_links |= {(name, other), (other, name)}

    def heal(self) -> None:
        """End all partitions."""
        self.cut_links.clear()

    def run(self, seconds: float, step_s: float = 0.05) -> None:
        """Advance the time; each component ticks every `step_s`."""
        end = self.now + seconds
        while self.now < end:
            step_end = self.now + step_s
            while self._queue and self._queue[0][0] <= step_end:
                at, _, src, dst, msg = heapq.heappop(self._queue)
                self.now = max(self.now, at)
                component = self.components.get(dst)
                if component is not None and (src, dst) not in self.cut_links:
                    self.send(dst, component.handle(src, msg, self.now))
            self.now = step_end
            for name, component in list(self.components.items()):
                self.send(name, component.tick(self.now))
