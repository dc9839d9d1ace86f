"""Shares of new flows that leave the data centre, held by each entry VM.

Handles the load condition that demand exceeds home's room while other data
centres have room left after their own callers.
"""

from collections.abc import Mapping
import enum
import math
import random

import attrs

from ebonytally import events
from ebonytally.feed import follower as followers
from ebonytally.load import interfaces
from ebonytally.load import priority_mix
from ebonytally.load import rooms as room_lib
from ebonytally.load import spill_turn
from ebonytally.load import water_filling
from ebonytally.load import way_cost
from ebonytally import recorder as recorders

# Shares are computed anew at this interval, longer by a random part so that
# entry VMs don't act at the same moment.
REFRESH_S = 0.25
REFRESH_SPREAD = 0.4
# Time constant of changes: 95% after 1.2 to 1.6 s, which with figures up to
# 1 s old stays within 3 s. It varies by `REFRESH_SPREAD` between entry VMs.
CHANGE_S = 0.35
# Upper bound of the change of all shares together, in a second.
MAX_CHANGE_PER_S = 0.45
# The same without figures; they may return after a lost report.
FADE_S = 1.0
# How long the latest demand of another data centre counts that isn't
# reported any more: it only makes less load leave for there.
FIGURE_MEMORY_S = 5.0
# A longer time between two refreshes means that this VM was paused.
MAX_STEP_S = 0.5
# Above the start, the part of the flows that follows the shares rises from
# 0 to 1 over this band of utilisation.
DECIDED_BAND = 0.1
# Round trips that a request loses on a longer way: the opening, and the
# request with its answer.
WAY_TRIPS = 2.0
# Smaller shares are over, and so is a smaller part that follows shares.
OVER_SHARE = 0.0005
OVER_DECIDED = 0.01


class Reason(enum.StrEnum):
    """Why a share of a service's flows leaves the data centre, or none.

    :cvar BELOW_MEAN: home isn't used more than all data centres together
    :cvar NONE_ELSEWHERE: no other data centre has room left
    :cvar WAY: the way elsewhere costs more time than the queue at home
    :cvar NO_FIGURES: demand or room isn't known; the choice is by the load
        that this entry VM sees
    """

    HOME_HAS_ROOM = "home_has_room"
    HOME_SHORT = "home_short"
    NONE_AT_HOME = "none_at_home"
    BELOW_MEAN = "below_mean"
    NONE_ELSEWHERE = "none_elsewhere"
    WAY = "way"
    NO_FIGURES = "no_figures"


@attrs.frozen
class Decision:
    """What is decided for a service; shares approach it gradually.

    :param decided: part of the flows that goes by these shares; for the
        rest the choice is as without figures
    :param shares: of the whole demand, by data centre
    :param utilisation: of home by its own callers
    :param mean: utilisation over all data centres
    """

    reason: Reason
    decided: float = 0.0
    shares: Mapping[str, float] = attrs.field(factory=dict)
    utilisation: float = 0.0
    mean: float = 0.0

    @property
    def keeps_all(self) -> bool:
        """Return whether flows stay at home because all others are full."""
        return self.reason == Reason.NONE_ELSEWHERE and self.decided > 0.0


@attrs.define
class _State:
    """Present shares of a service, on their way to the decision's.

    :param by_priority: present shares, by priority and data centre
    """

    decision: Decision
    decided: float = 0.0
    shares: dict[str, float] = attrs.field(factory=dict)
    by_priority: dict[int, dict[str, float]] = attrs.field(factory=dict)
    turn: spill_turn.Turn = attrs.field(factory=spill_turn.Turn)

    def step(self, gain: float, max_change: float) -> None:
        """Move the shares a part of the way to the decision.

        :param gain: the part, 0 to 1
        :param max_change: bound of the change of all shares together
        """
        target = self.decision
        self.decided += gain * (target.decided - self.decided)
        changes = {
            name: target.shares.get(name, 0.0) - self.shares.get(name, 0.0)
            for name in sorted({*self.shares, *target.shares})
        }
        total = sum(map(abs, changes.values()))
        if gain * total > max_change:
            gain = max_change / total
        self.shares = {
            name: self.shares.get(name, 0.0) + gain * change
            for name, change in changes.items()
        }
        self.shares = {
            name: share
            for name, share in self.shares.items()
            if share > OVER_SHARE or name in target.shares
        }

    def leaving_share(self, mix: Mapping[int, float]) -> float:
        """Return the share of all flows that leaves, within the limits.

        :param mix: share of the flows by priority
        """
        return sum(
            mix.get(priority, 0.0) * sum(shares.values())
            for priority, shares in self.by_priority.items()
        )

    @property
    def is_over(self) -> bool:
        """Return whether the choice is as without figures again."""
        return (
            not self.decision.decided
            and not self.turn.leaves
            and self.decided < OVER_DECIDED
        )


class SpillShares:
    """An `interfaces.Spill` by water filling over data centres."""

    def __init__(
        self,
        follower: followers.Follower,
        home: str,
        rooms: room_lib.Rooms,
        shared_load: interfaces.SharedLoad | None,
        ways: way_cost.WayCost,
        priorities: priority_mix.PriorityMix,
        recorder: recorders.Recorder,
        seed: int,
        is_enabled: bool = True,
    ) -> None:
        """Create it without shares.

        :param home: data centre of this entry VM
        :param shared_load: without it, no shares are ever decided
        :param is_enabled: whether load may leave by shares
        """
        self._follower = follower
        self._home = home
        self._rooms = rooms
        self._shared_load = shared_load
        self._ways = ways
        self._priorities = priorities
        self._recorder = recorder
        self._rng = random.Random(seed)
        self._is_enabled = is_enabled
        self._states: dict[str, _State] = {}
        self._decisions: dict[str, Decision] = {}
        self._change_s = CHANGE_S * self._spread()
        self._latest_demand: dict[str, dict[str, tuple[float, float]]] = {}
        # 0 before the first decision.
        self._stepped_at = 0.0
        self._next_at = -1e9

    def remote_shares(
        self, service: str, priority: int, now: float
    ) -> Mapping[str, float]:
        """Return the shares of new flows by other data centre."""
        state = self._states.get(service)
        if state is None:
            return {}
        shares = state.by_priority.get(priority, state.shares)
        return {
            name: share
            for name, share in shares.items()
            if share > 0.0 and not self._is_unusable(name, now)
        }

    def home_share(self, service: str, priority: int, now: float) -> float:
        """Return the share of new flows that stays at home.

        What a cut link can't carry is part of it. It is 0 if nothing leaves
        although others may have room: silent upstreams or a burst can fill
        home before the figures show it.
        """
        state = self._states.get(service)
        if state is None:
            return 0.0
        planned = state.by_priority.get(priority, state.shares)
        decided = max(state.decided, sum(planned.values()))
        sent = sum(self.remote_shares(service, priority, now).values())
        if not sent and not state.decision.keeps_all:
            return 0.0
        return max(0.0, decided - sent)

    def shares(self) -> dict[str, Mapping[str, float]]:
        """Return the present shares over all priorities.

        :return: by service and other data centre, without services of
            which nothing leaves by shares
        """
        return {
            service: dict(state.shares)
            for service, state in self._states.items()
        }

    def decision(self, service: str) -> Decision | None:
        """Return the latest decision for a service, None before the first."""
        return self._decisions.get(service)

    def tick(self, now: float) -> None:
        """Decide anew when it is due, and move the shares."""
        if self._shared_load is None:
            return
        if now < self._next_at:
            return
        step_s = min(now - self._stepped_at, MAX_STEP_S)
        if not self._stepped_at:
            step_s = REFRESH_S
        self._stepped_at = now
        self._next_at = now + REFRESH_S * self._spread()
        self._rooms.update(now)
        services = {*self._rooms.services(), *self._states}
        for service in self._latest_demand.keys() - services:
            del self._latest_demand[service]
        self._decisions = {
            service: self._decide(service, now) for service in sorted(services)
        }
        if not self._is_enabled:
            return
        for service, decision in self._decisions.items():
            self._update(service, decision, step_s, now)

    def utilisation(self, service: str, now: float) -> float | None:
        """Return the demand on a service by the room of its upstreams.

        :return: over all data centres, None if demand or room is unknown
        """
        decision = self._decisions.get(service)
        if decision is None or decision.reason == Reason.NO_FIGURES:
            return None
        return decision.mean

    def _spread(self) -> float:
        return 1.0 + REFRESH_SPREAD * self._rng.random()

    def _is_unusable(self, data_centre: str, now: float) -> bool:
        return data_centre in self._follower.view.out or self._ways.is_cut(
            data_centre, now
        )

    def _update(
        self, service: str, decision: Decision, step_s: float, now: float
    ) -> None:
        state = self._states.get(service)
        if state is None:
            if not decision.decided:
                return
            state = self._states[service] = _State(decision)
        state.decision = decision
        is_blind = decision.reason == Reason.NO_FIGURES
        change_s = FADE_S if is_blind else self._change_s
        for name in state.shares:
            if self._is_unusable(name, now):
                state.shares[name] = 0.0
        gain = 1.0 - math.exp(-step_s / change_s)
        state.step(gain, MAX_CHANGE_PER_S * step_s)
        mix = self._priorities.shares(service, now)
        state.by_priority = water_filling.split_by_priority(
            state.shares, mix, self._limits(service, decision, now)
        )
        if state.turn.update(state.leaving_share(mix), now):
            self._log_turn(service, state)
        if state.is_over:
            del self._states[service]

    def _decide(self, service: str, now: float) -> Decision:
        """Return what is best by the present figures."""
        demand = self._demand(service, now)
        rooms = self._rooms.by_data_centre(service, now)
        if demand is None or not rooms:
            return Decision(Reason.NO_FIGURES)
        room = {
            name: room.per_s
            for name, room in rooms.items()
            if not self._ways.is_cut(name, now)
        }
        demand = {
            name: per_s
            for name, per_s in demand.items()
            if not self._ways.is_cut(name, now)
        }
        used = water_filling.utilisation(
            demand.get(self._home, 0.0), room.get(self._home, 0.0)
        )
        mean = water_filling.mean_utilisation(demand, room)
        if used <= water_filling.START_UTILISATION:
            return Decision(Reason.HOME_HAS_ROOM, 0.0, {}, used, mean)
        planned = water_filling.shares(self._home, demand, room)
        if self._home not in room:
            decided = 1.0 if planned else 0.0
            return Decision(Reason.NONE_AT_HOME, decided, planned, used, mean)
        above = used - water_filling.START_UTILISATION
        decided = min(1.0, above / DECIDED_BAND)
        if len(room) == 1:
            return Decision(Reason.NONE_ELSEWHERE, 0.0, {}, used, mean)
        if not any(
            demand.get(name, 0.0)
            < water_filling.RECEIVE_UTILISATION * room[name]
            for name in room
            if name != self._home
        ):
            return Decision(Reason.NONE_ELSEWHERE, decided, {}, used, mean)
        if not planned:
            return Decision(Reason.BELOW_MEAN, 0.0, {}, used, mean)
        shares = self._weigh(planned, rooms[self._home], used, now)
        reason = Reason.HOME_SHORT if any(shares.values()) else Reason.WAY
        return Decision(reason, decided, shares, used, mean)

    def _demand(self, service: str, now: float) -> dict[str, float] | None:
        """Return the demand by data centre, None without figures.

        The demand of a data centre that is suddenly missing counts for a
        while as before: its figures are more likely lost than its callers.
        Without home's, all are taken as missing meanwhile.
        """
        demand = self._shared_load.demand_per_s(service, now)
        if demand is None:
            return None
        latest = self._latest_demand.setdefault(service, {})
        for name, per_s in demand.items():
            latest[name] = (per_s, now)
        for name, (_, at) in list(latest.items()):
            if now - at > FIGURE_MEMORY_S:
                del latest[name]
        if self._home in latest and self._home not in demand:
            return None
        return {name: per_s for name, (per_s, _) in latest.items()}

    def _weigh(
        self,
        planned: Mapping[str, float],
        home: room_lib.Room,
        used: float,
        now: float,
    ) -> dict[str, float]:
        """Return a plan less the shares for which the way is too long."""
        queue_s = water_filling.queue_s(
            used, home.slots / home.upstreams, home.service_time_s
        )
        return {
            name: share * self._gain(queue_s, name, now)
            for name, share in planned.items()
        }

    def _gain(self, queue_s: float, data_centre: str, now: float) -> float:
        """Return the part of a share for which the way pays off, 0 to 1.

        It rises from 0, where the queue at home costs as much time as the
        way, to 1 where it costs twice as much.
        """
        way_s = WAY_TRIPS * self._ways.extra_s(data_centre, now)
        if queue_s >= 2.0 * way_s:
            return 1.0
        return max(0.0, queue_s / way_s - 1.0)

    def _limits(
        self, service: str, decision: Decision, now: float
    ) -> dict[int, water_filling.Limits]:
        """Return by priority what the routes' times allow.

        An answer that would be late elsewhere is still better than none:
        what exceeds home's room may leave until its timeout.
        """
        rooms = self._rooms.by_data_centre(service, now) or {}
        excess = 1.0 - 1.0 / max(1.0, decision.utilisation)
        took_s = {
            name: room.service_time_s
            + WAY_TRIPS * self._ways.extra_s(name, now)
            for name, room in rooms.items()
        }
        return {
            priority: water_filling.Limits(
                _above(took_s, bounds.timeout_s),
                _above(took_s, bounds.target_latency_s),
                excess,
            )
            for priority, bounds in self._priorities.bounds(service).items()
        }

    def _log_turn(self, service: str, state: _State) -> None:
        """Log that load begins to leave, or no longer does."""
        decision = state.decision
        self._recorder.log_event(
            events.Event.SPILL_TURNED,
            service=service,
            leaves=state.turn.leaves,
            reason=decision.reason.value,
            shares={
                name: round(share, 3)
                for name, share in decision.shares.items()
            },
            utilisation=_figure(decision.utilisation),
            mean=_figure(decision.mean),
        )


def _above(took_s: Mapping[str, float], limit_s: float) -> frozenset[str]:
    return frozenset(name for name, s in took_s.items() if s > limit_s)


def _figure(utilisation: float) -> float | None:
    """Return a rounded utilisation, None without room: JSON has no inf."""
    return round(utilisation, 3) if math.isfinite(utilisation) else None
