"""Which upstreams this entry VM leaves alone for a while.

Own outcomes come first; a health page counts only while there are none.
The view of one entry VM is its own: it asks for no slots of an upstream
that it ejected, others go on. Ejection never covers more than a set
share of a service.
"""

import attrs

from ebonytally import settings

FAILS_IN_A_ROW = 3
FAIL_SHARE = 0.5
FEWEST_OUTCOMES = 10
OWN_OUTCOME_S = 5.0
BAD_PAGES_IN_A_ROW = 3
SLOW_FACTOR = 3.0
SLOW_FLOOR_S = 0.02
MEAN_WEIGHT = 0.2
FEWEST_PEERS = 2


@attrs.define
class Record:
    """What this entry VM saw of one upstream.

    :param fails_in_a_row: outcomes of its own that were bad, at the end
    :param bad: share of bad outcomes, a moving mean
    :param seen: outcomes in that mean
    :param last: time of the last outcome of its own
    :param ejected_until: it is left alone until then
    :param took_s: usual time of an answer, 0 when unknown
    :param bad_pages: health pages in a row that were bad
    """

    fails_in_a_row: int = 0
    bad: float = 0.0
    seen: int = 0
    last: float = float("-inf")
    ejected_until: float = float("-inf")
    took_s: float = 0.0
    bad_pages: int = 0


class Health:
    """Own outcomes with upstreams, by upstream id."""

    def __init__(self, cfg: settings.Upstreams) -> None:
        """Know nothing yet."""
        self._cfg = cfg
        self._records: dict[int, Record] = {}

    def keep(self, upstreams: frozenset[int]) -> None:
        """Forget all upstreams but these."""
        self._records = {
            upstream: record
            for upstream, record in self._records.items()
            if upstream in upstreams
        }

    def took_s(self, upstream: int) -> float:
        """Return the usual time of an answer, 0 when unknown."""
        record = self._records.get(upstream)
        return record.took_s if record else 0.0

    def ejected(self, upstream: int, now: float) -> bool:
        """Whether the upstream is left alone at `now`."""
        record = self._records.get(upstream)
        return record is not None and now < record.ejected_until

    def outcome(
        self,
        upstream: int,
        ok: bool,
        peers: frozenset[int],
        now: float,
    ) -> bool:
        """Note an outcome; True when it ejects the upstream.

        :param peers: all upstreams of the service, this one included
        """
        record = self._records.setdefault(upstream, Record())
        record.last = now
        record.bad_pages = 0
        record.seen = min(record.seen + 1, 1000)
        weight = max(1 / record.seen, 1 / FEWEST_OUTCOMES)
        record.bad += weight * ((not ok) - record.bad)
        if ok:
            record.fails_in_a_row = 0
        else:
            record.fails_in_a_row += 1
        often = record.seen >= FEWEST_OUTCOMES and record.bad >= FAIL_SHARE
        if ok or not (record.fails_in_a_row >= FAILS_IN_A_ROW or often):
            return False
        return self._eject(record, peers, now)

    def page(
        self,
        upstream: int,
        ok: bool,
        peers: frozenset[int],
        now: float,
    ) -> bool:
        """Note a health page; True when it ejects the upstream."""
        record = self._records.setdefault(upstream, Record())
        if ok or now - record.last < OWN_OUTCOME_S:
            record.bad_pages = 0
            return False
        record.bad_pages += 1
        if record.bad_pages < BAD_PAGES_IN_A_ROW:
            return False
        return self._eject(record, peers, now)

    def answered(
        self,
        upstream: int,
        took_s: float,
        peers: frozenset[int],
    ) -> bool:
        """Note the time of an answer; True when it was far too slow."""
        record = self._records.setdefault(upstream, Record())
        usual = self._usual(upstream, peers)
        if not record.took_s:
            record.took_s = took_s
        record.took_s += MEAN_WEIGHT * (took_s - record.took_s)
        limit_s = max(SLOW_FLOOR_S, SLOW_FACTOR * usual)
        return usual > 0 and took_s > limit_s

    def _usual(self, upstream: int, peers: frozenset[int]) -> float:
        """Return the median of the service's others, 0 when unknown."""
        times = sorted(
            record.took_s
            for other, record in self._records.items()
            if other in peers and other != upstream and record.took_s > 0
        )
        if len(times) < FEWEST_PEERS:
            return 0.0
        return times[len(times) // 2]

    def _eject(
        self,
        record: Record,
        peers: frozenset[int],
        now: float,
    ) -> bool:
        if now < record.ejected_until:
            return False
        ejected = sum(self.ejected(peer, now) for peer in peers)
        if ejected + 1 > int(len(peers) * self._cfg.eject_share):
            return False
        record.ejected_until = now + self._cfg.eject_s
        record.fails_in_a_row = 0
        record.bad = 0.0
        record.seen = 0
        return True
