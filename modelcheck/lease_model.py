"""The configuration lease of entry VMs and "out", as a specification.

The leader of the log (0) grants leases to a relay (1), which passes
them on to an entry VM (2). Times are ticks of equally fast clocks.
Each lease, and each report of the entry VM, stays on its way for as
long as it likes and may arrive more than once, or never; revisions
arrive whenever they like, old views as well. Revision 1 takes a data
centre out. An entry VM that is excluded gets no lease from a relay that
knows of it, and is marked down once the lease time has passed.
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
    """Faults that can be put into the specification."""

    FROM_RECEIPT = "from_receipt"
    ANY_REVISION = "any_revision"
    NO_LEASE_WAIT = "no_lease_wait"
    WHOLE_LEASE_PASSED_ON = "whole_lease_passed_on"
    REVISION_GOES_DOWN = "revision_goes_down"


class Lease(NamedTuple):
    """A lease on its way to a child.

    :param barred: the entry VM must get none any more
    """

    echo: int
    left: int
    revision: int
    barred: bool


class Vm(NamedTuple):
    """One VM of the chain.

    :param until: tick at which its lease ends
    :param highest: highest revision that it ever applied
    :param report: stamp of its report on the way to its parent
    :param asked: stamp of its last report that came to its parent
    :param lease: lease on its way from its parent
    :param barred: it knows that the entry VM must get no lease
    """

    revision: int = 0
    highest: int = 0
    until: int = _NEVER
    report: int = _NEVER
    asked: int = _NEVER
    lease: Lease | None = None
    barred: bool = False


class State(NamedTuple):
    """The chain at one tick.

    :param out_at: tick at which "out" was confirmed
    :param excluded_at: tick since which the entry VM gets no lease
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
    """How far the search goes.

    :param ticks: last tick
    :param out: a data centre may be taken out
    :param exclude: the entry VM may be excluded
    """

    ticks: int
    out: bool
    exclude: bool


class LeaseModel(specification.Specification):
    """Transitions of the specification within bounds."""

    name = "configuration lease"
    initial = State()

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return what must hold in each state, by name."""
        return {
            "out_holds_after_lease_time": out_holds_after_lease_time,
            "down_means_no_lease": down_means_no_lease,
            "no_revision_goes_down": no_revision_goes_down,
        }

    def steps(self, state: State) -> Iterator[Step]:
        """Yield (label, next state) of every step."""
        if state.now < self.bounds.ticks:
            yield ("tick",), state._replace(now=state.now + 1)
        if self.bounds.out and state.out_at == _NEVER:
            leader = state.vms[LEADER]._replace(revision=1, highest=1)
            out = state._replace(out_at=state.now)
            yield ("out",), _put(out, LEADER, leader)
        for vm in (1, 2):
            yield from self._report(state, vm)
            yield from self._grant(state, vm)
            yield from self._take_lease(state, vm)
            yield from self._take_view(state, vm)
        if self.bounds.exclude:
            yield from self._exclude(state)

    def _report(self, state: State, vm: int) -> Iterator[Step]:
        me = state.vms[vm]
        if me.report < state.now:
            sent = me._replace(report=state.now)
            if vm == 1:
                sent = sent._replace(asked=state.now)
            yield ("report", vm), _put(state, vm, sent)
        if me.report > me.asked:
            came = me._replace(asked=me.report)
            yield ("report_comes", vm), _put(state, vm, came)

    def _grant(self, state: State, vm: int) -> Iterator[Step]:
        me = state.vms[vm]
        parent = state.vms[vm - 1]
        until = parent.until
        if vm - 1 == LEADER:
            until = state.now + LEASE_TICKS
        if me.asked == _NEVER or until <= state.now:
            return
        if vm == 2 and parent.barred:
            return
        left = until - state.now
        if self.mistake is Mistake.WHOLE_LEASE_PASSED_ON:
            left = LEASE_TICKS
        barred = vm == 1 and state.excluded_at != _NEVER
        lease = Lease(me.asked, left, parent.revision, barred)
        if lease != me.lease:
            sent = me._replace(lease=lease)
            yield ("grant", vm), _put(state, vm, sent)

    def _take_lease(self, state: State, vm: int) -> Iterator[Step]:
        me = state.vms[vm]
        if me.lease is None:
            return
        strict = self.mistake is not Mistake.ANY_REVISION
        if strict and me.revision < me.lease.revision:
            return
        start = me.lease.echo
        if self.mistake is Mistake.FROM_RECEIPT:
            start = state.now
        until = start + me.lease.left
        barred = me.barred or me.lease.barred
        if until > me.until or barred != me.barred:
            until = max(until, me.until)
            taken = me._replace(until=until, barred=barred)
            yield ("lease_comes", vm), _put(state, vm, taken)

    def _take_view(self, state: State, vm: int) -> Iterator[Step]:
        me = state.vms[vm]
        for revision in range(state.vms[vm - 1].highest + 1):
            upwards = revision > me.revision
            if self.mistake is Mistake.REVISION_GOES_DOWN:
                upwards = revision != me.revision
            if upwards:
                highest = max(me.highest, revision)
                taken = me._replace(revision=revision, highest=highest)
                yield ("view_comes", vm, revision), _put(state, vm, taken)

    def _exclude(self, state: State) -> Iterator[Step]:
        if state.excluded_at == _NEVER:
            yield ("exclude",), state._replace(excluded_at=state.now)
            return
        waited = state.now - state.excluded_at >= LEASE_TICKS
        if self.mistake is Mistake.NO_LEASE_WAIT:
            waited = True
        if waited and not state.down:
            yield ("down",), state._replace(down=True)


def _put(state: State, place: int, vm: Vm) -> State:
    vms = state.vms
    return state._replace(vms=(*vms[:place], vm, *vms[place + 1 :]))


def out_holds_after_lease_time(fields: dict) -> bool:
    """Who holds a lease past the lease time knows of "out"."""
    if fields["out_at"] == _NEVER:
        return True
    if fields["now"] < fields["out_at"] + LEASE_TICKS:
        return True
    return all(
        vm.revision == 1 or vm.until <= fields["now"]
        for vm in fields["vms"][1:]
    )


def down_means_no_lease(fields: dict) -> bool:
    """An entry VM that is marked down holds no lease."""
    return not fields["down"] or fields["vms"][2].until <= fields["now"]


def no_revision_goes_down(fields: dict) -> bool:
    """No VM applies a lower revision than it had."""
    return all(vm.revision == vm.highest for vm in fields["vms"])
