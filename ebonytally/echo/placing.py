"""Choice of the upstream for a new flow, by estimated load."""

import random

from ebonytally.configuration import model
from ebonytally.echo import upstream_load as loads
from ebonytally.feed import follower as followers
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


class Placing:
    """Chooses the upstream with the least load seen by this entry VM."""

    def __init__(
        self,
        registry: registries.Registry,
        follower: followers.Follower,
        cold_slack: float,
        data_centre: str,
        seed: int,
    ) -> None:
        """Create a chooser with no load.

        :param cold_slack: requests a second that any cold upstream can
            take in addition to its service's rate
        :param data_centre: data centre of this entry VM and of its callers
        """
        self._registry = registry
        self._follower = follower
        self._cold_slack = cold_slack
        self._data_centre = data_centre
        self._rng = random.Random(seed)
        self._loads: dict[str, loads.UpstreamLoad] = {}
        self._ready: dict[str, list[registries.Entry]] = {}
        self._ready_revision = -1

    def load(self, id_: str) -> loads.UpstreamLoad:
        """Return an upstream's load, which the caller may change."""
        load = self._loads.get(id_)
        if load is None:
            load = self._loads[id_] = loads.UpstreamLoad()
        return load

    def sweep(self) -> None:
        """Remove the unused loads of upstreams that are not registered."""
        for id_, load in list(self._loads.items()):
            if load.is_unused and self._registry.get(id_) is None:
                del self._loads[id_]

    def service_of(self, route: model.Route) -> str:
        """Return one of a route's services, at random by weight.

        Services without an eligible upstream are left out; if all are,
        the first is returned.
        """
        eligible = [
            target
            for target in route.targets
            if target.weight and self._eligible(target.service)
        ]
        if not eligible:
            return route.targets[0].service
        if len(eligible) == 1:
            return eligible[0].service
        weights = [target.weight for target in eligible]
        return self._rng.choices(eligible, weights)[0].service

    def choose(
        self,
        service: str,
        tried: tuple[str, ...],
        now: float,
    ) -> records.Record | None:
        """Return the upstream for a new flow, None if there is none.

        :param tried: ids of upstreams that didn't answer this caller
        """
        eligible = [
            entry
            for entry in self._eligible(service)
            if entry.record.id not in tried
        ]
        not_backed_off = [
            entry
            for entry in eligible
            if self.load(entry.record.id).backed_off_until <= now
        ]
        warm = [entry for entry in not_backed_off if entry.cold_until <= now]
        best = self._least_loaded(warm)
        if best is None or self._rng.random() * len(not_backed_off) > len(
            warm
        ):
            best = self._cold_due(service, not_backed_off, now) or best
        if best is None:
            warm_backed_off = [
                entry for entry in eligible if entry.cold_until <= now
            ]
            best = self._least_loaded(warm_backed_off)
        return best.record if best is not None else None

    def _eligible(self, service: str) -> list[registries.Entry]:
        """Return a service's upstreams that may get new flows."""
        if self._ready_revision != self._registry.revision:
            self._ready_revision = self._registry.revision
            self._ready = {}
            for entry in self._registry.entries():
                if entry.record.state == records.State.READY:
                    ready = self._ready.setdefault(entry.record.service, [])
                    ready.append(entry)
        out = self._follower.view.out
        entries = self._ready.get(service, [])
        if not out:
            return entries
        return [
            entry for entry in entries if entry.record.data_centre not in out
        ]

    def _least_loaded(
        self, entries: list[registries.Entry]
    ) -> registries.Entry | None:
        """Return the entry with the least load per slot, None for none."""
        best = None
        lowest = 0.0
        for entry in entries:
            load = self.load(entry.record.id)
            weighted_load = (
                load.busy + load.opening + OPEN_FLOW_LOAD * load.flows
            )
            # Ties break at random, or all entry VMs would choose the same.
            score = (
                weighted_load / entry.record.slots + self._rng.random() * 1e-3
            )
            if entry.record.data_centre != self._data_centre:
                score += REMOTE_PENALTY
            if best is None or score < lowest:
                best = entry
                lowest = score
        return best

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
