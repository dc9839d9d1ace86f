"""Callers and operators of a scenario, and the answers they get."""

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
SILENCE_TIMEOUT_S = 1.0
IDEMPOTENT_SHARE = 0.5
RESEND_SHARE = 0.05
PACKETS_PER_S = 1.0


@attrs.define
class PendingRequest:
    """A copy of a request that an entry VM has not answered yet."""

    mark: str
    vm: str


@attrs.define
class _Attempt:
    """An attempt of an entry VM to run a request on an upstream.

    :param starts: `Vm.starts` when it was made
    """

    vm: str
    starts: int
    run: world_upstreams.Run
    upstream: world_upstreams.Upstream


class Requests:
    """All callers and operators of a world."""

    def __init__(self, world: "worlds.World") -> None:
        """Set up callers that send nothing yet."""
        self._world = world
        self._count = itertools.count(1)
        self._pending: dict[tuple[str, int], PendingRequest] = {}
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
        """Pass a packet to a random VM, as `callers.Fabric` does."""
        running = self._world.running()
        if running:
            vm = self._world.rng.choice(running)
            now = self._world.now
            self._world.run_on(vm, lambda: vm.node.handle_packet(packet, now))

    def on_reset(self, address: str, port: int) -> None:
        """Handle a TCP reset that reached a caller."""
        self.flow_callers.on_reset(address, port)

    def open_flows(self, count: int) -> None:
        """Open flows spread over half a second, then keep sending."""
        for index in range(count):
            self._world.schedule(
                0.5 * index / count,
                lambda: self.flow_callers.open(self._world.now),
            )
        self._world.schedule(0.6, self._send_flow_packets)

    def _send_flow_packets(self) -> None:
        interval_s = 0.1
        open_count = self.flow_callers.count_open()
        count = max(1, round(open_count * PACKETS_PER_S * interval_s))
        self.flow_callers.send_packets(count, self._world.now)
        self._world.schedule(interval_s, self._send_flow_packets)

    # Requests.

    def offer(self, load: float) -> None:
        """Offer requests to all services.

        :param load: share of what all warm upstreams can serve, 0 to 1
        """
        for name, count in self._world.customer.endpoints.items():
            # Each upstream has 2 slots and a mean run time of 0.1 s.
            rate = load * count * 2 / 0.1
            self._schedule_request(name, rate)

    def _schedule_request(self, service: str, rate: float) -> None:
        delay = self._world.rng.expovariate(rate)

        def send_and_reschedule() -> None:
            self.send_request(service)
            self._schedule_request(service, rate)

        self._world.schedule(delay, send_and_reschedule)

    def send_request(self, service: str) -> None:
        """Send a request.

        Some with an idempotency key go to two random VMs at once.
        """
        rng = self._world.rng
        number = next(self._count)
        mark = f"{service}-{number}"
        idempotent = rng.random() < IDEMPOTENT_SHARE
        req = judges.Request(mark, idempotent)
        self._world.judge.requests[mark] = req
        key = ""
        copies = 1
        if not idempotent:
            key = callers.make_uuid7(rng, self._world.wall())
            copies += rng.random() < RESEND_SHARE
        for _ in range(copies):
            self._send_copy(service, req, key)

    def _send_copy(self, service: str, req: judges.Request, key: str) -> None:
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
            content_digest=req.mark.encode(),
            body_bytes=100,
            deadline=now + TIMEOUT_S,
            wall=self._world.wall(),
        )
        self._pending[(vm.cfg.name, number)] = PendingRequest(
            req.mark, vm.cfg.name
        )
        req.in_flight += 1
        self._world.run_on(
            vm, lambda: vm.node.requests.handle_request(head, now)
        )

    def count_pending(self, vm: str) -> int:
        """Return the number of requests that a VM has not answered."""
        return sum(pending.vm == vm for pending in self._pending.values())

    def on_vm_lost(self, name: str) -> None:
        """End the requests and attempts of a VM that is gone."""
        for key in [key for key in self._pending if key[0] == name]:
            pending = self._pending.pop(key)
            self._world.judge.requests[pending.mark].on_answer("cut")
            self.outcomes.append((self._world.now, "cut"))
        for key in [key for key in self._attempts if key[0] == name]:
            del self._attempts[key]

    def perform(self, vm: "worlds.Vm", action: actions.Action) -> None:
        """Carry out an action about requests or operators."""
        if isinstance(action, actions.Dispatch):
            self._dispatch(vm, action)
        elif isinstance(action, actions.Cancel):
            self._cancel(vm, action)
        elif isinstance(action, actions.RequestAnswer):
            self._answer(vm, action)
        elif isinstance(action, actions.OperatorReply):
            on_answer = self._replies.pop(action.req, None)
            if on_answer is not None:
                on_answer(action.answer)

    def _dispatch(self, vm: "worlds.Vm", action: actions.Dispatch) -> None:
        world = self._world
        upstream = world.upstream_at(action.address)
        key = (vm.cfg.name, action.attempt)
        pending = self._pending.get((vm.cfg.name, action.req))
        run = world_upstreams.Run("", lambda result: None, world.now)
        self._attempts[key] = _Attempt(vm.cfg.name, vm.starts, run, upstream)
        reachable = world.net.is_connected(
            vm.cfg.data_centre, upstream.data_centre
        )
        if pending is None or upstream.state == "gone" or not reachable:
            kind = ports.AttemptEnd.NOT_SENT
            world.schedule(0.001, lambda: self._finish_attempt(key, kind))
            return
        run.mark = pending.mark
        world.check_not_taken_out(upstream.data_centre, "request")
        is_silent = vm.cfg.name in upstream.silent_from
        delay = world.customer.between_s
        if is_silent:
            upstream.silent_from.discard(vm.cfg.name)
            kind = ports.AttemptEnd.SILENT
            world.schedule(
                SILENCE_TIMEOUT_S, lambda: self._finish_attempt(key, kind)
            )
            return
        world.schedule(delay, lambda: self._start_run(key))

    def _start_run(self, key: tuple[str, int]) -> None:
        attempt = self._attempts.get(key)
        if attempt is None or attempt.run.cancelled:
            return
        attempt.run.began = self._world.now
        run_s = attempt.upstream.start_run(attempt.run)
        if run_s is None:
            self._finish_attempt(key, ports.AttemptEnd.SHED)
            return
        name = attempt.upstream.name
        service = attempt.upstream.service
        report = reports.Report("run", name, service)
        report = attrs.evolve(report, request=attempt.run.mark)
        self._world.judge.on_report(report, self._world.now)
        self._check_run(attempt)
        self._world.schedule(run_s, lambda: self._finish_run(key, attempt))

    def _check_run(self, attempt: _Attempt) -> None:
        upstream = attempt.upstream
        req = self._world.judge.requests.get(attempt.run.mark)
        if req is not None and not req.idempotent and req.runs > 1:
            self._world.add_violation(f"{req.mark} ran {req.runs} times")
        if req is not None:
            self._check_not_run(req)
        if upstream.cold_overloads:
            self._world.add_violation(
                f"{upstream.name} was overloaded in the cold"
            )
        if upstream.max_running > upstream.slots:
            self._world.add_violation(
                f"{upstream.name} ran {upstream.max_running} requests at once "
                f"in {upstream.slots} slots"
            )

    def _finish_run(self, key: tuple[str, int], attempt: _Attempt) -> None:
        upstream = attempt.upstream
        kind = ports.AttemptEnd.ANSWERED
        if (
            not upstream.end_run(attempt.run)
            or upstream.rng.random() < upstream.lost_answer_share
        ):
            kind = ports.AttemptEnd.LOST
        vm = self._world.vms[attempt.vm]
        is_connected = self._world.net.is_connected(
            upstream.data_centre,
            vm.cfg.data_centre,
        )
        if not is_connected:
            kind = ports.AttemptEnd.SILENT
        delay = self._world.customer.between_s
        self._world.schedule(delay, lambda: self._finish_attempt(key, kind))

    def _finish_attempt(
        self,
        key: tuple[str, int],
        kind: ports.AttemptEnd,
    ) -> None:
        attempt = self._attempts.pop(key, None)
        if attempt is None:
            return
        vm = self._world.vms[attempt.vm]
        if vm.starts != attempt.starts:
            return
        now = self._world.now
        status = 200 if kind == ports.AttemptEnd.ANSWERED else 0
        took_s = now - attempt.run.began
        result = ports.AttemptResult(kind, took_s, status)
        self._world.run_on(
            vm,
            lambda: vm.node.requests.on_attempt_end(key[1], result, now),
        )

    def _cancel(self, vm: "worlds.Vm", action: actions.Cancel) -> None:
        key = (vm.cfg.name, action.attempt)
        attempt = self._attempts.get(key)
        if attempt is None:
            return
        attempt.run.cancelled = True
        if attempt.run in attempt.upstream.running:
            attempt.upstream.running.remove(attempt.run)
        kind = ports.AttemptEnd.CANCELLED
        self._world.schedule(0.0, lambda: self._finish_attempt(key, kind))

    def _answer(self, vm: "worlds.Vm", action: actions.RequestAnswer) -> None:
        pending = self._pending.pop((vm.cfg.name, action.req), None)
        if pending is None:
            return
        outcome = action.outcome.value.replace("_", "-")
        self.outcomes.append((self._world.now, outcome))
        req = self._world.judge.requests[pending.mark]
        req.on_answer(outcome)
        self._check_not_run(req)

    def _check_not_run(self, req: judges.Request) -> None:
        if req.false_not_run and not req.idempotent:
            self._world.add_violation(
                f"{req.mark} ran, but its caller was told not run"
            )

    # Operators.

    def send_operator_request(
        self,
        vm: str,
        request: intent_requests.Request,
        on_answer: Callable[[object], None],
    ) -> None:
        """Send an operator's request to a VM.

        :param on_answer: called with the answer
        """
        target = self._world.vms[vm]
        number = next(self._count)
        self._replies[number] = on_answer
        world = self._world

        def ask_node() -> list[actions.Action]:
            facts = plan_messages.VmFacts()
            return target.node.intents.submit(
                number,
                request,
                facts,
                world.now,
                world.wall(),
            )

        world.run_on(target, ask_node)
