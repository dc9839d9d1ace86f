"""Upstreams that have begun to announce themselves to this control VM.

An upstream whose control VM answers late goes to the next one. Nothing
else has changed, so the other control VMs are told in few bytes and the
entry VMs nothing.
"""

import attrs

# A move is told twice, since datagrams get lost.
TELL_TIMES = 2
# A control VM that is lost is noticed within 2 s, and a move is told within
# 1 s: a control VM lost within this time may not know of the move.
RECENT_S = 4.0


@attrs.define
class _Move:
    """A move to this control VM.

    :param was: control VM that received the announcements before
    :param told: how often the other control VMs were told
    """

    was: str
    at: float
    told: int = 0


class Moves:
    """Recent moves by upstream id."""

    def __init__(self) -> None:
        """Create an empty set of moves."""
        self._moves: dict[str, _Move] = {}

    def __contains__(self, id_: str) -> bool:
        """Return whether an upstream has moved here recently."""
        return id_ in self._moves

    def add(self, id_: str, was: str, now: float) -> None:
        """Add the move of an upstream from the control VM `was`."""
        self._moves[id_] = _Move(was, now)

    def discard(self, id_: str) -> None:
        """Forget a move, as all are told of the upstream or it has left."""
        self._moves.pop(id_, None)

    def from_vm(self, name: str) -> list[str]:
        """Return the ids of upstreams that moved here from a control VM."""
        return [id_ for id_, move in self._moves.items() if move.was == name]

    def to_tell(self, now: float) -> list[str]:
        """Return the ids of the moves to tell now; drop old ones."""
        due = []
        for id_, move in list(self._moves.items()):
            if move.told < TELL_TIMES:
                move.told += 1
                due.append(id_)
            elif now - move.at > RECENT_S:
                del self._moves[id_]
        return due
