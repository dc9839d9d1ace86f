"""Queueing delay at this entry VM's inbound link, seen from openings.

Load condition: packets queue before this VM, where it can't count them. The
caller's answer to an opened flow passes the same queue, so even the fastest
openings take longer than usual, whichever upstream they go to.
"""

import collections

import attrs

from ebonytally.load import interfaces

# Callers retransmit an opening after 200 ms; a queue of this delay is
# noticed within the time of a few openings.
WINDOW_S = 0.2
MIN_SAMPLES = 3
# The fastest opening of this time is the delay without a queue.
BASE_WINDOW_S = 60.0
BASE_SLOT_S = 5.0
# An opening is tried at another upstream after 60 ms without an answer; a
# longer queue makes working upstreams look silent.
MAX_DELAY_S = 0.04
# A longer time between two ticks means that this VM was paused: packets
# that waited in its socket say nothing about the link.
MAX_TICK_GAP_S = 0.3
MAX_RECENT = 256


@attrs.define
class _Slot:
    """Fastest opening of some seconds."""

    at: float
    took_s: float


class LinkDelay(interfaces.FlowObserver):
    """An `interfaces.FlowObserver` that measures the link's queue."""

    def __init__(self) -> None:
        """Create a measurement without any opening."""
        self._recent: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_RECENT)
        )
        self._slots: collections.deque[_Slot] = collections.deque()
        self._ticked_at: float | None = None
        self._resumed_at = -1e9

    def on_tick(self, now: float) -> None:
        """Notice a pause of this VM."""
        last = self._ticked_at
        self._ticked_at = now
        if last is not None and now - last > MAX_TICK_GAP_S:
            self._resumed_at = now
            self._recent.clear()

    def delay_s(self, now: float) -> float:
        """Return the delay of the link's queue, 0 if too little is known."""
        recent = [
            took_s for at, took_s in self._recent if now - at <= WINDOW_S
        ]
        if len(recent) < MIN_SAMPLES or not self._slots:
            return 0.0
        base_s = min(slot.took_s for slot in self._slots)
        return max(0.0, min(recent) - base_s)

    def is_congested(self, now: float) -> bool:
        """Return whether the queue makes working upstreams look silent."""
        return self.delay_s(now) > MAX_DELAY_S

    def on_opened(self, upstream: str, took_s: float, now: float) -> None:
        """Take the time of an opening, unless it began before a pause."""
        if now - took_s < self._resumed_at:
            return
        self._recent.append((now, took_s))
        if not self._slots or now - self._slots[-1].at >= BASE_SLOT_S:
            self._slots.append(_Slot(now, took_s))
        else:
            last = self._slots[-1]
            last.took_s = min(last.took_s, took_s)
        while now - self._slots[0].at > BASE_WINDOW_S:
            self._slots.popleft()
