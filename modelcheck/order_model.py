"""Model of orders that take a data centre out or bring it back.

One operator gives one order at a time and resends it to any control VM
until one acknowledges it. A copy is executed by a VM that believes it is
the leader, as long as the operator waits for it. Leaders of earlier terms
keep believing that they lead, as after a process was paused. The last
order in the log is in force.
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

    ENDED_CALL_CARRIED_OUT = "ended_call_carried_out"
    ACKNOWLEDGED_BY_ONE = "acknowledged_by_one"
    ANY_LEADER_WRITES = "any_leader_writes"
    SHORT_LOG_LEADS = "short_log_leads"


class Vm(NamedTuple):
    """One control VM.

    :param promised: highest term that it has accepted
    :param leads: term in which it believes it is leader, 0 for none
    :param log: (term, order) of its entries
    """

    promised: int = 0
    leads: int = 0
    log: tuple[tuple[int, int], ...] = ()


class State(NamedTuple):
    """All VMs, and the progress of the operator.

    :param order: number of the latest order given, 0 for none
    :param acknowledged: highest order that was acknowledged
    """

    vms: tuple[Vm, ...] = (Vm(),) * 3
    order: int = 0
    acknowledged: int = 0


Step = tuple[tuple, State]


@attrs.frozen
class Bounds:
    """Bounds of the state space.

    :param terms: highest term
    :param orders: number of orders given
    :param entries: maximum length of the log
    """

    terms: int
    orders: int
    entries: int


class OrderModel(specification.Specification):
    """Elections, and orders executed by current and former leaders."""

    name = "orders about data centres"
    initial = State()

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return the predicates that must hold in every state, by name."""
        return {
            "acknowledged_is_in_force": acknowledged_is_in_force,
        }

    def steps(self, state: State) -> Iterator[Step]:
        """Yield (label, successor) of every transition from a state."""
        if state.order == state.acknowledged < self.bounds.orders:
            order = state.order + 1
            yield ("give", order), state._replace(order=order)
        for vm in VMS:
            yield from self._elect(state, vm)
            yield from self._execute(state, vm)

    def _elect(self, state: State, vm: int) -> Iterator[Step]:
        term = 1 + max(peer.promised for peer in state.vms)
        if term > self.bounds.terms:
            return
        candidate = state.vms[vm]
        for voters in read_model.majorities(vm):
            electorate = [state.vms[voter] for voter in voters]
            outdated = any(
                _log_rank(peer) > _log_rank(candidate) for peer in electorate
            )
            if outdated and self.mistake is not Mistake.SHORT_LOG_LEADS:
                continue
            vms = list(state.vms)
            for voter in voters:
                # The leader's first append replaces the log of its voters.
                vms[voter] = vms[voter]._replace(
                    promised=term, log=candidate.log
                )
            vms[vm] = vms[vm]._replace(leads=term)
            yield ("elect", vm, voters), state._replace(vms=tuple(vms))

    def _execute(self, state: State, vm: int) -> Iterator[Step]:
        """Let a leader append a copy of an order and replicate it."""
        leader = state.vms[vm]
        if not leader.leads or len(leader.log) >= self.bounds.entries:
            return
        copies = {state.order} if state.order > state.acknowledged else set()
        if self.mistake is Mistake.ENDED_CALL_CARRIED_OUT:
            copies = set(range(1, state.order + 1))
        for order in sorted(copies):
            for count in (1, 2, 3):
                for replicas in itertools.combinations(VMS, count):
                    if vm in replicas:
                        yield from self._replicate(state, vm, replicas, order)

    def _replicate(
        self,
        state: State,
        vm: int,
        replicas: tuple[int, ...],
        order: int,
    ) -> Iterator[Step]:
        """Store an order at some VMs; a majority makes it acknowledged."""
        term = state.vms[vm].leads
        accepted = all(
            state.vms[replica].promised <= term for replica in replicas
        )
        if not accepted and self.mistake is not Mistake.ANY_LEADER_WRITES:
            return
        log = (*state.vms[vm].log, (term, order))
        vms = list(state.vms)
        for replica in replicas:
            promised = max(term, vms[replica].promised)
            vms[replica] = vms[replica]._replace(promised=promised, log=log)
        successor = state._replace(vms=tuple(vms))
        needed = MAJORITY
        if self.mistake is Mistake.ACKNOWLEDGED_BY_ONE:
            needed = 1
        if len(replicas) >= needed:
            highest = max(state.acknowledged, order)
            successor = successor._replace(acknowledged=highest)
        yield ("carry out", vm, replicas, order), successor


def _log_rank(vm: Vm) -> tuple[int, int]:
    """Return the key by which logs compare: last term, then length."""
    return (vm.log[-1][0] if vm.log else 0, len(vm.log))


def acknowledged_is_in_force(fields: dict) -> bool:
    """Return whether any electable VM has the acknowledged order or later."""
    vms = [Vm(*vm) for vm in fields["vms"]]
    for voters in itertools.combinations(vms, MAJORITY):
        newest = max(voters, key=_log_rank)
        last = newest.log[-1][1] if newest.log else 0
        if last < fields["acknowledged"]:
            return False
    return True
