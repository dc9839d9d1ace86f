"""Random changes and losses, with updates late and out of order."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from ebonytally import commands
from ebonytally import view
from tests import flow_bed

TCP = view.Service("s", "10.9.0.1", 80, 6, ("a", "b", "c", "d"), slots=32)
UDP = view.Service("f", "10.9.0.2", 53, 17, ("a", "b", "c", "d"), slots=32)
VMS = [("v1", "a"), ("v2", "b"), ("v3", "c"), ("v4", "d"), ("v5", "a")]
DCS = "abcd"
LIMIT = 60
SEEDS = os.environ.get("EBONYTALLY_SEEDS")

services = strategies.sampled_from([TCP, UDP])
centres = strategies.sampled_from(DCS)
pauses = strategies.sampled_from([0.05, 0.3, 1.0, 3.0])
picks = strategies.integers(0, 99)


class Flows(stateful.RuleBasedStateMachine):
    """Flows go to their first upstream while it stands."""

    @stateful.initialize(
        seed=strategies.integers(0, 2**16),
        delay_s=strategies.sampled_from([0.1, 0.5, 2.0]),
    )
    def start(self, seed, delay_s):
        """Begin with established flows."""
        self.bed = flow_bed.Bed(VMS, [TCP, UDP], seed=seed, delay_s=delay_s)
        self.joined = 0
        self.vms = 5
        for n in range(8):
            self._join((TCP, UDP)[n % 2], DCS[n // 2], 1000)
        self.bed.run(2 * delay_s + 1)
        self.bed.call(TCP, 30)
        self.bed.call(UDP, 15)
        self.bed.run(1, 2.0)

    def _join(self, service, data_centre, share):
        self.joined += 1
        address = f"10.2.0.{self.joined}"
        self.bed.join(service.name, address, data_centre, LIMIT, share)

    def _one(self, service, pick):
        """Return an upstream that may be given up, None for too few."""
        live = [
            up
            for up in self.bed.log.upstreams
            if up.service == service.name and up.state is view.UpstreamState.UP
        ]
        return live[pick % len(live)] if len(live) > 2 else None

    @stateful.rule(service=services, data_centre=centres, cold=picks)
    def join(self, service, data_centre, cold):
        """Start an upstream, warm or cold."""
        self._join(service, data_centre, 1000 if cold % 2 else 100)

    @stateful.rule(service=services, pick=picks, wait=pauses)
    def drain(self, service, pick, wait):
        """Let an upstream leave by plan."""
        up = self._one(service, pick)
        if up:
            self.bed.mark(up.id, view.UpstreamState.DRAINING)
            self.bed.run(wait, 2.0)

    @stateful.rule(service=services, pick=picks)
    def gone(self, service, pick):
        """Lose an upstream."""
        up = self._one(service, pick)
        if up:
            self.bed.gone(up.id)

    @stateful.rule(service=services, pick=picks)
    def warm(self, service, pick):
        """Change a warm share."""
        up = self._one(service, pick)
        if up:
            self.bed.mark(up.id, share=(50, 300, 1000)[pick % 3])

    @stateful.rule(service=services, left=centres)
    def data_centres(self, service, left):
        """Change the data centres that serve a service."""
        rest = tuple(name for name in DCS if name != left)
        new = flow_bed.attrs.evolve(service, data_centres=rest)
        self.bed.commit(commands.ServiceSet(new))

    @stateful.rule(data_centre=centres)
    def out(self, data_centre):
        """Take a data centre out, one at a time."""
        if not self.bed.out_at:
            self.bed.out(data_centre)

    @stateful.rule()
    def back(self):
        """Bring a data centre back."""
        for name in list(self.bed.out_at):
            self.bed.back(name)

    @stateful.rule(data_centre=centres)
    def join_vm(self, data_centre):
        """Add an entry VM."""
        if len(self.bed.vms) < 7:
            self.vms += 1
            self.bed.join_vm(f"v{self.vms}", data_centre)

    @stateful.rule(pick=picks)
    def stop_vm(self, pick):
        """Stop an entry VM by plan."""
        names = sorted(self.bed.vms)
        name = names[pick % len(names)]
        up = view.VmState.UP
        if len(names) > 3 and self.bed._vm(name).state is up:
            self.bed.stop_vm(name)

    @stateful.rule(pick=picks)
    def lose_vm(self, pick):
        """Lose an entry VM, once an earlier loss is repaired."""
        names = sorted(self.bed.vms)
        if len(names) > 3 and self.bed.repaired():
            self.bed.kill_vm(names[pick % len(names)])

    @stateful.rule(service=services, count=strategies.integers(1, 20))
    def call(self, service, count):
        """Begin flows."""
        self.bed.call(service, count)

    @stateful.rule()
    def end_some(self):
        """Close every third flow."""
        for caller in self.bed.open()[::3]:
            self.bed.end(caller)

    @stateful.rule(seconds=pauses)
    def wait(self, seconds):
        """Let time pass."""
        self.bed.run(seconds, 2.0)

    @stateful.invariant()
    def promises_hold(self):
        """No flow moved, no upstream got what it must not get."""
        if hasattr(self, "bed"):
            self.bed.run(0.1, 2.0)
            assert self.bed.faults == []

    def teardown(self):
        """Let everything settle."""
        if hasattr(self, "bed"):
            self.bed.run(4, 2.0)
            assert self.bed.faults == []


Flows.TestCase.settings = hypothesis.settings(
    max_examples=int(SEEDS) if SEEDS else 6,
    stateful_step_count=20,
    derandomize=SEEDS is None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestFlows = Flows.TestCase
