"""Taking a data centre out and bringing it back, as a specification.

One operator gives orders in turn and sends each to any control VMs, again
and again, until one acknowledges it; only then comes the next. A copy is
carried out by a VM that believes it leads, as long as the operator waits
for it. Leaders of earlier terms go on believing, as after a freeze. The
last order in the log is in force.
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

    ENDED_CALL_CARRIED_OUT = "ended_call_carried_out"
    ACKNOWLEDGED_BY_ONE = "acknowledged_by_one"
    ANY_LEADER_WRITES = "any_leader_writes"
    SHORT_LOG_LEADS = "short_log_leads"


class Vm(NamedTuple):
    """One control VM.

    :param promised: highest term that it follows
    :param leads: term in which it believes it leads, 0 for none
    :param log: (term, order) of its entries
    """

    promised: int = 0
    leads: int = 0
    log: tuple[tuple[int, int], ...] = ()


class State(NamedTuple):
    """All VMs, and where the operator is.

    :param order: number of the order that it gives now, 0 for none
    :param acknowledged: highest order that was acknowledged
    """

    vms: tuple[Vm, ...] = (Vm(),) * 3
    order: int = 0
    acknowledged: int = 0


Step = tuple[tuple, State]


@attrs.frozen
class Bounds:
    """How far the search goes.

    :param terms: highest term
    :param orders: how many orders are given
    :param entries: longest log
    """

    terms: int
    orders: int
    entries: int


class OrderModel(specification.Specification):
    """Transitions of the specification within bounds."""

    name = "orders about data centres"
    initial = State()

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return what must hold in each state, by name."""
        return {
            "acknowledged_is_in_force": acknowledged_is_in_force,
        }

    def steps(self, state: State) -> Iterator[Step]:
        """Yield (label, next state) of every step."""
        if state.order == state.acknowledged < self.bounds.orders:
            order = state.order + 1
            yield ("give", order), state._replace(order=order)
        for vm in VMS:
            yield from self._elect(state, vm)
            yield from self._carry_out(state, vm)

    def _elect(self, state: State, vm: int) -> Iterator[Step]:
        term = 1 + max(one.promised for one in state.vms)
        if term > self.bounds.terms:
            return
        me = state.vms[vm]
        for voters in read_model.majorities(vm):
            others = [state.vms[one] for one in voters]
            newer = any(_rank(one) > _rank(me) for one in others)
            if newer and self.mistake is not Mistake.SHORT_LOG_LEADS:
                continue
            vms = list(state.vms)
            for one in voters:
                # They take its log over with its first message.
                vms[one] = vms[one]._replace(promised=term, log=me.log)
            vms[vm] = vms[vm]._replace(leads=term)
            yield ("elect", vm, voters), state._replace(vms=tuple(vms))

    def _carry_out(self, state: State, vm: int) -> Iterator[Step]:
        """Let a leader take a copy of an order and store it at some VMs."""
        me = state.vms[vm]
        if not me.leads or len(me.log) >= self.bounds.entries:
            return
        copies = {state.order} if state.order > state.acknowledged else set()
        if self.mistake is Mistake.ENDED_CALL_CARRIED_OUT:
            copies = set(range(1, state.order + 1))
        for order in sorted(copies):
            for count in (1, 2, 3):
                for takers in itertools.combinations(VMS, count):
                    if vm in takers:
                        yield from self._store(state, vm, takers, order)

    def _store(
        self,
        state: State,
        vm: int,
        takers: tuple[int, ...],
        order: int,
    ) -> Iterator[Step]:
        term = state.vms[vm].leads
        follow = all(state.vms[one].promised <= term for one in takers)
        if not follow and self.mistake is not Mistake.ANY_LEADER_WRITES:
            return
        log = (*state.vms[vm].log, (term, order))
        vms = list(state.vms)
        for one in takers:
            promised = max(term, vms[one].promised)
            vms[one] = vms[one]._replace(promised=promised, log=log)
        done = state._replace(vms=tuple(vms))
        needed = MAJORITY
        if self.mistake is Mistake.ACKNOWLEDGED_BY_ONE:
            needed = 1
        if len(takers) >= needed:
            highest = max(state.acknowledged, order)
            done = done._replace(acknowledged=highest)
        yield ("carry out", vm, takers, order), done


def _rank(vm: Vm) -> tuple[int, int]:
    """Return what the newer of two logs has more of."""
    return (vm.log[-1][0] if vm.log else 0, len(vm.log))


def acknowledged_is_in_force(fields: dict) -> bool:
    """Whoever may be elected has the acknowledged order, or a later one."""
    vms = [Vm(*vm) for vm in fields["vms"]]
    for voters in itertools.combinations(vms, MAJORITY):
        newest = max(voters, key=_rank)
        last = newest.log[-1][1] if newest.log else 0
        if last < fields["acknowledged"]:
            return False
    return True
