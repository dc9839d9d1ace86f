"""Shares of callers in the new flows of their priority.

Load condition: one caller opens so many flows that others of its priority
find no room. While room is short, it gets a multiple of the average.
"""

import math

import attrs

from ebonytally.load import interfaces

# Flows count for this long, with decreasing weight.
WINDOW_S = 2.0
# Callers differ; only one far above the average takes room of others.
MAX_AVERAGES = 2.0
# Callers with fewer flows within the window are never over their share.
MIN_FLOWS = 4.0
# About 0.5 MB. While the table is full, further callers aren't counted and
# never over their share; the other limits hold for them.
MAX_CALLERS = 2_048
FORGET_BELOW = 0.1
SWEEP_INTERVAL_S = 1.0


@attrs.define
class _Flows:
    """Weighted number of flows at a time."""

    at: float
    count: float = 0.0

    def at_time(self, now: float) -> float:
        """Return the number at a later time."""
        return self.count * math.exp((self.at - max(now, self.at)) / WINDOW_S)

    def add(self, now: float) -> None:
        """Add a flow."""
        self.count = self.at_time(now) + 1
        self.at = max(now, self.at)


@attrs.define
class _Priority:
    """Flows of one priority.

    :param callers: number of them in the table
    """

    flows: _Flows
    callers: int = 0


class FairShares:
    """Recently opened flows by caller and priority."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._callers: dict[tuple[bytes, int], _Flows] = {}
        self._priorities: dict[int, _Priority] = {}
        self._swept_at = 0.0

    def use(self, opening: interfaces.Opening, now: float) -> float:
        """Return a caller's flows as a multiple of what it may have.

        :return: 1.0 or more if it is over its share
        """
        flows = self._callers.get((opening.caller, opening.priority))
        if flows is None:
            return 0.0
        all_ = self._priorities[opening.priority]
        average = all_.flows.at_time(now) / all_.callers
        most = max(MIN_FLOWS, MAX_AVERAGES * average)
        return flows.at_time(now) / most

    def count(self, opening: interfaces.Opening, now: float) -> None:
        """Count an opened flow."""
        if now - self._swept_at >= SWEEP_INTERVAL_S:
            self._swept_at = now
            self._sweep(now)
        key = opening.caller, opening.priority
        flows = self._callers.get(key)
        if flows is None and len(self._callers) >= MAX_CALLERS:
            return
        all_ = self._priorities.get(opening.priority)
        if all_ is None:
            all_ = _Priority(_Flows(now))
            self._priorities[opening.priority] = all_
        if flows is None:
            flows = self._callers[key] = _Flows(now)
            all_.callers += 1
        flows.add(now)
        all_.flows.add(now)

    def _sweep(self, now: float) -> None:
        """Remove callers whose flows no longer count."""
        for key, flows in list(self._callers.items()):
            if flows.at_time(now) < FORGET_BELOW:
                del self._callers[key]
                all_ = self._priorities[key[1]]
                all_.callers -= 1
                if not all_.callers:
                    del self._priorities[key[1]]
