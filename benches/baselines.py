"""Baseline slot sources: upstream selection without slot grants."""

import random

from ebonytally import actions
from ebonytally import ports
from ebonytally import settings
from ebonytally.upstreams import upstream_announce
from ebonytally.upstreams import upstream_registry
from ebonytally import view

MAX_TRIES = 50


class _LocalPolicy:
    """Selects by the view and this VM's own requests; never queues."""

    def __init__(self, cfg: settings.Settings, seed: int) -> None:
        self._registry = upstream_registry.UpstreamRegistry(cfg, cfg.name)
        self._view = view.View()
        self._in_flight: dict[int, int] = {}
        self._random = random.Random(seed)
        self._next_index = 0

    def pop_ready_services(self) -> set[str]:
        """Return no service: requests never wait for a slot."""
        return set()

    def handle(self, peer: str, msg: object, now: float) -> list:
        """Ignore a message: baselines exchange none."""
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Propose pending announcements and expired upstreams."""
        proposals = self._registry.propose(now)
        return proposals + self._registry.expire_leases(frozenset(), now)

    def on_connectivity_change(
        self, peers: frozenset, leased: bool, now: float
    ) -> list:
        """Ignore peers and lease: selection needs neither."""
        return []

    def on_view_change(self, new: view.View, now: float) -> list:
        """Replace the view by a newer one."""
        self._view = new
        self._registry.on_view_change(new, now)
        return []

    def on_announcement(
        self,
        announcement: upstream_announce.Announcement,
        source: str,
        now: float,
    ) -> tuple[None, list[actions.Action]]:
        """Register an announcement and propose the upstream."""
        self._registry.on_announcement(announcement, now)
        return None, self._registry.propose(now)

    def acquire_slot(
        self,
        service: str,
        exclude: frozenset[int],
        now: float,
        deadline: float | None = None,
    ) -> view.Upstream | None:
        """Return an upstream by the policy, None if none is eligible."""
        ups = [
            up
            for up in self._view.upstreams
            if up.service == service
            and up.id not in exclude
            and up.state is view.UpstreamState.UP
            and up.data_centre not in self._view.out
        ]
        if not ups:
            return None
        upstream = self._choose(ups)
        self._in_flight[upstream.id] = self._in_flight.get(upstream.id, 0) + 1
        return upstream

    def _choose(self, ups: list[view.Upstream]) -> view.Upstream:
        raise NotImplementedError

    def set_waiting(self, service: str, count: int, now: float) -> list:
        """Ignore the number of waiting requests."""
        return []

    def release_slot(
        self,
        upstream: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list:
        """Record that an attempt at an upstream has ended."""
        self._in_flight[upstream] -= 1
        return []


class RoundRobin(_LocalPolicy):
    """Round robin, independently at each entry VM."""

    def _choose(self, ups: list[view.Upstream]) -> view.Upstream:
        self._next_index += 1
        return ups[self._next_index % len(ups)]


class RandomOfTwo(_LocalPolicy):
    """Two random choices, by this VM's requests in flight."""

    def _choose(self, ups: list[view.Upstream]) -> view.Upstream:
        candidates = self._random.sample(ups, min(2, len(ups)))
        return min(candidates, key=lambda up: self._in_flight.get(up.id, 0))


def slot_source_factory(policy: type):
    """Return a factory of slot sources, see `virtual.MakeSlots`."""

    def make_slots(cfg: settings.Settings, world) -> _LocalPolicy:
        return policy(cfg, world.random.randrange(2**31))

    return make_slots


POLICIES = {
    "lending": None,
    "round_robin": slot_source_factory(RoundRobin),
    "random_of_two": slot_source_factory(RandomOfTwo),
}
