"""Queue of requests that wait for a slot, with response time estimates."""

import collections

import attrs

from ebonytally.requests import request_head

SAMPLE_COUNT = 32
EWMA_SAMPLES = 16.0
HALF_LIFE_S = 5.0
MAX_INTERVAL_S = 1.0
MAX_WAIT_SHARE = 0.5


@attrs.define
class ServiceTimes:
    """Estimates of a service's response time from its recent answers.

    Response time and interval between answers are moving averages
    (EWMA). Both decay with `HALF_LIFE_S` while no answer arrives.
    """

    _mean_s: float = 0.0
    _mean_interval_s: float = 0.0
    _last_answer_at: float = 0.0
    _samples_s: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=SAMPLE_COUNT),
    )

    @property
    def max_s(self) -> float:
        """Return the longest of the last `SAMPLE_COUNT` response times."""
        return max(self._samples_s, default=0.0)

    def expected_s(self, now: float) -> float:
        """Return the expected response time, 0 before the first answer.

        It decays without new answers: otherwise a slow period would cause
        all requests to be refused, and no answer could ever correct it.
        """
        return self._mean_s * 0.5 ** (
            (now - self._last_answer_at) / HALF_LIFE_S
        )

    def expected_wait_s(self, waiting: int, now: float) -> float:
        """Return the expected wait behind `waiting` queued requests."""
        interval_s = self._mean_interval_s * 0.5 ** (
            (now - self._last_answer_at) / HALF_LIFE_S
        )
        return waiting * interval_s

    def on_answer(self, took_s: float, now: float) -> None:
        """Update the estimates with an answered attempt."""
        interval_s = min(now - self._last_answer_at, MAX_INTERVAL_S)
        if self._samples_s:
            self._mean_interval_s = _average(self._mean_interval_s, interval_s)
        self._mean_s = _average(self._mean_s, took_s)
        self._samples_s.append(took_s)
        self._last_answer_at = now


def _average(old: float, new: float) -> float:
    return new if old == 0.0 else old + (new - old) / EWMA_SAMPLES


class Queue:
    """Requests of one service that wait for a slot."""

    def __init__(self) -> None:
        """Set up an empty queue."""
        self._heads: collections.deque[request_head.RequestHead]
        self._heads = collections.deque()
        self.times = ServiceTimes()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._heads)

    def can_finish(self, head: request_head.RequestHead, now: float) -> bool:
        """Return whether a request queued now is expected to finish in time.

        Only `MAX_WAIT_SHARE` of its remaining time may be spent waiting,
        which leaves a margin of the same size for a wrong estimate.
        """
        left_s = head.deadline - now
        wait_s = self.times.expected_wait_s(len(self._heads), now)
        if wait_s > MAX_WAIT_SHARE * left_s:
            return False
        return wait_s + self.times.expected_s(now) <= left_s

    def push(self, head: request_head.RequestHead, at_front: bool) -> None:
        """Add a request at the end, or at the front (for a retry)."""
        if at_front:
            self._heads.appendleft(head)
        else:
            self._heads.append(head)

    def waiting(self) -> list[request_head.RequestHead]:
        """Return the waiting requests in the order of dispatch."""
        return list(self._heads)

    def remove(self, req: int) -> None:
        """Remove a request from any position, if it is there."""
        self._heads = collections.deque(
            head for head in self._heads if head.req != req
        )

    def pop_expired(self, now: float) -> list[request_head.RequestHead]:
        """Remove and return requests that can't finish in time any more."""
        expected_s = self.times.expected_s(now)
        late = [
            head for head in self._heads if now + expected_s > head.deadline
        ]
        for head in late:
            self._heads.remove(head)
        return late
