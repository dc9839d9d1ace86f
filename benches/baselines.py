"""Slot sources without lending, to compare with."""

import random

from ebonytally import actions
from ebonytally import ports
from ebonytally import settings
from ebonytally.upstreams import upstream_announce
from ebonytally.upstreams import upstream_register
from ebonytally import view

TRIES = 50


class _Plain:
    """Knows the view and its own requests; sends at once, to any."""

    def __init__(self, cfg: settings.Settings, seed: int) -> None:
        self._register = upstream_register.Register(cfg, cfg.name)
        self._view = view.View()
        self._busy: dict[int, int] = {}
        self._random = random.Random(seed)
        self._turn = 0

    def ready(self) -> set[str]:
        """Return nothing: there is always a slot."""
        return set()

    def handle(self, peer: str, msg: object, now: float) -> list:
        """Ignore messages."""
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Propose what was announced."""
        out = self._register.propose(now)
        return out + self._register.lapsed(frozenset(), now)

    def reach(self, peers: frozenset, leased: bool, now: float) -> list:
        """Ignore the lease."""
        return []

    def changed(self, new: view.View, now: float) -> list:
        """Take a newer view."""
        self._view = new
        self._register.changed(new, now)
        return []

    def announce(
        self,
        said: upstream_announce.Announcement,
        source: str,
        now: float,
    ) -> tuple[None, list[actions.Action]]:
        """Take an announcement."""
        self._register.take(said, now)
        return None, self._register.propose(now)

    def take(
        self,
        service: str,
        exclude: frozenset[int],
        now: float,
        deadline: float | None = None,
    ) -> view.Upstream | None:
        """Choose an upstream by the policy."""
        ups = [
            one
            for one in self._view.upstreams
            if one.service == service
            and one.id not in exclude
            and one.state is view.UpstreamState.UP
            and one.data_centre not in self._view.out
        ]
        if not ups:
            return None
        chosen = self._choose(ups)
        self._busy[chosen.id] = self._busy.get(chosen.id, 0) + 1
        return chosen

    def _choose(self, ups: list[view.Upstream]) -> view.Upstream:
        raise NotImplementedError

    def want(self, service: str, count: int, now: float) -> list:
        """Ignore waiting requests."""
        return []

    def give_back(
        self,
        upstream: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list:
        """Note the end of an attempt."""
        self._busy[upstream] -= 1
        return []


class RoundRobin(_Plain):
    """Each entry VM goes round on its own."""

    def _choose(self, ups: list[view.Upstream]) -> view.Upstream:
        self._turn += 1
        return ups[self._turn % len(ups)]


class RandomOfTwo(_Plain):
    """Of two at random, the one with fewer requests of this VM."""

    def _choose(self, ups: list[view.Upstream]) -> view.Upstream:
        two = self._random.sample(ups, min(2, len(ups)))
        return min(two, key=lambda one: self._busy.get(one.id, 0))


def make(kind: type):
    """Return what a world calls to build a slot source of that kind."""

    def build(cfg: settings.Settings, world) -> _Plain:
        return kind(cfg, world.random.randrange(2**31))

    return build


POLICIES = {
    "lending": None,
    "round_robin": make(RoundRobin),
    "random_of_two": make(RandomOfTwo),
}
