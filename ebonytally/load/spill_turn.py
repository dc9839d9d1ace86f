"""Whether load leaves, as an operator is told.

Handles the load condition that demand stays near the threshold of spill,
where shares begin and end with each change of the figures.
"""

import attrs

# Load begins to leave, or no longer does, at these shares of all flows.
BEGIN_SHARE = 0.02
END_SHARE = 0.005
# It is told after it lasted so long without interruption. Figures of some
# hundred requests vary by 5% from one to the next.
HOLD_S = 2.0


@attrs.define
class Turn:
    """What was told last, with hysteresis in size and time.

    :param since: time of the first share that contradicts it, or None
    """

    leaves: bool = False
    since: float | None = None

    def update(self, share: float, now: float) -> bool:
        """Return whether a change is to be told.

        :param share: of all flows that leave
        """
        if self.leaves:
            is_other = share < END_SHARE
        else:
            is_other = share >= BEGIN_SHARE
        if not is_other:
            self.since = None
            return False
        if self.since is None:
            self.since = now
        if now - self.since < HOLD_S:
            return False
        self.leaves = not self.leaves
        self.since = None
        return True
