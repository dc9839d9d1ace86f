"""Classes of openings, from the first to the last to be refused.

Load condition: demand above capacity, in which the most important requests
must be served. A lower priority is refused before a higher one, and within
a priority idempotent requests before others.
"""

import enum

from ebonytally.load import interfaces

# Classes not seen for so long no longer count: a reserve for them would
# only lie idle.
FORGET_AFTER_S = 600.0
FORGET_INTERVAL_S = 60.0
# Configurations have a few priorities; more are compared with these.
MAX_CLASSES = 16


class Level(enum.IntEnum):
    """Rank of a class among those that callers use.

    :cvar LOWEST: refused first; has no reserved room
    :cvar HIGHEST: refused last; also the level of a single class
    """

    LOWEST = 0
    MIDDLE = 1
    HIGHEST = 2


class Classes:
    """The classes that openings belong to, learned from openings."""

    def __init__(self) -> None:
        """Create an empty set of classes."""
        self._seen_at: dict[tuple[int, bool], float] = {}
        self._levels: dict[tuple[int, bool], Level] = {}
        self._forgot_at = 0.0

    def add(self, opening: interfaces.Opening, now: float) -> None:
        """Remember the class of an opening."""
        class_ = _class_of(opening)
        is_new = class_ not in self._seen_at
        self._seen_at[class_] = now
        if is_new or now - self._forgot_at >= FORGET_INTERVAL_S:
            self._forgot_at = now
            self._forget(now)
            self._levels = {
                known: self._level_of(known) for known in self._seen_at
            }

    def level(self, opening: interfaces.Opening) -> Level:
        """Return the level of an opening's class."""
        class_ = _class_of(opening)
        level = self._levels.get(class_)
        return self._level_of(class_) if level is None else level

    def _level_of(self, class_: tuple[int, bool]) -> Level:
        if not any(other < class_ for other in self._seen_at):
            return Level.HIGHEST
        if any(other > class_ for other in self._seen_at):
            return Level.MIDDLE
        return Level.LOWEST

    def _forget(self, now: float) -> None:
        for class_, seen_at in list(self._seen_at.items()):
            if now - seen_at > FORGET_AFTER_S:
                del self._seen_at[class_]
        if len(self._seen_at) > MAX_CLASSES:
            oldest = min(self._seen_at, key=self._seen_at.__getitem__)
            del self._seen_at[oldest]


def _class_of(opening: interfaces.Opening) -> tuple[int, bool]:
    """Return a class; the greater of two is refused first."""
    return opening.priority, opening.idempotent
