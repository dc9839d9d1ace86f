"""Requests that wait for a slot: short, in order, aware of deadlines."""

import collections

import attrs

from ebonytally.requests import request_head

LATEST = 32
AVERAGE_OVER = 16.0
HALF_LIFE_S = 5.0
MAX_GAP_S = 1.0
MAX_WAIT_SHARE = 0.5


@attrs.define
class ServiceTimes:
    """How long a service takes, from its latest answers."""

    _mean_s: float = 0.0
    _gap_s: float = 0.0
    _last: float = 0.0
    _latest: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=LATEST),
    )

    @property
    def longest_s(self) -> float:
        """Return the longest of the latest attempts."""
        return max(self._latest, default=0.0)

    def usual_s(self, now: float) -> float:
        """Return how long an attempt usually takes, 0 while unknown.

        What isn't confirmed by new answers counts less and less, so that
        a slow spell can't keep requests out for good.
        """
        return self._mean_s * 0.5 ** ((now - self._last) / HALF_LIFE_S)

    def wait_s(self, waiting: int, now: float) -> float:
        """Return how long a request waits behind `waiting` others."""
        gap_s = self._gap_s * 0.5 ** ((now - self._last) / HALF_LIFE_S)
        return waiting * gap_s

    def finished(self, took_s: float, now: float) -> None:
        """Take in an attempt that ended with an answer."""
        gap_s = min(now - self._last, MAX_GAP_S)
        if self._latest:
            self._gap_s = _average(self._gap_s, gap_s)
        self._mean_s = _average(self._mean_s, took_s)
        self._latest.append(took_s)
        self._last = now


def _average(old: float, new: float) -> float:
    return new if old == 0.0 else old + (new - old) / AVERAGE_OVER


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

    def can_end(self, head: request_head.RequestHead, now: float) -> bool:
        """Tell whether a request that joins now can end in time.

        It may spend a part of its time waiting, so that the estimate may
        be wrong by as much again.
        """
        left_s = head.deadline - now
        wait_s = self.times.wait_s(len(self._heads), now)
        if wait_s > MAX_WAIT_SHARE * left_s:
            return False
        return wait_s + self.times.usual_s(now) <= left_s

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
        usual_s = self.times.usual_s(now)
        late = [head for head in self._heads if now + usual_s > head.deadline]
        for head in late:
            self._heads.remove(head)
        return late
