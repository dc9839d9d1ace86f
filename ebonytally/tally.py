"""Plain counts of one daemon, cheap to add to on the packet path."""

import collections

import attrs

from ebonytally import reasons

# Durations that wait until somebody can take them; more are dropped.
MAX_DURATIONS = 10_000


def _refusals() -> dict[str, int]:
    return {reason.value: 0 for reason in reasons.Refusal}


def _retries() -> dict[str, int]:
    return {reason.value: 0 for reason in reasons.Retry}


@attrs.define
class Tally:
    """What is counted; every refusal and retry starts at 0.

    :param durations: names and seconds, not taken yet
    """

    refusals: dict[str, int] = attrs.field(factory=_refusals)
    retries: dict[str, int] = attrs.field(factory=_retries)
    counts: dict[str, int] = attrs.field(factory=dict)
    durations: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_DURATIONS),
    )
