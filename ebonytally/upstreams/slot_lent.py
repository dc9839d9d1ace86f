"""What a lender knows of holders and of the upstreams that it lends."""

import math

import attrs

from ebonytally.upstreams import slot_ledger
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import warmup
from ebonytally import view

LONGEST_OF_USUAL = 10
SHORTEST_HOLD_S = 0.5


@attrs.define
class Peer:
    """A holder as the lender knows it.

    :param number: newest report of that boot
    :param stamp_ms: stamp of that report, which an answer repeats
    :param received: when that report came
    :param lease_until: it may start attempts until then
    :param hold_s: longest attempt that it may start
    """

    boot: int = 0
    retired: list[int] = attrs.field(factory=list)
    number: int = 0
    stamp_ms: int = -1
    received: float = float("-inf")
    lease_until: float = float("-inf")
    hold_s: float = 0.0
    wants_hold_s: int = 0
    revision: int = -1
    sent: float = float("-inf")
    due: bool = False
    needs: dict[str, slot_messages.Need] = attrs.field(factory=dict)


@attrs.define
class Endpoint:
    """An upstream that this entry VM lends.

    :param since: revision from which on it lends it
    :param settled: every entry VM knows that this one lends it
    :param fresh: nobody lent it before
    :param leases_end: until then, VMs not heard may start attempts
    :param entries: loans by holder
    :param told: running totals last reported, by holder
    :param excluded: holders that failed with it, until when
    """

    upstream: view.Upstream
    warm: warmup.Warmup
    since: int
    settled: bool
    fresh: bool
    leases_end: float
    retired: bool = False
    recalled: float = float("-inf")
    entries: dict[str, slot_ledger.Entry] = attrs.field(factory=dict)
    told: dict[str, slot_messages.Use] = attrs.field(factory=dict)
    excluded: dict[str, float] = attrs.field(factory=dict)

    @property
    def bound(self) -> int:
        """Return the most attempts that holders may have under way."""
        return sum(entry.bound for entry in self.entries.values())

    @property
    def longest_s(self) -> float:
        """Return how long an attempt lasts at most, infinity if unknown.

        A holder that is lost can't say when its attempts end; ten times
        the usual time is taken as the end, if their deadline isn't before.
        """
        usual_ms = max((use.took_ms for use in self.told.values()), default=0)
        if not usual_ms:
            return math.inf
        return max(SHORTEST_HOLD_S, LONGEST_OF_USUAL * usual_ms / 1000)
