"""Bounded store of the key records of one owner."""

from collections.abc import Iterator

import attrs

from ebonytally.requests import key_id
from ebonytally.requests import key_messages as messages

MAX_ANSWERS_BYTES = 32 * 1024 * 1024
_State = messages.KeyState
_ENDED = frozenset({_State.ANSWERED, _State.FAILED, _State.UNKNOWN})


@attrs.define
class Record:
    """State of one key; times are on the clock of `now`.

    :param content: digest of the request's content
    :param claim: name of the claim it describes, "" if claims conflict
    :param vm: entry VM that made the claim
    :param incarnation: incarnation of that VM when it made the claim
    :param minted_at: when the key was created
    :param lost_at: when a running claim counts as lost
    """

    content: bytes
    claim: str
    state: messages.KeyState
    vm: str
    incarnation: int
    minted_at: float
    lost_at: float
    answer: messages.RecordedAnswer = messages.RecordedAnswer()

    @property
    def has_ended(self) -> bool:
        """Return whether the request has run, or may have run, to its end."""
        return self.state in _ENDED


class Records:
    """Records by key in order of insertion; the oldest are evicted first.

    `forgotten_until` is the creation time of the youngest key that was
    evicted for lack of room.

    :param max_keys: maximum number of records
    """

    def __init__(self, max_keys: int) -> None:
        """Set up an empty store."""
        self._max_keys = max_keys
        self._by_key: dict[bytes, Record] = {}
        self._in_bucket: list[dict[bytes, None]]
        self._in_bucket = [{} for _ in range(key_id.BUCKETS)]
        self._body_sizes: dict[bytes, int] = {}
        self._bodies_bytes = 0
        self.forgotten_until = float("-inf")

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._by_key)

    @property
    def bodies_bytes(self) -> int:
        """Return the bytes of all recorded answer bodies."""
        return self._bodies_bytes

    def get(self, key: bytes) -> Record | None:
        """Return the record of a key, None if there is none."""
        return self._by_key.get(key)

    def in_bucket(self, bucket: int) -> Iterator[tuple[bytes, Record]]:
        """Yield the keys of a bucket with their records."""
        for key in self._in_bucket[bucket]:
            yield key, self._by_key[key]

    def put(self, key: bytes, record: Record) -> None:
        """Set the record of a key and evict what exceeds the bounds.

        An eviction advances `forgotten_until`: keys created then or before
        may have been claimed without a record of it here.
        """
        self._uncount_body(key)
        self._by_key[key] = record
        self._in_bucket[key_id.bucket(key)][key] = None
        size = len(record.answer.body)
        if size:
            self._body_sizes[key] = size
            self._bodies_bytes += size
        while len(self._by_key) > self._max_keys:
            self._evict_oldest()
        while self._bodies_bytes > MAX_ANSWERS_BYTES:
            self._drop_oldest_body()

    def expire(self, minted_at: float) -> None:
        """Drop the oldest records while created before `minted_at`."""
        while self._by_key:
            key, record = next(iter(self._by_key.items()))
            if record.minted_at >= minted_at:
                return
            self._remove(key)

    def _evict_oldest(self) -> None:
        key, record = next(iter(self._by_key.items()))
        self._remove(key)
        self.forgotten_until = max(self.forgotten_until, record.minted_at)

    def _remove(self, key: bytes) -> None:
        self._uncount_body(key)
        del self._by_key[key]
        del self._in_bucket[key_id.bucket(key)][key]

    def _drop_oldest_body(self) -> None:
        key = next(iter(self._body_sizes))
        self._uncount_body(key)
        record = self._by_key[key]
        record.answer = messages.RecordedAnswer(status=record.answer.status)

    def _uncount_body(self, key: bytes) -> None:
        self._bodies_bytes -= self._body_sizes.pop(key, 0)


def merge(old: Record, new: Record) -> Record:
    """Return the merge of two records of the same key.

    An ended claim takes precedence over a running one, and that over a
    claim that was not run. Two different running claims conflict: the
    outcome stays unknown from then on.
    """
    if old.claim == new.claim:
        return _merge_same_claim(old, new)
    if _rank(old) != _rank(new):
        return max(old, new, key=_rank)
    if old.state is _State.UNKNOWN:
        return new
    if old.state is not _State.RUNNING:
        return old
    return attrs.evolve(old, claim="", state=_State.UNKNOWN)


def _merge_same_claim(old: Record, new: Record) -> Record:
    if old.state is _State.RUNNING:
        return new
    if old.state is _State.UNKNOWN and new.has_ended:
        return new
    return old


def _rank(record: Record) -> int:
    if record.has_ended:
        return 2
    return int(record.state is _State.RUNNING)
