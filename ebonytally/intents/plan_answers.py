"""Recorded answers, returned again when an operator resends a request."""

from collections.abc import Iterable

import attrs

from ebonytally.intents import plan_messages as messages

MAX_ANSWERS = 512
MAX_ANSWERS_PER_OPERATOR = 64

AnswerKey = tuple[str, str, str]


@attrs.frozen
class CachedAnswer:
    """The answer to the first request with an operator's id.

    :param verb: kind of request; ids are unique within each kind only
    :param digest: hash of the request's content, to tell a resent
        request from another one with the same id
    """

    operator: str
    verb: str
    id: str
    digest: bytes
    answer: messages.Answer

    @property
    def key(self) -> AnswerKey:
        """Return the idempotency key that resent requests share."""
        return (self.operator, self.verb, self.id)


class AnswerCache:
    """Recorded answers, bounded per operator and in total (FIFO)."""

    def __init__(self, answers: Iterable[CachedAnswer]) -> None:
        """Create the cache with these answers, oldest first."""
        self._answers = {cached.key: cached for cached in answers}

    def save(self) -> tuple[CachedAnswer, ...]:
        """Return all answers for a snapshot, oldest first."""
        return tuple(self._answers.values())

    def find(self, key: AnswerKey) -> CachedAnswer | None:
        """Return the answer recorded for a key, None if there is none."""
        return self._answers.get(key)

    def add(self, cached: CachedAnswer) -> None:
        """Record an answer, and evict the oldest ones above the limits."""
        self._answers[cached.key] = cached
        operator_keys = [
            key for key in self._answers if key[0] == cached.operator
        ]
        for key in operator_keys[:-MAX_ANSWERS_PER_OPERATOR]:
            del self._answers[key]
        while len(self._answers) > MAX_ANSWERS:
            del self._answers[next(iter(self._answers))]
