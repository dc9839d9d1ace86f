"""Chooses the upstream of a new flow."""

import random

from ebonytally.configuration import model
from ebonytally.echo import load as loads
from ebonytally.feed import follower as followers
from ebonytally.register import records
from ebonytally.register import register as registers

# Part of a running request that an open flow counts for: callers pause
# between the requests of a long flow.
FLOW_WEIGHT = 0.05
# Load that an upstream of this data centre may have more than one of
# another: its flows survive when data centres are cut off.
ABROAD = 0.8
# Part of what a cold upstream bears that all entry VMs together use.
COLD_SHARE = 0.6


class Placing:
    """Least load first, as far as this entry VM sees it."""

    def __init__(
        self,
        register: registers.Register,
        follower: followers.Follower,
        cold_slack: float,
        home: str,
        seed: int,
    ) -> None:
        """Start without any load.

        :param home: data centre of this entry VM and of its callers
        :param cold_slack: requests a second that any cold upstream
            bears beside its own rate
        """
        self._register = register
        self._follower = follower
        self._cold_slack = cold_slack
        self._home = home
        self._rng = random.Random(seed)
        self._loads: dict[str, loads.Load] = {}
        self._ready: dict[str, list[registers.Entry]] = {}
        self._ready_at = -1

    def load(self, id_: str) -> loads.Load:
        """Return what is known of an upstream's load."""
        found = self._loads.get(id_)
        if found is None:
            found = self._loads[id_] = loads.Load()
        return found

    def sweep(self) -> None:
        """Drop the loads of forgotten upstreams."""
        for id_, load in list(self._loads.items()):
            if load.unused and self._register.get(id_) is None:
                del self._loads[id_]

    def service_of(self, route: model.Route) -> str:
        """Draw one of a route's services by weight.

        One without an upstream is drawn only if all are without.
        """
        usable = [
            target
            for target in route.targets
            if target.weight and self._usable(target.service)
        ]
        if not usable:
            return route.targets[0].service
        if len(usable) == 1:
            return usable[0].service
        weights = [target.weight for target in usable]
        return self._rng.choices(usable, weights)[0].service

    def choose(
        self,
        service: str,
        tried: tuple[str, ...],
        now: float,
    ) -> records.Record | None:
        """Return the upstream for a new flow, None if there is none.

        :param tried: upstreams that didn't answer this caller
        """
        usable = [
            entry
            for entry in self._usable(service)
            if entry.record.id not in tried
        ]
        rested = [
            entry
            for entry in usable
            if self.load(entry.record.id).rest_until <= now
        ]
        warm = [entry for entry in rested if entry.cold_until <= now]
        best = self._least(warm)
        if best is None or self._rng.random() * len(rested) > len(warm):
            best = self._cold(service, rested, now) or best
        if best is None:
            resting = [one for one in usable if one.cold_until <= now]
            best = self._least(resting)
        return best.record if best is not None else None

    def _usable(self, service: str) -> list[registers.Entry]:
        """Return the upstreams that may get new flows."""
        if self._ready_at != self._register.revision:
            self._ready_at = self._register.revision
            self._ready = {}
            for entry in self._register.entries():
                if entry.record.state == records.State.READY:
                    ready = self._ready.setdefault(entry.record.service, [])
                    ready.append(entry)
        out = self._follower.view.out
        found = self._ready.get(service, [])
        if not out:
            return found
        return [one for one in found if one.record.data_centre not in out]

    def _least(self, among: list[registers.Entry]) -> registers.Entry | None:
        best = None
        least = 0.0
        for entry in among:
            load = self.load(entry.record.id)
            work = load.busy + load.opening + FLOW_WEIGHT * load.flows
            # Equals are drawn by lot, so that entry VMs differ.
            score = work / entry.record.slots + self._rng.random() * 1e-3
            if entry.record.data_centre != self._home:
                score += ABROAD
            if best is None or score < least:
                best = entry
                least = score
        return best

    def _cold(
        self,
        service: str,
        among: list[registers.Entry],
        now: float,
    ) -> registers.Entry | None:
        """Return a cold upstream whose turn it is, None for none.

        Together the entry VMs stay below what a cold upstream bears.
        """
        rate = self._cold_rate(service) * COLD_SHARE
        gap_s = self._follower.view.entry_vms / rate
        for entry in among:
            if entry.cold_until <= now:
                continue
            load = self.load(entry.record.id)
            if load.cold_next_at < now - gap_s:
                # Each entry VM begins at a time of its own.
                load.cold_next_at = now + gap_s * self._rng.random()
            if load.cold_next_at <= now:
                load.cold_next_at = now + gap_s
                return entry
        return None

    def _cold_rate(self, service: str) -> float:
        for one in self._follower.view.content.services:
            if one.name == service:
                return one.cold_rate + self._cold_slack
        return self._cold_slack
