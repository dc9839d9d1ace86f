"""Random search for safety faults of agreement under failures."""

import os

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from tests import agreement_fakes as fakes

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))
NAMES = ("a", "b", "c")
ALL = (*NAMES, "d")
NAME = st.sampled_from(ALL)


class FaultMachine(stateful.RuleBasedStateMachine):
    """Proposals during crashes, cuts, lost disks and a bad network."""

    @stateful.initialize(seed=st.integers(0, 10_000))
    def begin(self, seed):
        self.cluster = fakes.Cluster(NAMES, seed)
        self.cluster.start("d")
        self.wanted = NAMES
        self.history = []
        self.accepted = set()
        self.count = 0

    @stateful.rule(steps=st.integers(1, 60))
    def run_on(self, steps):
        for node in self.cluster.nodes.values():
            node.set_wanted_voters(self.wanted)
        for _ in range(steps):
            self.cluster.step()
            self.check()

    @stateful.rule(name=NAME, count=st.integers(1, 4), again=st.booleans())
    def propose(self, name, count, again):
        if name not in self.cluster.nodes:
            return
        for _ in range(count):
            self.count += not again
            value = f"v{self.count}"
            self.cluster.propose(name, f"t{self.count}", value)
        self.cluster.step()
        self.check()

    @stateful.rule(name=NAME, other=NAME, both=st.booleans())
    def cut(self, name, other, both):
        self.cluster.cuts.add((name, other))
        if both:
            self.cluster.cuts.add((other, name))

    @stateful.rule(left_out=st.sampled_from([*ALL, ""]))
    def want(self, left_out):
        self.wanted = tuple(name for name in ALL if name != left_out)

    @stateful.rule()
    def heal(self):
        self.cluster.cuts.clear()

    @stateful.rule(name=NAME, seconds=st.integers(2, 10))
    def isolate_for_long(self, name, seconds):
        self.cluster.isolate(name)
        for _ in range(seconds):
            for other in ALL:
                self.propose(other, 1, False)
            self.run_on(50)
        self.cluster.cuts.clear()

    @stateful.rule(
        loss=st.sampled_from([0, 0, 0.1, 0.4]),
        duplicate=st.sampled_from([0, 0.3]),
        jitter_s=st.sampled_from([0, 0.05, 0.6]),
    )
    def network(self, loss, duplicate, jitter_s):
        self.cluster.loss = loss
        self.cluster.duplicate = duplicate
        self.cluster.jitter_s = jitter_s

    @stateful.rule(
        name=NAME, steps_to_power_loss=st.integers(0, 6), now=st.booleans()
    )
    def crash(self, name, steps_to_power_loss, now):
        if name not in self.cluster.nodes:
            return
        if now:
            self.cluster.crash(name)
        else:
            self.cluster.disks[name].steps_to_power_loss = steps_to_power_loss

    @stateful.rule(name=NAME)
    def restart(self, name):
        if name in self.cluster.nodes:
            self.cluster.crash(name)
        self.cluster.start(name)
        self.check()

    @stateful.rule(name=NAME)
    def wipe(self, name):
        if not self.may_wipe(name):
            return
        self.cluster.start(name, disk=fakes.Disk())

    @stateful.rule(name=NAME, full=st.booleans())
    def disk_full(self, name, full):
        self.cluster.disks[name].full = full

    def may_wipe(self, name):
        """Return whether each voter list keeps a majority of its disks.

        VMs that are down may hold any list, so all must be up.
        """
        nodes = self.cluster.nodes
        if len(nodes) < len(ALL):
            return False
        identities = {n: node._state.identity for n, node in nodes.items()}
        del identities[name]
        for node in nodes.values():
            for _, voters in node._state.voter_sets:
                voting = [v for v in voters.voters if v.voting]
                kept = [
                    v for v in voting if identities.get(v.name) == v.identity
                ]
                if 2 * len(kept) <= len(voting):
                    return False
        return True

    def check(self):
        """Assert the invariants: one history, no accepted value lost."""
        cluster = self.cluster
        for machine in cluster.machines.values():
            values = machine.values
            common = min(len(values), len(self.history))
            assert values[:common] == self.history[:common]
            self.history += values[common:]
        assert len(set(self.history)) == len(self.history)
        for token, decided in list(cluster.decided.items()):
            if decided.is_committed:
                self.accepted.add("v" + token[1:])
        assert self.accepted <= set(self.history)
        for name, node in cluster.nodes.items():
            if node.may_read(cluster.now):
                assert self.accepted <= set(cluster.machines[name].values)

    def teardown(self):
        """Heal and restart all; assert that all apply the same history."""
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.cuts.clear()
        cluster.loss = cluster.duplicate = cluster.jitter_s = 0.0
        self.wanted = NAMES
        for name in ALL:
            cluster.disks[name].full = False
            cluster.disks[name].steps_to_power_loss = None
            if name not in cluster.nodes:
                cluster.start(name)
        self.run_on(50 * 20)
        assert cluster.put("tlast", "vlast").is_committed
        self.run_on(50)
        for name in NAMES:
            assert cluster.machines[name].values == self.history
        voting = [v.name for v in cluster.nodes["a"].voters if v.voting]
        assert voting == list(NAMES)


TestFaults = FaultMachine.TestCase
TestFaults.settings = settings(
    max_examples=30 + SEEDS * 40,
    stateful_step_count=25,
    deadline=None,
    derandomize=not SEEDS,
    database=None,
)
