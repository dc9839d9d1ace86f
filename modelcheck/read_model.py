"""Model of configuration writes and linearizable reads.

Three control VMs; leaders of earlier terms keep believing that they lead,
as after a process was paused. A leader writes a version to some VMs that
have accepted no later term; a majority makes it acknowledged. A read
begins at any VM that believes it is the leader and is answered once a
majority has confirmed, after that moment, that it has accepted no later
term. The highest version is in force, whatever the order of arrival.
"""

from collections.abc import Iterator
import enum
import itertools
from typing import NamedTuple

import attrs

from modelcheck import specification

VMS = (0, 1, 2)
MAJORITY = 2
_NONE = -1


class Mistake(enum.Enum):
    """Faults that can be seeded into the model, which must detect them."""

    BELIEF_IS_ENOUGH = "belief_is_enough"
    EARLIER_ANSWERS_COUNT = "earlier_answers_count"
    LOWER_VERSION_TAKEN = "lower_version_taken"
    ANY_LEADER_WRITES = "any_leader_writes"
    WIPED_VM_VOTES = "wiped_vm_votes"


class Vm(NamedTuple):
    """One control VM.

    :param promised: highest term that it has accepted
    :param leads: term in which it believes it is leader, 0 for none
    :param term: term of the newest write on its disk
    :param version: version in force according to its disk
    :param wiped: it lost its disk and may not vote
    """

    promised: int = 0
    leads: int = 0
    term: int = 0
    version: int = 0
    wiped: bool = False


class State(NamedTuple):
    """All VMs, acknowledged writes and the read in progress.

    :param acknowledged: highest version acknowledged
    :param reader: VM that serves the pending read, -1 for none
    :param at_least: version acknowledged when the read began
    :param confirmed: VMs that confirmed the reader since the read began
    :param heard: VMs that answered a heartbeat before the read began
    :param answered: version returned by the last read, -1 for none
    """

    vms: tuple[Vm, ...] = (Vm(),) * 3
    acknowledged: int = 0
    reader: int = _NONE
    at_least: int = 0
    confirmed: frozenset[int] = frozenset()
    heard: frozenset[int] = frozenset()
    answered: int = _NONE


Step = tuple[tuple, State]


@attrs.frozen
class Bounds:
    """Bounds of the state space.

    :param terms: highest term
    :param versions: highest version
    :param wipes: whether a VM may lose its disk, one at a time
    """

    terms: int
    versions: int
    wipes: bool


class ReadModel(specification.Specification):
    """Elections, writes, reads and lost disks of three control VMs."""

    name = "configuration reads"
    initial = State()

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return the predicates that must hold in every state, by name."""
        return {
            "no_read_is_old": no_read_is_old,
            "nothing_acknowledged_is_lost": nothing_acknowledged_is_lost,
        }

    def steps(self, state: State) -> Iterator[Step]:
        """Yield (label, successor) of every transition from a state."""
        for vm in VMS:
            yield from self._elect(state, vm)
            yield from self._write(state, vm)
            yield from self._confirm(state, vm)
            yield from self._read(state, vm)
            yield from self._wipe(state, vm)

    def _elect(self, state: State, vm: int) -> Iterator[Step]:
        term = 1 + max(peer.promised for peer in state.vms)
        candidate = state.vms[vm]
        if term > self.bounds.terms or not self._may_vote(candidate):
            return
        for voters in majorities(vm):
            electorate = [state.vms[voter] for voter in voters]
            if not all(self._may_vote(peer) for peer in electorate):
                continue
            rank = (candidate.term, candidate.version)
            if any((peer.term, peer.version) > rank for peer in electorate):
                continue
            vms = list(state.vms)
            for voter in voters:
                vms[voter] = vms[voter]._replace(promised=term)
            # A new leader first rewrites its version in its own term.
            for voter in voters:
                vms[voter] = vms[voter]._replace(
                    term=term, version=candidate.version, wiped=False
                )
            vms[vm] = vms[vm]._replace(leads=term)
            successor = state._replace(vms=tuple(vms))
            successor = successor._replace(
                acknowledged=max(state.acknowledged, candidate.version)
            )
            yield ("elect", vm, voters), successor

    def _may_vote(self, vm: Vm) -> bool:
        return not vm.wiped or self.mistake is Mistake.WIPED_VM_VOTES

    def _write(self, state: State, vm: int) -> Iterator[Step]:
        leader = state.vms[vm]
        if not leader.leads:
            return
        for version in range(1, self.bounds.versions + 1):
            accepted = version > leader.version
            if self.mistake is Mistake.LOWER_VERSION_TAKEN:
                accepted = version != leader.version
            if not accepted:
                continue
            for count in (1, 2, 3):
                for replicas in itertools.combinations(VMS, count):
                    if vm in replicas:
                        yield from self._replicate(
                            state, vm, replicas, version
                        )

    def _replicate(
        self,
        state: State,
        vm: int,
        replicas: tuple[int, ...],
        version: int,
    ) -> Iterator[Step]:
        """Store a version at some VMs; a majority makes it acknowledged."""
        term = state.vms[vm].leads
        accepted = all(
            state.vms[replica].promised <= term for replica in replicas
        )
        if not accepted and self.mistake is not Mistake.ANY_LEADER_WRITES:
            return
        vms = list(state.vms)
        for replica in replicas:
            vms[replica] = vms[replica]._replace(
                promised=max(term, vms[replica].promised),
                term=term,
                version=version,
                wiped=False,
            )
        successor = state._replace(vms=tuple(vms))
        if len(replicas) >= MAJORITY:
            highest = max(state.acknowledged, version)
            successor = successor._replace(acknowledged=highest)
        yield ("write", vm, replicas, version), successor

    def _confirm(self, state: State, vm: int) -> Iterator[Step]:
        """Let a VM confirm to the reader that it accepted no later term."""
        reader = state.reader
        if reader == _NONE:
            for sender in VMS:
                term = state.vms[sender].leads
                accepted = term and state.vms[vm].promised <= term
                if accepted and vm not in state.heard:
                    successor = state._replace(heard=state.heard | {vm})
                    yield ("heartbeat", sender, vm), successor
            return
        term = state.vms[reader].leads
        if state.vms[vm].promised <= term and vm not in state.confirmed:
            confirmed = state.confirmed | {vm}
            yield ("confirm", vm), state._replace(confirmed=confirmed)

    def _read(self, state: State, vm: int) -> Iterator[Step]:
        leader = state.vms[vm]
        if state.reader == _NONE:
            if leader.leads:
                successor = state._replace(
                    reader=vm,
                    at_least=state.acknowledged,
                    confirmed=frozenset(),
                    answered=_NONE,
                )
                yield ("read", vm), successor
            return
        if vm != state.reader:
            return
        confirmed = state.confirmed | {vm}
        if self.mistake is Mistake.EARLIER_ANSWERS_COUNT:
            confirmed |= state.heard
        has_majority = len(confirmed) >= MAJORITY
        if self.mistake is Mistake.BELIEF_IS_ENOUGH:
            has_majority = True
        if has_majority:
            successor = state._replace(
                reader=_NONE, answered=leader.version, heard=frozenset()
            )
            yield ("answer", vm), successor

    def _wipe(self, state: State, vm: int) -> Iterator[Step]:
        if not self.bounds.wipes or any(peer.wiped for peer in state.vms):
            return
        if state.reader == vm:
            return
        vms = list(state.vms)
        vms[vm] = Vm(promised=vms[vm].promised, wiped=True)
        if self.mistake is Mistake.WIPED_VM_VOTES:
            vms[vm] = Vm(wiped=True)
        yield ("wipe", vm), state._replace(vms=tuple(vms))


def majorities(vm: int) -> Iterator[tuple[int, ...]]:
    """Yield each majority that contains a VM."""
    for count in (2, 3):
        for voters in itertools.combinations(VMS, count):
            if vm in voters:
                yield voters


def no_read_is_old(fields: dict) -> bool:
    """Return whether the last read is as new as the writes before it."""
    answered = fields["answered"]
    return answered == _NONE or answered >= fields["at_least"]


def nothing_acknowledged_is_lost(fields: dict) -> bool:
    """Return whether no majority lacks the acknowledged version."""
    voting = [vm for vm in fields["vms"] if not vm.wiped]
    lacking = sum(vm.version < fields["acknowledged"] for vm in voting)
    return lacking < MAJORITY
