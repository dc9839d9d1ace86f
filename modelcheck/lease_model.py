"""Model of the configuration lease of entry VMs.

The leader of the log (0) grants leases to a relay (1), which forwards
them to an entry VM (2). Time is counted in ticks of clocks that run at
the same rate. Leases and the entry VM's reports may be delayed without
bound, duplicated or lost; views may be delayed and reordered. Revision 1
takes a data centre out. A relay that knows that the entry VM is excluded
grants it no lease; the VM is marked down once the lease time has passed.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple

import attrs

from modelcheck import specification

LEASE_TICKS = 2
LEADER = 0
VMS = (0, 1, 2)
_NEVER = -9


class Mistake(enum.Enum):
    """Faults that can be seeded into the model, which must detect them."""

    FROM_RECEIPT = "from_receipt"
    ANY_REVISION = "any_revision"
    NO_LEASE_WAIT = "no_lease_wait"
    WHOLE_LEASE_PASSED_ON = "whole_lease_passed_on"
    REVISION_GOES_DOWN = "revision_goes_down"


class Lease(NamedTuple):
    """A lease message in transit from a parent to its child.

    :param stamp: tick of the report that it answers
    :param ticks_left: duration, counted from `stamp`
    :param revision: revision that the child must have applied
    :param excluded: the entry VM must get no further lease
    """

    stamp: int
    ticks_left: int
    revision: int
    excluded: bool


class Vm(NamedTuple):
    """One VM of the chain.

    :param revision: revision of its view
    :param highest: highest revision that it ever applied
    :param until: tick at which its lease expires
    :param report: send tick of its newest report
    :param received: send tick of its newest report that the parent has
    :param lease: lease in transit from its parent
    :param excluded: it knows that the entry VM must get no lease
    """

    revision: int = 0
    highest: int = 0
    until: int = _NEVER
    report: int = _NEVER
    received: int = _NEVER
    lease: Lease | None = None
    excluded: bool = False


class State(NamedTuple):
    """The chain at one tick.

    :param out_at: tick at which the plan to take out was confirmed
    :param excluded_at: tick from which the leader excludes the entry VM
    :param down: the entry VM is marked down
    """

    now: int = 0
    vms: tuple[Vm, ...] = (Vm(),) * 3
    out_at: int = _NEVER
    excluded_at: int = _NEVER
    down: bool = False


Step = tuple[tuple, State]


@attrs.frozen
class Bounds:
    """Bounds of the state space.

    :param ticks: last tick
    :param out: whether a data centre may be taken out
    :param exclude: whether the entry VM may be excluded
    """

    ticks: int
    out: bool
    exclude: bool


class LeaseModel(specification.Specification):
    """Leases granted along a chain of leader, relay and entry VM."""

    name = "configuration lease"
    initial = State()

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return the predicates that must hold in every state, by name."""
        return {
            "out_holds_after_lease_time": out_holds_after_lease_time,
            "down_means_no_lease": down_means_no_lease,
            "no_revision_goes_down": no_revision_goes_down,
        }

    def steps(self, state: State) -> Iterator[Step]:
        """Yield (label, successor) of every transition from a state."""
        if state.now < self.bounds.ticks:
            yield ("tick",), state._replace(now=state.now + 1)
        if self.bounds.out and state.out_at == _NEVER:
            leader = state.vms[LEADER]._replace(revision=1, highest=1)
            out = state._replace(out_at=state.now)
            yield ("out",), _with_vm(out, LEADER, leader)
        for vm in (1, 2):
            yield from self._report(state, vm)
            yield from self._grant(state, vm)
            yield from self._receive_lease(state, vm)
            yield from self._receive_view(state, vm)
        if self.bounds.exclude:
            yield from self._exclude(state)

    def _report(self, state: State, vm: int) -> Iterator[Step]:
        """Send a report; the relay's reaches the leader at once."""
        child = state.vms[vm]
        if child.report < state.now:
            reporting = child._replace(report=state.now)
            if vm == 1:
                reporting = reporting._replace(received=state.now)
            yield ("report", vm), _with_vm(state, vm, reporting)
        if child.report > child.received:
            received = child._replace(received=child.report)
            yield ("report_comes", vm), _with_vm(state, vm, received)

    def _grant(self, state: State, vm: int) -> Iterator[Step]:
        """Send a lease to a child that has reported."""
        child = state.vms[vm]
        parent = state.vms[vm - 1]
        until = parent.until
        if vm - 1 == LEADER:
            until = state.now + LEASE_TICKS
        if child.received == _NEVER or until <= state.now:
            return
        if vm == 2 and parent.excluded:
            return
        ticks_left = until - state.now
        if self.mistake is Mistake.WHOLE_LEASE_PASSED_ON:
            ticks_left = LEASE_TICKS
        excluded = vm == 1 and state.excluded_at != _NEVER
        lease = Lease(child.received, ticks_left, parent.revision, excluded)
        if lease != child.lease:
            granted = child._replace(lease=lease)
            yield ("grant", vm), _with_vm(state, vm, granted)

    def _receive_lease(self, state: State, vm: int) -> Iterator[Step]:
        """Deliver the lease; it counts from the report that it answers."""
        child = state.vms[vm]
        if child.lease is None:
            return
        revision_checked = self.mistake is not Mistake.ANY_REVISION
        if revision_checked and child.revision < child.lease.revision:
            return
        start = child.lease.stamp
        if self.mistake is Mistake.FROM_RECEIPT:
            start = state.now
        until = start + child.lease.ticks_left
        excluded = child.excluded or child.lease.excluded
        if until > child.until or excluded != child.excluded:
            until = max(until, child.until)
            leased = child._replace(until=until, excluded=excluded)
            yield ("lease_comes", vm), _with_vm(state, vm, leased)

    def _receive_view(self, state: State, vm: int) -> Iterator[Step]:
        """Deliver any view that the parent ever had."""
        child = state.vms[vm]
        for revision in range(state.vms[vm - 1].highest + 1):
            applied = revision > child.revision
            if self.mistake is Mistake.REVISION_GOES_DOWN:
                applied = revision != child.revision
            if applied:
                highest = max(child.highest, revision)
                updated = child._replace(revision=revision, highest=highest)
                yield (
                    ("view_comes", vm, revision),
                    _with_vm(state, vm, updated),
                )

    def _exclude(self, state: State) -> Iterator[Step]:
        if state.excluded_at == _NEVER:
            yield ("exclude",), state._replace(excluded_at=state.now)
            return
        waited = state.now - state.excluded_at >= LEASE_TICKS
        if self.mistake is Mistake.NO_LEASE_WAIT:
            waited = True
        if waited and not state.down:
            yield ("down",), state._replace(down=True)


def _with_vm(state: State, index: int, vm: Vm) -> State:
    vms = state.vms
    return state._replace(vms=(*vms[:index], vm, *vms[index + 1 :]))


def out_holds_after_lease_time(fields: dict) -> bool:
    """Return whether VMs with a lease apply "out" after one lease time."""
    if fields["out_at"] == _NEVER:
        return True
    if fields["now"] < fields["out_at"] + LEASE_TICKS:
        return True
    return all(
        vm.revision == 1 or vm.until <= fields["now"]
        for vm in fields["vms"][1:]
    )


def down_means_no_lease(fields: dict) -> bool:
    """Return whether an entry VM that is marked down has no lease."""
    return not fields["down"] or fields["vms"][2].until <= fields["now"]


def no_revision_goes_down(fields: dict) -> bool:
    """Return whether no VM went back to a lower revision."""
    return all(vm.revision == vm.highest for vm in fields["vms"])
