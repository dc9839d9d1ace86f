"""Failure detector for entry VMs, like SWIM: probe, suspect, refute.

Each period one VM is probed, directly and then through others. A VM that
doesn't answer is suspected, and declared dead unless it refutes that by a
higher incarnation in time. A VM whose own probes fail may be at fault itself
and slows down. The cost per VM is independent of the number of VMs.
"""

import random

import attrs

from ebonytally import actions
from ebonytally.dissemination import failure_detector_messages as messages
from ebonytally import events
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import view

PROBE_PERIOD_S = 0.5
DIRECT_TIMEOUT_S = 0.2
INDIRECT_PROBERS = 3
MAX_UPDATES_PER_MESSAGE = 6
UPDATE_SENDS = 6
MAX_LOCAL_FAILURES = 4


@attrs.define
class _Peer:
    """Known health of another VM and when it changed, in seconds."""

    incarnation: int = 0
    health: messages.Health = messages.Health.ALIVE
    changed_at: float = 0.0


@attrs.define
class _Probe:
    """The probe in progress.

    :param sent_at: seconds, when the direct ping was sent
    :param is_indirect: other VMs were asked to ping, too
    """

    seq: int
    target: str
    sent_at: float
    is_indirect: bool = False


class FailureDetector:
    """Failure detector on one entry VM."""

    def __init__(
        self,
        cfg: settings.Settings,
        local_vm: str,
        incarnation: int,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Set up without peers; `on_view_change` adds them.

        :param incarnation: higher than at any earlier start
        :param seed: for the order of probes
        """
        self._cfg = cfg
        self._local_vm = local_vm
        self._incarnation = incarnation
        self._recorder = recorder
        self._random = random.Random(seed)
        self._peers: dict[str, _Peer] = {}
        self._sends_left: dict[str, int] = {}
        self._probe_order: list[str] = []
        self._probe: _Probe | None = None
        self._next_probe_at = 0.0
        self._seq = 0
        self._local_failures = 0
        self._alive: frozenset[str] | None = None

    def alive(self) -> frozenset[str]:
        """Return the names of the other VMs that are alive."""
        if self._alive is None:
            self._alive = frozenset(
                name
                for name, peer in self._peers.items()
                if peer.health == messages.Health.ALIVE
            )
        return self._alive

    def dead(self) -> frozenset[str]:
        """Return the names of the other VMs that were declared dead."""
        return frozenset(
            name
            for name, peer in self._peers.items()
            if peer.health == messages.Health.DEAD
        )

    def silent_s(self, name: str, now: float) -> float:
        """Return seconds since a VM became suspect or dead, 0 if alive."""
        peer = self._peers.get(name)
        if peer is None or peer.health == messages.Health.ALIVE:
            return 0.0
        return now - peer.changed_at

    def on_view_change(
        self, new_view: view.View, now: float
    ) -> list[actions.Action]:
        """Set the peers to the entry VMs of a newer configuration."""
        names = {vm.name for vm in new_view.vms} - {self._local_vm}
        for name in names - self._peers.keys():
            self._peers[name] = _Peer(changed_at=now)
        for name in self._peers.keys() - names:
            del self._peers[name]
            self._sends_left.pop(name, None)
        self._alive = None
        return []

    def on_frame_received(self, name: str, now: float) -> None:
        """Mark a VM alive, as an authentic frame came from it."""
        peer = self._peers.get(name)
        if peer is not None and peer.health != messages.Health.ALIVE:
            self._set_health(name, peer, messages.Health.ALIVE, now)

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message of the failure detector."""
        if peer not in self._peers:
            return []
        self.on_frame_received(peer, now)
        for update in msg.updates:
            self._apply_update(update, now)
        if isinstance(msg, messages.Ping):
            ack = messages.Ack(
                msg.seq,
                self._local_vm,
                self._incarnation,
                msg.origin,
                self._next_updates(),
            )
            return [actions.Send(peer, ack)]
        if isinstance(msg, messages.PingRequest):
            ping = messages.Ping(msg.seq, peer, self._next_updates())
            return [actions.Send(msg.target, ping)]
        return self._handle_ack(msg, now)

    def _handle_ack(
        self,
        msg: messages.Ack,
        now: float,
    ) -> list[actions.Action]:
        if msg.origin and msg.origin != self._local_vm:
            return [actions.Send(msg.origin, attrs.evolve(msg, origin=""))]
        update = messages.GossipUpdate(
            msg.about,
            msg.incarnation,
            messages.Health.ALIVE,
        )
        self._apply_update(update, now)
        self.on_frame_received(msg.about, now)
        if self._probe is not None and self._probe.seq == msg.seq:
            self._probe = None
            self._local_failures = max(0, self._local_failures - 1)
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Continue probing and declare VMs dead that stay suspect."""
        actions_: list[actions.Action] = []
        slowdown = 1 + self._local_failures
        probe = self._probe
        if (
            probe is not None
            and not probe.is_indirect
            and now - probe.sent_at >= DIRECT_TIMEOUT_S * slowdown
        ):
            probe.is_indirect = True
            actions_ += self._probe_indirectly(probe)
        if now >= self._next_probe_at:
            actions_ += self._next_probe(now)
            self._next_probe_at = now + PROBE_PERIOD_S * slowdown
        self._expire_suspicions(now, slowdown)
        return actions_

    def _probe_indirectly(self, probe: _Probe) -> list[actions.Action]:
        others = sorted(self.alive() - {probe.target})
        self._random.shuffle(others)
        request = messages.PingRequest(
            probe.seq, probe.target, self._next_updates()
        )
        return [
            actions.Send(name, request) for name in others[:INDIRECT_PROBERS]
        ]

    def _next_probe(self, now: float) -> list[actions.Action]:
        if self._probe is not None:
            self._on_probe_timeout(self._probe.target, now)
            self._probe = None
        if not self._probe_order:
            self._probe_order = sorted(self._peers)
            self._random.shuffle(self._probe_order)
        while self._probe_order:
            target = self._probe_order.pop()
            if target in self._peers:
                break
        else:
            return []
        self._seq += 1
        self._probe = _Probe(self._seq, target, now)
        ping = messages.Ping(self._seq, "", self._next_updates())
        return [actions.Send(target, ping)]

    def _on_probe_timeout(self, target: str, now: float) -> None:
        peer = self._peers.get(target)
        if peer is None or peer.health != messages.Health.ALIVE:
            return
        self._local_failures = min(
            MAX_LOCAL_FAILURES, self._local_failures + 1
        )
        self._set_health(target, peer, messages.Health.SUSPECT, now)

    def _expire_suspicions(self, now: float, slowdown: int) -> None:
        limit_s = self._cfg.limits.suspect_s * slowdown
        for name, peer in self._peers.items():
            if peer.health != messages.Health.SUSPECT:
                continue
            if now - peer.changed_at >= limit_s:
                self._set_health(name, peer, messages.Health.DEAD, now)

    def _apply_update(self, update: messages.GossipUpdate, now: float) -> None:
        if update.name == self._local_vm:
            self._refute(update)
            return
        peer = self._peers.get(update.name)
        if peer is None:
            return
        is_newer = update.incarnation > peer.incarnation
        is_worse = (
            update.incarnation == peer.incarnation
            and update.health > peer.health
        )
        if is_newer or is_worse:
            peer.incarnation = update.incarnation
            self._set_health(update.name, peer, update.health, now)

    def _refute(self, update: messages.GossipUpdate) -> None:
        if update.health == messages.Health.ALIVE:
            return
        if update.incarnation < self._incarnation:
            return
        self._incarnation = update.incarnation + 1
        self._sends_left[self._local_vm] = UPDATE_SENDS

    def _set_health(
        self,
        name: str,
        peer: _Peer,
        health: messages.Health,
        now: float,
    ) -> None:
        if peer.health == health:
            return
        peer.health = health
        peer.changed_at = now
        self._alive = None
        self._sends_left[name] = UPDATE_SENDS
        event = events.Event.PEER_SUSPECTED
        if health == messages.Health.ALIVE:
            event = events.Event.PEER_ALIVE
        self._recorder.log_event(event, peer=name, health=health.name.lower())

    def _next_updates(self) -> tuple[messages.GossipUpdate, ...]:
        names = sorted(
            self._sends_left,
            key=lambda name: -self._sends_left[name],
        )[:MAX_UPDATES_PER_MESSAGE]
        updates = []
        for name in names:
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
            updates.append(self._update_about(name))
        return tuple(updates)

    def _update_about(self, name: str) -> messages.GossipUpdate:
        if name == self._local_vm:
            health = messages.Health.ALIVE
            return messages.GossipUpdate(name, self._incarnation, health)
        peer = self._peers[name]
        return messages.GossipUpdate(name, peer.incarnation, peer.health)
