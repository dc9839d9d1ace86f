"""The records of keys that one keeper holds, within bounds."""

from collections.abc import Iterator

import attrs

from ebonytally.requests import key_id
from ebonytally.requests import key_messages as messages

MAX_ANSWERS_BYTES = 32 * 1024 * 1024
_State = messages.KeyState
_ENDED = frozenset({_State.ANSWERED, _State.FAILED, _State.UNKNOWN})


@attrs.define
class Record:
    """What is known of one key; times are on the clock of `now`.

    :param claim: claim that it is about, "" when claims contradict
    :param minted: when the key was minted
    :param ends: when a running claim counts as lost
    """

    content: bytes
    claim: str
    state: messages.KeyState
    vm: str
    incarnation: int
    minted: float
    ends: float
    answer: messages.KeptAnswer = messages.KeptAnswer()

    @property
    def ended(self) -> bool:
        """Tell whether the request ran, or may have run, to its end."""
        return self.state in _ENDED


class Records:
    """Records by key, the oldest dropped first when there are too many.

    :param max_keys: records to hold at most
    """

    def __init__(self, max_keys: int) -> None:
        """Start empty."""
        self._max_keys = max_keys
        self._by_key: dict[bytes, Record] = {}
        self._in_bucket: list[dict[bytes, None]]
        self._in_bucket = [{} for _ in range(key_id.BUCKETS)]
        self._with_body: dict[bytes, int] = {}
        self._bodies_bytes = 0
        self.dropped_minted = float("-inf")

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._by_key)

    @property
    def bodies_bytes(self) -> int:
        """Return the bytes of all answers held."""
        return self._bodies_bytes

    def get(self, key: bytes) -> Record | None:
        """Return the record of a key, None when there is none."""
        return self._by_key.get(key)

    def in_bucket(self, bucket: int) -> Iterator[tuple[bytes, Record]]:
        """Return the keys of a bucket with their records."""
        for key in self._in_bucket[bucket]:
            yield key, self._by_key[key]

    def put(self, key: bytes, record: Record) -> None:
        """Set the record of a key.

        Dropping an old one for it moves `dropped_minted` up: nothing is
        known any more of keys that were minted then or before.
        """
        self._forget_body(key)
        self._by_key[key] = record
        self._in_bucket[key_id.bucket(key)][key] = None
        size = len(record.answer.body)
        if size:
            self._with_body[key] = size
            self._bodies_bytes += size
        while len(self._by_key) > self._max_keys:
            self._drop_oldest()
        while self._bodies_bytes > MAX_ANSWERS_BYTES:
            self._strip_oldest()

    def expire(self, minted: float) -> None:
        """Drop the oldest records, as far as minted before `minted`."""
        while self._by_key:
            key, record = next(iter(self._by_key.items()))
            if record.minted >= minted:
                return
            self._remove(key)

    def _drop_oldest(self) -> None:
        key, record = next(iter(self._by_key.items()))
        self._remove(key)
        self.dropped_minted = max(self.dropped_minted, record.minted)

    def _remove(self, key: bytes) -> None:
        self._forget_body(key)
        del self._by_key[key]
        del self._in_bucket[key_id.bucket(key)][key]

    def _strip_oldest(self) -> None:
        key = next(iter(self._with_body))
        self._forget_body(key)
        record = self._by_key[key]
        record.answer = messages.KeptAnswer(status=record.answer.status)

    def _forget_body(self, key: bytes) -> None:
        self._bodies_bytes -= self._with_body.pop(key, 0)


def merged(old: Record, new: Record) -> Record:
    """Return what two records of the same key say together.

    The end of a claim outranks its running, a run outranks a claim that
    wasn't run, and two claims under way contradict each other: then the
    outcome counts as unknown for good.
    """
    if old.claim == new.claim:
        return _later(old, new)
    if _rank(old) != _rank(new):
        return max(old, new, key=_rank)
    if old.state is _State.UNKNOWN:
        return new
    if old.state is not _State.RUNNING:
        return old
    return attrs.evolve(old, claim="", state=_State.UNKNOWN)


def _later(old: Record, new: Record) -> Record:
    if old.state is _State.RUNNING:
        return new
    if old.state is _State.UNKNOWN and new.ended:
        return new
    return old


def _rank(record: Record) -> int:
    if record.ended:
        return 2
    return int(record.state is _State.RUNNING)
