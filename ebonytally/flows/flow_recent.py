"""Flows whose keeper lately heard of them from this entry VM.

A packet of a pinned slot goes straight to the base only when its flow is
remembered here; else it goes by way of the keeper. The memory is a fixed
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


class Recent:
    """Remembers when a flow was first sent by way of its keeper.

    Only some ticks later is it confirmed, so that a keeper which doesn't
    know the flow can object. A UDP flow has no first packet that would be
    sent again, so it waits until the loss of its keeper would be noticed.
    """

    def __init__(self, refresh_s: float) -> None:
        """Start empty.

        :param refresh_s: a flow is confirmed for this long
        """
        self._refresh = int(refresh_s * TICKS_PER_S)
        self._cells = array.array("Q", bytes(8 << _CELL_BITS))

    def confirmed(self, key: int, ticks: int, now: float) -> bool:
        """Tell whether packets of a flow may go straight to the base.

        :param key: 60-bit number of the flow at its upstream
        :param ticks: time from the first packet until it is confirmed
        """
        cells = self._cells
        index = key & _INDEX_MASK
        cell = cells[index]
        if (cell ^ key) >> _TIME_BITS:
            cell = cells[index ^ 1]
            if (cell ^ key) >> _TIME_BITS:
                return False
        age = (int(now * TICKS_PER_S) - cell) & _TIME_MASK
        return ticks <= age < self._refresh

    def note(self, key: int, now: float) -> None:
        """Note that a packet of a flow goes by way of its keeper."""
        tick = int(now * TICKS_PER_S) & _TIME_MASK
        index = self._find(key)
        if index is None:
            index = self._victim(key, tick)
        elif (tick - self._cells[index]) & _TIME_MASK < self._refresh:
            return
        self._cells[index] = key & ~_TIME_MASK | tick

    def forget(self, key: int) -> None:
        """Send further packets of a flow by way of its keeper."""
        index = self._find(key)
        if index is not None:
            self._cells[index] = 0

    def forget_young(self, ticks: int, now: float) -> None:
        """Forget the flows that were noted in the last `ticks`."""
        cells = numpy.frombuffer(self._cells, dtype=numpy.uint64)
        tick = numpy.uint64(int(now * TICKS_PER_S))
        ages = (tick - cells) & numpy.uint64(_TIME_MASK)
        cells[ages < ticks] = 0

    def _find(self, key: int) -> int | None:
        index = key & _INDEX_MASK
        for at in (index, index ^ 1):
            if not (self._cells[at] ^ key) >> _TIME_BITS:
                return at
        return None

    def _victim(self, key: int, tick: int) -> int:
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
