"""Simulated cluster for idempotency keys: virtual time, lossy network."""

import heapq
import itertools
import random
import uuid

import attrs

from ebonytally import actions
from ebonytally import commands
from ebonytally import config
from ebonytally import ports
from ebonytally import recorder
from ebonytally.requests import request_dispatcher
from ebonytally.requests import request_head
from ebonytally import settings
from ebonytally import view

STEP_S = 0.05
LEASE_S = 1.5
DOWN_AFTER_S = 1.8
# Wall clock at virtual time 0.
WALL = 1.7e9


def make_key(minted_at: float, number: int) -> str:
    """Return a UUIDv7 created at `minted_at` on the virtual clock."""
    millis = int((WALL + minted_at) * 1000)
    raw = millis << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=raw))


class Slots:
    """Slot source with unlimited slots of three upstreams."""

    def __init__(self) -> None:
        self.full = False

    def acquire_slot(self, service, exclude, now, deadline=None):
        free = [number for number in (1, 2, 3) if number not in exclude]
        if self.full or not free:
            return None
        return view.Upstream(
            free[0], service, "127.0.0.1", 0, 1, "dc-1", 2, 1, 1
        )

    def set_waiting(self, service, count, now):
        return []

    def release_slot(self, upstream, result, now):
        return []


@attrs.define(eq=False)
class Node:
    """One start of an entry VM; times are on the virtual clock.

    :param lag_s: age at which a view reaches it
    :param applied_index: index in `Cluster.view_log` of its view
    """

    requests: request_dispatcher.RequestDispatcher
    incarnation: int
    lag_s: float
    applied_index: int = 0
    lease_until: float = 0.0


@attrs.define
class SentAnswer:
    """Answer to a caller on one copy of its request.

    :param runs_before: how often the key had run by then
    """

    key: str
    answer: actions.RequestAnswer
    runs_before: int


class Cluster:
    """Entry VMs that own idempotency keys, and the leader of the view.

    :param loss: share of messages that are dropped or duplicated
    :param request_settings: fields of `settings.Requests`
    """

    def __init__(
        self, seed: int, count: int = 4, loss=0.0, **request_settings
    ):
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.names = [f"vm-{number}" for number in range(1, count + 1)]
        self.cfg = settings.Settings(
            name="",
            address="",
            data_centre="",
            region="",
            cluster_key="",
            data_folder="",
            seeds=(),
            requests=settings.Requests(**request_settings),
        )
        self.recorder = recorder.MemoryRecorder()
        self.incarnations = itertools.count(1)
        self.sequence = itertools.count()
        self.wire: list[tuple[float, int, str, str, object]] = []
        self.isolated: set[str] = set()
        self.last_heard: dict[str, float] = dict.fromkeys(self.names, 0.0)
        self.view_log: list[tuple[float, view.View]] = [(0.0, view.View())]
        self.nodes: dict[str, Node] = {}
        self.runs: dict[str, int] = {}
        self.sent_requests: dict[int, tuple[str, str]] = {}
        self.attempts: dict[tuple[str, int], str] = {}
        self.sent_answers: list[SentAnswer] = []
        self.req_numbers = itertools.count(1)
        vms = tuple(
            view.Vm(name, f"10.0.0.{number}", f"dc-{number}", "west", True)
            for number, name in enumerate(self.names)
        )
        self.commit(commands.Genesis(vms))
        service = view.Service("desk", "10.1.0.1", 80, 6, ("dc-1",))
        self.commit(commands.ServiceSet(service))
        for name in self.names:
            self.start(name)

    @property
    def latest(self) -> view.View:
        return self.view_log[-1][1]

    def commit(self, command) -> None:
        self.view_log.append((self.now, config.apply(self.latest, command)))

    def start(self, name: str) -> None:
        incarnation = next(self.incarnations)
        node_requests = request_dispatcher.RequestDispatcher(
            self.cfg, name, Slots(), self.recorder, incarnation
        )
        lag_s = self.random.uniform(0.0, 1.0) if self.loss else 0.0
        self.nodes[name] = Node(node_requests, incarnation, lag_s)

    def kill(self, name: str) -> None:
        self.nodes.pop(name, None)

    def mark(self, name: str, state: view.VmState) -> None:
        incarnation = self.nodes[name].incarnation
        self.commit(commands.VmMarked(name, state, incarnation))

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._run_leader()
            self._deliver_messages()
            for name, node in list(self.nodes.items()):
                leased = self.now < node.lease_until
                node.requests.on_connectivity_change(
                    frozenset(), leased, self.now
                )
                self._perform(name, node.requests.tick(self.now))

    def send(self, name, key, content=b"c", timeout_s=5.0) -> int:
        """Send one copy of a request and return its number."""
        req = next(self.req_numbers)
        head = request_head.RequestHead(
            req=req,
            service="desk",
            method="POST",
            idempotent=False,
            key=key,
            content_digest=content,
            body_bytes=1,
            deadline=self.now + timeout_s,
            wall=WALL + self.now,
        )
        self.sent_requests[req] = (name, key)
        node = self.nodes[name]
        self._perform(name, node.requests.handle_request(head, self.now))
        return req

    def finish(self, attempt: tuple[str, int], kind, status=200) -> None:
        """End a dispatched attempt of the VM `attempt[0]`."""
        key = self.attempts.pop(attempt)
        name, number = attempt
        if kind in (ports.AttemptEnd.NOT_SENT, ports.AttemptEnd.SHED):
            self.runs[key] -= 1
        node = self.nodes.get(name)
        if node is None:
            return
        answered = kind is ports.AttemptEnd.ANSWERED
        result = ports.AttemptResult(
            kind,
            0.05,
            status if answered else 0,
            body=key.encode() if answered else b"",
            has_body=answered,
        )
        actions_ = node.requests.on_attempt_end(number, result, self.now)
        self._perform(name, actions_)

    def answers(self, req: int) -> list[actions.RequestAnswer]:
        """Return the answers to request `req`."""
        return [
            sent_answer.answer
            for sent_answer in self.sent_answers
            if sent_answer.answer.req == req
        ]

    def _run_leader(self) -> None:
        for name in self.names:
            node = self.nodes.get(name)
            vm = next(vm for vm in self.latest.vms if vm.name == name)
            if node is None or name in self.isolated:
                silent = self.now - self.last_heard[name] > DOWN_AFTER_S
                if silent and vm.state is not view.VmState.DOWN:
                    state = view.VmState.DOWN
                    down = commands.VmMarked(name, state, vm.incarnation)
                    self.commit(down)
                continue
            self.last_heard[name] = self.now
            down = vm.state is view.VmState.DOWN
            if down or node.incarnation > vm.incarnation:
                self.mark(name, view.VmState.UP)
        for name, node in self.nodes.items():
            if name not in self.isolated:
                self._catch_up(name, node)
                node.lease_until = self.now + LEASE_S

    def _catch_up(self, name: str, node: Node) -> None:
        """Apply the newest view that is older than the node's lag."""
        reached_index = node.applied_index
        while reached_index + 1 < len(self.view_log):
            if self.view_log[reached_index + 1][0] > self.now - node.lag_s:
                break
            reached_index += 1
        if reached_index > node.applied_index:
            node.applied_index = reached_index
            reached_view = self.view_log[reached_index][1]
            self._perform(
                name, node.requests.on_view_change(reached_view, self.now)
            )

    def _deliver_messages(self) -> None:
        while self.wire and self.wire[0][0] <= self.now:
            _, _, sender, peer, msg = heapq.heappop(self.wire)
            node = self.nodes.get(peer)
            same_side = (sender in self.isolated) == (peer in self.isolated)
            if node is not None and same_side:
                actions_ = node.requests.handle(sender, msg, self.now)
                self._perform(peer, actions_)

    def _perform(self, name: str, actions_) -> None:
        for action in actions_:
            if isinstance(action, actions.Send):
                self._transmit(name, action)
            elif isinstance(action, actions.Dispatch):
                key = self.sent_requests[action.req][1]
                self.runs[key] = self.runs.get(key, 0) + 1
                self.attempts[name, action.attempt] = key
            elif isinstance(action, actions.RequestAnswer):
                key = self.sent_requests[action.req][1]
                self.sent_answers.append(
                    SentAnswer(key, action, self.runs.get(key, 0))
                )

    def _transmit(self, sender: str, action: actions.Send) -> None:
        copies = 1
        if self.random.random() < self.loss:
            copies = self.random.choice((0, 0, 2))
        for _ in range(copies):
            delay_s = 0.002
            if self.loss:
                delay_s = self.random.choice((0.002, 0.05, 0.3, 2.0))
            entry = (
                self.now + delay_s,
                next(self.sequence),
                sender,
                action.peer,
                action.msg,
            )
            heapq.heappush(self.wire, entry)
