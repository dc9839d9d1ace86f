"""Usual size of a route's answers, to tell error pages from content.

Load condition: upstreams that answer quickly, but with an error or a
rejection. Entry VMs see no answer, only how many bytes callers acknowledge.
"""

import math

import attrs

# Sizes kept for each route, and those needed before any answer is judged.
MAX_SIZES = 48
MIN_SIZES = 8
# The usual size is the upper quartile, which up to three quarters of error
# pages don't lower.
USUAL_QUANTILE = 0.75
# Of log-normal sizes with sigma 0.6, 1 in 1,000 is smaller than a tenth of
# the upper quartile.
SMALL_SHARE = 1 / 10
# An error page fits into one packet.
MAX_ERROR_BYTES = 1200
# The usual size doubles or halves in this time at most, so that a burst of
# error pages doesn't become usual.
DOUBLING_S = 30.0
MAX_ROUTES = 2000


@attrs.define
class _Route:
    """Answers of one route.

    :param sizes: the latest sizes in bytes, in a ring
    :param next_index: index in `sizes` of the oldest one, once it is full
    :param usual: usual size in bytes at `usual_at`
    """

    sizes: list[int] = attrs.field(factory=list)
    next_index: int = 0
    usual: float = 0.0
    usual_at: float = 0.0

    def add(self, size: int, now: float) -> None:
        if len(self.sizes) < MAX_SIZES:
            self.sizes.append(size)
        else:
            self.sizes[self.next_index] = size
        self.next_index = (self.next_index + 1) % MAX_SIZES
        # Sorting at each answer would cost more than the estimate gains.
        if self.next_index % MIN_SIZES == 0:
            self._update_usual(now)

    def _update_usual(self, now: float) -> None:
        ordered = sorted(self.sizes)
        recent = ordered[int(USUAL_QUANTILE * (len(ordered) - 1))]
        if len(self.sizes) < MAX_SIZES:
            self.usual = recent
        else:
            change = math.exp2((now - self.usual_at) / DOUBLING_S)
            self.usual = min(
                max(recent, self.usual / change), self.usual * change
            )
        self.usual_at = now


class AnswerSizes:
    """Usual sizes of answers by route."""

    def __init__(self) -> None:
        """Create sizes without any route."""
        self._routes: dict[bytes, _Route] = {}

    def is_small(self, route: bytes, size: int, now: float) -> bool:
        """Return whether an answer is far smaller than usual, and add it.

        :param route: address and port of the service
        :param size: bytes of the answer, above 0
        """
        known = self._routes.get(route)
        if known is None:
            if len(self._routes) >= MAX_ROUTES:
                return False
            known = self._routes[route] = _Route()
        is_small = size <= min(MAX_ERROR_BYTES, known.usual * SMALL_SHARE)
        known.add(size, now)
        return is_small
