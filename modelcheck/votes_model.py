"""Model of bootstrapping: the first voter list and replaced VMs.

Three seeds start for the first time; one of them forms the first voter
list and replicates it to the others. VMs may lose their disks, one at a
time and only once a majority has stored the list; such a VM restarts as
one that must not bootstrap.
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
    """Faults that can be seeded into the model, which must detect them."""

    MAJORITY_FORMS = "majority_forms"
    LISTED_VM_VOTES_FOR_EMPTY = "listed_vm_votes_for_empty"


class Vm(NamedTuple):
    """One control VM.

    :param promised: highest term that it has accepted
    :param may_bootstrap: its settings say that the system is new
    :param system: term in which its voter list was formed, 0 for none
    """

    promised: int = 0
    may_bootstrap: bool = True
    system: int = 0


class State(NamedTuple):
    """All VMs, and the history of voter lists.

    :param established: terms of the lists that a majority ever stored
    :param wipes: number of disks lost so far
    """

    vms: tuple[Vm, ...] = (Vm(),) * 3
    established: frozenset[int] = frozenset()
    wipes: int = 0


Step = tuple[tuple, State]


@attrs.frozen
class Bounds:
    """Bounds of the state space.

    :param terms: highest term
    :param wipes: number of disks that may be lost
    """

    terms: int
    wipes: int


class VotesModel(specification.Specification):
    """Seeds forming and replicating voter lists, and losing disks."""

    name = "first voter list"
    initial = State()

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return the predicates that must hold in every state, by name."""
        return {"one_system": one_system}

    def steps(self, state: State) -> Iterator[Step]:
        """Yield (label, successor) of every transition from a state."""
        for vm in VMS:
            yield from self._form(state, vm)
            yield from self._wipe(state, vm)
            for other in VMS:
                yield from self._replicate(state, vm, other)

    def _form(self, state: State, vm: int) -> Iterator[Step]:
        """Let a seed form the first list with the votes of all seeds."""
        seed = state.vms[vm]
        term = 1 + max(peer.promised for peer in state.vms)
        if seed.system or not seed.may_bootstrap or term > self.bounds.terms:
            return
        needed = len(VMS)
        if self.mistake is Mistake.MAJORITY_FORMS:
            needed = MAJORITY
        for count in range(needed, len(VMS) + 1):
            for voters in itertools.combinations(VMS, count):
                if vm in voters and self._are_votes_granted(state, voters):
                    vms = list(state.vms)
                    for voter in voters:
                        vms[voter] = vms[voter]._replace(promised=term)
                    vms[vm] = vms[vm]._replace(system=term)
                    successor = state._replace(vms=tuple(vms))
                    yield ("form", vm, voters), successor

    def _are_votes_granted(
        self, state: State, voters: tuple[int, ...]
    ) -> bool:
        """Return whether these VMs vote for a candidate with an empty log."""
        if self.mistake is Mistake.LISTED_VM_VOTES_FOR_EMPTY:
            return True
        return not any(state.vms[voter].system for voter in voters)

    def _replicate(self, state: State, vm: int, other: int) -> Iterator[Step]:
        """Replicate a VM's list to a peer that accepted no later term."""
        system = state.vms[vm].system
        target = state.vms[other]
        if not system or target.system or target.promised > system:
            return
        vms = list(state.vms)
        vms[other] = target._replace(promised=system, system=system)
        holders = sum(peer.system == system for peer in vms)
        successor = state._replace(vms=tuple(vms))
        if holders >= MAJORITY:
            successor = successor._replace(
                established=state.established | {system}
            )
        yield ("store", vm, other), successor

    def _wipe(self, state: State, vm: int) -> Iterator[Step]:
        """Let a VM lose its disk if another VM has an established list."""
        lost = state.vms[vm]
        others = [other for other in VMS if other != vm]
        list_survives = any(
            state.vms[other].system in state.established for other in others
        )
        if state.wipes >= self.bounds.wipes or not list_survives:
            return
        vms = list(state.vms)
        vms[vm] = Vm(promised=lost.promised, may_bootstrap=False)
        successor = state._replace(vms=tuple(vms), wipes=state.wipes + 1)
        yield ("wipe", vm), successor


def one_system(fields: dict) -> bool:
    """Return whether at most one list was ever stored at a majority."""
    return len(fields["established"]) <= 1
