"""State machine: random changes and losses, with delayed updates."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from ebonytally import commands
from ebonytally import view
from tests import flow_harness

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
    """Checks that flows stay at their first upstream while it runs."""

    @stateful.initialize(
        seed=strategies.integers(0, 2**16),
        delay_s=strategies.sampled_from([0.1, 0.5, 2.0]),
    )
    def start(self, seed, delay_s):
        """Start a cluster with established flows."""
        self.harness = flow_harness.FlowHarness(
            VMS, [TCP, UDP], seed=seed, delay_s=delay_s
        )
        self.joined = 0
        self.vms = 5
        for n in range(8):
            self._join((TCP, UDP)[n % 2], DCS[n // 2], 1000)
        self.harness.run(2 * delay_s + 1)
        self.harness.open_flows(TCP, 30)
        self.harness.open_flows(UDP, 15)
        self.harness.run(1, 2.0)

    def _join(self, service, data_centre, share):
        self.joined += 1
        address = f"10.2.0.{self.joined}"
        self.harness.add_upstream(
            service.name, address, data_centre, LIMIT, share
        )

    def _spare_upstream(self, service, pick):
        """Return an upstream to remove, None if at most two are up."""
        live = [
            up
            for up in self.harness.log.upstreams
            if up.service == service.name and up.state is view.UpstreamState.UP
        ]
        return live[pick % len(live)] if len(live) > 2 else None

    @stateful.rule(service=services, data_centre=centres, cold=picks)
    def join(self, service, data_centre, cold):
        """Add an upstream, warm or cold."""
        self._join(service, data_centre, 1000 if cold % 2 else 100)

    @stateful.rule(service=services, pick=picks, wait=pauses)
    def drain(self, service, pick, wait):
        """Drain an upstream."""
        up = self._spare_upstream(service, pick)
        if up:
            self.harness.update_upstream(up.id, view.UpstreamState.DRAINING)
            self.harness.run(wait, 2.0)

    @stateful.rule(service=services, pick=picks)
    def gone(self, service, pick):
        """Remove an upstream without notice."""
        up = self._spare_upstream(service, pick)
        if up:
            self.harness.remove_upstream(up.id)

    @stateful.rule(service=services, pick=picks)
    def warm(self, service, pick):
        """Change an upstream's warm share."""
        up = self._spare_upstream(service, pick)
        if up:
            self.harness.update_upstream(
                up.id, share=(50, 300, 1000)[pick % 3]
            )

    @stateful.rule(service=services, left=centres)
    def data_centres(self, service, left):
        """Change the data centres that serve a service."""
        rest = tuple(name for name in DCS if name != left)
        new = flow_harness.attrs.evolve(service, data_centres=rest)
        self.harness.commit(commands.ServiceSet(new))

    @stateful.rule(data_centre=centres)
    def out(self, data_centre):
        """Take a data centre out, unless another one is out."""
        if not self.harness.out_at:
            self.harness.take_out(data_centre)

    @stateful.rule()
    def back(self):
        """Bring a data centre back."""
        for name in list(self.harness.out_at):
            self.harness.bring_back(name)

    @stateful.rule(data_centre=centres)
    def join_vm(self, data_centre):
        """Add an entry VM."""
        if len(self.harness.vms) < 7:
            self.vms += 1
            self.harness.join_vm(f"v{self.vms}", data_centre)

    @stateful.rule(pick=picks)
    def stop_vm(self, pick):
        """Begin a planned stop of an entry VM."""
        names = sorted(self.harness.vms)
        name = names[pick % len(names)]
        up = view.VmState.UP
        if len(names) > 3 and self.harness._vm(name).state is up:
            self.harness.stop_vm(name)

    @stateful.rule(pick=picks)
    def lose_vm(self, pick):
        """Kill an entry VM, once an earlier loss is repaired."""
        names = sorted(self.harness.vms)
        if len(names) > 3 and self.harness.is_repaired():
            self.harness.kill_vm(names[pick % len(names)])

    @stateful.rule(service=services, count=strategies.integers(1, 20))
    def call(self, service, count):
        """Open flows."""
        self.harness.open_flows(service, count)

    @stateful.rule()
    def end_some(self):
        """Close every third flow."""
        for caller in self.harness.open()[::3]:
            self.harness.end(caller)

    @stateful.rule(seconds=pauses)
    def wait(self, seconds):
        """Advance the clock."""
        self.harness.run(seconds, 2.0)

    @stateful.invariant()
    def flows_keep_their_upstreams(self):
        """Check that no flow moved and no upstream got a wrong packet."""
        if hasattr(self, "harness"):
            self.harness.run(0.1, 2.0)
            assert self.harness.faults == []

    def teardown(self):
        """Check again after four seconds without changes."""
        if hasattr(self, "harness"):
            self.harness.run(4, 2.0)
            assert self.harness.faults == []


Flows.TestCase.settings = hypothesis.settings(
    max_examples=int(SEEDS) if SEEDS else 6,
    stateful_step_count=20,
    derandomize=SEEDS is None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestFlows = Flows.TestCase
