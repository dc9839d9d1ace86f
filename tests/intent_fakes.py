"""A node without a network, for tests of the operators' API."""

import hashlib
import itertools

from ebonytally import actions
from ebonytally.agreement import control_state
from ebonytally import commands
from ebonytally.intents import intent_http
from ebonytally.intents import intent_requests as requests
from ebonytally.intents import intents
from ebonytally.intents import plan_messages as messages
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import status
from ebonytally import view

TOKENS = {"mair": "mair-token", "ion": "ion-token"}
OPERATORS = tuple(
    settings.Operator(name, hashlib.sha256(token.encode()).hexdigest())
    for name, token in TOKENS.items()
)


def vms() -> tuple[view.Vm, ...]:
    """Return five entry VMs in four data centres, three with a vote."""
    centres = ("north", "south", "east", "west", "north")
    return tuple(
        view.Vm(f"vm-{i}", f"127.20.0.{i}", centre, "west-europe", i <= 3)
        for i, centre in enumerate(centres, start=1)
    )


def cfg() -> settings.Settings:
    """Return settings with an operators' port that is any free port."""
    return settings.Settings(
        name="vm-1",
        address="127.0.0.1",
        data_centre="north",
        region="west-europe",
        cluster_key="ab" * 32,
        data_folder="data",
        seeds=(),
        operators=OPERATORS,
        ports=settings.Ports(operators=0),
    )


def service(name: str = "cutting-desk", port: int = 80) -> view.Service:
    """Return a service in three data centres."""
    centres = ("north", "south", "east")
    return view.Service(name, "10.9.0.1", port, 6, centres, slots=64)


def upstream(last: int, centre: str, name: str = "cutting-desk"):
    """Return an upstream as announced, not registered yet (id 0).

    :param last: last byte of its address
    """
    address = f"127.40.0.{last}"
    return view.Upstream(0, name, address, 9000, 9001, centre, 2, 2000, 1)


class FakeNode:
    """An `intent_http.IntentPort` with a single replica.

    :ivar leader: "" makes proposals fail
    :ivar answers_to_lose: how many applied proposals to report as failed
    """

    def __init__(self) -> None:
        """Create a node with a leader; its view has the VMs of `vms`."""
        self.cfg = cfg()
        self.recorder = recorders.MemoryRecorder()
        self.machine = control_state.Machine()
        self.machine.apply(commands.Genesis(vms()))
        self.intents = intents.Intents(self.cfg, self.recorder, seed=1)
        self.server = intent_http.IntentServer(self.cfg, self, self.recorder)
        self.load = messages.VmFacts(counted_by=5)
        self.leader = "vm-1"
        self.answers_to_lose = 0
        self.now = 0.0
        self._wall = itertools.count(1_000_000)

    def submit(self, req: int, request: requests.Request) -> None:
        """Pass a request to `Intents` and execute its actions."""
        wall = float(next(self._wall))
        self.do(self.intents.submit(req, request, self.load, self.now, wall))

    def do(self, pending_actions: list[actions.Action]) -> None:
        """Execute actions; a proposal is decided at once."""
        for action in pending_actions:
            if isinstance(action, actions.OperatorReply):
                self.server.on_reply(action)
            if isinstance(action, actions.Propose):
                decided = self._decide(action)
                self.do(self.intents.on_decided(decided, self.now))

    def _decide(self, action: actions.Propose) -> actions.ProposalResult:
        if not self.leader:
            return actions.ProposalResult(
                action.token, False, None, "no_leader"
            )
        result = self.machine.apply(action.command)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return actions.ProposalResult(
                action.token, False, None, "no_leader"
            )
        return actions.ProposalResult(action.token, True, result)

    def view(self) -> view.View:
        """Return the replica's view."""
        return self.machine.view

    def facts(self) -> status.NodeFacts:
        """Return facts of a healthy VM, cut off when there is no leader."""
        return status.NodeFacts(
            local_vm="vm-1",
            leader=self.leader,
            has_lease=bool(self.leader),
            wall=1_000_000.0,
            load=self.load,
        )
