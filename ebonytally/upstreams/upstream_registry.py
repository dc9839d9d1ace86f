"""Registry of this data centre's upstreams, from their announcements.

The replicated view is authoritative. Differences from it are proposed to
the replicated log until the view contains them. Several entry VMs may
make the same proposal, and each more than once.
"""

import attrs

from ebonytally import actions
from ebonytally import commands
from ebonytally import reasons
from ebonytally import settings
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import upstream_announce as announce
from ebonytally import view

REPROPOSE_AFTER_S = 1.0
PEER_ANSWER_S = 0.5
MAX_NEWEST_INCARNATIONS = 10_000

Key = tuple[str, str, int]


@attrs.define
class _Liveness:
    """Liveness of one upstream, as known to this entry VM.

    :param announcement: last one accepted here, None before the first
    :param heard_at: when it was last heard, by this VM or a peer
    :param announced_at: when it last announced itself to this VM
    :param asked_at: when peers were asked about it, None if they weren't
    :param drain_ends_at: when its drain ends, None while it is up
    """

    announcement: announce.Announcement | None
    heard_at: float
    announced_at: float = float("-inf")
    asked_at: float | None = None
    drain_ends_at: float | None = None


class UpstreamRegistry:
    """Tracks announcements and leases of the upstreams in this data centre."""

    def __init__(self, cfg: settings.Settings, local_vm: str) -> None:
        """Set up with an empty view."""
        self._cfg = cfg
        self._local_vm = local_vm
        self._view = view.View()
        self._liveness: dict[Key, _Liveness] = {}
        self._newest_incarnations: dict[Key, tuple[int, announce.State]] = {}
        self._proposed: dict[tuple, float] = {}

    def on_view_change(self, new: view.View, now: float) -> None:
        """Apply a newer view; leases of its new upstreams start now."""
        self._view = new
        local_keys = {
            announce.key_of(upstream) for upstream in self._local_upstreams()
        }
        for key in local_keys:
            self._liveness.setdefault(key, _Liveness(None, now))
        self._liveness = {
            key: liveness
            for key, liveness in self._liveness.items()
            if key in local_keys
            or now - liveness.announced_at < self._cfg.upstreams.lease_s
        }

    def _local_upstreams(self) -> list[view.Upstream]:
        return [
            upstream
            for upstream in self._view.upstreams
            if upstream.data_centre == self._cfg.data_centre
        ]

    def find(self, key: Key) -> view.Upstream | None:
        """Return the upstream with that key, None if not in the view."""
        for upstream in self._view.upstreams:
            if announce.key_of(upstream) == key:
                return upstream
        return None

    def refusal(
        self,
        announcement: announce.Announcement,
    ) -> announce.Verdict | None:
        """Return the refusal of an announcement, None if it is valid."""
        if announcement.data_centre != self._cfg.data_centre:
            return _refuse(
                reasons.Refusal.ANNOUNCEMENT_WRONG_DATA_CENTRE,
                f"announced for data centre {announcement.data_centre}, "
                f"this entry VM is in {self._cfg.data_centre}",
            )
        if announcement.service not in {
            service.name for service in self._view.services
        }:
            return _refuse(
                reasons.Refusal.ANNOUNCEMENT_UNKNOWN_SERVICE,
                f"service {announcement.service} is not configured",
            )
        newest, state = self._newest_known(announcement.key)
        if announcement.incarnation < newest:
            return _refuse(
                reasons.Refusal.ANNOUNCEMENT_REPLAYED,
                f"incarnation {announcement.incarnation} is older than "
                f"the known incarnation {newest}",
            )
        if (
            announcement.incarnation == newest
            and _STATE_ORDER[announcement.state] < _STATE_ORDER[state]
        ):
            return _refuse(
                reasons.Refusal.ANNOUNCEMENT_REPLAYED,
                f"incarnation {newest} is already {state.value}, "
                f"it can't become {announcement.state.value} again",
            )
        return None

    def _newest_known(self, key: Key) -> tuple[int, announce.State]:
        newest, state = self._newest_incarnations.get(
            key, (0, announce.State.UP)
        )
        known = self.find(key)
        if known is None or known.incarnation < newest:
            return newest, state
        view_state = announce.State(known.state.value)
        if (
            known.incarnation == newest
            and _STATE_ORDER[state] > _STATE_ORDER[view_state]
        ):
            return newest, state
        return known.incarnation, view_state

    def on_announcement(
        self, announcement: announce.Announcement, now: float
    ) -> None:
        """Record an announcement that `refusal` has not refused."""
        liveness = self._liveness.setdefault(
            announcement.key, _Liveness(announcement, now)
        )
        liveness.announcement = announcement
        liveness.heard_at = now
        liveness.announced_at = now
        liveness.asked_at = None
        if announcement.state is announce.State.UP:
            liveness.drain_ends_at = None
        elif liveness.drain_ends_at is None:
            liveness.drain_ends_at = now + announcement.drain_s
        self._newest_incarnations.pop(announcement.key, None)
        self._newest_incarnations[announcement.key] = (
            announcement.incarnation,
            announcement.state,
        )
        if len(self._newest_incarnations) > MAX_NEWEST_INCARNATIONS:
            del self._newest_incarnations[
                next(iter(self._newest_incarnations))
            ]

    def announcement_times(self) -> list[tuple[int, float]]:
        """Return when upstreams last announced the incarnation in the view.

        :return: pairs of upstream id and time of the last announcement
            to this VM
        """
        out = []
        for key, liveness in self._liveness.items():
            known = self.find(key)
            announcement = liveness.announcement
            if (
                known
                and announcement
                and announcement.incarnation == known.incarnation
            ):
                out.append((known.id, liveness.announced_at))
        return out

    def outdated_upstreams(self) -> list[slot_messages.Changed]:
        """Return notices of upstreams that must get no new requests.

        They drain, leave or have restarted, which the view doesn't show yet.
        """
        out = []
        for key, liveness in self._liveness.items():
            known = self.find(key)
            if liveness.announcement is None or known is None:
                continue
            announcement = liveness.announcement
            newer = announcement.incarnation > known.incarnation
            drains = (
                announcement.incarnation == known.incarnation
                and announcement.state is not announce.State.UP
                and known.state is view.UpstreamState.UP
            )
            if newer or drains:
                out.append(
                    slot_messages.Changed(known.id, announcement.incarnation)
                )
        return out

    def propose(self, now: float) -> list[actions.Action]:
        """Return proposals of changes that the view doesn't contain yet."""
        out = []
        for key, liveness in list(self._liveness.items()):
            command = self._command_for(key, liveness, now)
            if command is not None:
                out += self.propose_once(command, now)
        return out

    def propose_once(
        self, command: object, now: float
    ) -> list[actions.Action]:
        """Propose a command, once in `REPROPOSE_AFTER_S` at most."""
        name = type(command).__name__
        fields = attrs.astuple(command, recurse=False)
        key = (name, *fields)
        if now < self._proposed.get(key, float("-inf")):
            return []
        self._proposed = {
            proposal: until
            for proposal, until in self._proposed.items()
            if until > now
        }
        self._proposed[key] = now + REPROPOSE_AFTER_S
        token = f"upstream/{self._local_vm}/{name}/{fields[0]}"
        return [actions.Propose(token, command)]

    def _command_for(
        self,
        key: Key,
        liveness: _Liveness,
        now: float,
    ) -> object | None:
        known = self.find(key)
        announcement = liveness.announcement
        if (
            known is None
            or announcement
            and announcement.incarnation > known.incarnation
        ):
            return self._registration(liveness, now)
        if (
            announcement is None
            or announcement.incarnation < known.incarnation
        ):
            return None
        if announcement.state is announce.State.LEAVING:
            return commands.UpstreamGone(known.id, known.incarnation)
        if (
            liveness.drain_ends_at is not None
            and now >= liveness.drain_ends_at
        ):
            return commands.UpstreamGone(known.id, known.incarnation)
        draining = view.UpstreamState.DRAINING
        if (
            announcement.state is announce.State.DRAINING
            and known.state != draining
        ):
            return commands.UpstreamMarked(
                known.id,
                known.incarnation,
                draining,
                known.share,
            )
        if _capacity(known) != _capacity(announcement):
            return self._registration(liveness, now)
        return None

    def _registration(self, liveness: _Liveness, now: float) -> object | None:
        announcement = liveness.announcement
        if announcement is None or announcement.state is not announce.State.UP:
            return None
        if now - liveness.announced_at >= self._cfg.upstreams.lease_s:
            return None
        share = self._cfg.upstreams.cold_share
        return commands.UpstreamSeen(announcement.upstream(share))

    def expire_leases(
        self,
        peers: frozenset[str],
        now: float,
    ) -> list[actions.Action]:
        """Handle upstreams whose lease has ended.

        Peers are asked first. The removal is proposed if none of them
        answers within `PEER_ANSWER_S` that it still hears the upstream.

        :param peers: entry VMs of this data centre that are up
        """
        silent = []
        out: list[actions.Action] = []
        for upstream in self._local_upstreams():
            liveness = self._liveness.get(announce.key_of(upstream))
            if liveness is None:
                continue
            if now - liveness.heard_at < self._cfg.upstreams.lease_s:
                liveness.asked_at = None
            elif liveness.asked_at is None:
                liveness.asked_at = now
                silent.append((upstream.id, upstream.incarnation))
            elif now - liveness.asked_at >= PEER_ANSWER_S:
                command = commands.UpstreamGone(
                    upstream.id, upstream.incarnation
                )
                out += self.propose_once(command, now)
        if silent:
            msg = slot_messages.Lapsing(tuple(silent))
            out += [actions.Send(peer, msg) for peer in sorted(peers)]
        return out

    def still_heard(
        self,
        asked: tuple[tuple[int, int], ...],
        now: float,
    ) -> tuple[tuple[int, int], ...]:
        """Return those that announced themselves here within their lease.

        :param asked: pairs of upstream id and incarnation
        """
        lease_s = self._cfg.upstreams.lease_s
        out = []
        for upstream in self._local_upstreams():
            liveness = self._liveness.get(announce.key_of(upstream))
            if liveness is None or now - liveness.announced_at >= lease_s:
                continue
            if (upstream.id, upstream.incarnation) in asked:
                out.append((upstream.id, upstream.incarnation))
        return tuple(out)

    def on_heard_by_peer(
        self,
        heard: tuple[tuple[int, int], ...],
        now: float,
    ) -> None:
        """Renew the leases of upstreams that a peer still hears.

        :param heard: pairs of upstream id and incarnation
        """
        for upstream in self._local_upstreams():
            liveness = self._liveness.get(announce.key_of(upstream))
            if liveness and (upstream.id, upstream.incarnation) in heard:
                liveness.heard_at = now
                liveness.asked_at = None


_STATE_ORDER = {
    announce.State.UP: 0,
    announce.State.DRAINING: 1,
    announce.State.LEAVING: 2,
}


def _capacity(upstream: view.Upstream | announce.Announcement) -> tuple:
    return (upstream.request_port, upstream.slots, upstream.connections)


def _refuse(
    reason: reasons.Refusal,
    detail: str,
) -> announce.Verdict:
    return announce.Verdict(announce.Next.FIX, reason, detail)
