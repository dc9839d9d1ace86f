"""Whole configurations and reads of them, as a specification.

Three control VMs; leaders of earlier terms go on believing that they
lead, as after a freeze. A leader writes a version to some VMs that have
promised no later term; a majority makes it acknowledged. A read begins
at any VM that believes it leads and is answered once a majority has
confirmed, after that moment, that it follows none later. The highest
version is in force, in whatever order versions come.
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
    """Faults that can be put into the specification."""

    BELIEF_IS_ENOUGH = "belief_is_enough"
    EARLIER_ANSWERS_COUNT = "earlier_answers_count"
    LOWER_VERSION_TAKEN = "lower_version_taken"
    ANY_LEADER_WRITES = "any_leader_writes"
    WIPED_VM_VOTES = "wiped_vm_votes"


class Vm(NamedTuple):
    """One control VM.

    :param promised: highest term that it follows
    :param leads: term in which it believes it leads, 0 for none
    :param term: term of the newest write on its disk
    :param version: in force by its disk
    :param wiped: it lost its disk and has no vote
    """

    promised: int = 0
    leads: int = 0
    term: int = 0
    version: int = 0
    wiped: bool = False


class State(NamedTuple):
    """All VMs, and what callers were told.

    :param acknowledged: highest version acknowledged
    :param reader: VM at which a read waits
    :param at_least: version acknowledged when the read began
    :param confirmed: VMs that have confirmed the reader since
    :param heard: VMs that confirmed it before the read began
    :param answered: version that the last read was answered with
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
    """How far the search goes.

    :param terms: highest term
    :param versions: highest version
    :param wipes: a VM may lose its disk, once
    """

    terms: int
    versions: int
    wipes: bool


class ReadModel(specification.Specification):
    """Transitions of the specification within bounds."""

    name = "configuration reads"
    initial = State()

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return what must hold in each state, by name."""
        return {
            "no_read_is_old": no_read_is_old,
            "nothing_acknowledged_is_lost": nothing_acknowledged_is_lost,
        }

    def steps(self, state: State) -> Iterator[Step]:
        """Yield (label, next state) of every step."""
        for vm in VMS:
            yield from self._elect(state, vm)
            yield from self._write(state, vm)
            yield from self._confirm(state, vm)
            yield from self._read(state, vm)
            yield from self._wipe(state, vm)

    def _elect(self, state: State, vm: int) -> Iterator[Step]:
        term = 1 + max(one.promised for one in state.vms)
        me = state.vms[vm]
        if term > self.bounds.terms or not self._votes(me):
            return
        for voters in majorities(vm):
            others = [state.vms[one] for one in voters]
            if not all(self._votes(one) for one in others):
                continue
            mine = (me.term, me.version)
            if any((one.term, one.version) > mine for one in others):
                continue
            vms = list(state.vms)
            for one in voters:
                vms[one] = vms[one]._replace(promised=term)
            # The new leader writes what it has in its own term first.
            for one in voters:
                vms[one] = vms[one]._replace(
                    term=term, version=me.version, wiped=False
                )
            vms[vm] = vms[vm]._replace(leads=term)
            done = state._replace(vms=tuple(vms))
            done = done._replace(
                acknowledged=max(state.acknowledged, me.version)
            )
            yield ("elect", vm, voters), done

    def _votes(self, vm: Vm) -> bool:
        return not vm.wiped or self.mistake is Mistake.WIPED_VM_VOTES

    def _write(self, state: State, vm: int) -> Iterator[Step]:
        me = state.vms[vm]
        if not me.leads:
            return
        for version in range(1, self.bounds.versions + 1):
            higher = version > me.version
            if self.mistake is Mistake.LOWER_VERSION_TAKEN:
                higher = version != me.version
            if not higher:
                continue
            for count in (1, 2, 3):
                for takers in itertools.combinations(VMS, count):
                    if vm in takers:
                        yield from self._store(state, vm, takers, version)

    def _store(
        self,
        state: State,
        vm: int,
        takers: tuple[int, ...],
        version: int,
    ) -> Iterator[Step]:
        term = state.vms[vm].leads
        follows = all(state.vms[one].promised <= term for one in takers)
        if not follows and self.mistake is not Mistake.ANY_LEADER_WRITES:
            return
        vms = list(state.vms)
        for one in takers:
            vms[one] = vms[one]._replace(
                promised=max(term, vms[one].promised),
                term=term,
                version=version,
                wiped=False,
            )
        done = state._replace(vms=tuple(vms))
        if len(takers) >= MAJORITY:
            highest = max(state.acknowledged, version)
            done = done._replace(acknowledged=highest)
        yield ("write", vm, takers, version), done

    def _confirm(self, state: State, vm: int) -> Iterator[Step]:
        """Let a VM answer the reader that it follows none later."""
        leader = state.reader
        if leader == _NONE:
            for one in VMS:
                term = state.vms[one].leads
                follows = term and state.vms[vm].promised <= term
                if follows and vm not in state.heard:
                    heard = state._replace(heard=state.heard | {vm})
                    yield ("heartbeat", one, vm), heard
            return
        term = state.vms[leader].leads
        if state.vms[vm].promised <= term and vm not in state.confirmed:
            confirmed = state.confirmed | {vm}
            yield ("confirm", vm), state._replace(confirmed=confirmed)

    def _read(self, state: State, vm: int) -> Iterator[Step]:
        me = state.vms[vm]
        if state.reader == _NONE:
            if me.leads:
                begun = state._replace(
                    reader=vm,
                    at_least=state.acknowledged,
                    confirmed=frozenset(),
                    answered=_NONE,
                )
                yield ("read", vm), begun
            return
        if vm != state.reader:
            return
        confirmed = state.confirmed | {vm}
        if self.mistake is Mistake.EARLIER_ANSWERS_COUNT:
            confirmed |= state.heard
        enough = len(confirmed) >= MAJORITY
        if self.mistake is Mistake.BELIEF_IS_ENOUGH:
            enough = True
        if enough:
            answered = state._replace(
                reader=_NONE, answered=me.version, heard=frozenset()
            )
            yield ("answer", vm), answered

    def _wipe(self, state: State, vm: int) -> Iterator[Step]:
        if not self.bounds.wipes or any(one.wiped for one in state.vms):
            return
        if state.reader == vm:
            return
        vms = list(state.vms)
        vms[vm] = Vm(promised=vms[vm].promised, wiped=True)
        if self.mistake is Mistake.WIPED_VM_VOTES:
            vms[vm] = Vm(wiped=True)
        yield ("wipe", vm), state._replace(vms=tuple(vms))


def majorities(vm: int) -> Iterator[tuple[int, ...]]:
    """Yield each majority that a VM is part of."""
    for count in (2, 3):
        for voters in itertools.combinations(VMS, count):
            if vm in voters:
                yield voters


def no_read_is_old(fields: dict) -> bool:
    """A read has at least what was acknowledged when it began."""
    answered = fields["answered"]
    return answered == _NONE or answered >= fields["at_least"]


def nothing_acknowledged_is_lost(fields: dict) -> bool:
    """Each majority that can vote has the highest one acknowledged."""
    voting = [vm for vm in fields["vms"] if not vm.wiped]
    without = sum(vm.version < fields["acknowledged"] for vm in voting)
    return without < MAJORITY
