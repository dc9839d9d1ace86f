"""What a lender knows of one holder's use of one upstream's slots.

The bound never lies below what the holder has under way or may start,
whatever messages are lost, late, repeated or out of order.
"""

import attrs

from ebonytally.upstreams import slot_messages


@attrs.define
class Entry:
    """One holder's loan of one upstream's slots.

    :param count: slots of the newest loan
    :param serial: number of the newest loan
    :param starts: attempts that the newest loan allows to start
    :param using: slots that the holder last said it uses
    :param unseen: newer loans (serial, count) it hasn't confirmed
    """

    count: int = 0
    serial: int = 0
    starts: int = slot_messages.UNLIMITED
    using: int = 0
    unseen: list[tuple[int, int]] = attrs.field(factory=list)

    @property
    def bound(self) -> int:
        """Return the most slots that the holder may have in use."""
        return max(self.using, *(count for _, count in self.unseen), 0)

    @property
    def recalled(self) -> int:
        """Return how many slots are on their way back."""
        return max(0, self.bound - self.count)

    def lend(self, serial: int, count: int, starts: int) -> None:
        """Change the loan; it counts from now on."""
        self.count = count
        self.serial = serial
        self.starts = starts
        self.unseen.append((serial, count))

    def reported(self, use: slot_messages.Use, serial: int) -> None:
        """Take a newer report than the last.

        :param serial: loan that the holder has seen, 0 when it was
            of another lender
        """
        self.unseen = [one for one in self.unseen if one[0] > serial]
        self.using = max(use.count, use.busy)
        if not self.unseen:
            self.count = use.count

    def loan(self, upstream: int) -> slot_messages.Loan:
        """Return the newest loan as a message."""
        return slot_messages.Loan(
            upstream,
            self.serial,
            self.count,
            self.starts,
        )
