"""Management of upstreams: registry, health and grants of request slots."""

import random

from ebonytally import actions
from ebonytally import commands
from ebonytally import events
from ebonytally import ports
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally.upstreams import slot_grantor
from ebonytally.upstreams import slot_holder
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import upstream_announce as announce
from ebonytally.upstreams import upstream_health
from ebonytally.upstreams import upstream_registry
from ebonytally import view

MAX_BOOT = 2**31
NOTIFY_INTERVAL_S = 0.1
MIN_ABORT_S = 0.02
MAX_LOCAL_ROUNDS = 3


class Upstreams:
    """Upstream management of one daemon; provides slots to requests.

    :param cfg: settings of the daemon
    :param local_vm: name of this entry VM
    :param seed: seed of the random boot number, differs at each start
    """

    def __init__(
        self,
        cfg: settings.Settings,
        local_vm: str,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Set up with an empty view."""
        self._cfg = cfg
        self._local_vm = local_vm
        self._recorder = recorder
        boot = random.Random(seed).randrange(1, MAX_BOOT)
        self._view = view.View()
        self._upstreams: dict[int, view.Upstream] = {}
        self._health = upstream_health.Health(cfg.upstreams)
        self._holder = slot_holder.Holder(cfg, local_vm, boot, self._health)
        self._grantor = slot_grantor.Grantor(cfg, local_vm, boot)
        self._registry = upstream_registry.UpstreamRegistry(cfg, local_vm)
        self._notified_at = float("-inf")

    def pop_ready_services(self) -> set[str]:
        """Return the services that may have got free slots since last time."""
        out = self._holder.ready
        self._holder.ready = set()
        return out

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message from another entry VM."""
        if isinstance(msg, slot_messages.Report):
            self._grantor.handle_report(peer, msg, now)
        elif isinstance(msg, slot_messages.Loans):
            self._holder.handle_grants(peer, msg, now)
        elif isinstance(msg, slot_messages.Changed):
            self._retire(msg)
        elif isinstance(msg, slot_messages.Lapsing):
            heard = self._registry.still_heard(msg.upstreams, now)
            answer = slot_messages.StillHeard(heard)
            return [actions.Send(peer, answer)] if heard else []
        elif isinstance(msg, slot_messages.StillHeard):
            self._registry.on_heard_by_peer(msg.upstreams, now)
        return self._exchange(now)

    def tick(self, now: float) -> list[actions.Action]:
        """Run periodic work; return proposals and messages that are due."""
        self._holder.tick(now)
        self._grantor.tick(now)
        for upstream, at in self._registry.announcement_times():
            self._grantor.on_announcement(upstream, at)
        out = self._registry.propose(now)
        out += self._registry.expire_leases(self._local_peers(), now)
        out += self._notify_grantors(now)
        out += self._propose_shares(now)
        return out + self._exchange(now)

    def on_connectivity_change(
        self,
        peers: frozenset[str],
        leased: bool,
        now: float,
    ) -> list[actions.Action]:
        """Record whether this VM holds the configuration lease.

        :param peers: entry VMs that are heard, not used here
        """
        self._holder.on_lease_change(leased)
        self._grantor.on_lease_change(leased)
        return self._exchange(now)

    def on_view_change(
        self,
        new: view.View,
        now: float,
    ) -> list[actions.Action]:
        """Apply a newer view."""
        self._view = new
        self._upstreams = {upstream.id: upstream for upstream in new.upstreams}
        self._health.retain(frozenset(self._upstreams))
        self._registry.on_view_change(new, now)
        self._holder.on_view_change(new, now)
        self._grantor.on_view_change(new, now)
        return self._exchange(now)

    def on_announcement(
        self,
        announcement: announce.Announcement,
        source: str,
        now: float,
    ) -> tuple[announce.Verdict, list[actions.Action]]:
        """Handle an announcement of an upstream; return the answer to it.

        :param source: address that the announcement came from, for the log
        """
        refusal = self._registry.refusal(announcement)
        if refusal is not None:
            self._recorder.count_refusal(refusal.reason)
            self._recorder.log_event(
                events.Event.ANNOUNCEMENT_REFUSED,
                peer=source,
                reason=refusal.reason.value,
                detail=refusal.detail,
            )
            return refusal, []
        self._registry.on_announcement(announcement, now)
        verdict = announce.Verdict(
            next=_NEXT[announcement.state],
            again_s=self._cfg.upstreams.lease_s / 3,
        )
        out = self._registry.propose(now) + self._notify_grantors(now)
        return verdict, out + self._exchange(now)

    def acquire_slot(
        self,
        service: str,
        exclude: frozenset[int],
        now: float,
        deadline: float | None = None,
    ) -> view.Upstream | None:
        """Acquire a slot of the best upstream; return None without one.

        :param exclude: ids of upstreams that must not be used
        :param deadline: when the attempt ends at the latest, None for the
            longest timeout that requests may have
        """
        return self._holder.acquire_slot(service, exclude, now, deadline)

    def set_waiting(
        self,
        service: str,
        count: int,
        now: float,
    ) -> list[actions.Action]:
        """Record how many requests wait for a slot of the service."""
        self._holder.set_waiting(service, count, now)
        return self._exchange(now)

    def release_slot(
        self,
        upstream: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list[actions.Action]:
        """Return a slot and record the result of its attempt."""
        kind = result.kind
        failed = (
            kind in _FAILED
            or kind in _CONNECTION_FAILED
            or result.status >= 500
        )
        if kind not in _NO_OUTCOME:
            self._record_outcome(upstream, not failed, now)
        if kind is ports.AttemptEnd.ANSWERED:
            self._holder.on_answer(upstream, result.took_s, now)
        elif kind is ports.AttemptEnd.SHED:
            self._holder.on_shed(upstream, now)
        elif kind in _CONNECTION_FAILED:
            until = (
                now if kind in _NEVER_RAN else self._aborted_at(upstream, now)
            )
            self._holder.on_connection_lost(upstream, until, now)
        else:
            self._holder.return_at(
                upstream, self._aborted_at(upstream, now), now
            )
        return self._exchange(now)

    def on_health_page(self, upstream: int, is_ok: bool, now: float) -> None:
        """Record whether an upstream's health page was good."""
        peers = self._service_peers(upstream)
        if self._health.on_health_page(upstream, is_ok, peers, now):
            self._record_ejection(upstream, "health page")

    def _record_outcome(self, upstream: int, is_ok: bool, now: float) -> None:
        peers = self._service_peers(upstream)
        if self._health.on_outcome(upstream, is_ok, peers, now):
            self._record_ejection(upstream, "own outcomes")

    def _record_ejection(self, upstream: int, why: str) -> None:
        self._recorder.count("upstream_ejected")
        self._recorder.log_event(
            events.Event.UPSTREAM_EJECTED,
            upstream=upstream,
            why=why,
        )

    def _service_peers(self, upstream: int) -> frozenset[int]:
        known = self._upstreams.get(upstream)
        if known is None:
            return frozenset()
        return frozenset(
            peer.id
            for peer in self._upstreams.values()
            if peer.service == known.service
        )

    def _aborted_at(self, upstream: int, now: float) -> float:
        """Return when the upstream must have ended an aborted attempt."""
        return now + max(MIN_ABORT_S, self._health.mean_answer_s(upstream))

    def _retire(self, msg: slot_messages.Changed) -> None:
        known = self._upstreams.get(msg.upstream)
        if known is not None and msg.incarnation >= known.incarnation:
            self._grantor.retire(msg.upstream)

    def _local_peers(self) -> frozenset[str]:
        """Return the other entry VMs of this data centre that are up."""
        return frozenset(
            vm.name
            for vm in self._view.vms
            if vm.data_centre == self._cfg.data_centre
            and vm.state is view.VmState.UP
            and vm.name != self._local_vm
        )

    def _notify_grantors(self, now: float) -> list[actions.Action]:
        """Notify grantors of upstreams that must get no new requests.

        They learn it before the view shows that an upstream drains, leaves
        or has restarted.
        """
        outdated = self._registry.outdated_upstreams()
        if not outdated:
            return []
        for msg in outdated:
            self._retire(msg)
        if now - self._notified_at < NOTIFY_INTERVAL_S:
            return []
        self._notified_at = now
        out = []
        for msg in outdated:
            grantor = self._holder.grantor_of(msg.upstream)
            if grantor and grantor != self._local_vm:
                out.append(actions.Send(grantor, msg))
        return out

    def _propose_shares(self, now: float) -> list[actions.Action]:
        """Propose the current warm share of each upstream granted here."""
        out = []
        for endpoint in self._grantor.endpoints.values():
            upstream = endpoint.upstream
            step = endpoint.warm.step
            if (
                step == upstream.share
                or endpoint.retired
                or not endpoint.settled
            ):
                continue
            if upstream.state is not view.UpstreamState.UP:
                continue
            command = commands.UpstreamMarked(
                upstream.id,
                upstream.incarnation,
                upstream.state,
                step,
            )
            out += self._registry.propose_once(command, now)
        return out

    def _exchange(self, now: float) -> list[actions.Action]:
        """Return due reports and grants; handle this VM's own at once."""
        out: list[actions.Action] = []
        for _ in range(MAX_LOCAL_ROUNDS):
            reports = self._holder.flush(now)
            for grantor, report in reports:
                if grantor == self._local_vm:
                    self._grantor.handle_report(self._local_vm, report, now)
                else:
                    out.append(actions.Send(grantor, report))
            grants = self._grantor.grant_slots(now)
            for peer, msg in grants:
                if peer == self._local_vm:
                    self._holder.handle_grants(self._local_vm, msg, now)
                else:
                    out.append(actions.Send(peer, msg))
            if not reports and not grants:
                break
        return out


_NEXT = {
    announce.State.UP: announce.Next.SERVE,
    announce.State.DRAINING: announce.Next.FINISH,
    announce.State.LEAVING: announce.Next.STOP,
}
_CONNECTION_FAILED = frozenset(
    {ports.AttemptEnd.NOT_SENT, ports.AttemptEnd.LOST}
)
_NEVER_RAN = frozenset({ports.AttemptEnd.NOT_SENT})
_FAILED = frozenset({ports.AttemptEnd.BROKEN, ports.AttemptEnd.TIMED_OUT})
_NO_OUTCOME = frozenset(
    {
        ports.AttemptEnd.CANCELLED,
        ports.AttemptEnd.SHED,
        ports.AttemptEnd.SILENT,
    },
)
