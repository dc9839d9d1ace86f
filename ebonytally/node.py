"""Wires the slices of one daemon together, without any I/O.

The daemon drives a Node with real adapters, scenarios drive it with small
fakes. Every entry takes `now` and returns the actions that adapters have to
carry out.
"""

from typing import Protocol

import attrs

from ebonytally import actions
from ebonytally.agreement import agreement
from ebonytally.agreement import control_runner
from ebonytally.agreement import control_state
from ebonytally.agreement import leader_duties
from ebonytally.agreement import node_control
from ebonytally.flows import flows
from ebonytally.intents import intents
from ebonytally.intents import plan_messages
from ebonytally import node_store
from ebonytally import own_mark
from ebonytally import ports
from ebonytally import recorder as recorders
from ebonytally.requests import requests
from ebonytally import settings
from ebonytally.spread import members
from ebonytally.spread import spread
from ebonytally import status
from ebonytally.upstreams import upstreams
from ebonytally import view
from ebonytally import wire

DUTIES_EVERY_S = 0.1
PROPOSE_AGAIN_S = 1.0
HAND_OVER_LIMIT_S = 8.0
_MEMBERS = range(1, 10)
_SPREAD = range(10, 20)
_PROPOSALS = range(20, 30)
_AGREEMENT = range(100, 200)
_FLOWS = range(200, 300)
_REQUESTS = range(300, 400)
_UPSTREAMS = range(400, 500)


class Router(Protocol):
    """Something that takes messages of other entry VMs."""

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take one message."""


@attrs.frozen
class Reach:
    """Whom this VM hears and whether its lease holds."""

    alive: frozenset[str]
    leased: bool


class Node:
    """All decisions of one entry VM."""

    def __init__(
        self,
        cfg: settings.Settings,
        disk: ports.Disk,
        incarnation: int,
        recorder: recorders.Recorder,
        seed: int,
        now: float,
        runner: control_runner.ControlRunner | None = None,
    ) -> None:
        """Make the slices from the settings and the data folder.

        :param runner: runs what may wait for the disk, at once if None
        """
        me = cfg.name
        self.cfg = cfg
        self.incarnation = incarnation
        first = node_store.first_view(cfg, disk)
        self._store = node_store.ViewStore(disk, first, now)
        self.members = members.Members(
            cfg,
            me,
            incarnation,
            recorder,
            seed,
        )
        self.spread = spread.Spread(cfg, me, first, recorder, seed)
        self.flows = flows.Flows(cfg, me, recorder)
        self.upstreams = upstreams.Upstreams(
            cfg,
            me,
            recorder,
            seed,
        )
        self.requests = requests.Requests(
            cfg,
            me,
            self.upstreams,
            recorder,
            seed,
        )
        self.intents = intents.Intents(cfg, recorder, incarnation)
        self.control = node_control.Control(
            cfg,
            incarnation,
            disk,
            recorder,
            seed,
            runner or control_runner.Inline(),
        )
        self._view: view.View | None = None
        self._reach = Reach(frozenset(), False)
        self._duties_at = now
        self._proposed_at: dict[object, float] = {}
        self._stopping = False
        self._hand_over_until = now

    @property
    def machine(self) -> control_state.Machine | None:
        """Return the state of the log, None where there is no log."""
        return self.control.machine

    @property
    def agreement(self) -> agreement.Agreement | None:
        """Return this VM's part in the log, None if it has none."""
        return self.control.agreement

    @property
    def present(self) -> view.View:
        """Return the newest view applied here."""
        return self.spread.present

    def start(self, now: float) -> list[actions.Action]:
        """Hand the first view to the slices."""
        return self._settle([], now)

    # Entries for the adapters.

    def message(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take an authentic message of another entry VM."""
        kind = wire.kind_of(msg)
        if kind in _MEMBERS:
            out = self.members.handle(peer, msg, now)
        elif kind in _PROPOSALS:
            out = self.control.forwarded(peer, msg, now)
        elif kind in _AGREEMENT:
            out = self.control.handle(peer, msg, now)
        else:
            router = self._router(kind)
            out = [] if router is None else router.handle(peer, msg, now)
        return self._settle(out, now)

    def _router(self, kind: int) -> Router | None:
        if kind in _SPREAD:
            return self.spread
        if kind in _FLOWS:
            return self.flows
        if kind in _REQUESTS:
            return self.requests
        if kind in _UPSTREAMS:
            return self.upstreams
        return None

    def packet(self, data: bytes, now: float) -> list[actions.Action]:
        """Take a packet that the fabric handed over."""
        return self.flows.packet(data, now)

    def settle(
        self,
        out: list[actions.Action],
        now: float,
    ) -> list[actions.Action]:
        """Carry out what stays inside and return the rest.

        Adapters that call a slice directly pass its actions through here.
        """
        return self._settle(out, now)

    def tick(self, now: float) -> list[actions.Action]:
        """Do what is due in every slice."""
        out = self.members.tick(now)
        self.spread.lead(self.control.term(now), now)
        out += self.spread.tick(now)
        out += self.control.tick(now)
        out += self.flows.tick(now)
        out += self.upstreams.tick(now)
        out += self.requests.tick(now)
        out += self.intents.tick(now)
        out += self._duties(now)
        out = self._settle(out, now)
        self._store.tick(self.spread, now)
        return out

    def stop(self, now: float) -> list[actions.Action]:
        """Begin a planned stop: hand over and take nothing new."""
        self._stopping = True
        self._hand_over_until = now + HAND_OVER_LIMIT_S
        out = self.flows.stop(now)
        out += self.requests.stop(now)
        out += self.control.stop(now)
        return self._settle(out, now)

    def idle(self, now: float) -> bool:
        """Return whether a planned stop cuts nothing any more.

        What this VM keeps for others is handed over first; a VM that is
        cut off may find nobody to take it, and stops after a while.
        """
        if self.requests.in_hand:
            return False
        handed_over = self.requests.idle and self.flows.handed_over()
        return handed_over or now >= self._hand_over_until

    def facts(self, now: float, wall: float) -> status.NodeFacts:
        """Return what this VM knows beyond the view.

        :param wall: seconds since 1970
        """
        alive = self.members.alive() | {self.cfg.name}
        silent = tuple(
            status.SilentVm(vm.name, self.members.silent_s(vm.name, now))
            for vm in self.present.vms
            if vm.name not in alive
        )
        loads = tuple(
            plan_messages.UpstreamLoad(upstream, count)
            for upstream, count in sorted(self.flows.open_flows().items())
        )
        load = plan_messages.Facts(
            loads,
            1,
            tuple(vm.name for vm in silent),
        )
        return status.NodeFacts(
            me=self.cfg.name,
            leader=self.spread.leader,
            leased=self.spread.leased(now),
            wall=wall,
            silent=silent,
            load=load,
            stopping=self._stopping,
        )

    # Inside.

    def _duties(self, now: float) -> list[actions.Action]:
        if now < self._duties_at:
            return []
        self._duties_at = now + DUTIES_EVERY_S
        due: list[object] = []
        if self.control.may_read(now):
            control = [vm.name for vm in self.machine.view.vms if vm.control]
            self.agreement.want_voters(tuple(control))
            due += leader_duties.due(
                self.cfg,
                self.machine.view,
                self.spread.applied(now),
                self.spread.lapsed(now),
            )
        if self.spread.leased(now):
            mark = own_mark.due(
                self.present,
                self.cfg.name,
                self.incarnation,
                self._stopping,
            )
            due += [] if mark is None else [mark]
        return [
            actions.Propose("node", command)
            for command in due
            if self._is_fresh(command, now)
        ]

    def _is_fresh(self, command: object, now: float) -> bool:
        """Return whether a command wasn't proposed just now."""
        recent = {
            other: at
            for other, at in self._proposed_at.items()
            if now - at < PROPOSE_AGAIN_S
        }
        self._proposed_at = recent
        if command in recent:
            return False
        recent[command] = now
        return True

    def _settle(
        self,
        out: list[actions.Action],
        now: float,
    ) -> list[actions.Action]:
        outward: list[actions.Action] = []
        todo = list(out)
        while True:
            todo += self._sync(now)
            if not todo:
                return outward
            batch, todo = todo, []
            for action in batch:
                if isinstance(action, actions.Propose):
                    todo += self._propose(action, now)
                elif isinstance(action, actions.Decided):
                    todo += self._decided(action, now)
                elif (
                    isinstance(action, actions.Send)
                    and action.peer == self.cfg.name
                ):
                    todo += self._to_self(action, now)
                else:
                    outward.append(action)

    def _to_self(
        self,
        action: actions.Send,
        now: float,
    ) -> list[actions.Action]:
        kind = wire.kind_of(action.msg)
        router = self._router(kind)
        if router is None:
            return []
        return router.handle(self.cfg.name, action.msg, now)

    def _propose(
        self,
        action: actions.Propose,
        now: float,
    ) -> list[actions.Action]:
        if isinstance(action.command, control_state.READS):
            return self.control.read(action, self.spread.leader, now)
        # Only intents, which are resent, bring tokens of their own.
        lasting = action.token.startswith(node_control.FORWARDED)
        if not lasting and not self.intents.owns(action.token):
            action = self.control.once(action)
        return self.control.propose(action, self._control_vm(), now)

    def _control_vm(self) -> str:
        alive = self.members.alive()
        if self.spread.leader in alive:
            return self.spread.leader
        return next(
            (
                vm.name
                for vm in self.present.vms
                if vm.control and vm.name in alive
            ),
            "",
        )

    def _decided(
        self,
        end: actions.Decided,
        now: float,
    ) -> list[actions.Action]:
        if end.token.startswith(node_control.FORWARDED):
            return self.control.ended(end)
        if self.intents.owns(end.token):
            return self.intents.ended(end, now)
        return []

    def _sync(self, now: float) -> list[actions.Action]:
        """Tell the slices what has changed around them."""
        self._take_effects()
        out: list[actions.Action] = []
        if self.present is not self._view:
            if self._store.lacks_change(self.present):
                self._store.save(self.spread, now)
            # The disk may have let other tasks run: take what is newest.
            self._view = self.present
            for part in (
                self.members,
                self.flows,
                self.upstreams,
                self.requests,
            ):
                out += part.changed(self._view, now)
        out += self._tell_reach(now)
        for service in sorted(self.upstreams.ready()):
            out += self.requests.pump(service, now)
        return out

    def _tell_reach(self, now: float) -> list[actions.Action]:
        alive = self.members.alive()
        leased = self.spread.leased(now)
        old = self._reach
        if old.alive is alive and old.leased == leased:
            return []
        self._reach = Reach(alive, leased)
        out: list[actions.Action] = []
        self.spread.reach(alive)
        for part in (self.flows, self.upstreams, self.requests):
            out += part.reach(alive, leased, now)
        return out

    def _take_effects(self) -> None:
        if self.machine is None:
            return
        for effect in self.machine.effects():
            self.spread.offer(effect.revision, effect.command)
        if self.machine.view.revision > self.present.revision:
            self.spread.adopt(self.machine.view)
