"""Fetch of a configuration change in parts, over datagrams that get lost.

Answers large changes on narrow or lossy links: a few parts are in transit
at a time, and only a part that was lost is requested again.
"""

import attrs

from ebonytally import actions
from ebonytally.feed import messages

# Parts requested at a time. With 1,000 bytes each they delay callers'
# packets on a link of 2.5 Mbit/s by some 13 ms.
WINDOW_PARTS = 4
PART_TIMEOUT_S = 0.25
# Without any part for this long the change is fetched anew, possibly from
# another control VM.
GIVE_UP_S = 1.0


@attrs.define
class ChangeFetch:
    """A change that is being received from one control VM.

    :param control_vm: control VM that sends the parts
    :param base: version that the change starts from, 0 for none; the
        control VM may choose 0 if it doesn't know the one asked for
    :param version: version that the change leads to
    :param received_at: time of the last part, or of the first request
    """

    control_vm: str
    base: int
    version: int
    received_at: float
    _part_count: int = 1
    _next_part: int = 0
    _parts: dict[int, bytes] = attrs.field(factory=dict)
    _requested_at: dict[int, float] = attrs.field(factory=dict)

    def is_abandoned(self, now: float) -> bool:
        """Return whether the control VM has stopped sending parts."""
        return now - self.received_at >= GIVE_UP_S

    def is_complete(self) -> bool:
        """Return whether all parts have been received."""
        return len(self._parts) == self._part_count

    def data(self) -> bytes:
        """Return the packed change once it is complete."""
        return b"".join(self._parts[n] for n in range(self._part_count))

    def add(self, msg: messages.Part, now: float) -> None:
        """Add a part, unless it belongs to another change."""
        if msg.version != self.version or not 0 <= msg.part < msg.parts:
            return
        if not self._parts:
            self.base = msg.base
            self._part_count = msg.parts
        if (msg.base, msg.parts) != (self.base, self._part_count):
            return
        self._requested_at.pop(msg.part, None)
        self._parts[msg.part] = msg.data
        self.received_at = now

    def requests(self, now: float) -> list[actions.Action]:
        """Return requests for parts that are due, as many as allowed.

        Before the first part their number and the change's base aren't
        known, so only that one is requested.
        """
        due = [
            part
            for part, requested_at in self._requested_at.items()
            if now - requested_at >= PART_TIMEOUT_S
        ]
        while (
            self._next_part < self._part_count
            and len(self._requested_at) < WINDOW_PARTS
        ):
            due.append(self._next_part)
            self._requested_at[self._next_part] = now
            self._next_part += 1
        for part in due:
            self._requested_at[part] = now
        return [
            actions.Send(
                self.control_vm,
                messages.PartWanted(self.base, self.version, part),
            )
            for part in due
        ]
