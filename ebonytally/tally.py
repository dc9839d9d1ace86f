"""Counters of one daemon as plain numbers, cheap on the packet path."""

import collections

import attrs

from ebonytally import reasons

# Durations kept for the next scrape; beyond this the oldest are dropped.
MAX_PENDING_DURATIONS = 10_000


def _zero_refusals() -> dict[str, int]:
    return {reason.value: 0 for reason in reasons.Refusal}


def _zero_retries() -> dict[str, int]:
    return {reason.value: 0 for reason in reasons.Retry}


@attrs.define
class Tally:
    """Counters and durations; every refusal and retry is exported from 0.

    :param counts: other counters, by name
    :param durations: name and seconds of each, not exported yet
    """

    refusals: dict[str, int] = attrs.field(factory=_zero_refusals)
    retries: dict[str, int] = attrs.field(factory=_zero_retries)
    counts: dict[str, int] = attrs.field(factory=dict)
    durations: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_PENDING_DURATIONS),
    )
