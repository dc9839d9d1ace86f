"""Admission of new flows.

Load condition: demand exceeds a resource that callers share; refusing some
openings at once keeps the flows that are served within their timeouts.
"""

from ebonytally.load import classes
from ebonytally.load import demand
from ebonytally.load import fair_shares
from ebonytally.load import interfaces
from ebonytally.load import link_room
from ebonytally.load import upstream_room

NO_ROOM = 1.0
# Callers over their share are refused from this pressure on, so that the
# room above it is left to the others. During an overload of the link they
# get only what the others leave.
SHARES_PRESSURE = 0.7
OVERLOADED_SHARES_PRESSURE = 0.1


class LoadAdmission:
    """An `interfaces.Admission` over the resources that callers share."""

    def __init__(
        self,
        classes_: classes.Classes,
        link: link_room.LinkRoom,
        upstreams: upstream_room.UpstreamRoom,
        shares: fair_shares.FairShares,
        meter: demand.DemandMeter | None = None,
    ) -> None:
        """Create an admission without load.

        :param classes_: the same that `link` and `upstreams` use
        :param meter: counts refused flows as demand
        """
        self._classes = classes_
        self._link = link
        self._upstreams = upstreams
        self._shares = shares
        self._meter = meter

    def decide(
        self, opening: interfaces.Opening, now: float
    ) -> interfaces.Verdict:
        """Return the verdict and count the flow as load if it is opened."""
        self._classes.add(opening, now)
        self._link.settle(now)
        verdict = self.preview(opening, now)
        if self._meter is not None and not verdict.is_admitted:
            self._meter.on_refused(opening.service, now)
        if verdict.is_admitted:
            self._upstreams.count(opening, now)
            self._link.reserve(opening, now)
            self._shares.count(opening, now)
        elif verdict.refusal == interfaces.Refusal.UPSTREAMS:
            self._upstreams.count(opening, now)
        else:
            self._link.on_refused(opening, now)
        return verdict

    def preview(
        self, opening: interfaces.Opening, now: float
    ) -> interfaces.Verdict:
        """Return what `decide` would return, without any effect."""
        link = self._link.pressure(opening, now)
        upstreams = self._upstreams.pressure(opening, now)
        shares_pressure = SHARES_PRESSURE
        if self._link.is_overloaded:
            shares_pressure = OVERLOADED_SHARES_PRESSURE
        if max(link, upstreams) >= shares_pressure:
            use = self._shares.use(opening, now)
            if use >= NO_ROOM:
                return interfaces.Verdict(interfaces.Refusal.CALLER, use)
        if link >= NO_ROOM:
            return interfaces.Verdict(interfaces.Refusal.LINK, link)
        if self._upstreams.is_refused(opening, now):
            return interfaces.Verdict(interfaces.Refusal.UPSTREAMS, upstreams)
        return interfaces.Verdict(None, max(link, upstreams))
