"""Cache of flows that this entry VM has lately sent by way of an owner.

A packet of a pinned slot goes directly to the base only when its flow is
confirmed here; else it goes by way of the owner. The cache is a fixed
table of 64-bit cells in pairs: 40 bits of the flow and 20 of the time.
"""

import array

import numpy

TICKS_PER_S = 10
TCP_CONFIRM_TICKS = 2
UDP_CONFIRM_TICKS = 20

_CELL_BITS = 20
_TIME_BITS = 20
_INDEX_MASK = (1 << _CELL_BITS) - 1
_TIME_MASK = (1 << _TIME_BITS) - 1


class RecentFlows:
    """Stores when a flow was first sent by way of its owner.

    A flow is confirmed some ticks later, so that an owner which doesn't
    know the flow has time to send FlowRefused. UDP doesn't retransmit a
    first packet, so a UDP flow waits until loss of the owner is detected.
    """

    def __init__(self, refresh_s: float) -> None:
        """Allocate an empty table.

        :param refresh_s: age in seconds at which a flow must go by way of
            its owner again
        """
        self._refresh_ticks = int(refresh_s * TICKS_PER_S)
        self._cells = array.array("Q", bytes(8 << _CELL_BITS))

    def is_confirmed(self, key: int, ticks: int, now: float) -> bool:
        """Return whether packets of a flow may go directly to the base.

        :param key: flow hash XOR `flow_routes.Target.key_mix`, 60 bits
        :param ticks: age at which a flow is confirmed
        """
        cells = self._cells
        index = key & _INDEX_MASK
        cell = cells[index]
        if (cell ^ key) >> _TIME_BITS:
            cell = cells[index ^ 1]
            if (cell ^ key) >> _TIME_BITS:
                return False
        age = (int(now * TICKS_PER_S) - cell) & _TIME_MASK
        return ticks <= age < self._refresh_ticks

    def add(self, key: int, now: float) -> None:
        """Store that a packet of a flow goes by way of its owner now."""
        tick = int(now * TICKS_PER_S) & _TIME_MASK
        index = self._find_cell(key)
        if index is None:
            index = self._cell_to_replace(key, tick)
        elif (tick - self._cells[index]) & _TIME_MASK < self._refresh_ticks:
            return
        self._cells[index] = key & ~_TIME_MASK | tick

    def forget(self, key: int) -> None:
        """Remove a flow, so that its packets go by way of its owner."""
        index = self._find_cell(key)
        if index is not None:
            self._cells[index] = 0

    def forget_newer_than(self, ticks: int, now: float) -> None:
        """Remove the flows that were added in the last `ticks`."""
        cells = numpy.frombuffer(self._cells, dtype=numpy.uint64)
        tick = numpy.uint64(int(now * TICKS_PER_S))
        ages = (tick - cells) & numpy.uint64(_TIME_MASK)
        cells[ages < ticks] = 0

    def _find_cell(self, key: int) -> int | None:
        index = key & _INDEX_MASK
        for cell_index in (index, index ^ 1):
            if not (self._cells[cell_index] ^ key) >> _TIME_BITS:
                return cell_index
        return None

    def _cell_to_replace(self, key: int, tick: int) -> int:
        index = key & _INDEX_MASK
        ages = (
            (tick - self._cells[index]) & _TIME_MASK,
            (tick - self._cells[index ^ 1]) & _TIME_MASK,
        )
        if not self._cells[index]:
            return index
        if not self._cells[index ^ 1]:
            return index ^ 1
        return index if ages[0] >= ages[1] else index ^ 1
