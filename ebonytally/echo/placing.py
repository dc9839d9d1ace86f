"""Choice of the upstream for a new flow, by estimated load."""

import copy
import enum
import math
import random

import attrs

from ebonytally.configuration import model
from ebonytally.echo import upstream_load as loads
from ebonytally.feed import follower as followers
from ebonytally.load import interfaces
from ebonytally.registry import records
from ebonytally.registry import registry as registries

# Load of an open flow in running requests: callers pause between the
# requests of a long flow.
OPEN_FLOW_LOAD = 0.05
# Extra load per slot of an upstream in another data centre: local flows
# survive when data centres are cut off from each other.
REMOTE_PENALTY = 0.8
# Share of a cold upstream's rate that all entry VMs together use.
COLD_SHARE = 0.6
# Extra load per slot of an upstream that fails requests or is full: others
# with so many requests are preferred, in other data centres as well.
AVOIDED_PENALTY = 2.0
# Extra load per slot of a slow upstream by its time to answer, beyond twice
# the usual one.
SLOW_PENALTY = 0.5
# Below this speed an upstream may be avoided.
AVOIDED_SPEED = 0.9
# Flows by which all entry VMs together learn whether an avoided upstream
# has recovered, and the least gap of one entry VM.
PROBES_PER_S = 2.0
MIN_PROBE_GAP_S = 1.0
# Ties break at random by this load per slot.
TIE_LOAD = 1e-3
# Upstreams examined for a flow, in the own data centre and elsewhere each.
# The least loaded of so many is nearly as idle as the least loaded of all.
MAX_EXAMINED = 24
_SLOW = interfaces.Condition.SLOW
_FAILING = interfaces.Condition.FAILING
_FULL = interfaces.Condition.FULL


class Exclusion(enum.StrEnum):
    """Why an upstream gets no new flow now, or only if no other can.

    :cvar UNKNOWN: its service or data centre is unknown
    :cvar BACKED_OFF: it didn't answer opening packets
    :cvar COLD: it is cold, and its next flow is not due yet
    :cvar AVOIDED: it is slow, failing or full, and no probe is due; it is
        chosen only while the others have much more load
    """

    DRAINING = "draining"
    SILENT = "silent"
    GONE = "gone"
    DATA_CENTRE_OUT = "data_centre_out"
    UNKNOWN = "unknown_service_or_data_centre"
    BACKED_OFF = "backed_off"
    COLD = "cold_rate_used"
    AVOIDED = "avoided"


_EXCLUSION_BY_STATE = {
    records.State.SILENT: Exclusion.SILENT,
    records.State.DRAINING: Exclusion.DRAINING,
    records.State.GONE: Exclusion.GONE,
}


@attrs.define
class _Candidates:
    """Upstreams of one service that may get new flows.

    Both lists are shuffled, so that a slice is a random sample.

    :param home: those in the entry VM's data centre
    :param elsewhere: those of `remote` by data centre
    :param preferred: data centre to use unless another has clearly less
        load, None for the entry VM's
    """

    home: list[registries.Entry] = attrs.field(factory=list)
    remote: list[registries.Entry] = attrs.field(factory=list)
    elsewhere: dict[str, list[registries.Entry]] = attrs.field(factory=dict)
    preferred: str | None = None

    def all(self) -> list[registries.Entry]:
        """Return all of them."""
        return self.home + self.remote

    def sample(self, rng: random.Random) -> list[registries.Entry]:
        """Return at most `MAX_EXAMINED` of each list."""
        return _sample(self.home, rng) + _sample(self.remote, rng)


class _CopiedLoads(dict[str, loads.UpstreamLoad]):
    """Copies of loads, each made when it is first read."""

    def __init__(self, loads_: dict[str, loads.UpstreamLoad]) -> None:
        super().__init__()
        self._originals = loads_

    def get(self, id_, default=None):
        load = super().get(id_)
        if load is None and id_ in self._originals:
            load = self[id_] = self._originals[id_].copy()
        return default if load is None else load


class Placing:
    """Chooses the upstream with the least load seen by this entry VM."""

    def __init__(
        self,
        registry: registries.Registry,
        follower: followers.Follower,
        cold_slack: float,
        data_centre: str,
        seed: int,
        capacity: interfaces.Capacity | None = None,
        spill: interfaces.Spill | None = None,
    ) -> None:
        """Create a chooser with no load.

        :param cold_slack: requests a second that any cold upstream can
            take in addition to its service's rate
        :param data_centre: data centre of this entry VM and of its callers
        :param capacity: None takes all upstreams as equal
        :param spill: decides how much load leaves the data centre
        """
        self._registry = registry
        self._follower = follower
        self._cold_slack = cold_slack
        self._data_centre = data_centre
        self._spill = spill
        self._rng = random.Random(seed)
        self._capacity = capacity
        self._loads: dict[str, loads.UpstreamLoad] = {}
        self._candidates: dict[str, _Candidates] = {}
        # Revision, configuration version and data centres out of which
        # the candidates were made.
        self._candidates_of = (-1, 0, frozenset[str]())

    def load(self, id_: str) -> loads.UpstreamLoad:
        """Return an upstream's load, which the caller may change."""
        load = self._loads.get(id_)
        if load is None:
            load = self._loads[id_] = loads.UpstreamLoad()
        return load

    def trial(self) -> "Placing":
        """Return a copy whose choices have no effect on this one.

        Its next choice is the one that this one would make next.
        """
        trial = copy.copy(self)
        trial._rng = random.Random()
        trial._rng.setstate(self._rng.getstate())
        trial._loads = _CopiedLoads(self._loads)
        return trial

    def exclusion(
        self, entry: registries.Entry, now: float
    ) -> Exclusion | None:
        """Return why an upstream gets no new flow now, None if it may.

        Only for a `trial`: it uses up the flow that is due to a cold or
        avoided upstream.
        """
        excluded = self._ineligible(entry.record, self._follower.view.out)
        if excluded is not None:
            return excluded
        if self.load(entry.record.id).is_backed_off(now):
            return Exclusion.BACKED_OFF
        if entry.cold_until > now:
            due = self._cold_due(entry.record.service, [entry], now)
            return Exclusion.COLD if due is None else None
        if self._is_avoided(entry.record.id, now):
            due = self._probe_due([entry], now)
            return Exclusion.AVOIDED if due is None else None
        return None

    def sweep(self) -> None:
        """Remove the unused loads of upstreams that are not registered."""
        for id_, load in list(self._loads.items()):
            if load.is_unused and self._registry.get(id_) is None:
                del self._loads[id_]

    def service_of(self, route: model.Route) -> str:
        """Return one of a route's services, at random by weight.

        A service of weight 0 is never returned. Services without an
        eligible upstream are left out; if all are, the first one with a
        weight is returned, "" if there is none.
        """
        weighted = [target for target in route.targets if target.weight]
        eligible = [
            target
            for target in weighted
            if self._find_candidates(target.service)
        ]
        if not eligible:
            return weighted[0].service if weighted else ""
        if len(eligible) == 1:
            return eligible[0].service
        weights = [target.weight for target in eligible]
        return self._rng.choices(eligible, weights)[0].service

    def choose(
        self,
        service: str,
        priority: int,
        tried: tuple[str, ...],
        now: float,
    ) -> records.Record | None:
        """Return the upstream for a new flow, None if there is none.

        :param priority: priority class of the flow's route
        :param tried: ids of upstreams that didn't answer this caller
        """
        candidates = self._find_candidates(service)
        if candidates is None:
            return None
        best = None
        decided = None
        if not tried:
            decided = self._decided(candidates, service, priority, now)
        if decided is not None:
            best = self._best(service, decided, tried, now)
        if best is None:
            best = self._best(service, candidates, tried, now)
        if best is None:
            best = self._least_loaded(
                [
                    entry
                    for entry in candidates.all()
                    if entry.cold_until <= now and entry.record.id not in tried
                ],
                now,
            )
        return best.record if best is not None else None

    def is_elsewhere(self, record: records.Record) -> bool:
        """Return whether an upstream is in another data centre."""
        return record.data_centre != self._data_centre

    def _decided(
        self,
        candidates: _Candidates,
        service: str,
        priority: int,
        now: float,
    ) -> _Candidates | None:
        """Return the upstreams of the data centre drawn by the shares.

        :return: None if the choice is among all of them
        """
        if self._spill is None:
            return None
        shares = self._spill.remote_shares(service, priority, now)
        home_share = self._spill.home_share(service, priority, now)
        if not shares and not home_share:
            return None
        left = self._rng.random()
        for name, share in shares.items():
            left -= share
            if left < 0.0:
                # Its own callers may fill it before the figures show it.
                return _Candidates(
                    candidates.home,
                    candidates.elsewhere.get(name, []),
                    preferred=name,
                )
        if left < home_share:
            # Figures are up to 2 s old: if home is full by the load seen
            # here, one with room by the figures is an alternative.
            remote: list[registries.Entry] = []
            if shares:
                other = self._rng.choice(list(shares))
                remote = candidates.elsewhere.get(other, [])
            return _Candidates(home=candidates.home, remote=remote)
        return None

    def _best(
        self,
        service: str,
        candidates: _Candidates,
        tried: tuple[str, ...],
        now: float,
    ) -> registries.Entry | None:
        """Return the best of the candidates that aren't backed off."""
        usable = self._usable(candidates, tried, now)
        warm = [entry for entry in usable if entry.cold_until <= now]
        probed = None if tried else self._probe_due(warm, now)
        if probed is not None:
            return probed
        best = self._least_loaded(warm, now, candidates.preferred)
        if best is None or self._rng.random() * len(usable) > len(warm):
            best = self._cold_due(service, usable, now) or best
        return best

    def _usable(
        self,
        candidates: _Candidates,
        tried: tuple[str, ...],
        now: float,
    ) -> list[registries.Entry]:
        """Return upstreams that aren't backed off and weren't tried.

        Another data centre in which one was tried in vain may be cut off
        or down as a whole: it is left out if there are warm ones elsewhere.
        """
        silent = self._other_data_centres(tried)
        usable: list[registries.Entry] = []
        for entries in (candidates.sample(self._rng), candidates.all()):
            usable = [
                entry
                for entry in entries
                if entry.record.id not in tried
                and not self.load(entry.record.id).is_backed_off(now)
            ]
            elsewhere = [
                entry
                for entry in usable
                if entry.record.data_centre not in silent
            ]
            if any(entry.cold_until <= now for entry in elsewhere):
                return elsewhere
        return usable

    def _other_data_centres(self, ids: tuple[str, ...]) -> set[str]:
        """Return the data centres of upstreams, without the own one."""
        entries = [self._registry.get(id_) for id_ in ids]
        return {
            entry.record.data_centre
            for entry in entries
            if entry is not None
            and entry.record.data_centre != self._data_centre
        }

    def _find_candidates(self, service: str) -> _Candidates | None:
        """Return a service's upstreams that may get new flows, if any."""
        view = self._follower.view
        made_of = (self._registry.revision, view.version, view.out)
        if self._candidates_of != made_of:
            self._candidates_of = made_of
            self._candidates = self._group_entries(view.out)
        return self._candidates.get(service)

    def _group_entries(self, out: frozenset[str]) -> dict[str, _Candidates]:
        by_service: dict[str, _Candidates] = {}
        for entry in self._registry.entries():
            record = entry.record
            if self._ineligible(record, out) is not None:
                continue
            candidates = by_service.get(record.service)
            if candidates is None:
                candidates = by_service[record.service] = _Candidates()
            if record.data_centre == self._data_centre:
                candidates.home.append(entry)
            else:
                candidates.remote.append(entry)
        for candidates in by_service.values():
            self._rng.shuffle(candidates.home)
            self._rng.shuffle(candidates.remote)
            for entry in candidates.remote:
                name = entry.record.data_centre
                candidates.elsewhere.setdefault(name, []).append(entry)
        return by_service

    def _ineligible(
        self, record: records.Record, out: frozenset[str]
    ) -> Exclusion | None:
        """Return why an upstream isn't a candidate, None if it is one.

        :param out: data centres taken out of service
        """
        if record.state != records.State.READY:
            return _EXCLUSION_BY_STATE[record.state]
        if record.data_centre in out:
            return Exclusion.DATA_CENTRE_OUT
        if not self._registry.is_usable(record):
            return Exclusion.UNKNOWN
        return None

    def _least_loaded(
        self,
        entries: list[registries.Entry],
        now: float,
        preferred: str | None = None,
    ) -> registries.Entry | None:
        """Return the entry with the least load per slot, None for none.

        Slots count by the upstream's speed. Among equal loads the shares
        are in proportion to the speeds.
        """
        best = None
        lowest = 0.0
        capacity = self._capacity
        random_share = self._rng.random
        preferred = preferred or self._data_centre
        for entry in entries:
            load = self.load(entry.record.id)
            weighted_load = (
                load.busy + load.opening + OPEN_FLOW_LOAD * load.flows
            )
            # Ties break at random, or all entry VMs would choose the same.
            score = (
                weighted_load / entry.record.slots
                - math.log(1.0 - random_share()) * TIE_LOAD
            )
            if capacity is not None:
                speed = capacity.speed(entry.record.id, now)
                score /= speed
                if speed < AVOIDED_SPEED:
                    score += self._penalty(entry.record.id, speed, now)
            if entry.record.data_centre != preferred:
                score += REMOTE_PENALTY
            if best is None or score < lowest:
                best = entry
                lowest = score
        return best

    def _penalty(self, id_: str, speed: float, now: float) -> float:
        """Return the extra load per slot of a slow or failing upstream."""
        condition = interfaces.Condition.UNKNOWN
        if self._capacity is not None:
            condition = self._capacity.condition(id_, now)
        if condition is _SLOW or not _is_avoided(condition):
            return max(0.0, SLOW_PENALTY * (1.0 / speed - 2.0))
        return AVOIDED_PENALTY

    def _probe_due(
        self, entries: list[registries.Entry], now: float
    ) -> registries.Entry | None:
        """Return an avoided upstream that may be tried now, or None."""
        if self._capacity is None:
            return None
        has_home = any(
            entry.record.data_centre == self._data_centre for entry in entries
        )
        for entry in entries:
            id_ = entry.record.id
            if has_home and self.is_elsewhere(entry.record):
                continue
            if not self._is_avoided(id_, now):
                continue
            load = self.load(id_)
            gap_s = max(
                MIN_PROBE_GAP_S,
                self._follower.view.entry_vms / PROBES_PER_S,
            )
            if load.probe_next_at < now - gap_s:
                # Random, so that entry VMs don't probe at the same time.
                load.probe_next_at = now + gap_s * self._rng.random()
            if load.probe_next_at <= now:
                load.probe_next_at = now + gap_s
                return entry
        return None

    def _is_avoided(self, id_: str, now: float) -> bool:
        capacity = self._capacity
        return (
            capacity is not None
            and capacity.speed(id_, now) < AVOIDED_SPEED
            and _is_avoided(capacity.condition(id_, now))
        )

    def _cold_due(
        self,
        service: str,
        entries: list[registries.Entry],
        now: float,
    ) -> registries.Entry | None:
        """Return a cold upstream that may get a flow now, or None.

        Each entry VM spaces flows so that all of them together stay
        below a cold upstream's rate (slow start).
        """
        rate = self._cold_rate(service) * COLD_SHARE
        gap_s = self._follower.view.entry_vms / rate
        for entry in entries:
            if entry.cold_until <= now:
                continue
            load = self.load(entry.record.id)
            if load.cold_next_at < now - gap_s:
                # Random, so that entry VMs don't send at the same time.
                load.cold_next_at = now + gap_s * self._rng.random()
            if load.cold_next_at <= now:
                load.cold_next_at = now + gap_s
                return entry
        return None

    def _cold_rate(self, service: str) -> float:
        """Return requests a second that a cold upstream can take."""
        for config in self._follower.view.content.services:
            if config.name == service:
                return config.cold_rate + self._cold_slack
        return self._cold_slack


def _is_avoided(condition: interfaces.Condition) -> bool:
    return condition is _SLOW or condition is _FAILING or condition is _FULL


def _sample(
    entries: list[registries.Entry], rng: random.Random
) -> list[registries.Entry]:
    """Return some successive entries of a shuffled list."""
    if len(entries) <= MAX_EXAMINED:
        return entries
    start = rng.randrange(len(entries))
    end = start + MAX_EXAMINED
    return entries[start:end] + entries[: max(0, end - len(entries))]
