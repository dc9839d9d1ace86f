"""First answers, kept for what operators resend."""

from collections.abc import Iterable

import attrs

from ebonytally.intents import plan_messages as messages

MAX_ANSWERS = 512
MAX_ANSWERS_PER_OPERATOR = 64

Key = tuple[str, str, str]


@attrs.frozen
class KeptAnswer:
    """The first answer to something that an operator asked.

    :param verb: what was asked; each has ids of its own
    :param digest: of its content, to tell a resent one from another
    """

    operator: str
    verb: str
    id: str
    digest: bytes
    answer: messages.Answer

    @property
    def key(self) -> Key:
        """Return what a resent one has in common with the first."""
        return (self.operator, self.verb, self.id)


class PlanAnswers:
    """Kept answers, the oldest of an operator dropped first."""

    def __init__(self, kept: Iterable[KeptAnswer]) -> None:
        """Start with these."""
        self._answers = {one.key: one for one in kept}

    def save(self) -> tuple[KeptAnswer, ...]:
        """Return all of them, oldest first."""
        return tuple(self._answers.values())

    def find(self, key: Key) -> KeptAnswer | None:
        """Return the answer of that key, None if there is none."""
        return self._answers.get(key)

    def keep(self, kept: KeptAnswer) -> None:
        """Keep one more."""
        self._answers[kept.key] = kept
        mine = [key for key in self._answers if key[0] == kept.operator]
        for key in mine[:-MAX_ANSWERS_PER_OPERATOR]:
            del self._answers[key]
        while len(self._answers) > MAX_ANSWERS:
            del self._answers[next(iter(self._answers))]
