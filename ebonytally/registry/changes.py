"""Order of a registry's changes, for the many that ask what is new."""

import bisect
from collections.abc import Iterator

# Superseded changes kept, on top of one for each upstream.
MAX_SUPERSEDED = 1000


class Changes:
    """Ids of the changed upstreams by revision.

    A change is found in logarithmic time, so that an entry VM that gets a
    large registry in parts costs little for each part.
    """

    def __init__(self) -> None:
        """Create an empty list of changes."""
        self._revisions: list[int] = []
        self._ids: list[str] = []

    def add(self, revision: int, id_: str) -> None:
        """Add a change; its revision is higher than all before."""
        self._revisions.append(revision)
        self._ids.append(id_)

    def since(self, revision: int) -> Iterator[tuple[int, str]]:
        """Return the changes after a revision, also superseded ones."""
        first = bisect.bisect_right(self._revisions, revision)
        for index in range(first, len(self._revisions)):
            yield self._revisions[index], self._ids[index]

    def is_long(self, upstreams: int) -> bool:
        """Return whether there are many superseded changes."""
        return len(self._ids) > 2 * upstreams + MAX_SUPERSEDED

    def compact(self, latest: dict[str, int]) -> None:
        """Remove superseded changes.

        :param latest: revision of the last change of each upstream
        """
        kept = [
            (revision, id_)
            for revision, id_ in self.since(0)
            if latest.get(id_) == revision
        ]
        self._revisions = [revision for revision, _ in kept]
        self._ids = [id_ for _, id_ in kept]
