"""Share of new flows that the upstreams of a service have room for.

Load condition: upstreams reject requests because their queues are full,
whatever the requests' priority. The share of flows refused here follows
the rejections; the lowest level is refused first.
"""

import math

import attrs

from ebonytally.load import classes
from ebonytally.load import interfaces

LEVELS = len(classes.Level)
# Rejections above the first share increase the refusals, those below the
# second decrease them. Between them nothing changes, which keeps the share
# from oscillating at the limit.
MAX_REJECTED = 0.03
MIN_REJECTED = 0.02
# The rejected share is an average over some seconds: with a shorter
# response the refusals would overshoot before it shows their effect.
RISE_S = 0.5
# Upstreams work off a full queue within the latency that callers expect.
FALL_S = 0.5
MIN_SHARE = 0.005
# Some flows of each level are always opened, to learn whether there is
# room again.
MAX_SHARE = 0.95
# Above this share of refused flows, refusals no longer help: upstreams
# may have failed.
MAX_REFUSED = 0.9
# Averages of the mix of levels follow changes within so many openings.
MIX_WEIGHT = 1 / 64
# A longer time without an opening means a paused VM or an idle service,
# in which the rejections didn't go on.
MAX_RISE_STEP_S = 0.2
MAX_SERVICES = 1_024
# Below this utilisation upstreams have room for all: those that reject are
# broken, and refusing callers wouldn't change that.
MIN_UTILISATION = 0.8


@attrs.define
class _Service:
    """Refusals of one service.

    :param refused: share of all flows to refuse
    :param mix: share of each level of all flows
    :param due: by level, refusals that are due, below 1
    """

    at: float
    refused: float = 0.0
    openings: int = 0
    mix: list[float] = attrs.field(factory=lambda: [0.0] * LEVELS)
    due: list[float] = attrs.field(factory=lambda: [0.0] * LEVELS)


class UpstreamRoom:
    """Refuses a share of the flows of services whose upstreams are full."""

    def __init__(
        self,
        capacity: interfaces.Capacity | None,
        reserved_share: float,
        classes_: classes.Classes,
        demand: interfaces.Utilisation | None,
    ) -> None:
        """Create a room without refusals.

        :param capacity: source of the rejected shares; without one no
            flow is refused
        :param reserved_share: share of all flows that upstreams may go on
            rejecting before any but the lowest level is refused
        :param demand: tells whether upstreams lack room; without it no
            flow is refused
        """
        self._capacity = capacity
        self._reserved_share = reserved_share
        self._classes = classes_
        self._demand = demand
        self._services: dict[str, _Service] = {}

    def pressure(self, opening: interfaces.Opening, now: float) -> float:
        """Return the demand on a flow's upstreams relative to their room.

        :return: for the flow's level; 0 while none of it is refused
        """
        share = self._share_at(opening, now)
        return 1 / (1 - share) if share else 0.0

    def is_refused(self, opening: interfaces.Opening, now: float) -> bool:
        """Return whether the flow is refused, without any effect."""
        known = self._services.get(opening.service)
        if known is None:
            return False
        due = known.due[self._classes.level(opening)]
        return due + self._share_at(opening, now) >= 1

    def count(self, opening: interfaces.Opening, now: float) -> None:
        """Count a flow that was opened or refused by `is_refused`."""
        if self._capacity is None:
            return
        share = self._share_at(opening, now)
        known = self._service(opening.service, now)
        known.refused = self._refused(known, opening.service, now)
        known.at = max(known.at, now)
        level = self._classes.level(opening)
        # Refusals are evenly spread, so that callers don't come back
        # together.
        known.due[level] = (known.due[level] + share) % 1
        known.openings += 1
        weight = max(1 / known.openings, MIX_WEIGHT)
        for other in classes.Level:
            asked = 1.0 if other == level else 0.0
            known.mix[other] += (asked - known.mix[other]) * weight

    def _service(self, service: str, now: float) -> _Service:
        known = self._services.get(service)
        if known is None:
            if len(self._services) >= MAX_SERVICES:
                self._services.clear()
            known = self._services[service] = _Service(now)
        return known

    def _refused(self, known: _Service, service: str, now: float) -> float:
        """Return the share of a service's flows to refuse now."""
        elapsed = max(0.0, now - known.at)
        rejected = self._capacity.rejected_share(service, now)
        if not self._is_short(service, now):
            rejected = 0.0
        if rejected > MAX_REJECTED:
            elapsed = min(elapsed, MAX_RISE_STEP_S)
            lacking = (1 - known.refused) * (rejected - MAX_REJECTED)
            rise = lacking * elapsed / RISE_S
            return min(MAX_REFUSED, known.refused + rise)
        if rejected < MIN_REJECTED:
            refused = known.refused * math.exp(-elapsed / FALL_S)
            return refused if refused >= MIN_SHARE else 0.0
        return known.refused

    def _is_short(self, service: str, now: float) -> bool:
        """Return whether upstreams may lack room for the demand."""
        if self._demand is None:
            return False
        utilisation = self._demand.utilisation(service, now)
        return utilisation is not None and utilisation >= MIN_UTILISATION

    def _share_at(self, opening: interfaces.Opening, now: float) -> float:
        """Return the share of the flows of an opening's level to refuse.

        A level is refused only what all lower levels can't give.
        """
        known = self._services.get(opening.service)
        if known is None:
            return 0.0
        level = self._classes.level(opening)
        lower = sum(known.mix[:level])
        lacking = self._refused(known, opening.service, now)
        lacking -= lower * MAX_SHARE
        if lower > MIX_WEIGHT:
            lacking -= self._reserved_share
        share = max(0.0, lacking) / max(known.mix[level], MIX_WEIGHT)
        return min(MAX_SHARE, share)
