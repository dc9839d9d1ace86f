"""The first voter list and replaced VMs, as a specification.

Three seeds start for the first time; one of them forms the first voter
list and stores it at the others. VMs may lose their disks, one at a time
and not before the list is stored at a majority; such a VM starts as one
that is not to form anything.
"""

from collections.abc import Iterator
import enum
import itertools
from typing import NamedTuple

import attrs

from modelcheck import read_model
from modelcheck import specification

VMS = read_model.VMS
MAJORITY = read_model.MAJORITY


class Mistake(enum.Enum):
    """Faults that can be put into the specification."""

    MAJORITY_FORMS = "majority_forms"
    LISTED_VM_VOTES_FOR_EMPTY = "listed_vm_votes_for_empty"


class Vm(NamedTuple):
    """One control VM.

    :param promised: highest term that it follows
    :param first: it was told that the system starts for the first time
    :param system: term in which its voter list was formed, 0 for none
    """

    promised: int = 0
    first: bool = True
    system: int = 0


class State(NamedTuple):
    """All VMs, and the lists that a majority has ever stored.

    :param wipes: disks lost so far
    """

    vms: tuple[Vm, ...] = (Vm(),) * 3
    established: frozenset[int] = frozenset()
    wipes: int = 0


Step = tuple[tuple, State]


@attrs.frozen
class Bounds:
    """How far the search goes.

    :param terms: highest term
    :param wipes: how many disks are lost
    """

    terms: int
    wipes: int


class VotesModel(specification.Specification):
    """Transitions of the specification within bounds."""

    name = "first voter list"
    initial = State()

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return what must hold in each state, by name."""
        return {"one_system": one_system}

    def steps(self, state: State) -> Iterator[Step]:
        """Yield (label, next state) of every step."""
        for vm in VMS:
            yield from self._form(state, vm)
            yield from self._wipe(state, vm)
            for other in VMS:
                yield from self._store(state, vm, other)

    def _form(self, state: State, vm: int) -> Iterator[Step]:
        """Let a seed form the first list with the votes of all seeds."""
        me = state.vms[vm]
        term = 1 + max(one.promised for one in state.vms)
        if me.system or not me.first or term > self.bounds.terms:
            return
        needed = len(VMS)
        if self.mistake is Mistake.MAJORITY_FORMS:
            needed = MAJORITY
        for count in range(needed, len(VMS) + 1):
            for voters in itertools.combinations(VMS, count):
                if vm in voters and self._vote(state, voters):
                    vms = list(state.vms)
                    for one in voters:
                        vms[one] = vms[one]._replace(promised=term)
                    vms[vm] = vms[vm]._replace(system=term)
                    formed = state._replace(vms=tuple(vms))
                    yield ("form", vm, voters), formed

    def _vote(self, state: State, voters: tuple[int, ...]) -> bool:
        """Return whether these vote for one whose log is empty."""
        if self.mistake is Mistake.LISTED_VM_VOTES_FOR_EMPTY:
            return True
        return not any(state.vms[one].system for one in voters)

    def _store(self, state: State, vm: int, other: int) -> Iterator[Step]:
        """Let a VM pass its list on to one that follows no later term."""
        system = state.vms[vm].system
        target = state.vms[other]
        if not system or target.system or target.promised > system:
            return
        vms = list(state.vms)
        vms[other] = target._replace(promised=system, system=system)
        held = sum(one.system == system for one in vms)
        done = state._replace(vms=tuple(vms))
        if held >= MAJORITY:
            done = done._replace(established=state.established | {system})
        yield ("store", vm, other), done

    def _wipe(self, state: State, vm: int) -> Iterator[Step]:
        """Let a VM lose its disk, if that leaves the list with another."""
        me = state.vms[vm]
        others = [one for one in VMS if one != vm]
        kept = any(
            state.vms[one].system in state.established for one in others
        )
        if state.wipes >= self.bounds.wipes or not kept:
            return
        vms = list(state.vms)
        vms[vm] = Vm(promised=me.promised, first=False)
        wiped = state._replace(vms=tuple(vms), wipes=state.wipes + 1)
        yield ("wipe", vm), wiped


def one_system(fields: dict) -> bool:
    """No second list is ever stored at a majority."""
    return len(fields["established"]) <= 1
