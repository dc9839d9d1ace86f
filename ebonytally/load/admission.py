"""Admission of new flows.

Load condition: demand exceeds a resource that callers share; refusing some
openings at once keeps the flows that are served within their timeouts.
"""

from ebonytally.load import classes
from ebonytally.load import interfaces
from ebonytally.load import link_room

NO_ROOM = 1.0


class LoadAdmission:
    """An `interfaces.Admission` over the resources that callers share."""

    def __init__(
        self, classes_: classes.Classes, link: link_room.LinkRoom
    ) -> None:
        """Create an admission without load."""
        self._classes = classes_
        self._link = link

    def decide(
        self, opening: interfaces.Opening, now: float
    ) -> interfaces.Verdict:
        """Return the verdict and count the flow as load if it is opened."""
        self._classes.add(opening, now)
        verdict = self.preview(opening, now)
        if verdict.is_admitted:
            self._link.reserve(opening, now)
        elif verdict.refusal == interfaces.Refusal.LINK:
            self._link.on_refused(opening, now)
        return verdict

    def preview(
        self, opening: interfaces.Opening, now: float
    ) -> interfaces.Verdict:
        """Return what `decide` would return, without any effect."""
        pressure = self._link.pressure(opening, now)
        if pressure >= NO_ROOM:
            return interfaces.Verdict(interfaces.Refusal.LINK, pressure)
        return interfaces.Verdict(None, pressure)
