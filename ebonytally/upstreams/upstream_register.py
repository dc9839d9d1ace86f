"""Upstreams of the own data centre: announced, seen and lapsed.

The replicated view is the truth; what differs from it is proposed until
the view shows it. All proposals may be made by several entry VMs and
more than once.
"""

import attrs

from ebonytally import actions
from ebonytally import commands
from ebonytally import reasons
from ebonytally import settings
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import upstream_announce as announce
from ebonytally import view

PROPOSE_AGAIN_S = 1.0
ASK_S = 0.5
MAX_REMEMBERED = 10_000

Key = tuple[str, str, int]


@attrs.define
class _Heard:
    """What this entry VM heard of one upstream.

    :param at: when it was last heard, by this VM or another
    :param own: when it last announced itself to this VM
    :param asked: when the others were asked, None for not
    :param ends: when its drain ends, None while it is up
    """

    said: announce.Announcement | None
    at: float
    own: float = float("-inf")
    asked: float | None = None
    ends: float | None = None


class Register:
    """What upstreams of this data centre said to this entry VM."""

    def __init__(self, cfg: settings.Settings, me: str) -> None:
        """Know nothing."""
        self._cfg = cfg
        self._me = me
        self._view = view.View()
        self._heard: dict[Key, _Heard] = {}
        self._newest: dict[Key, tuple[int, announce.State]] = {}
        self._proposed: dict[tuple, float] = {}

    def changed(self, new: view.View, now: float) -> None:
        """Take a newer view; a lease of new ones begins now."""
        self._view = new
        here = {announce.key_of(one) for one in self._own()}
        for key in here:
            self._heard.setdefault(key, _Heard(None, now))
        self._heard = {
            key: heard
            for key, heard in self._heard.items()
            if key in here or now - heard.own < self._cfg.upstreams.lease_s
        }

    def _own(self) -> list[view.Upstream]:
        return [
            one
            for one in self._view.upstreams
            if one.data_centre == self._cfg.data_centre
        ]

    def find(self, key: Key) -> view.Upstream | None:
        """Return the upstream of the view at that address."""
        for one in self._view.upstreams:
            if announce.key_of(one) == key:
                return one
        return None

    def fault(
        self,
        said: announce.Announcement,
    ) -> announce.Verdict | None:
        """Return why an announcement is refused, None when it isn't."""
        if said.data_centre != self._cfg.data_centre:
            return _refuse(
                reasons.Refusal.ANNOUNCEMENT_WRONG_DATA_CENTRE,
                f"this is data centre {self._cfg.data_centre}",
            )
        if said.service not in {one.name for one in self._view.services}:
            return _refuse(
                reasons.Refusal.ANNOUNCEMENT_UNKNOWN_SERVICE,
                f"no service {said.service}",
            )
        newest, state = self._newest_of(said.key)
        if said.incarnation < newest:
            return _refuse(
                reasons.Refusal.ANNOUNCEMENT_REPLAYED,
                f"incarnation {newest} is known already",
            )
        if said.incarnation == newest and _ORDER[said.state] < _ORDER[state]:
            return _refuse(
                reasons.Refusal.ANNOUNCEMENT_REPLAYED,
                f"incarnation {newest} is {state.value} already",
            )
        return None

    def _newest_of(self, key: Key) -> tuple[int, announce.State]:
        newest, state = self._newest.get(key, (0, announce.State.UP))
        known = self.find(key)
        if known is None or known.incarnation < newest:
            return newest, state
        shown = announce.State(known.state.value)
        if known.incarnation == newest and _ORDER[state] > _ORDER[shown]:
            return newest, state
        return known.incarnation, shown

    def take(self, said: announce.Announcement, now: float) -> None:
        """Note an announcement that has no fault."""
        heard = self._heard.setdefault(said.key, _Heard(said, now))
        heard.said = said
        heard.at = now
        heard.own = now
        heard.asked = None
        if said.state is announce.State.UP:
            heard.ends = None
        elif heard.ends is None:
            heard.ends = now + said.drain_s
        self._newest.pop(said.key, None)
        self._newest[said.key] = (said.incarnation, said.state)
        if len(self._newest) > MAX_REMEMBERED:
            del self._newest[next(iter(self._newest))]

    def confirmed(self) -> list[tuple[int, float]]:
        """Return upstreams of the view that announced that start here.

        :return: pairs of upstream id and the time of the last time
        """
        out = []
        for key, heard in self._heard.items():
            known = self.find(key)
            said = heard.said
            if known and said and said.incarnation == known.incarnation:
                out.append((known.id, heard.own))
        return out

    def outdated(self) -> list[slot_messages.Changed]:
        """Return upstreams of the view that must get nothing new."""
        out = []
        for key, heard in self._heard.items():
            known = self.find(key)
            if heard.said is None or known is None:
                continue
            said = heard.said
            newer = said.incarnation > known.incarnation
            ends = (
                said.incarnation == known.incarnation
                and said.state is not announce.State.UP
                and known.state is view.UpstreamState.UP
            )
            if newer or ends:
                out.append(slot_messages.Changed(known.id, said.incarnation))
        return out

    def propose(self, now: float) -> list[actions.Action]:
        """Return proposals for what the view doesn't show yet."""
        out = []
        for key, heard in list(self._heard.items()):
            command = self._command(key, heard, now)
            if command is not None:
                out += self.once(command, now)
        return out

    def once(self, command: object, now: float) -> list[actions.Action]:
        """Propose a command unless that was done a moment ago."""
        name = type(command).__name__
        parts = attrs.astuple(command, recurse=False)
        key = (name, *parts)
        if now < self._proposed.get(key, float("-inf")):
            return []
        self._proposed = {
            other: until
            for other, until in self._proposed.items()
            if until > now
        }
        self._proposed[key] = now + PROPOSE_AGAIN_S
        token = f"upstream/{self._me}/{name}/{parts[0]}"
        return [actions.Propose(token, command)]

    def _command(
        self,
        key: Key,
        heard: _Heard,
        now: float,
    ) -> object | None:
        known = self.find(key)
        said = heard.said
        if known is None or said and said.incarnation > known.incarnation:
            return self._seen(heard, now)
        if said is None or said.incarnation < known.incarnation:
            return None
        if said.state is announce.State.LEAVING:
            return commands.UpstreamGone(known.id, known.incarnation)
        if heard.ends is not None and now >= heard.ends:
            return commands.UpstreamGone(known.id, known.incarnation)
        draining = view.UpstreamState.DRAINING
        if said.state is announce.State.DRAINING and known.state != draining:
            return commands.UpstreamMarked(
                known.id,
                known.incarnation,
                draining,
                known.share,
            )
        if _limits(known) != _limits(said):
            return self._seen(heard, now)
        return None

    def _seen(self, heard: _Heard, now: float) -> object | None:
        said = heard.said
        if said is None or said.state is not announce.State.UP:
            return None
        if now - heard.own >= self._cfg.upstreams.lease_s:
            return None
        share = self._cfg.upstreams.cold_share
        return commands.UpstreamSeen(said.upstream(share))

    def lapsed(
        self,
        peers: frozenset[str],
        now: float,
    ) -> list[actions.Action]:
        """Ask about silent upstreams, then propose that they are gone.

        :param peers: entry VMs of this data centre that are up
        """
        ask = []
        out: list[actions.Action] = []
        for one in self._own():
            heard = self._heard.get(announce.key_of(one))
            if heard is None:
                continue
            if now - heard.at < self._cfg.upstreams.lease_s:
                heard.asked = None
            elif heard.asked is None:
                heard.asked = now
                ask.append((one.id, one.incarnation))
            elif now - heard.asked >= ASK_S:
                command = commands.UpstreamGone(one.id, one.incarnation)
                out += self.once(command, now)
        if ask:
            msg = slot_messages.Lapsing(tuple(ask))
            out += [actions.Send(peer, msg) for peer in sorted(peers)]
        return out

    def still_heard(
        self,
        asked: tuple[tuple[int, int], ...],
        now: float,
    ) -> tuple[tuple[int, int], ...]:
        """Return those that announced themselves here within the lease."""
        lease_s = self._cfg.upstreams.lease_s
        out = []
        for one in self._own():
            heard = self._heard.get(announce.key_of(one))
            if heard is None or now - heard.own >= lease_s:
                continue
            if (one.id, one.incarnation) in asked:
                out.append((one.id, one.incarnation))
        return tuple(out)

    def heard_elsewhere(
        self,
        those: tuple[tuple[int, int], ...],
        now: float,
    ) -> None:
        """Note that another entry VM hears these."""
        for one in self._own():
            heard = self._heard.get(announce.key_of(one))
            if heard and (one.id, one.incarnation) in those:
                heard.at = now
                heard.asked = None


_ORDER = {
    announce.State.UP: 0,
    announce.State.DRAINING: 1,
    announce.State.LEAVING: 2,
}


def _limits(one: view.Upstream | announce.Announcement) -> tuple:
    return (one.request_port, one.slots, one.connections)


def _refuse(
    reason: reasons.Refusal,
    detail: str,
) -> announce.Verdict:
    return announce.Verdict(announce.Next.FIX, reason, detail)
