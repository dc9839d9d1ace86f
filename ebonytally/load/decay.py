"""Sums whose older parts count less, for estimates that age."""

import math

import attrs


@attrs.define
class Decayed:
    """Weighted sum of samples; a weight halves in each half-life.

    :param half_life_s: seconds
    :param weight: sum of the samples' weights at `at`
    :param total: sum of weight times sample at `at`
    :param at: time of the last change, seconds
    """

    half_life_s: float
    weight: float = 0.0
    total: float = 0.0
    at: float = 0.0

    def add(self, sample: float, now: float) -> None:
        """Add a sample of weight 1."""
        self.age(now)
        self.weight += 1.0
        self.total += sample

    def age(self, now: float) -> None:
        """Reduce the weights to those at `now`."""
        if now > self.at:
            if self.weight:
                factor = math.exp2((self.at - now) / self.half_life_s)
                self.weight *= factor
                self.total *= factor
            self.at = now

    def aged(self, now: float) -> tuple[float, float]:
        """Return the weight and the total at `now`, without any effect."""
        factor = 1.0
        if now > self.at:
            factor = math.exp2((self.at - now) / self.half_life_s)
        return self.weight * factor, self.total * factor

    def mean(self) -> float:
        """Return the weighted mean, 0.0 without samples."""
        return self.total / self.weight if self.weight else 0.0
