"""The care of upstreams: who is there, and who may send them requests."""

import random

from ebonytally import actions
from ebonytally import commands
from ebonytally import events
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import upstream_announce
from ebonytally import view

PROPOSE_AGAIN_S = 1.0


class Upstreams:
    """The slice of one daemon; also the source of request slots.

    :param cfg: settings of the daemon
    :param me: name of this entry VM
    """

    def __init__(
        self,
        cfg: settings.Settings,
        me: str,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Start with an empty view."""
        self._cfg = cfg
        self._me = me
        self._recorder = recorder
        self._random = random.Random(seed)
        self._view = view.View()
        self._taken: dict[int, int] = {}
        self._proposed: dict[str, float] = {}
        self._ready: set[str] = set()

    def ready(self) -> set[str]:
        """Return services that got slots since the last call."""
        out = self._ready
        self._ready = set()
        return out

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message from another entry VM."""
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Do what is due."""
        return []

    def reach(
        self,
        peers: frozenset[str],
        leased: bool,
        now: float,
    ) -> list[actions.Action]:
        """Note which entry VMs are heard and whether the lease holds."""
        return []

    def changed(
        self,
        new: view.View,
        now: float,
    ) -> list[actions.Action]:
        """Take a newer configuration."""
        self._view = new
        self._ready |= {service.name for service in new.services}
        return []

    def announce(
        self,
        announcement: upstream_announce.Announcement,
        source: str,
        now: float,
    ) -> tuple[upstream_announce.Verdict, list[actions.Action]]:
        """Take an announcement of an upstream.

        :param source: address that it came from, for the log
        """
        fault = self._fault(announcement)
        if fault is not None:
            self._recorder.refused(fault.reason)
            self._recorder.event(
                events.Event.ANNOUNCEMENT_REFUSED,
                peer=source,
                reason=fault.reason.value,
                detail=fault.detail,
            )
            return fault, []
        state = announcement.state
        verdict = upstream_announce.Verdict(
            next=_NEXT[state],
            again_s=self._cfg.upstreams.lease_s / 3,
        )
        return verdict, self._propose(announcement, now)

    def _fault(
        self,
        announcement: upstream_announce.Announcement,
    ) -> upstream_announce.Verdict | None:
        def refuse(reason, detail):
            return upstream_announce.Verdict(
                upstream_announce.Next.FIX,
                reason,
                detail,
            )

        if announcement.data_centre != self._cfg.data_centre:
            return refuse(
                reasons.Refusal.ANNOUNCEMENT_WRONG_DATA_CENTRE,
                f"this is data centre {self._cfg.data_centre}",
            )
        names = {service.name for service in self._view.services}
        if announcement.service not in names:
            return refuse(
                reasons.Refusal.ANNOUNCEMENT_UNKNOWN_SERVICE,
                f"no service {announcement.service}",
            )
        known = self._find(announcement.key)
        if known and announcement.incarnation < known.incarnation:
            return refuse(
                reasons.Refusal.ANNOUNCEMENT_REPLAYED,
                f"incarnation {known.incarnation} is known already",
            )
        return None

    def _find(self, key: tuple[str, str, int]) -> view.Upstream | None:
        for upstream in self._view.upstreams:
            if upstream_announce.key_of(upstream) == key:
                return upstream
        return None

    def _propose(
        self,
        announcement: upstream_announce.Announcement,
        now: float,
    ) -> list[actions.Action]:
        command = self._command(announcement)
        if command is None:
            return []
        token = f"upstream-{self._me}-{'-'.join(map(str, announcement.key))}"
        if now < self._proposed.get(token, -PROPOSE_AGAIN_S):
            return []
        self._proposed[token] = now + PROPOSE_AGAIN_S
        return [actions.Propose(token, command)]

    def _command(
        self,
        announcement: upstream_announce.Announcement,
    ) -> object | None:
        known = self._find(announcement.key)
        if known is None or known.incarnation < announcement.incarnation:
            if announcement.state is not upstream_announce.State.UP:
                return None
            share = self._cfg.upstreams.cold_share
            return commands.UpstreamSeen(announcement.upstream(share))
        if announcement.state is upstream_announce.State.LEAVING:
            return commands.UpstreamGone(known.id, known.incarnation)
        if (
            announcement.state is upstream_announce.State.DRAINING
            and known.state is view.UpstreamState.UP
        ):
            return commands.UpstreamMarked(
                known.id,
                known.incarnation,
                view.UpstreamState.DRAINING,
                known.share,
            )
        return None

    def take(
        self,
        service: str,
        exclude: frozenset[int],
        now: float,
        deadline: float | None = None,
    ) -> view.Upstream | None:
        """Take a free slot of the best upstream, None if none is here."""
        best = None
        for upstream in self._view.upstreams:
            if upstream.service != service or upstream.id in exclude:
                continue
            if not self._usable(upstream):
                continue
            free = self._share(upstream) - self._taken.get(upstream.id, 0)
            if free > 0 and (best is None or free > best[0]):
                best = (free, upstream)
        if best is None:
            return None
        upstream = best[1]
        self._taken[upstream.id] = self._taken.get(upstream.id, 0) + 1
        return upstream

    def _usable(self, upstream: view.Upstream) -> bool:
        return (
            upstream.state is view.UpstreamState.UP
            and upstream.request_port > 0
            and upstream.data_centre not in self._view.out
        )

    def _share(self, upstream: view.Upstream) -> int:
        """Return how many of its slots belong to this entry VM."""
        names = sorted(
            vm.name for vm in self._view.vms if vm.state is view.VmState.UP
        )
        if self._me not in names:
            return 0
        return sum(
            names[(upstream.id + slot) % len(names)] == self._me
            for slot in range(upstream.slots)
        )

    def want(
        self,
        service: str,
        count: int,
        now: float,
    ) -> list[actions.Action]:
        """Say how many requests wait for a slot of the service."""
        return []

    def give_back(
        self,
        upstream: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list[actions.Action]:
        """Return a taken slot with how the attempt went."""
        self._taken[upstream] = max(0, self._taken.get(upstream, 0) - 1)
        for known in self._view.upstreams:
            if known.id == upstream:
                self._ready.add(known.service)
        return []


_NEXT = {
    upstream_announce.State.UP: upstream_announce.Next.SERVE,
    upstream_announce.State.DRAINING: upstream_announce.Next.FINISH,
    upstream_announce.State.LEAVING: upstream_announce.Next.STOP,
}
