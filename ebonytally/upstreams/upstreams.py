"""The care of upstreams: who is there, and who may send them requests."""

import random

from ebonytally import actions
from ebonytally import commands
from ebonytally import events
from ebonytally import ports
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally.upstreams import slot_broker
from ebonytally.upstreams import slot_holder
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import upstream_announce as announce
from ebonytally.upstreams import upstream_health
from ebonytally.upstreams import upstream_register
from ebonytally import view

MAX_BOOT = 2**31
NOTICE_GAP_S = 0.1
SETTLE_S = 0.02
OWN_ROUNDS = 3


class Upstreams:
    """The slice of one daemon; also the source of request slots.

    :param cfg: settings of the daemon
    :param me: name of this entry VM
    :param seed: must differ from start to start
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
        boot = random.Random(seed).randrange(1, MAX_BOOT)
        self._view = view.View()
        self._known: dict[int, view.Upstream] = {}
        self._health = upstream_health.Health(cfg.upstreams)
        self._holder = slot_holder.Holder(cfg, me, boot, self._health)
        self._broker = slot_broker.Broker(cfg, me, boot)
        self._register = upstream_register.Register(cfg, me)
        self._noticed = float("-inf")

    def ready(self) -> set[str]:
        """Return services that got slots since the last call."""
        out = self._holder.ready
        self._holder.ready = set()
        return out

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message from another entry VM."""
        if isinstance(msg, slot_messages.Report):
            self._broker.report(peer, msg, now)
        elif isinstance(msg, slot_messages.Loans):
            self._holder.loans(peer, msg, now)
        elif isinstance(msg, slot_messages.Changed):
            self._retire(msg)
        elif isinstance(msg, slot_messages.Lapsing):
            those = self._register.still_heard(msg.upstreams, now)
            answer = slot_messages.StillHeard(those)
            return [actions.Send(peer, answer)] if those else []
        elif isinstance(msg, slot_messages.StillHeard):
            self._register.heard_elsewhere(msg.upstreams, now)
        return self._exchange(now)

    def tick(self, now: float) -> list[actions.Action]:
        """Do what is due."""
        self._holder.tick(now)
        self._broker.tick(now)
        for upstream, at in self._register.confirmed():
            self._broker.announced(upstream, at)
        out = self._register.propose(now)
        out += self._register.lapsed(self._neighbours(), now)
        out += self._notices(now)
        out += self._warm_steps(now)
        return out + self._exchange(now)

    def reach(
        self,
        peers: frozenset[str],
        leased: bool,
        now: float,
    ) -> list[actions.Action]:
        """Note which entry VMs are heard and whether the lease holds."""
        self._holder.reach(leased)
        self._broker.reach(leased)
        return self._exchange(now)

    def changed(
        self,
        new: view.View,
        now: float,
    ) -> list[actions.Action]:
        """Take a newer configuration."""
        self._view = new
        self._known = {one.id: one for one in new.upstreams}
        self._health.keep(frozenset(self._known))
        self._register.changed(new, now)
        self._holder.changed(new, now)
        self._broker.changed(new, now)
        return self._exchange(now)

    def announce(
        self,
        said: announce.Announcement,
        source: str,
        now: float,
    ) -> tuple[announce.Verdict, list[actions.Action]]:
        """Take an announcement of an upstream.

        :param source: address that it came from, for the log
        """
        fault = self._register.fault(said)
        if fault is not None:
            self._recorder.refused(fault.reason)
            self._recorder.event(
                events.Event.ANNOUNCEMENT_REFUSED,
                peer=source,
                reason=fault.reason.value,
                detail=fault.detail,
            )
            return fault, []
        self._register.take(said, now)
        verdict = announce.Verdict(
            next=_NEXT[said.state],
            again_s=self._cfg.upstreams.lease_s / 3,
        )
        out = self._register.propose(now) + self._notices(now)
        return verdict, out + self._exchange(now)

    def take(
        self,
        service: str,
        exclude: frozenset[int],
        now: float,
        deadline: float | None = None,
    ) -> view.Upstream | None:
        """Take a free slot of the best upstream, None if none is here."""
        return self._holder.take(service, exclude, now, deadline)

    def want(
        self,
        service: str,
        count: int,
        now: float,
    ) -> list[actions.Action]:
        """Say how many requests wait for a slot of the service."""
        self._holder.want(service, count, now)
        return self._exchange(now)

    def give_back(
        self,
        upstream: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list[actions.Action]:
        """Return a taken slot with how the attempt went."""
        kind = result.kind
        bad = kind in _BAD or kind in _CUT or result.status >= 500
        if kind not in _NEUTRAL:
            self._outcome(upstream, not bad, now)
        if kind is ports.AttemptKind.ANSWERED:
            self._holder.answered(upstream, result.took_s, now)
        elif kind is ports.AttemptKind.SHED:
            self._holder.shed(upstream, now)
        elif kind in _CUT:
            until = now if kind in _ENDED else self._clear_at(upstream, now)
            self._holder.failed(upstream, until, now)
        else:
            self._holder.unclear(upstream, self._clear_at(upstream, now), now)
        return self._exchange(now)

    def page(self, upstream: int, ok: bool, now: float) -> None:
        """Take what the health page of an upstream says."""
        peers = self._peers(upstream)
        if self._health.page(upstream, ok, peers, now):
            self._note_ejected(upstream, "health page")

    def _outcome(self, upstream: int, ok: bool, now: float) -> None:
        peers = self._peers(upstream)
        if self._health.outcome(upstream, ok, peers, now):
            self._note_ejected(upstream, "own outcomes")

    def _note_ejected(self, upstream: int, why: str) -> None:
        self._recorder.counted("upstream_ejected")
        self._recorder.event(
            events.Event.UPSTREAM_EJECTED,
            upstream=upstream,
            why=why,
        )

    def _peers(self, upstream: int) -> frozenset[int]:
        known = self._known.get(upstream)
        if known is None:
            return frozenset()
        return frozenset(
            one.id
            for one in self._known.values()
            if one.service == known.service
        )

    def _clear_at(self, upstream: int, now: float) -> float:
        """Return when a cut attempt has surely been noticed there."""
        return now + max(SETTLE_S, self._health.took_s(upstream))

    def _retire(self, msg: slot_messages.Changed) -> None:
        known = self._known.get(msg.upstream)
        if known is not None and msg.incarnation >= known.incarnation:
            self._broker.retire(msg.upstream)

    def _neighbours(self) -> frozenset[str]:
        """Return the other entry VMs of this data centre that are up."""
        return frozenset(
            vm.name
            for vm in self._view.vms
            if vm.data_centre == self._cfg.data_centre
            and vm.state is view.VmState.UP
            and vm.name != self._me
        )

    def _notices(self, now: float) -> list[actions.Action]:
        """Tell lenders what the view doesn't show yet."""
        outdated = self._register.outdated()
        if not outdated:
            return []
        for msg in outdated:
            self._retire(msg)
        if now - self._noticed < NOTICE_GAP_S:
            return []
        self._noticed = now
        out = []
        for msg in outdated:
            lender = self._holder.lender_of(msg.upstream)
            if lender and lender != self._me:
                out.append(actions.Send(lender, msg))
        return out

    def _warm_steps(self, now: float) -> list[actions.Action]:
        """Propose warm shares of the upstreams that this VM lends."""
        out = []
        for endpoint in self._broker.endpoints.values():
            one = endpoint.upstream
            step = endpoint.warm.step
            if step == one.share or endpoint.retired or not endpoint.settled:
                continue
            if one.state is not view.UpstreamState.UP:
                continue
            command = commands.UpstreamMarked(
                one.id,
                one.incarnation,
                one.state,
                step,
            )
            out += self._register.once(command, now)
        return out

    def _exchange(self, now: float) -> list[actions.Action]:
        """Return due reports and loans; own ones are taken at once."""
        out: list[actions.Action] = []
        for _ in range(OWN_ROUNDS):
            reports = self._holder.flush(now)
            for lender, report in reports:
                if lender == self._me:
                    self._broker.report(self._me, report, now)
                else:
                    out.append(actions.Send(lender, report))
            loans = self._broker.lend(now)
            for peer, msg in loans:
                if peer == self._me:
                    self._holder.loans(self._me, msg, now)
                else:
                    out.append(actions.Send(peer, msg))
            if not reports and not loans:
                break
        return out


_NEXT = {
    announce.State.UP: announce.Next.SERVE,
    announce.State.DRAINING: announce.Next.FINISH,
    announce.State.LEAVING: announce.Next.STOP,
}
_CUT = frozenset({ports.AttemptKind.NOT_SENT, ports.AttemptKind.LOST})
_ENDED = frozenset({ports.AttemptKind.NOT_SENT})
_BAD = frozenset({ports.AttemptKind.BROKEN, ports.AttemptKind.TIMED_OUT})
_NEUTRAL = frozenset(
    {
        ports.AttemptKind.CANCELLED,
        ports.AttemptKind.SHED,
        ports.AttemptKind.SILENT,
    },
)
