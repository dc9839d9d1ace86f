"""Requests that wait for a slot: short, in order, aware of deadlines."""

import collections

import attrs

from ebonytally import request_head

LATEST = 32


@attrs.define
class ServiceTimes:
    """How long a service takes, from its latest answers.

    :param mean_s: moving average of an attempt, 0 while unknown
    :param gap_s: moving average between two ends of attempts
    """

    mean_s: float = 0.0
    gap_s: float = 0.0
    _last: float = -1.0
    _latest: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=LATEST),
    )

    @property
    def longest_s(self) -> float:
        """Return the longest of the latest attempts."""
        return max(self._latest, default=0.0)

    def finished(self, took_s: float, now: float) -> None:
        """Take in an attempt that ended with an answer."""
        self._latest.append(took_s)
        self.mean_s = _average(self.mean_s, took_s)
        if self._last >= 0.0:
            self.gap_s = _average(self.gap_s, min(now - self._last, 1.0))
        self._last = now


def _average(old: float, new: float) -> float:
    return new if old == 0.0 else old + (new - old) / 8.0


class Queue:
    """Waiting requests of one service."""

    def __init__(self) -> None:
        """Start empty."""
        self._heads: collections.deque[request_head.RequestHead]
        self._heads = collections.deque()
        self.times = ServiceTimes()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._heads)

    def expected_s(self) -> float:
        """Return seconds until the end of a request that joins now."""
        waiting_s = len(self._heads) * self.times.gap_s
        return waiting_s + self.times.mean_s

    def can_end(self, head: request_head.RequestHead, now: float) -> bool:
        """Tell whether a request that joins now can end in time."""
        return now + self.expected_s() <= head.deadline

    def push(self, head: request_head.RequestHead, first: bool) -> None:
        """Add a request at the end, or at the front."""
        if first:
            self._heads.appendleft(head)
        else:
            self._heads.append(head)

    def waiting(self) -> list[request_head.RequestHead]:
        """Return the waiting requests, the next one first."""
        return list(self._heads)

    def remove(self, req: int) -> None:
        """Take out a request, wherever it waits."""
        self._heads = collections.deque(
            head for head in self._heads if head.req != req
        )

    def expired(self, now: float) -> list[request_head.RequestHead]:
        """Take out all requests that can't end in time any more."""
        late = [
            head
            for head in self._heads
            if now + self.times.mean_s > head.deadline
        ]
        for head in late:
            self._heads.remove(head)
        return late
