"""State machine: slots are never lent twice, cold upstreams spared."""

import copy
import functools
import os
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from ebonytally import commands
from ebonytally import ports
from ebonytally import view
from tests import upstream_fakes as fakes

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))
K = ports.AttemptKind


@functools.cache
def begun(warm):
    """Return a cluster with three upstreams, cold or warm."""
    cluster = fakes.Cluster()
    for number, home in ((1, "dc-1"), (2, "dc-2"), (3, "dc-2")):
        cluster.say(f"10.1.0.{number}", home)
    cluster.commit_all()
    cluster.settle()
    if warm:
        cluster.work(8.0)
        cluster.net.clear()
    return cluster


class Lending(stateful.RuleBasedStateMachine):
    """Five entry VMs, three upstreams, and a network that misbehaves."""

    @stateful.initialize(warm=st.booleans())
    def begin(self, warm):
        """Start cold or warm."""
        self.all = copy.deepcopy(begun(warm))

    def _keep_announcing(self):
        for number, home in ((1, "dc-1"), (2, "dc-2"), (3, "dc-2")):
            place = self.all.places.get(number)
            if place and place.drained is None:
                self.all.say(f"10.1.0.{number}", home)

    @stateful.rule(vm=st.integers(0, 4), count=st.integers(1, 4))
    def requests(self, vm, count):
        """Requests arrive at a VM."""
        name = sorted(self.all.homes)[vm]
        if name in self.all.slices:
            for _ in range(count):
                self.all.take(name)

    @stateful.rule(tenths=st.integers(1, 12))
    def time(self, tenths):
        """Time passes, messages stay under way."""
        for _ in range(tenths):
            self.all.pass_time(0.1)
        self._keep_announcing()

    @stateful.rule(index=st.integers(0, 50), keep=st.booleans())
    def deliver(self, index, keep):
        """A message arrives, perhaps not for the last time."""
        if self.all.net:
            self.all.deliver(index % len(self.all.net), keep)

    @stateful.rule(index=st.integers(0, 50))
    def drop(self, index):
        """A message is lost."""
        if self.all.net:
            del self.all.net[index % len(self.all.net)]

    @stateful.rule()
    def deliver_all(self):
        """Everything under way arrives."""
        self.all.settle(3)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def busy(self, seconds):
        """All VMs have plenty of work for a while."""
        self.all.work(seconds)

    @stateful.rule(
        seconds=st.sampled_from([0.3, 1.0, 3.0]),
        seed=st.integers(0, 10_000),
    )
    def lossy(self, seconds, seed):
        """Some VMs have work while messages are lost, late or doubled."""
        self.all.work(seconds, rng=random.Random(seed))
        self._keep_announcing()

    @stateful.rule(
        index=st.integers(0, 20),
        kind=st.sampled_from([K.ANSWERED, K.ANSWERED, K.SHED, K.LOST]),
    )
    def end(self, index, kind):
        """An attempt ends."""
        if not self.all.running:
            return
        one = self.all.running[index % len(self.all.running)]
        if self.all.now - one.began >= fakes.TOOK_S:
            self.all.finish(one, kind)

    @stateful.rule(vm=st.integers(0, 4))
    def cut(self, vm):
        """A VM is cut off, or is heard again."""
        self.all.cut ^= {f"vm-{vm + 1}"}

    @stateful.rule(vm=st.integers(0, 4))
    def restart(self, vm):
        """A daemon is killed and starts again at once."""
        name = f"vm-{vm + 1}"
        if name in self.all.slices and name not in self.all.cut:
            self.all.stop(name)
            self.all.start(name)

    @stateful.rule(vm=st.integers(0, 4))
    def mark(self, vm):
        """A VM whose lease ended is marked down, one heard is up."""
        name = f"vm-{vm + 1}"
        down = not self.all.leased[name] and name in self.all.cut
        state = view.VmState.DOWN if down else view.VmState.UP
        known = next(one for one in self.all.view.vms if one.name == name)
        if known.state is not state and (down or name not in self.all.cut):
            self.all.commit(commands.VmMarked(name, state, 0))

    @stateful.rule(vm=st.integers(0, 4))
    def show(self, vm):
        """A VM gets the newest view."""
        name = f"vm-{vm + 1}"
        if name not in self.all.cut:
            self.all.show(name)

    @stateful.rule(upstream=st.integers(1, 3))
    def drain(self, upstream):
        """An upstream drains, heard by VMs that agree on its lender."""
        place = self.all.places.get(upstream)
        newest = len(self.all.views) - 1
        agreed = all(shown == newest for shown in self.all.shown.values())
        if place is None or place.drained or not agreed or self.all.cut:
            return
        home = "dc-1" if upstream == 1 else "dc-2"
        self.all.say(f"10.1.0.{upstream}", home, state="draining")
        self.all.settle(1)
        place.drained = self.all.now

    @stateful.invariant()
    def no_promise_is_broken(self):
        """At most `slots` under way; cold and draining ones spared."""
        assert not self.all.broken


TestLending = Lending.TestCase
TestLending.settings = hypothesis.settings(
    max_examples=SEEDS or 25,
    stateful_step_count=30,
    deadline=None,
    derandomize=not SEEDS,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
