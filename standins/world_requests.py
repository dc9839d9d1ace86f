"""Callers and operators of a scenario, and what they are answered."""

from collections.abc import Callable
import itertools
import typing

import attrs

from ebonytally import actions
from ebonytally.intents import intent_requests
from ebonytally.intents import plan_messages
from ebonytally import ports
from ebonytally.requests import request_head
from standins import callers
from standins import judge as judges
from standins import reports
from standins import world_upstreams

if typing.TYPE_CHECKING:
    from standins import world as worlds

TIMEOUT_S = 5.0
SILENT_S = 1.0
IDEMPOTENT_SHARE = 0.5
TWICE_SHARE = 0.05
PACKETS_PER_S = 1.0


@attrs.define
class Asked:
    """A caller's copy of a request in hand at an entry VM."""

    mark: str
    vm: str


@attrs.define
class _Attempt:
    vm: str
    starts: int
    run: world_upstreams.Run
    upstream: world_upstreams.Upstream


class Requests:
    """All callers and operators of a world."""

    def __init__(self, world: "worlds.World") -> None:
        """Start silent."""
        self._world = world
        self._count = itertools.count(1)
        self._asked: dict[tuple[str, int], Asked] = {}
        self._attempts: dict[tuple[str, int], _Attempt] = {}
        self._replies: dict[int, Callable[[object], None]] = {}
        self.flow_callers = callers.FlowCallers(
            self._services(),
            world.judge,
            world.seed + 5,
        )
        self.flow_callers.fabric = self
        self.outcomes: list[tuple[float, str]] = []

    def _services(self) -> list[callers.Service]:
        return [
            callers.Service(name, self._world.address(name), 443, 0.0)
            for name in self._world.customer.endpoints
        ]

    # Flows.

    def spray(self, packet: bytes) -> None:
        """Hand a packet to any VM, as the fabric does."""
        running = self._world.running()
        if running:
            vm = self._world.rng.choice(running)
            now = self._world.now
            self._world.on(vm, lambda: vm.node.packet(packet, now))

    def reset(self, address: str, port: int) -> None:
        """Take a reset that came to a caller."""
        self.flow_callers.reset(address, port)

    def open_flows(self, count: int) -> None:
        """Open flows, half a second apart at most in all."""
        for index in range(count):
            self._world.later(
                0.5 * index / count,
                lambda: self.flow_callers.open(self._world.now),
            )
        self._world.later(0.6, self._talk)

    def _talk(self) -> None:
        step = 0.1
        live = self.flow_callers.live()
        count = max(1, round(live * PACKETS_PER_S * step))
        self.flow_callers.talk(count, self._world.now)
        self._world.later(step, self._talk)

    # Requests.

    def offer(self, load: float) -> None:
        """Offer requests to all services at a share of full load."""
        for name, count in self._world.customer.endpoints.items():
            rate = load * count * 2 / 0.1
            self._next(name, rate)

    def _next(self, service: str, rate: float) -> None:
        delay = self._world.rng.expovariate(rate)

        def ask() -> None:
            self.ask(service)
            self._next(service, rate)

        self._world.later(delay, ask)

    def ask(self, service: str) -> None:
        """Send a request, sometimes twice at the same time."""
        rng = self._world.rng
        number = next(self._count)
        mark = f"{service}-{number}"
        idempotent = rng.random() < IDEMPOTENT_SHARE
        req = judges.Request(mark, idempotent)
        self._world.judge.requests[mark] = req
        key = ""
        copies = 1
        if not idempotent:
            key = callers.uuid7(rng, self._world.wall())
            copies += rng.random() < TWICE_SHARE
        for _ in range(copies):
            self._copy(service, req, key)

    def _copy(self, service: str, req: judges.Request, key: str) -> None:
        running = self._world.running()
        if not running:
            return
        vm = self._world.rng.choice(running)
        number = next(self._count)
        now = self._world.now
        head = request_head.RequestHead(
            req=number,
            service=service,
            method="POST",
            idempotent=req.idempotent,
            key=key,
            content=req.mark.encode(),
            body_bytes=100,
            deadline=now + TIMEOUT_S,
            wall=self._world.wall(),
        )
        self._asked[(vm.cfg.name, number)] = Asked(req.mark, vm.cfg.name)
        req.in_hand += 1
        self._world.on(vm, lambda: vm.node.requests.request(head, now))

    def held_by(self, vm: str) -> int:
        """Return the number of requests in hand at a VM."""
        return sum(asked.vm == vm for asked in self._asked.values())

    def lost_vm(self, name: str) -> None:
        """Forget what was in hand at a VM that is gone."""
        for key in [key for key in self._asked if key[0] == name]:
            asked = self._asked.pop(key)
            self._world.judge.requests[asked.mark].ended("cut")
            self.outcomes.append((self._world.now, "cut"))
        for key in [key for key in self._attempts if key[0] == name]:
            del self._attempts[key]

    def perform(self, vm: "worlds.Vm", action: actions.Action) -> None:
        """Carry out an action that concerns requests or operators."""
        if isinstance(action, actions.Dispatch):
            self._dispatch(vm, action)
        elif isinstance(action, actions.Cancel):
            self._cancel(vm, action)
        elif isinstance(action, actions.Answer):
            self._answer(vm, action)
        elif isinstance(action, actions.Reply):
            take = self._replies.pop(action.req, None)
            if take is not None:
                take(action.answer)

    def _dispatch(self, vm: "worlds.Vm", action: actions.Dispatch) -> None:
        world = self._world
        one = world.upstream_at(action.address)
        key = (vm.cfg.name, action.attempt)
        asked = self._asked.get((vm.cfg.name, action.req))
        run = world_upstreams.Run("", lambda result: None, world.now)
        self._attempts[key] = _Attempt(vm.cfg.name, vm.starts, run, one)
        reachable = world.net.joined(vm.cfg.data_centre, one.data_centre)
        if asked is None or one.state == "gone" or not reachable:
            kind = ports.AttemptKind.NOT_SENT
            world.later(0.001, lambda: self._done(key, kind))
            return
        run.mark = asked.mark
        world.check_out(one.data_centre, "request")
        silent = vm.cfg.name in one.silent_from
        delay = world.customer.between_s
        if silent:
            one.silent_from.discard(vm.cfg.name)
            kind = ports.AttemptKind.SILENT
            world.later(SILENT_S, lambda: self._done(key, kind))
            return
        world.later(delay, lambda: self._arrive(key))

    def _arrive(self, key: tuple[str, int]) -> None:
        attempt = self._attempts.get(key)
        if attempt is None or attempt.run.cancelled:
            return
        attempt.run.began = self._world.now
        took = attempt.upstream.begin(attempt.run)
        if took is None:
            self._done(key, ports.AttemptKind.SHED)
            return
        name = attempt.upstream.name
        service = attempt.upstream.service
        report = reports.Report("run", name, service)
        report = attrs.evolve(report, request=attempt.run.mark)
        self._world.judge.take(report, self._world.now)
        self._check_run(attempt)
        self._world.later(took, lambda: self._finish(key, attempt))

    def _check_run(self, attempt: _Attempt) -> None:
        one = attempt.upstream
        req = self._world.judge.requests.get(attempt.run.mark)
        if req is not None and not req.idempotent and req.runs > 1:
            self._world.break_promise(f"{req.mark} ran {req.runs} times")
        if req is not None:
            self._check_not_run(req)
        if one.fell:
            self._world.break_promise(f"{one.name} fell over in the cold")
        if one.most_running > one.slots:
            self._world.break_promise(f"{one.name} ran {one.most_running}")

    def _finish(self, key: tuple[str, int], attempt: _Attempt) -> None:
        one = attempt.upstream
        kind = ports.AttemptKind.ANSWERED
        if not one.end(attempt.run) or one.rng.random() < one.lose_answers:
            kind = ports.AttemptKind.LOST
        vm = self._world.vms[attempt.vm]
        joined = self._world.net.joined(
            one.data_centre,
            vm.cfg.data_centre,
        )
        if not joined:
            kind = ports.AttemptKind.SILENT
        delay = self._world.customer.between_s
        self._world.later(delay, lambda: self._done(key, kind))

    def _done(
        self,
        key: tuple[str, int],
        kind: ports.AttemptKind,
    ) -> None:
        attempt = self._attempts.pop(key, None)
        if attempt is None:
            return
        vm = self._world.vms[attempt.vm]
        if vm.starts != attempt.starts:
            return
        now = self._world.now
        status = 200 if kind == ports.AttemptKind.ANSWERED else 0
        took = now - attempt.run.began
        result = ports.AttemptResult(kind, took, status)
        self._world.on(
            vm,
            lambda: vm.node.requests.attempt_done(key[1], result, now),
        )

    def _cancel(self, vm: "worlds.Vm", action: actions.Cancel) -> None:
        key = (vm.cfg.name, action.attempt)
        attempt = self._attempts.get(key)
        if attempt is None:
            return
        attempt.run.cancelled = True
        if attempt.run in attempt.upstream.running:
            attempt.upstream.running.remove(attempt.run)
        kind = ports.AttemptKind.CANCELLED
        self._world.later(0.0, lambda: self._done(key, kind))

    def _answer(self, vm: "worlds.Vm", action: actions.Answer) -> None:
        asked = self._asked.pop((vm.cfg.name, action.req), None)
        if asked is None:
            return
        outcome = action.outcome.value.replace("_", "-")
        self.outcomes.append((self._world.now, outcome))
        req = self._world.judge.requests[asked.mark]
        req.ended(outcome)
        self._check_not_run(req)

    def _check_not_run(self, req: judges.Request) -> None:
        if req.false_not_run and not req.idempotent:
            self._world.break_promise(f"{req.mark} ran, told not run")

    # Operators.

    def operate(
        self,
        vm: str,
        request: intent_requests.Request,
        take: Callable[[object], None],
    ) -> None:
        """Ask one VM's operators' interface."""
        one = self._world.vms[vm]
        number = next(self._count)
        self._replies[number] = take
        world = self._world

        def ask() -> list[actions.Action]:
            facts = plan_messages.Facts()
            return one.node.intents.ask(
                number,
                request,
                facts,
                world.now,
                world.wall(),
            )

        world.on(one, ask)
