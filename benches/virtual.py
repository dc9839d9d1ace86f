"""A small virtual-time driver: entry VMs, endpoints and callers.

Only the request path is here: the slices of each entry VM, a network
with delays, and a log that commits and spreads after a short while.
"""

from collections.abc import Callable
import heapq
import random

import attrs

from benches import virtual_upstream
from ebonytally import actions
from ebonytally import config
from ebonytally import ports
from ebonytally import recorder
from ebonytally.requests import request_head
from ebonytally.requests import requests
from ebonytally import settings
from ebonytally.upstreams import upstream_announce
from ebonytally.upstreams import upstreams
from ebonytally import view
from ebonytally import wire

TICK_S = 0.05
NEAR_S = 0.0003
FAR_S = 0.0015
COMMIT_S = 0.01
SPREAD_S = 0.15
ANNOUNCE_S = 1.0
DATAGRAM_BYTES = 28
KEY = b"k" * 32
K = ports.AttemptKind
_KIND = {"shed": K.SHED, "runs": K.ANSWERED, "fell": K.LOST}


@attrs.define
class Vm:
    """One entry VM with its request slices."""

    name: str
    data_centre: str
    cfg: settings.Settings
    requests: requests.Requests
    upstreams: ports.SlotSource
    recorder: recorder.MemoryRecorder
    alive: bool = True
    leased: bool = True
    revision: int = 0


@attrs.define
class Call:
    """One caller's request and its end."""

    service: str
    at: float
    deadline: float
    vm: str
    idempotent: bool
    answer: actions.Answer | None = None
    ended: float = 0.0
    attempt: int = 0


MakeSlots = Callable[[settings.Settings, "World"], ports.SlotSource]


class World:
    """Entry VMs, endpoints and callers on one virtual clock.

    :param vms: (name, data centre) pairs
    :param make_slots: builds the slot source under test
    """

    def __init__(
        self,
        seed: int,
        vms: list[tuple[str, str]],
        services: list[view.Service],
        endpoints: list[virtual_upstream.Endpoint],
        make_slots: MakeSlots | None = None,
        loss: float = 0.0,
    ) -> None:
        """Start at time zero with everybody in one view."""
        self.now = 0.0
        self.random = random.Random(seed)
        self.loss = loss
        self.view = view.View()
        self.views: list[view.View] = [self.view]
        self.vms: dict[str, Vm] = {}
        self.endpoints = {one.address: one for one in endpoints}
        self.calls: dict[tuple[str, int], Call] = {}
        self.frames: dict[str, int] = {}
        self.bytes: dict[str, int] = {}
        self.cut: Callable[[str, str], bool] = lambda one, two: False
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._next = 1
        self._attempts: dict[
            tuple[str, int],
            tuple[Vm, actions.Dispatch, float],
        ] = {}
        self._make_slots = make_slots or _own_slots
        self._services = services
        for index, (name, data_centre) in enumerate(vms):
            self._add_vm(index, name, data_centre)
        self._genesis()

    def _add_vm(self, index: int, name: str, data_centre: str) -> None:
        cfg = settings.Settings(
            name=name,
            address=f"127.0.0.{index + 1}",
            data_centre=data_centre,
            region="west",
            cluster_key="ab" * 32,
            data_folder="data",
            seeds=(),
        )
        slots = self._make_slots(cfg, self)
        rec = recorder.MemoryRecorder()
        seed = self.random.randrange(2**31)
        self.vms[name] = Vm(
            name,
            data_centre,
            cfg,
            requests.Requests(cfg, name, slots, rec, seed),
            slots,
            rec,
        )
        self.after(TICK_S * index / 7, lambda: self._tick(name))

    def _genesis(self) -> None:
        self.view = view.View(
            revision=1,
            services=tuple(self._services),
            vms=tuple(
                view.Vm(vm.name, vm.cfg.address, vm.data_centre, "west", True)
                for vm in self.vms.values()
            ),
        )
        for vm in self.vms.values():
            self._show(vm.name, self.view)
        for one in self.endpoints.values():
            self.after(self.random.random() * 0.1, self._announcing(one))

    def after(self, delay_s: float, run: Callable[[], None]) -> None:
        """Run something later."""
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay_s, self._order, run))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, run = heapq.heappop(self._heap)
            run()
        self.now = until

    def _tick(self, name: str) -> None:
        vm = self.vms[name]
        if vm.alive:
            self._do(vm, vm.upstreams.reach(frozenset(), vm.leased, self.now))
            self._do(vm, vm.upstreams.tick(self.now))
            self._do(vm, vm.requests.tick(self.now))
        self.after(TICK_S, lambda: self._tick(name))

    def _show(self, name: str, new: view.View) -> None:
        vm = self.vms[name]
        if not vm.alive or new.revision <= vm.revision:
            return
        vm.revision = new.revision
        self._do(vm, vm.upstreams.changed(new, self.now))
        self._do(vm, vm.requests.changed(new, self.now))

    def apply(self, command: object) -> None:
        """Commit a command and spread the new view."""
        new = config.apply(self.view, command)
        changed = attrs.evolve(new, revision=self.view.revision) != self.view
        self.view = new
        if not changed:
            return
        for name, vm in self.vms.items():
            if vm.leased:
                delay_s = COMMIT_S + self.random.random() * SPREAD_S
                self.after(delay_s, lambda n=name: self._show(n, new))

    def _announcing(
        self,
        one: virtual_upstream.Endpoint,
    ) -> Callable[[], None]:
        def run() -> None:
            self.announce(one)
            self.after(ANNOUNCE_S, run)

        return run

    def announce(
        self,
        one: virtual_upstream.Endpoint,
        state: str = "up",
    ) -> None:
        """Let an endpoint announce itself to the VMs next to it."""
        if not one.up or one.silent or self.now < one.muted_until:
            return
        if self.now >= one.draining:
            state = "draining"
        said = upstream_announce.Announcement(
            service=one.service,
            address=one.address,
            port=7000,
            request_port=8000,
            data_centre=one.data_centre,
            slots=one.slots,
            incarnation=one.incarnation,
            state=upstream_announce.State(state),
        )
        for vm in self.vms.values():
            if vm.alive and vm.data_centre == one.data_centre:
                _, acts = vm.upstreams.announce(said, one.address, self.now)
                self._do(vm, acts)

    def call(
        self,
        service: str,
        timeout_s: float,
        idempotent: bool = True,
    ) -> Call | None:
        """Let a caller's request reach any entry VM."""
        alive = [vm for vm in self.vms.values() if vm.alive]
        if not alive:
            return None
        vm = self.random.choice(alive)
        head = request_head.RequestHead(
            req=self._next,
            service=service,
            method="GET" if idempotent else "POST",
            idempotent=idempotent,
            key="",
            content=b"",
            body_bytes=0,
            deadline=self.now + timeout_s,
            wall=self.now,
        )
        self._next += 1
        call = Call(service, self.now, head.deadline, vm.name, idempotent)
        self.calls[(vm.name, head.req)] = call
        self._do(vm, vm.requests.request(head, self.now))
        return call

    def _do(self, vm: Vm, acts: list[actions.Action]) -> None:
        for act in acts:
            self._act(vm, act)
        for service in sorted(vm.upstreams.ready()):
            self._do(vm, vm.requests.pump(service, self.now))

    def _act(self, vm: Vm, act: actions.Action) -> None:
        if isinstance(act, actions.Send):
            self._send(vm, act)
        elif isinstance(act, actions.Propose):
            if vm.leased:
                self.after(FAR_S, lambda: self.apply(act.command))
        elif isinstance(act, actions.Dispatch):
            self._dispatch(vm, act)
        elif isinstance(act, actions.Answer):
            self._answered(vm, act)

    def _send(self, vm: Vm, act: actions.Send) -> None:
        size = len(wire.encode(KEY, vm.name, act.msg)) + DATAGRAM_BYTES
        self.frames[vm.name] = self.frames.get(vm.name, 0) + 1
        self.bytes[vm.name] = self.bytes.get(vm.name, 0) + size
        if self.cut(vm.name, act.peer) or self.random.random() < self.loss:
            return
        peer = self.vms[act.peer]
        near = peer.data_centre == vm.data_centre
        delay_s = (NEAR_S if near else FAR_S) * (0.9 + self.random.random())
        self.after(delay_s, lambda: self._receive(peer, vm.name, act.msg))

    def _receive(self, vm: Vm, sender: str, msg: object) -> None:
        if vm.alive:
            self._do(vm, vm.upstreams.handle(sender, msg, self.now))

    def _answered(self, vm: Vm, act: actions.Answer) -> None:
        call = self.calls.get((vm.name, act.req))
        if call and call.answer is None:
            call.answer = act
            call.ended = self.now

    def _dispatch(self, vm: Vm, act: actions.Dispatch) -> None:
        one = self.endpoints[act.address]
        near = one.data_centre == vm.data_centre
        way_s = NEAR_S if near else FAR_S
        began = self.now
        self.after(way_s, lambda: self._arrive(vm, act, one, way_s, began))

    def _arrive(
        self,
        vm: Vm,
        act: actions.Dispatch,
        one: virtual_upstream.Endpoint,
        way_s: float,
        began: float,
    ) -> None:
        number = (vm.name, act.attempt)
        if one.silent or self.cut(vm.name, one.data_centre):
            silent_s = vm.cfg.requests.silent_s
            self.after(silent_s, lambda: self._end(vm, act, K.NOT_SENT, began))
            return
        if not one.up:
            self.after(way_s, lambda: self._end(vm, act, K.NOT_SENT, began))
            return
        what, took_s = one.begin(number, self.now, self.random)
        if what == "fell":
            self.fall(one)
        if what != "runs":
            self.after(
                took_s + way_s,
                lambda: self._end(vm, act, _KIND[what], began),
            )
            return
        self._attempts[number] = (vm, act, began)
        self.after(
            took_s,
            lambda: self._ran(vm, act, one, way_s, began, took_s),
        )

    def _ran(
        self,
        vm: Vm,
        act: actions.Dispatch,
        one: virtual_upstream.Endpoint,
        way_s: float,
        began: float,
        took_s: float,
    ) -> None:
        number = (vm.name, act.attempt)
        if self._attempts.pop(number, None) is None:
            return
        if number in one.running:
            one.end(number, took_s, self.now)
            kind = K.ANSWERED
        else:
            kind = K.LOST
        if one.silent:
            way_s = vm.cfg.requests.silent_s
            kind = K.LOST
        self.after(way_s, lambda: self._end(vm, act, kind, began))

    def _end(
        self,
        vm: Vm,
        act: actions.Dispatch,
        kind: ports.AttemptKind,
        began: float,
    ) -> None:
        if not vm.alive:
            return
        status = 200 if kind is K.ANSWERED else 0
        result = ports.AttemptResult(kind, self.now - began, status)
        self._do(vm, vm.requests.attempt_done(act.attempt, result, self.now))

    def fall(self, one: virtual_upstream.Endpoint) -> None:
        """Let an endpoint fall over; it is back a second later."""
        self.stop_endpoint(one, 1.0)

    def stop_endpoint(
        self,
        one: virtual_upstream.Endpoint,
        down_s: float,
    ) -> None:
        """Let an endpoint end; what it has in hand is lost at once."""
        cut = one.running
        one.running = {}
        one.up = False
        for number in cut:
            self.after(FAR_S, lambda key=number: self._cut(key))
        self.after(down_s, lambda: self.restart(one))

    def _cut(self, number: tuple[str, int]) -> None:
        found = self._attempts.pop(number, None)
        if found is not None:
            vm, act, began = found
            self._end(vm, act, K.LOST, began)

    def restart(self, one: virtual_upstream.Endpoint) -> None:
        """Start an endpoint anew; it announces itself at once."""
        one.restart()
        self.announce(one)

    def revive(self, name: str) -> None:
        """Start the daemon of a dead entry VM again."""
        old = self.vms[name]
        old.alive = False
        slots = self._make_slots(old.cfg, self)
        rec = recorder.MemoryRecorder()
        seed = self.random.randrange(2**31)
        made = requests.Requests(old.cfg, name, slots, rec, seed)
        new = Vm(name, old.data_centre, old.cfg, made, slots, rec)
        self.vms[name] = new
        self._show(name, self.view)


def _own_slots(cfg: settings.Settings, world: World) -> ports.SlotSource:
    seed = world.random.randrange(2**31)
    return upstreams.Upstreams(
        cfg,
        cfg.name,
        recorder.MemoryRecorder(),
        seed,
    )
