"""Replays steps of the log specification on the real objects."""

import zlib

from ebonytally import actions
from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import agreement_state
from ebonytally import wire
from modelcheck import log_state
from tests import agreement_fakes as fakes

NAMES = ("a", "b", "c")
# The first voter list and the first leader's entry are two entries in the
# log, but one in the specification.
EXTRA_ENTRIES = 1
EXTRA_TERMS = 1
_ROLES = {
    log_state.Role.FOLLOWER: agreement_state.Role.FOLLOWER,
    log_state.Role.CANDIDATE: agreement_state.Role.CANDIDATE,
    log_state.Role.LEADER: agreement_state.Role.LEADER,
}


class Replay:
    """Three Agreement objects; the replay delivers each message."""

    def __init__(self):
        """Form the voter list, then freeze network and clock."""
        self.cluster = fakes.Cluster(NAMES)
        self.cluster.elect()
        self.cluster.run(1.0)
        for name in NAMES:
            self.cluster.start(name)
        self.now = self.cluster.now
        self.requests = {}
        self.held_request = None
        self.count = 0

    def node(self, vm):
        return self.cluster.nodes[NAMES[vm]]

    def storage(self, vm):
        return self.node(vm)._state.storage

    def deliver(self, vm, sender, msg, kind):
        """Deliver a message; return its first reply of a class."""
        acts = self.node(vm).handle(NAMES[sender], msg, self.now)
        sent = [act.msg for act in acts if isinstance(act, actions.Send)]
        return next((msg for msg in sent if isinstance(msg, kind)), None)

    def do(self, label):
        """Carry out one step of the specification."""
        getattr(self, "_" + label[0])(*label[1:])

    def _stand(self, vm):
        node = self.node(vm)
        msg = messages.TimeoutNow(node.generation, node.term)
        other = (vm + 1) % 3
        request = self.deliver(vm, other, msg, messages.VoteRequest)
        self.requests[vm] = request

    def _vote(self, vm, other):
        reply = self.ask_vote(vm, other)
        assert reply.granted
        self.deliver(vm, other, reply, messages.VoteReply)

    def _refuse(self, vm, other):
        assert not self.ask_vote(vm, other).granted

    def ask_vote(self, vm, other):
        return self.deliver(other, vm, self.requests[vm], messages.VoteReply)

    def _propose(self, vm):
        self.count += 1
        put = fakes.Put(f"v{self.count}")
        self.node(vm).propose(f"t{self.count}", put, self.now)

    def _request(self, vm, prev, count):
        storage = self.storage(vm)
        entries = ()
        if count and prev < storage.last_index:
            entries = storage.entries(prev + 1, count, 1 << 20)
        return messages.AppendRequest(
            self.node(vm).generation,
            self.node(vm).term,
            prev,
            storage.term_at(prev),
            entries,
            storage.commit,
            self.now,
        )

    def _agreeing(self, vm, other):
        leader, follower = self.storage(vm), self.storage(other)
        prev = 0
        while prev < min(leader.last_index, follower.last_index):
            # Entries covered by a snapshot are committed, so they agree.
            terms = {leader.term_at(prev + 1), follower.term_at(prev + 1)}
            if len(terms - {None}) > 1:
                break
            prev += 1
        return prev

    def _append(self, answer, vm, other):
        prev = self._agreeing(vm, other)
        count = 1 if prev else 1 + EXTRA_ENTRIES
        self._deliver(self._request(vm, prev, count), answer, vm, other)

    def _probe(self, answer, vm, other):
        prev = self.storage(vm).last_index
        self._deliver(self._request(vm, prev, 0), answer, vm, other)

    def _hold(self, vm, other):
        prev = self._agreeing(vm, other)
        self.held_request = self._request(vm, prev, 1 if prev else 2)

    def _late(self, answer, vm, other):
        self._deliver(self.held_request, answer, vm, other)

    def _deliver(self, request, answer, vm, other):
        reply = self.deliver(other, vm, request, messages.AppendReply)
        assert reply.ok
        if answer == "acked":
            self.deliver(vm, other, reply, messages.AppendRequest)

    def _change(self, vm, other):
        node = self.node(vm)
        identity = self.node(other)._state.identity
        node._state.identities[NAMES[other]] = {identity: self.now}
        node._voter_changes._leader_since = self.now - 60.0
        node._voter_changes.tick(self.now)

    _swap = _change
    _promote = _change

    def _install(self, vm, other):
        node = self.node(vm)
        if node._state.storage.snapshot is None or (
            node._state.storage.snapshot.index < node.applied_index
        ):
            node._applier.save_snapshot()
        snapshot = node._state.storage.snapshot
        data = zlib.compress(wire.pack(snapshot))
        chunk = messages.SnapshotChunk(
            node.generation,
            node.term,
            snapshot.index,
            0,
            len(data),
            zlib.crc32(data),
            data,
            self.now,
        )
        reply = self.deliver(other, vm, chunk, messages.SnapshotReply)
        assert reply.done
        self.deliver(vm, other, reply, messages.AppendRequest)

    def _crash(self, vm):
        self.cluster.crash(NAMES[vm])
        self.cluster.start(NAMES[vm])

    def _wipe(self, vm):
        self.cluster.start(NAMES[vm], disk=fakes.Disk())

    def check(self, state):
        """Assert that all VMs match the specification's state."""
        max_commit = len(state.committed) + EXTRA_ENTRIES
        for vm in log_state.VMS:
            self._check_vm(vm, state.vms[vm], max_commit)

    def _check_vm(self, vm, model, max_commit):
        node = self.node(vm)
        storage = self.storage(vm)
        assert max(0, storage.last_index - EXTRA_ENTRIES) == len(model.log)
        for index, entry in enumerate(model.log, 1 + EXTRA_ENTRIES):
            term = storage.term_at(index)
            assert term in (None, entry.term + EXTRA_TERMS)
        assert node._state.role == _ROLES[model.role]
        if model.term:
            assert node.term == model.term + EXTRA_TERMS
            voted = "" if model.voted is None else NAMES[model.voted]
            assert storage.vote.voted_for == voted
        if model.commit:
            assert storage.commit >= model.commit + EXTRA_ENTRIES
        assert storage.commit <= max_commit
