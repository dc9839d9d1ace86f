"""A grantor's account of one holder's use of one upstream's slots.

The bound is never below the attempts that the holder has in progress or
may start, even if messages are lost, delayed, duplicated or reordered.
"""

import attrs

from ebonytally.upstreams import slot_messages


@attrs.define
class Entry:
    """One holder's grant of one upstream's slots.

    :param count: slots of the newest grant
    :param serial: number of the newest grant
    :param starts: attempts that the newest grant allows to start
    :param in_use: slots in use according to the holder's last report
    :param unconfirmed: newer grants (serial, count) that no report confirms
    """

    count: int = 0
    serial: int = 0
    starts: int = slot_messages.UNLIMITED
    in_use: int = 0
    unconfirmed: list[tuple[int, int]] = attrs.field(factory=list)

    @property
    def bound(self) -> int:
        """Return an upper bound of the slots that the holder uses."""
        return max(self.in_use, *(count for _, count in self.unconfirmed), 0)

    @property
    def recalled_count(self) -> int:
        """Return how many recalled slots may still be in use."""
        return max(0, self.bound - self.count)

    def grant(self, serial: int, count: int, starts: int) -> None:
        """Replace the grant; the bound covers it until it is confirmed."""
        self.count = count
        self.serial = serial
        self.starts = starts
        self.unconfirmed.append((serial, count))

    def on_report(self, use: slot_messages.SlotUse, serial: int) -> None:
        """Apply a report that is newer than the last one applied.

        :param serial: newest grant that the holder has received, 0 if
            it came from another grantor process
        """
        self.unconfirmed = [
            grant for grant in self.unconfirmed if grant[0] > serial
        ]
        self.in_use = max(use.count, use.busy)
        if not self.unconfirmed:
            self.count = use.count

    def to_message(self, upstream: int) -> slot_messages.SlotGrant:
        """Return the newest grant in the form that is sent."""
        return slot_messages.SlotGrant(
            upstream,
            self.serial,
            self.count,
            self.starts,
        )
