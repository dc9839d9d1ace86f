"""Room that this entry VM's link has for new flows.

Load condition: callers' packets need more bytes a second than the link
carries, so that packets queue at the link, are dropped and retransmitted.

The VM sees only packets that have passed its inbound link, so at
saturation it measures at most the bandwidth. It therefore counts the bytes
of a flow when it admits it, in a queue that exists only as a number and
drains a little slower than the link. While that queue is short, the link's
own queue is at most as long, whenever the bytes arrive.
"""

import math

import attrs

from ebonytally.load import classes
from ebonytally.load import flow_needs
from ebonytally.load import interfaces

# Share of the bandwidth that is used: control traffic and packets that
# can't be decoded aren't counted, and a queue must be able to drain.
TARGET_SHARE = 0.95
# Longest counted queue, by level. Callers are 3 ms away, and an opening
# is tried at another upstream after 60 ms without an answer.
MAX_QUEUE_S = {
    classes.Level.LOWEST: 0.035,
    classes.Level.MIDDLE: 0.040,
    classes.Level.HIGHEST: 0.045,
}
# The same while the link is overloaded: the differences leave room for a
# few flows of a higher level that open together.
MAX_OVERLOADED_QUEUE_S = {
    classes.Level.LOWEST: 0.020,
    classes.Level.MIDDLE: 0.035,
    classes.Level.HIGHEST: 0.050,
}
# Shares of the bandwidth from which on the demand, including that of
# refused flows, is an overload, and below which it is over.
OVERLOAD_SHARE = 1.0
OVERLOAD_END_SHARE = 0.95
# Callers retry a refused request twice, so each refusal is at least this
# share of a request.
REFUSAL_DEMAND = 1 / 3
DEMAND_WINDOW_S = 0.4
# Delay of the link's queue at which a level is refused, whatever was
# counted: what is dropped or counted otherwise before this VM isn't known.
MAX_DELAY_S = {
    classes.Level.LOWEST: 0.04,
    classes.Level.MIDDLE: 0.08,
    classes.Level.HIGHEST: 0.25,
}
# With less traffic a delay has another cause than the link.
MIN_DELAYED_RATE_SHARE = 0.3
# Part of the bandwidth that the link turns out to carry: lowered by each
# slot with a queue, raised slowly without one.
MIN_USABLE_SHARE = 0.5
USABLE_FALL = 0.95
USABLE_RISE_PER_S = 0.02
# Two packets of full size and their answers, for very slow links.
MIN_QUEUE_BYTES = 4_000
# Counted beyond this, a queue would only delay the return of openings
# after the last packet of an overload.
MAX_COUNTED_S = 0.25
# A few flows that open together in ordinary hours exceed the queue for a
# moment; an overload also exceeds this share of the bandwidth for
# `RATE_WINDOW_S`.
MIN_RATE_SHARE = 0.8
RATE_WINDOW_S = 0.15
# Late bytes of flows come spread over hundreds of milliseconds. They are
# counted sooner than they arrive, but not all at once.
LATE_SPREAD_S = 0.15
# A link that was in use all the time of a slot may hide more demand; the
# assumed surplus refuses the lowest level after two slots.
SLOT_S = 0.1
SATURATED_SHARE = 0.98
HIDDEN_SHARE = 0.15
# Ticks come every 20 ms. After a longer gap this VM was paused: packets
# waited in its socket and arrive together, although the link had carried
# them one after the other. Reading them, and serving the flows that
# waited, takes up to as long again.
MAX_GAP_S = 0.05
MIN_CREDIT_S = 0.5
# The socket's buffer holds what the link carries in a few seconds; after a
# longer pause the rest was dropped.
MAX_CREDIT_S = 3.0


@attrs.define
class _State:
    """Counted queues at a time.

    :param at: None before the first use
    :param queues: for each level the bytes of this and lower levels,
        negative while packets that waited in the socket are read
    :param rate: bytes a second, over `RATE_WINDOW_S`
    :param demand: the same with those of refused flows, over
        `DEMAND_WINDOW_S`
    :param late: by level, bytes of admitted flows that are not in
        `queues` yet
    :param credit_s: length of a recent pause of this VM, in which the
        link was in use but nothing could be counted
    """

    at: float | None
    queues: list[float]
    late: list[float]
    rate: float = 0.0
    demand: float = 0.0
    credit_s: float = 0.0
    credit_until: float = 0.0


class LinkRoom:
    """An `interfaces.Traffic` that tells how full the link is.

    :ivar received: bytes received so far, with headers
    :ivar sent: bytes sent so far, with headers
    :ivar is_overloaded: flows were refused, and the demand is still above
        the bandwidth
    """

    def __init__(
        self,
        bytes_s: float,
        reserved_share: float,
        classes_: classes.Classes,
        delay: interfaces.Congestion | None = None,
    ) -> None:
        """Create an idle link.

        :param bytes_s: bandwidth of each direction, 0 for no limit
        :param reserved_share: share of the bandwidth that only the
            highest level may use; the middle level may use half of it
        :param delay: measures the link's queue, None without it
        """
        self.received = 0
        self.sent = 0
        self._bytes_s = bytes_s
        self._classes = classes_
        self._delay = delay
        self._usable_share = 1.0
        self._drains = [
            bytes_s
            * TARGET_SHARE
            * (1 - reserved_share * (1 - level / classes.Level.HIGHEST))
            for level in classes.Level
        ]
        self.is_overloaded = False
        self._needs = flow_needs.FlowNeeds()
        nothing = [0.0 for _ in classes.Level]
        self._state = _State(None, nothing, nothing)
        # Bytes counted since the state was last brought up to date.
        self._pending = 0.0
        self._slot_at = 0.0
        self._slot_received = 0

    def settle(self, now: float) -> None:
        """Let time pass, so that further calls at `now` cost less."""
        if self._bytes_s:
            self._state = self._at(now)
            self._pending = 0.0

    def pressure(self, opening: interfaces.Opening, now: float) -> float:
        """Return how full the link is for a flow, 1.0 if it has no room."""
        return self.pressure_of(self._classes.level(opening), now)

    def pressure_of(self, level: classes.Level, now: float) -> float:
        """Return how full the link is for the flows of a level."""
        if not self._bytes_s:
            return 0.0
        state = self._at(now)
        limits = MAX_QUEUE_S
        if self.is_overloaded:
            limits = MAX_OVERLOADED_QUEUE_S
        limit = max(limits[level] * self._bytes_s, MIN_QUEUE_BYTES)
        queue = max(0.0, state.queues[level], state.queues[-1])
        # With a large reserve the level's own drain is the lower limit.
        enough = self._usable_share * min(
            MIN_RATE_SHARE * self._bytes_s,
            TARGET_SHARE * self._drains[level],
        )
        counted = min(queue / limit, state.rate / enough)
        return max(counted, self._delay_s(state, now) / MAX_DELAY_S[level])

    def reserve(self, opening: interfaces.Opening, now: float) -> None:
        """Count the bytes that an admitted flow will bring."""
        if not self._bytes_s:
            return
        need = self._needs.of(opening)
        self.settle(now)
        level = self._classes.level(opening)
        self._add(self._state, need.early, level)
        self._state.late[level] += need.late
        self._state.demand += need.late / DEMAND_WINDOW_S

    def on_refused(self, opening: interfaces.Opening, now: float) -> None:
        """Count the demand of a flow that is refused."""
        if not self._bytes_s:
            return
        need = self._needs.of(opening)
        self.settle(now)
        size = REFUSAL_DEMAND * (need.early + need.late)
        self._state.demand += size / DEMAND_WINDOW_S
        if self._state.demand >= OVERLOAD_SHARE * self._bytes_s:
            self.is_overloaded = True

    def on_admitted(
        self, key: bytes, opening: interfaces.Opening, now: float
    ) -> None:
        """Expect the bytes of a flow for which `reserve` was called."""
        if self._bytes_s:
            self._refund(*self._needs.end(key))
            level = self._classes.level(opening)
            self._needs.begin(key, opening, level, now)

    def on_packet(
        self,
        key: bytes,
        is_end: bool,
        received: int,
        sent: int,
        now: float,
    ) -> None:
        """Count a packet of a flow and what was sent for it."""
        self.received += received
        self.sent += sent
        if not self._bytes_s:
            return
        self._slot_received += received
        self._pending += self._needs.take(key, max(received, sent), now)
        if is_end:
            self._refund(*self._needs.end(key))

    def on_tick(self, sent: int, now: float) -> None:
        """Count bytes that a timer sent, and let time pass."""
        self.sent += sent
        if not self._bytes_s:
            return
        self._pending += sent
        self.settle(now)
        for level, unused in self._needs.expire(now):
            self._refund(level, unused)
        self._end_slot(now)
        bandwidth = self._usable_share * self._bytes_s
        if self._state.demand < OVERLOAD_END_SHARE * bandwidth:
            self.is_overloaded = False

    def _delay_s(self, state: _State, now: float) -> float:
        """Return the delay of the link's queue, 0 with little traffic."""
        if self._delay is None:
            return 0.0
        if state.rate < MIN_DELAYED_RATE_SHARE * self._bytes_s:
            return 0.0
        return self._delay.delay_s(now)

    def _at(self, now: float) -> _State:
        """Return the state at a time, with the pending bytes."""
        old = self._state
        last = now if old.at is None else old.at
        elapsed = max(0.0, now - last)
        if old.at is not None and not elapsed and not self._pending:
            return old
        state = _State(
            max(now, last),
            old.queues[:],
            old.late[:],
            old.rate * math.exp(-elapsed / RATE_WINDOW_S),
            old.demand * math.exp(-elapsed / DEMAND_WINDOW_S),
            old.credit_s,
            old.credit_until,
        )
        if elapsed > MAX_GAP_S:
            pause_s = min(elapsed, MAX_CREDIT_S)
            state.credit_s = max(pause_s, state.credit_s)
            state.credit_until = now + max(pause_s, MIN_CREDIT_S)
        elif now >= state.credit_until:
            state.credit_s = 0.0
        for level, drain in enumerate(self._drains):
            drain *= self._usable_share
            drained = state.queues[level] - drain * elapsed
            state.queues[level] = max(-drain * state.credit_s, drained)
        self._add(state, self._pending)
        spread = -math.expm1(-elapsed / LATE_SPREAD_S)
        for level, late in enumerate(old.late):
            state.late[level] -= late * spread
            self._add(state, late * spread, level)
            # It was part of the demand from its admission.
            state.demand -= late * spread / DEMAND_WINDOW_S
        return state

    def _add(
        self,
        state: _State,
        size: float,
        level: int = classes.Level.LOWEST,
    ) -> None:
        """Add bytes of a level; the lowest if it isn't known."""
        state.rate += size / RATE_WINDOW_S
        state.demand += size / DEMAND_WINDOW_S
        most = MAX_COUNTED_S * self._bytes_s
        for queue in range(level, len(state.queues)):
            state.queues[queue] = min(most, state.queues[queue] + size)

    def _refund(self, level: classes.Level, size: float) -> None:
        """Take back bytes that were expected and didn't arrive."""
        if size:
            queues = self._state.queues
            for other in range(level, len(queues)):
                rest = max(0.0, queues[other] - size)
                queues[other] = min(queues[other], rest)

    def _end_slot(self, now: float) -> None:
        """Assume hidden demand if the link was in use for a whole slot."""
        elapsed = now - self._slot_at
        if elapsed < SLOT_S:
            return
        capacity = self._bytes_s * elapsed
        is_saturated = self._slot_received >= SATURATED_SHARE * capacity
        if is_saturated and not self._state.credit_s:
            self._add(self._state, HIDDEN_SHARE * capacity)
        self._learn_usable_share(elapsed, now)
        self._slot_at = now
        self._slot_received = 0

    def _learn_usable_share(self, elapsed: float, now: float) -> None:
        """Adapt the usable share of the bandwidth after a slot."""
        lowest = MAX_DELAY_S[classes.Level.LOWEST]
        if self._delay_s(self._state, now) > lowest:
            share = max(MIN_USABLE_SHARE, self._usable_share * USABLE_FALL)
        else:
            share = min(1.0, self._usable_share + USABLE_RISE_PER_S * elapsed)
        self._usable_share = share
