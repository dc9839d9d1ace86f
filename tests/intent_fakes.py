"""A node without a network, for the tests of the operators' API."""

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
    """Return five entry VMs over four data centres, three voting."""
    centres = ("north", "south", "east", "west", "north")
    return tuple(
        view.Vm(f"vm-{i}", f"127.20.0.{i}", centre, "west-europe", i <= 3)
        for i, centre in enumerate(centres, start=1)
    )


def cfg() -> settings.Settings:
    """Return settings that listen on any free port."""
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
    """Return an upstream as it announces itself."""
    address = f"127.40.0.{last}"
    return view.Upstream(0, name, address, 9000, 9001, centre, 2, 2000, 1)


class FakeNode:
    """An `intent_http.IntentPort` on one state machine."""

    def __init__(self) -> None:
        """Start with the VMs admitted and a leader."""
        self.cfg = cfg()
        self.recorder = recorders.MemoryRecorder()
        self.machine = control_state.Machine()
        self.machine.apply(commands.Genesis(vms()))
        self.slice = intents.Intents(self.cfg, self.recorder, seed=1)
        self.server = intent_http.IntentServer(self.cfg, self, self.recorder)
        self.load = messages.Facts(counted_by=5)
        self.leader = "vm-1"
        self.lost_answers = 0
        self.now = 0.0
        self._clock = itertools.count(1_000_000)

    def ask(self, req: int, request: requests.Request) -> None:
        """Hand a request to the slice and carry out what it says."""
        wall = float(next(self._clock))
        self.do(self.slice.ask(req, request, self.load, self.now, wall))

    def do(self, todo: list[actions.Action]) -> None:
        """Carry out actions; a proposal is decided at once."""
        for act in todo:
            if isinstance(act, actions.Reply):
                self.server.answer(act)
            if isinstance(act, actions.Propose):
                end = self._decide(act)
                self.do(self.slice.ended(end, self.now))

    def _decide(self, act: actions.Propose) -> actions.Decided:
        if not self.leader:
            return actions.Decided(act.token, False, None, "no_leader")
        result = self.machine.apply(act.command)
        if self.lost_answers:
            self.lost_answers -= 1
            return actions.Decided(act.token, False, None, "no_leader")
        return actions.Decided(act.token, True, result)

    def view(self) -> view.View:
        """Return the view."""
        return self.machine.view

    def facts(self) -> status.NodeFacts:
        """Return that all is well, or that nobody leads."""
        return status.NodeFacts(
            me="vm-1",
            leader=self.leader,
            leased=bool(self.leader),
            wall=1_000_000.0,
            load=self.load,
        )
