"""State that a grantor keeps of holders and of upstreams."""

import math

import attrs

from ebonytally.upstreams import slot_ledger
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import warmup
from ebonytally import view

MAX_ATTEMPT_FACTOR = 10
MIN_ATTEMPT_S = 0.5


@attrs.define
class HolderState:
    """State of one holder.

    :param boot: random number of the holder's current process
    :param retired_boots: former processes, whose late reports are ignored
    :param number: number of the newest report of that boot
    :param stamp_ms: stamp of that report, which the answer repeats
    :param received_at: when that report arrived
    :param lease_until: the holder may start attempts until then
    :param max_attempt_s: longest attempt that it may start
    :param wanted_max_attempt_s: longest attempt that it asked to start
    :param revision: newest view revision that it is known to use
    :param must_send: a grant has changed since the last message
    """

    boot: int = 0
    retired_boots: list[int] = attrs.field(factory=list)
    number: int = 0
    stamp_ms: int = -1
    received_at: float = float("-inf")
    lease_until: float = float("-inf")
    max_attempt_s: float = 0.0
    wanted_max_attempt_s: int = 0
    revision: int = -1
    sent_at: float = float("-inf")
    must_send: bool = False
    demands: dict[str, slot_messages.SlotDemand] = attrs.field(factory=dict)


@attrs.define
class Endpoint:
    """An upstream whose slots this entry VM grants.

    :param since: view revision since which this VM is the grantor
    :param settled: every entry VM knows this grantor, or grants of a
        former one can no longer be used
    :param fresh: it had no grantor before
    :param announced: this process heard it; before, a restarted grantor
        can't know whether it drains
    :param leases_end: until then, unheard holders of a former grantor may
        start attempts
    :param retired: it drains or has restarted, nothing is granted
    :param recalled_at: when a slot was last recalled for another holder
    :param entries: grants by holder
    :param reported: running totals last reported, by holder
    :param excluded_until: end of a pause in grants to a holder that failed
        with it or avoids it, by holder
    """

    upstream: view.Upstream
    warm: warmup.Warmup
    since: int
    settled: bool
    fresh: bool
    announced: bool
    leases_end: float
    retired: bool = False
    recalled_at: float = float("-inf")
    entries: dict[str, slot_ledger.Entry] = attrs.field(factory=dict)
    reported: dict[str, slot_messages.SlotUse] = attrs.field(factory=dict)
    excluded_until: dict[str, float] = attrs.field(factory=dict)

    @property
    def bound(self) -> int:
        """Return an upper bound of the attempts in progress."""
        return sum(entry.bound for entry in self.entries.values())

    @property
    def assumed_max_attempt_s(self) -> float:
        """Return the longest assumed attempt in seconds, or infinity.

        A lost holder can't report that its attempts have ended. They are
        taken to end after ten times the mean answer time, or at their
        deadline if that is earlier.
        """
        mean_ms = max(
            (use.mean_answer_ms for use in self.reported.values()), default=0
        )
        if not mean_ms:
            return math.inf
        return max(MIN_ATTEMPT_S, MAX_ATTEMPT_FACTOR * mean_ms / 1000)
