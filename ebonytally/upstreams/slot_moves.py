"""Who gets a free slot, and from whom a slot is recalled."""

import attrs

ACTIVE_NEED = 0.1


@attrs.define
class Pressed:
    """How pressed a holder is for slots of one service.

    :param waiting: requests that wait, less the slots lent since
    :param busy: attempts under way
    :param held: slots held over all lenders, with those lent since
    """

    waiting: int
    busy: int
    held: int

    def gets(self) -> None:
        """Count a slot that was lent to it."""
        self.waiting -= 1
        self.held += 1

    def gives(self) -> None:
        """Count a slot that was recalled from it."""
        self.held = max(0, self.held - 1)

    def with_one_more(self) -> float:
        """Return requests for each slot when it gets one more."""
        return (max(self.waiting, ACTIVE_NEED) + self.busy) / (self.held + 1)

    def with_one_less(self) -> float:
        """Return requests for each slot when it gives one away."""
        if self.busy < self.held and self.waiting <= 0:
            return 0.0
        return (self.waiting + self.busy) / max(self.held - 1, 0.5)


Holders = dict[str, Pressed]


@attrs.frozen
class Move:
    """A slot to recall from one holder for another."""

    giver: str
    taker: str


def neediest(able: Holders, limited: bool) -> str:
    """Return the holder that a free slot goes to, "" for none.

    :param able: holders that a slot may be lent to
    :param limited: the upstream is cold: starts go to any active holder
    """
    needs = {
        name: pressed.with_one_more()
        for name, pressed in sorted(able.items())
        if limited or pressed.waiting > 0 or pressed.held <= 0
    }
    return max(needs, key=needs.__getitem__, default="")


def best(
    able: Holders,
    holders: Holders,
    lent: frozenset[str],
) -> Move | None:
    """Return the move that helps most, None when none does.

    After the move the giver must be less pressed than the taker was
    going to be, so that no move is undone by the next.

    :param able: holders that a slot may be lent to
    :param lent: holders that have a slot of the upstream
    """
    gains = {
        name: pressed.with_one_more()
        for name, pressed in sorted(able.items())
        if pressed.waiting > 0
    }
    if not gains:
        return None
    taker = max(gains, key=gains.__getitem__)
    losses = {
        name: holders[name].with_one_less() if name in holders else 0.0
        for name in sorted(lent - {taker})
    }
    if not losses:
        return None
    giver = min(losses, key=losses.__getitem__)
    if losses[giver] >= gains[taker]:
        return None
    return Move(giver, taker)
