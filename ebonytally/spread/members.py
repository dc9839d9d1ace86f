"""Which entry VMs are alive: probes, suspicion and refutation.

Each period one VM is probed, directly and then by way of others; a VM that
doesn't answer is suspected, and taken as dead only when it hasn't refuted
that by a higher incarnation in time. A VM whose own probes fail doubts
itself first and slows down. Cost for each VM is independent of their number.
"""

import random

import attrs

from ebonytally import actions
from ebonytally import events
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally.spread import member_messages as messages
from ebonytally import view

PERIOD_S = 0.5
DIRECT_S = 0.2
HELPERS = 3
MAX_RUMOURS = 6
RUMOUR_SENDS = 6
MAX_DOUBT = 4


@attrs.define
class _Peer:
    incarnation: int = 0
    health: messages.Health = messages.Health.ALIVE
    since: float = 0.0


@attrs.define
class _Probe:
    seq: int
    target: str
    sent: float
    asked_others: bool = False


class Members:
    """Failure detector of one entry VM."""

    def __init__(
        self,
        cfg: settings.Settings,
        me: str,
        incarnation: int,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Start with no peers; `changed` names them.

        :param incarnation: higher than at any earlier start
        """
        self._cfg = cfg
        self._me = me
        self._incarnation = incarnation
        self._recorder = recorder
        self._random = random.Random(seed)
        self._peers: dict[str, _Peer] = {}
        self._rumours: dict[str, int] = {}
        self._order: list[str] = []
        self._probe: _Probe | None = None
        self._next_at = 0.0
        self._seq = 0
        self._doubt = 0
        self._alive: frozenset[str] | None = None

    def alive(self) -> frozenset[str]:
        """Return the names of the other VMs that are taken as alive."""
        if self._alive is None:
            self._alive = frozenset(
                name
                for name, peer in self._peers.items()
                if peer.health == messages.Health.ALIVE
            )
        return self._alive

    def dead(self) -> frozenset[str]:
        """Return the names of the other VMs that are taken as dead."""
        return frozenset(
            name
            for name, peer in self._peers.items()
            if peer.health == messages.Health.DEAD
        )

    def silent_s(self, name: str, now: float) -> float:
        """Return seconds since a VM stopped being alive, 0 if it is."""
        peer = self._peers.get(name)
        if peer is None or peer.health == messages.Health.ALIVE:
            return 0.0
        return now - peer.since

    def changed(self, new: view.View, now: float) -> list[actions.Action]:
        """Take the entry VMs of a newer configuration."""
        names = {vm.name for vm in new.vms} - {self._me}
        for name in names - self._peers.keys():
            self._peers[name] = _Peer(since=now)
        for name in self._peers.keys() - names:
            del self._peers[name]
            self._rumours.pop(name, None)
        self._alive = None
        return []

    def heard(self, name: str, now: float) -> None:
        """Note that an authentic frame came from a VM just now."""
        peer = self._peers.get(name)
        if peer is not None and peer.health != messages.Health.ALIVE:
            self._set(name, peer, messages.Health.ALIVE, now)

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message of another VM."""
        if peer not in self._peers:
            return []
        self.heard(peer, now)
        for rumour in msg.rumours:
            self._learn(rumour, now)
        if isinstance(msg, messages.Ping):
            ack = messages.Ack(
                msg.seq,
                self._me,
                self._incarnation,
                msg.origin,
                self._news(),
            )
            return [actions.Send(peer, ack)]
        if isinstance(msg, messages.PingRequest):
            ping = messages.Ping(msg.seq, peer, self._news())
            return [actions.Send(msg.target, ping)]
        return self._acknowledged(msg, now)

    def _acknowledged(
        self,
        msg: messages.Ack,
        now: float,
    ) -> list[actions.Action]:
        if msg.origin and msg.origin != self._me:
            return [actions.Send(msg.origin, attrs.evolve(msg, origin=""))]
        rumour = messages.Rumour(
            msg.about,
            msg.incarnation,
            messages.Health.ALIVE,
        )
        self._learn(rumour, now)
        self.heard(msg.about, now)
        if self._probe is not None and self._probe.seq == msg.seq:
            self._probe = None
            self._doubt = max(0, self._doubt - 1)
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Probe the next VM and let suspicions run out."""
        out: list[actions.Action] = []
        slow = 1 + self._doubt
        probe = self._probe
        if (
            probe is not None
            and not probe.asked_others
            and now - probe.sent >= DIRECT_S * slow
        ):
            probe.asked_others = True
            out += self._ask_others(probe)
        if now >= self._next_at:
            out += self._next_probe(now)
            self._next_at = now + PERIOD_S * slow
        self._expire(now, slow)
        return out

    def _ask_others(self, probe: _Probe) -> list[actions.Action]:
        others = sorted(self.alive() - {probe.target})
        self._random.shuffle(others)
        request = messages.PingRequest(probe.seq, probe.target, self._news())
        return [actions.Send(name, request) for name in others[:HELPERS]]

    def _next_probe(self, now: float) -> list[actions.Action]:
        if self._probe is not None:
            self._missed(self._probe.target, now)
            self._probe = None
        if not self._order:
            self._order = sorted(self._peers)
            self._random.shuffle(self._order)
        while self._order:
            target = self._order.pop()
            if target in self._peers:
                break
        else:
            return []
        self._seq += 1
        self._probe = _Probe(self._seq, target, now)
        ping = messages.Ping(self._seq, "", self._news())
        return [actions.Send(target, ping)]

    def _missed(self, target: str, now: float) -> None:
        peer = self._peers.get(target)
        if peer is None or peer.health != messages.Health.ALIVE:
            return
        self._doubt = min(MAX_DOUBT, self._doubt + 1)
        self._set(target, peer, messages.Health.SUSPECT, now)

    def _expire(self, now: float, slow: int) -> None:
        limit = self._cfg.limits.suspect_s * slow
        for name, peer in self._peers.items():
            if peer.health != messages.Health.SUSPECT:
                continue
            if now - peer.since >= limit:
                self._set(name, peer, messages.Health.DEAD, now)

    def _learn(self, rumour: messages.Rumour, now: float) -> None:
        if rumour.name == self._me:
            self._refute(rumour)
            return
        peer = self._peers.get(rumour.name)
        if peer is None:
            return
        newer = rumour.incarnation > peer.incarnation
        worse = (
            rumour.incarnation == peer.incarnation
            and rumour.health > peer.health
        )
        if newer or worse:
            peer.incarnation = rumour.incarnation
            self._set(rumour.name, peer, rumour.health, now)

    def _refute(self, rumour: messages.Rumour) -> None:
        if rumour.health == messages.Health.ALIVE:
            return
        if rumour.incarnation < self._incarnation:
            return
        self._incarnation = rumour.incarnation + 1
        self._rumours[self._me] = RUMOUR_SENDS

    def _set(
        self,
        name: str,
        peer: _Peer,
        health: messages.Health,
        now: float,
    ) -> None:
        if peer.health == health:
            return
        peer.health = health
        peer.since = now
        self._alive = None
        self._rumours[name] = RUMOUR_SENDS
        event = events.Event.PEER_SUSPECTED
        if health == messages.Health.ALIVE:
            event = events.Event.PEER_ALIVE
        self._recorder.event(event, peer=name, health=health.name.lower())

    def _news(self) -> tuple[messages.Rumour, ...]:
        names = sorted(
            self._rumours,
            key=lambda name: -self._rumours[name],
        )[:MAX_RUMOURS]
        news = []
        for name in names:
            self._rumours[name] -= 1
            if self._rumours[name] <= 0:
                del self._rumours[name]
            news.append(self._opinion(name))
        return tuple(news)

    def _opinion(self, name: str) -> messages.Rumour:
        if name == self._me:
            health = messages.Health.ALIVE
            return messages.Rumour(name, self._incarnation, health)
        peer = self._peers[name]
        return messages.Rumour(name, peer.incarnation, peer.health)
