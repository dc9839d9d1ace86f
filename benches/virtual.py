"""Simulation of the request path in virtual time.

Runs the upstream and request components of each entry VM against modelled
endpoints and callers, on a network with delays; the log is replaced by
a delay for commit and dissemination.
"""

from collections.abc import Callable
import heapq
import random

import attrs

from benches import virtual_upstream
from ebonytally import actions
from ebonytally import config
from ebonytally import peer_datagrams
from ebonytally import ports
from ebonytally import recorder
from ebonytally.requests import request_dispatcher
from ebonytally.requests import request_head
from ebonytally import settings
from ebonytally.upstreams import upstream_announce
from ebonytally.upstreams import upstreams
from ebonytally import view
from ebonytally import wire

TICK_S = 0.05
SAME_DC_DELAY_S = 0.0003
CROSS_DC_DELAY_S = 0.0015
COMMIT_DELAY_S = 0.01
MAX_DISSEMINATION_DELAY_S = 0.15
ANNOUNCE_INTERVAL_S = 1.0
KEY = b"k" * 32
_AttemptEnd = ports.AttemptEnd
_ATTEMPT_KINDS = {
    "shed": _AttemptEnd.SHED,
    "runs": _AttemptEnd.ANSWERED,
    "fell": _AttemptEnd.LOST,
}


@attrs.define
class Vm:
    """An entry VM with its upstream and request components."""

    name: str
    data_centre: str
    cfg: settings.Settings
    requests: request_dispatcher.RequestDispatcher
    upstreams: ports.SlotSource
    recorder: recorder.MemoryRecorder
    alive: bool = True
    leased: bool = True
    revision: int = 0


@attrs.define
class Call:
    """A caller's request and its answer."""

    service: str
    at: float
    deadline: float
    vm: str
    idempotent: bool
    answer: actions.RequestAnswer | None = None
    ended: float = 0.0
    attempt: int = 0


MakeSlots = Callable[[settings.Settings, "World"], ports.SlotSource]


class World:
    """Entry VMs, endpoints and callers on one virtual clock.

    :param vms: (name, data centre) pairs
    :param make_slots: builds the slot source under test
    :param loss: share of messages between VMs that are lost
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
        """Create the world at time zero, with one view known to all VMs."""
        self.now = 0.0
        self.random = random.Random(seed)
        self.loss = loss
        self.view = view.View()
        self.views: list[view.View] = [self.view]
        self.vms: dict[str, Vm] = {}
        self.endpoints = {endpoint.address: endpoint for endpoint in endpoints}
        self.calls: dict[tuple[str, int], Call] = {}
        self.frames_sent: dict[str, int] = {}
        self.bytes_sent: dict[str, int] = {}
        self.is_cut: Callable[[str, str], bool] = lambda vm, other: False
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._next_req = 1
        self._attempts: dict[
            tuple[str, int],
            tuple[Vm, actions.Dispatch, float],
        ] = {}
        self._make_slots = make_slots or _make_upstreams
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
        recorder_ = recorder.MemoryRecorder()
        seed = self.random.randrange(2**31)
        self.vms[name] = Vm(
            name,
            data_centre,
            cfg,
            request_dispatcher.RequestDispatcher(
                cfg, name, slots, recorder_, seed
            ),
            slots,
            recorder_,
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
            self._deliver_view(vm.name, self.view)
        for endpoint in self.endpoints.values():
            self.after(
                self.random.random() * 0.1,
                self._periodic_announcement(endpoint),
            )

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        self._sequence += 1
        heapq.heappush(
            self._heap, (self.now + delay_s, self._sequence, callback)
        )

    def run(self, until: float) -> None:
        """Run all callbacks that are due until a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until

    def _tick(self, name: str) -> None:
        vm = self.vms[name]
        if vm.alive:
            self._perform(
                vm,
                vm.upstreams.on_connectivity_change(
                    frozenset(), vm.leased, self.now
                ),
            )
            self._perform(vm, vm.upstreams.tick(self.now))
            self._perform(vm, vm.requests.tick(self.now))
        self.after(TICK_S, lambda: self._tick(name))

    def _deliver_view(self, name: str, new: view.View) -> None:
        vm = self.vms[name]
        if not vm.alive or new.revision <= vm.revision:
            return
        vm.revision = new.revision
        self._perform(vm, vm.upstreams.on_view_change(new, self.now))
        self._perform(vm, vm.requests.on_view_change(new, self.now))

    def apply(self, command: object) -> None:
        """Commit a command and send a changed view to all leased VMs."""
        new = config.apply(self.view, command)
        changed = attrs.evolve(new, revision=self.view.revision) != self.view
        self.view = new
        if not changed:
            return
        for name, vm in self.vms.items():
            if vm.leased:
                delay_s = (
                    COMMIT_DELAY_S
                    + self.random.random() * MAX_DISSEMINATION_DELAY_S
                )
                self.after(delay_s, lambda n=name: self._deliver_view(n, new))

    def _periodic_announcement(
        self,
        endpoint: virtual_upstream.Endpoint,
    ) -> Callable[[], None]:
        def announce() -> None:
            self.announce(endpoint)
            self.after(ANNOUNCE_INTERVAL_S, announce)

        return announce

    def announce(
        self,
        endpoint: virtual_upstream.Endpoint,
        state: str = "up",
    ) -> None:
        """Announce an endpoint to the entry VMs of its data centre."""
        if (
            not endpoint.up
            or endpoint.silent
            or self.now < endpoint.muted_until
        ):
            return
        if self.now >= endpoint.draining_from:
            state = "draining"
        announcement = upstream_announce.Announcement(
            service=endpoint.service,
            address=endpoint.address,
            port=7000,
            request_port=8000,
            data_centre=endpoint.data_centre,
            slots=endpoint.slots,
            incarnation=endpoint.incarnation,
            state=upstream_announce.State(state),
        )
        for vm in self.vms.values():
            if vm.alive and vm.data_centre == endpoint.data_centre:
                _, actions_ = vm.upstreams.on_announcement(
                    announcement, endpoint.address, self.now
                )
                self._perform(vm, actions_)

    def call(
        self,
        service: str,
        timeout_s: float,
        idempotent: bool = True,
    ) -> Call | None:
        """Send a caller's request to a random live entry VM.

        :returns: None when no entry VM is alive
        """
        alive = [vm for vm in self.vms.values() if vm.alive]
        if not alive:
            return None
        vm = self.random.choice(alive)
        head = request_head.RequestHead(
            req=self._next_req,
            service=service,
            method="GET" if idempotent else "POST",
            idempotent=idempotent,
            key="",
            content_digest=b"",
            body_bytes=0,
            deadline=self.now + timeout_s,
            wall=self.now,
        )
        self._next_req += 1
        call = Call(service, self.now, head.deadline, vm.name, idempotent)
        self.calls[(vm.name, head.req)] = call
        self._perform(vm, vm.requests.handle_request(head, self.now))
        return call

    def _perform(self, vm: Vm, actions_: list[actions.Action]) -> None:
        for action in actions_:
            self._perform_action(vm, action)
        for service in sorted(vm.upstreams.pop_ready_services()):
            self._perform(vm, vm.requests.dispatch_waiting(service, self.now))

    def _perform_action(self, vm: Vm, action: actions.Action) -> None:
        if isinstance(action, actions.Send):
            self._send(vm, action)
        elif isinstance(action, actions.Propose):
            if vm.leased:
                self.after(
                    CROSS_DC_DELAY_S, lambda: self.apply(action.command)
                )
        elif isinstance(action, actions.Dispatch):
            self._dispatch(vm, action)
        elif isinstance(action, actions.RequestAnswer):
            self._on_answer(vm, action)

    def _send(self, vm: Vm, action: actions.Send) -> None:
        size = (
            len(wire.encode(KEY, vm.name, action.msg))
            + peer_datagrams.OVERHEAD_BYTES
        )
        self.frames_sent[vm.name] = self.frames_sent.get(vm.name, 0) + 1
        self.bytes_sent[vm.name] = self.bytes_sent.get(vm.name, 0) + size
        if (
            self.is_cut(vm.name, action.peer)
            or self.random.random() < self.loss
        ):
            return
        peer = self.vms[action.peer]
        near = peer.data_centre == vm.data_centre
        delay_s = (SAME_DC_DELAY_S if near else CROSS_DC_DELAY_S) * (
            0.9 + self.random.random()
        )
        self.after(delay_s, lambda: self._receive(peer, vm.name, action.msg))

    def _receive(self, vm: Vm, sender: str, msg: object) -> None:
        if vm.alive:
            self._perform(vm, vm.upstreams.handle(sender, msg, self.now))

    def _on_answer(self, vm: Vm, action: actions.RequestAnswer) -> None:
        call = self.calls.get((vm.name, action.req))
        if call and call.answer is None:
            call.answer = action
            call.ended = self.now

    def _dispatch(self, vm: Vm, action: actions.Dispatch) -> None:
        endpoint = self.endpoints[action.address]
        near = endpoint.data_centre == vm.data_centre
        delay_s = SAME_DC_DELAY_S if near else CROSS_DC_DELAY_S
        began = self.now
        self.after(
            delay_s,
            lambda: self._on_arrival(vm, action, endpoint, delay_s, began),
        )

    def _on_arrival(
        self,
        vm: Vm,
        action: actions.Dispatch,
        endpoint: virtual_upstream.Endpoint,
        delay_s: float,
        began: float,
    ) -> None:
        attempt_id = (vm.name, action.attempt)
        if endpoint.silent or self.is_cut(vm.name, endpoint.data_centre):
            silent_s = vm.cfg.requests.silent_s
            self.after(
                silent_s,
                lambda: self._end_attempt(
                    vm, action, _AttemptEnd.NOT_SENT, began
                ),
            )
            return
        if not endpoint.up:
            self.after(
                delay_s,
                lambda: self._end_attempt(
                    vm, action, _AttemptEnd.NOT_SENT, began
                ),
            )
            return
        result, took_s = endpoint.begin(attempt_id, self.now, self.random)
        if result == "fell":
            self.crash(endpoint)
        if result != "runs":
            self.after(
                took_s + delay_s,
                lambda: self._end_attempt(
                    vm, action, _ATTEMPT_KINDS[result], began
                ),
            )
            return
        self._attempts[attempt_id] = (vm, action, began)
        self.after(
            took_s,
            lambda: self._on_run_end(
                vm, action, endpoint, delay_s, began, took_s
            ),
        )

    def _on_run_end(
        self,
        vm: Vm,
        action: actions.Dispatch,
        endpoint: virtual_upstream.Endpoint,
        delay_s: float,
        began: float,
        took_s: float,
    ) -> None:
        attempt_id = (vm.name, action.attempt)
        if self._attempts.pop(attempt_id, None) is None:
            return
        if attempt_id in endpoint.running:
            endpoint.end(attempt_id, took_s, self.now)
            kind = _AttemptEnd.ANSWERED
        else:
            kind = _AttemptEnd.LOST
        if endpoint.silent:
            delay_s = vm.cfg.requests.silent_s
            kind = _AttemptEnd.LOST
        self.after(delay_s, lambda: self._end_attempt(vm, action, kind, began))

    def _end_attempt(
        self,
        vm: Vm,
        action: actions.Dispatch,
        kind: ports.AttemptEnd,
        began: float,
    ) -> None:
        if not vm.alive:
            return
        status = 200 if kind is _AttemptEnd.ANSWERED else 0
        result = ports.AttemptResult(kind, self.now - began, status)
        self._perform(
            vm, vm.requests.on_attempt_end(action.attempt, result, self.now)
        )

    def crash(self, endpoint: virtual_upstream.Endpoint) -> None:
        """Stop an overloaded endpoint, which restarts a second later."""
        self.stop_endpoint(endpoint, 1.0)

    def stop_endpoint(
        self,
        endpoint: virtual_upstream.Endpoint,
        down_s: float,
    ) -> None:
        """Stop an endpoint; its running requests are lost at once."""
        interrupted = endpoint.running
        endpoint.running = {}
        endpoint.up = False
        for attempt_id in interrupted:
            self.after(
                CROSS_DC_DELAY_S,
                lambda key=attempt_id: self._lose_attempt(key),
            )
        self.after(down_s, lambda: self.restart_endpoint(endpoint))

    def _lose_attempt(self, attempt_id: tuple[str, int]) -> None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is not None:
            vm, action, began = attempt
            self._end_attempt(vm, action, _AttemptEnd.LOST, began)

    def restart_endpoint(self, endpoint: virtual_upstream.Endpoint) -> None:
        """Restart an endpoint, which announces itself at once."""
        endpoint.restart()
        self.announce(endpoint)

    def restart_vm(self, name: str) -> None:
        """Restart the daemon of an entry VM, without its state."""
        old = self.vms[name]
        old.alive = False
        slots = self._make_slots(old.cfg, self)
        recorder_ = recorder.MemoryRecorder()
        seed = self.random.randrange(2**31)
        new_requests = request_dispatcher.RequestDispatcher(
            old.cfg, name, slots, recorder_, seed
        )
        new = Vm(
            name, old.data_centre, old.cfg, new_requests, slots, recorder_
        )
        self.vms[name] = new
        self._deliver_view(name, self.view)


def _make_upstreams(cfg: settings.Settings, world: World) -> ports.SlotSource:
    seed = world.random.randrange(2**31)
    return upstreams.Upstreams(
        cfg,
        cfg.name,
        recorder.MemoryRecorder(),
        seed,
    )
