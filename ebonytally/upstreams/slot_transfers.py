"""Choice of the holder that gets a free slot or gives one up."""

import attrs

# An active holder without waiting requests counts as having this many.
ACTIVE_WAITING = 0.1


@attrs.define
class HolderLoad:
    """A holder's load: its demand and its slots of one service.

    :param waiting: waiting requests, less the slots granted since
    :param busy: attempts in progress
    :param held: slots held over all grantors, and those granted since
    """

    waiting: int
    busy: int
    held: int

    def on_slot_gained(self) -> None:
        """Account for a slot granted to the holder."""
        self.waiting -= 1
        self.held += 1

    def on_slot_lost(self) -> None:
        """Account for a slot recalled from the holder."""
        self.held = max(0, self.held - 1)

    def load_with_one_more(self) -> float:
        """Return requests per slot with one more slot."""
        return (max(self.waiting, ACTIVE_WAITING) + self.busy) / (
            self.held + 1
        )

    def load_with_one_less(self) -> float:
        """Return requests per slot with one slot less."""
        if self.busy < self.held and self.waiting <= 0:
            return 0.0
        return (self.waiting + self.busy) / max(self.held - 1, 0.5)


HolderLoads = dict[str, HolderLoad]


@attrs.frozen
class Transfer:
    """A slot to recall from one holder in favour of another."""

    donor: str
    recipient: str


def most_loaded(eligible: HolderLoads, limited: bool) -> str:
    """Return the holder with the highest load, "" for none.

    :param eligible: holders that a slot may be granted to
    :param limited: the upstream is cold: any active holder may get a start
    """
    loads = {
        name: load.load_with_one_more()
        for name, load in sorted(eligible.items())
        if limited or load.waiting > 0 or load.held <= 0
    }
    return max(loads, key=loads.__getitem__, default="")


def best_transfer(
    eligible: HolderLoads,
    holders: HolderLoads,
    donors: frozenset[str],
) -> Transfer | None:
    """Return the most useful transfer, None if there is none.

    The donor's load after the transfer must be below the recipient's, so
    that the next transfer doesn't undo it.

    :param eligible: holders that a slot may be granted to
    :param holders: loads of all holders of the service
    :param donors: holders that have a slot of the upstream
    """
    gains = {
        name: load.load_with_one_more()
        for name, load in sorted(eligible.items())
        if load.waiting > 0
    }
    if not gains:
        return None
    recipient = max(gains, key=gains.__getitem__)
    losses = {
        name: holders[name].load_with_one_less() if name in holders else 0.0
        for name in sorted(donors - {recipient})
    }
    if not losses:
        return None
    donor = min(losses, key=losses.__getitem__)
    if losses[donor] >= gains[recipient]:
        return None
    return Transfer(donor, recipient)
