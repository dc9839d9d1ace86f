"""Random losses: no key runs twice, and no "not run" is false."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from ebonytally import actions
from ebonytally import ports
from ebonytally import view
from tests import key_cluster

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))
MAX_KEYS = 12
VMS = strategies.integers(0, 3)
KINDS = (
    ports.AttemptEnd.ANSWERED,
    ports.AttemptEnd.LOST,
    ports.AttemptEnd.NOT_SENT,
    ports.AttemptEnd.SHED,
)


class KeyMachine(stateful.RuleBasedStateMachine):
    """State machine that kills, isolates, restarts and stops entry VMs."""

    @stateful.initialize(
        seed=strategies.integers(0, 2**32),
        loss=strategies.sampled_from((0.0, 0.1, 0.4)),
    )
    def begin(self, seed, loss):
        self.cluster = key_cluster.Cluster(
            seed,
            loss=loss,
            max_keys=MAX_KEYS,
        )
        self.cluster.advance(6.0)
        self.keys = []
        self.reqs = []

    def _vm_name(self, number):
        return self.cluster.names[number]

    @stateful.rule(vm=VMS, ahead_s=strategies.floats(-1.0, 1.9))
    def send_new(self, vm, ahead_s):
        minted_at = self.cluster.now + ahead_s
        key = key_cluster.make_key(minted_at, len(self.keys) + 1)
        self.keys.append(key)
        self._send(vm, key)

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(vm=VMS, back=strategies.integers(1, 4))
    def send_again(self, vm, back):
        self._send(vm, self.keys[-min(back, len(self.keys))])

    def _send(self, vm, key):
        name = self._vm_name(vm)
        if name in self.cluster.nodes:
            self.reqs.append(self.cluster.send(name, key))

    @stateful.precondition(lambda self: self.reqs)
    @stateful.rule(back=strategies.integers(1, 3))
    def caller_disconnects(self, back):
        req = self.reqs[-min(back, len(self.reqs))]
        node = self.cluster.nodes.get(self.cluster.sent_requests[req][0])
        if node is not None and node.requests.is_open(req):
            name = self.cluster.sent_requests[req][0]
            actions_ = node.requests.on_caller_gone(req, self.cluster.now)
            self.cluster._perform(name, actions_)

    @stateful.rule(kind=strategies.sampled_from(KINDS))
    def finish(self, kind):
        for attempt in list(self.cluster.attempts)[:1]:
            self.cluster.finish(attempt, kind)

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.3, 1.0, 3.0)))
    def advance(self, seconds):
        self.cluster.advance(seconds)

    @stateful.rule(vm=VMS, restart=strategies.booleans())
    def kill(self, vm, restart):
        self.cluster.kill(self._vm_name(vm))
        if restart:
            self.cluster.start(self._vm_name(vm))

    @stateful.rule()
    def restart_all_down(self):
        for name in self.cluster.names:
            if name not in self.cluster.nodes:
                self.cluster.start(name)

    @stateful.rule(vm=VMS)
    def cut(self, vm):
        self.cluster.isolated ^= {self._vm_name(vm)}

    @stateful.rule(vm=VMS)
    def stop(self, vm):
        name = self._vm_name(vm)
        if name in self.cluster.nodes:
            node = self.cluster.nodes[name]
            node.requests.stop(self.cluster.now)
            self.cluster.mark(name, view.VmState.STOPPING)

    @stateful.invariant()
    def nothing_runs_twice(self):
        for runs in (
            getattr(self, "cluster", None)
            and (self.cluster.runs.values())
            or ()
        ):
            assert runs <= 1

    @stateful.invariant()
    def reported_outcomes_are_true(self):
        cluster = getattr(self, "cluster", None)
        for sent_answer in cluster.sent_answers if cluster else ():
            outcome = sent_answer.answer.outcome
            if outcome is actions.Outcome.NOT_RUN:
                assert sent_answer.runs_before == 0
            if outcome is actions.Outcome.ANSWERED:
                assert sent_answer.runs_before == 1
                body = sent_answer.answer.body
                assert (
                    body in (b"", sent_answer.key.encode())
                    or sent_answer.answer.reason
                )

    @stateful.invariant()
    def memory_is_bounded(self):
        cluster = getattr(self, "cluster", None)
        for node in cluster.nodes.values() if cluster else ():
            assert node.requests.key_count <= MAX_KEYS


KeyMachine.TestCase.settings = hypothesis.settings(
    derandomize=not SEEDS,
    max_examples=SEEDS or 60,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    database=None,
    phases=(
        tuple(hypothesis.Phase) if SEEDS else (hypothesis.Phase.generate,)
    ),
)
TestKeys = KeyMachine.TestCase
