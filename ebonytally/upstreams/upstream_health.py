"""Outlier ejection: upstreams that this entry VM avoids for a while.

Outcomes of own requests take precedence; health pages count only while
there are no recent outcomes. Each entry VM ejects for itself: it asks for
no slots of an upstream that it has ejected, other entry VMs continue. At
most the share `eject_share` of a service is ejected at once.
"""

import attrs

from ebonytally import settings

CONSECUTIVE_FAILURES = 3
EJECT_FAILURE_RATE = 0.5
MIN_OUTCOMES = 10
OUTCOME_VALID_S = 5.0
CONSECUTIVE_BAD_PAGES = 3
SLOW_FACTOR = 3.0
MIN_SLOW_ANSWER_S = 0.02
ANSWER_TIME_WEIGHT = 0.2
MIN_PEERS = 2


@attrs.define
class Record:
    """Health of one upstream, as observed by this entry VM.

    :param consecutive_failures: failed requests since the last success
    :param failure_rate: moving mean of the share of failed requests
    :param outcomes: number of outcomes in that mean
    :param last_outcome_at: time of the last outcome
    :param ejected_until: end of the current or last ejection
    :param mean_answer_s: moving mean of the answer time, 0 if unknown
    :param consecutive_bad_pages: bad health pages since the last good one
    """

    consecutive_failures: int = 0
    failure_rate: float = 0.0
    outcomes: int = 0
    last_outcome_at: float = float("-inf")
    ejected_until: float = float("-inf")
    mean_answer_s: float = 0.0
    consecutive_bad_pages: int = 0


class Health:
    """Health records and ejections of all upstreams, by upstream id."""

    def __init__(self, cfg: settings.Upstreams) -> None:
        """Set up without records."""
        self._cfg = cfg
        self._records: dict[int, Record] = {}

    def retain(self, upstreams: frozenset[int]) -> None:
        """Drop the records of all other upstreams."""
        self._records = {
            upstream: record
            for upstream, record in self._records.items()
            if upstream in upstreams
        }

    def mean_answer_s(self, upstream: int) -> float:
        """Return the mean answer time in seconds, 0 if unknown."""
        record = self._records.get(upstream)
        return record.mean_answer_s if record else 0.0

    def is_ejected(self, upstream: int, now: float) -> bool:
        """Return whether the upstream is ejected at `now`."""
        record = self._records.get(upstream)
        return record is not None and now < record.ejected_until

    def on_outcome(
        self,
        upstream: int,
        is_ok: bool,
        peers: frozenset[int],
        now: float,
    ) -> bool:
        """Record a request's outcome; return True if it caused ejection.

        :param peers: all upstreams of the service, this one included
        """
        record = self._records.setdefault(upstream, Record())
        record.last_outcome_at = now
        record.consecutive_bad_pages = 0
        record.outcomes = min(record.outcomes + 1, 1000)
        weight = max(1 / record.outcomes, 1 / MIN_OUTCOMES)
        record.failure_rate += weight * ((not is_ok) - record.failure_rate)
        if is_ok:
            record.consecutive_failures = 0
        else:
            record.consecutive_failures += 1
        fails_often = (
            record.outcomes >= MIN_OUTCOMES
            and record.failure_rate >= EJECT_FAILURE_RATE
        )
        if is_ok or not (
            record.consecutive_failures >= CONSECUTIVE_FAILURES or fails_often
        ):
            return False
        return self._try_eject(record, peers, now)

    def on_health_page(
        self,
        upstream: int,
        is_ok: bool,
        peers: frozenset[int],
        now: float,
    ) -> bool:
        """Record a health page; return True if it caused ejection."""
        record = self._records.setdefault(upstream, Record())
        if is_ok or now - record.last_outcome_at < OUTCOME_VALID_S:
            record.consecutive_bad_pages = 0
            return False
        record.consecutive_bad_pages += 1
        if record.consecutive_bad_pages < CONSECUTIVE_BAD_PAGES:
            return False
        return self._try_eject(record, peers, now)

    def on_answer(
        self,
        upstream: int,
        took_s: float,
        peers: frozenset[int],
    ) -> bool:
        """Record an answer time; return True if far above its peers'."""
        record = self._records.setdefault(upstream, Record())
        median_s = self._peer_median_s(upstream, peers)
        if not record.mean_answer_s:
            record.mean_answer_s = took_s
        record.mean_answer_s += ANSWER_TIME_WEIGHT * (
            took_s - record.mean_answer_s
        )
        limit_s = max(MIN_SLOW_ANSWER_S, SLOW_FACTOR * median_s)
        return median_s > 0 and took_s > limit_s

    def _peer_median_s(self, upstream: int, peers: frozenset[int]) -> float:
        """Return the median answer time of its peers, 0 if unknown."""
        times = sorted(
            record.mean_answer_s
            for other, record in self._records.items()
            if other in peers
            and other != upstream
            and record.mean_answer_s > 0
        )
        if len(times) < MIN_PEERS:
            return 0.0
        return times[len(times) // 2]

    def _try_eject(
        self,
        record: Record,
        peers: frozenset[int],
        now: float,
    ) -> bool:
        if now < record.ejected_until:
            return False
        ejected_count = sum(self.is_ejected(peer, now) for peer in peers)
        if ejected_count + 1 > int(len(peers) * self._cfg.eject_share):
            return False
        record.ejected_until = now + self._cfg.eject_s
        record.consecutive_failures = 0
        record.failure_rate = 0.0
        record.outcomes = 0
        return True
