"""How many bytes a new flow brings to the link, learned by route.

Load condition: what an admitted flow brings (request, acknowledgements of
a long answer) arrives after its admission, when it can't be refused.
"""

import attrs

from ebonytally.load import classes
from ebonytally.load import interfaces

# Bytes that arrive later are counted when they arrive: such a flow is
# part of the load that is already there.
YOUNG_S = 2.0
# Bytes up to this age come as one burst: opening, request and the first
# acknowledgements of an upstream that isn't busy.
EARLY_S = 0.1
# Until a route has a sample: opening, a request of one packet, two
# acknowledgements and the end.
DEFAULT_EARLY_BYTES = 800.0
MAX_YOUNG = 20_000
MAX_ROUTES = 1_024
# Weight of a sample is never below this, so that estimates follow changes.
MIN_SAMPLE_WEIGHT = 1 / 64
# Fewer bytes are opening packets only: the flow never opened, and says
# nothing about what one needs.
MIN_OPENED_BYTES = 250


@attrs.define
class Need:
    """Bytes that a flow of a route brings on average.

    :param early: within `EARLY_S` of its opening
    :param late: from then on, within `YOUNG_S`
    """

    early: float = DEFAULT_EARLY_BYTES
    late: float = 0.0
    samples: int = 0

    def learn(self, early: float, late: float) -> None:
        """Add the bytes of one flow to the averages."""
        self.samples += 1
        weight = max(1 / self.samples, MIN_SAMPLE_WEIGHT)
        self.early += (early - self.early) * weight
        self.late += (late - self.late) * weight


@attrs.define
class _Young:
    """A flow that was admitted recently.

    :param level: level of its class at its admission
    :param left: bytes that are expected of it and haven't arrived
    """

    route: tuple
    level: classes.Level
    began_at: float
    left: float
    early: int = 0
    late: int = 0


class FlowNeeds:
    """Young flows with the bytes expected of each."""

    def __init__(self) -> None:
        """Create an empty set of flows without estimates."""
        self._needs: dict[tuple, Need] = {}
        self._young: dict[bytes, _Young] = {}

    def of(self, opening: interfaces.Opening) -> Need:
        """Return what a flow of an opening's route needs; don't change it."""
        return self._needs.get(_route_of(opening)) or Need()

    def begin(
        self,
        key: bytes,
        opening: interfaces.Opening,
        level: classes.Level,
        now: float,
    ) -> None:
        """Add an admitted flow that isn't known."""
        if len(self._young) < MAX_YOUNG:
            need = self.of(opening)
            left = need.early + need.late
            self._young[key] = _Young(_route_of(opening), level, now, left)

    def take(self, key: bytes, size: int, now: float) -> float:
        """Count a packet's bytes; return how many weren't expected."""
        flow = self._young.get(key)
        if flow is None:
            return size
        if now - flow.began_at <= EARLY_S:
            flow.early += size
        else:
            flow.late += size
        expected = min(flow.left, size)
        flow.left -= expected
        return size - expected

    def end(self, key: bytes) -> tuple[classes.Level, float]:
        """Remove a flow.

        :return: its level, and the expected bytes that never arrived
        """
        flow = self._young.pop(key, None)
        if flow is None:
            return classes.Level.LOWEST, 0.0
        need = self._needs.get(flow.route)
        if need is None:
            if len(self._needs) >= MAX_ROUTES:
                self._needs.clear()
            need = self._needs[flow.route] = Need()
        if flow.early + flow.late >= MIN_OPENED_BYTES:
            need.learn(flow.early, flow.late)
        return flow.level, flow.left

    def expire(self, now: float) -> list[tuple[classes.Level, float]]:
        """Remove the flows that are no longer young.

        :return: for each the same as `end` returns
        """
        expired = []
        for key, flow in self._young.items():
            # Flows are in the order of their openings.
            if now - flow.began_at <= YOUNG_S:
                break
            expired.append(key)
        return [self.end(key) for key in expired]


def _route_of(opening: interfaces.Opening) -> tuple:
    return (
        opening.service,
        opening.priority,
        opening.idempotent,
        opening.timeout_s,
    )
