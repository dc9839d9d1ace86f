"""State of the specification of the replicated log, and what must hold.

Three control VMs. A log entry is known by its term and place; an entry
that changes the voter list carries the new list.
"""

import enum
from typing import NamedTuple

import attrs

VMS = (0, 1, 2)
NAMES = "abc"


class Mistake(enum.Enum):
    """Faults that can be put into the specification."""

    VOTE_NOT_SYNCED = "vote_not_synced"
    APPEND_NOT_SYNCED = "append_not_synced"
    OLD_TERM_COUNTED = "old_term_counted"
    LOG_NOT_COMPARED = "log_not_compared"
    IDENTITY_IGNORED = "identity_ignored"
    GAP_ACCEPTED = "gap_accepted"


@attrs.frozen
class Bounds:
    """How far the search goes.

    :param terms: highest term
    :param entries: longest log, the first voter list included
    :param candidates: VMs that may stand
    :param held: an append may be held back and repeated
    :param snapshots: followers may be given a snapshot
    """

    terms: int = 2
    entries: int = 3
    crashes: int = 1
    wipes: int = 0
    candidates: tuple[int, ...] = VMS
    held: bool = False
    snapshots: bool = False


class Role(enum.IntEnum):
    """What a VM is in its term."""

    FOLLOWER = 0
    CANDIDATE = 1
    LEADER = 2


class Entry(NamedTuple):
    """A log entry; its term and place tell it from all others.

    :param voters: (identity, voting) of each VM, None to leave them
    """

    term: int
    voters: tuple[tuple[int, bool], ...] | None


class Vm(NamedTuple):
    """One control VM.

    :param votes: those who voted for this candidate
    :param match: how far each VM's log is known to agree
    """

    term: int = 0
    voted: int | None = None
    log: tuple[Entry, ...] = ()
    commit: int = 0
    role: Role = Role.FOLLOWER
    votes: frozenset[int] = frozenset()
    match: tuple[int, ...] = (0, 0, 0)
    identity: int = 0


class Append(NamedTuple):
    """An append on its way; `entry` is None for a heartbeat."""

    leader: int
    follower: int
    term: int
    prev: int
    prev_term: int
    entry: Entry | None
    commit: int


class State(NamedTuple):
    """Everything, with what was ever decided.

    :param held: the append that is held back
    :param leaders: (term, VM) of all elections won
    :param committed: the longest log that was ever committed
    :param reverted: a commit contradicted an earlier one
    """

    vms: tuple[Vm, ...]
    held: Append | None = None
    leaders: frozenset[tuple[int, int]] = frozenset()
    committed: tuple[Entry, ...] = ()
    reverted: bool = False
    crashes: int = 0
    wipes: int = 0


_FIRST = Entry(0, ((0, True),) * 3)
INITIAL = State(
    tuple(Vm(log=(_FIRST,), commit=1) for _ in VMS),
    committed=(_FIRST,),
)


def voters_of(log: tuple[Entry, ...]) -> tuple[tuple[int, bool], ...]:
    """Return the voter list in use with a log, () before the first."""
    for entry in reversed(log):
        if entry.voters is not None:
            return entry.voters
    return ()


def voters_place(log: tuple[Entry, ...]) -> int:
    """Return the length of the log up to its last voter list."""
    for place in range(len(log), 0, -1):
        if log[place - 1].voters is not None:
            return place
    return 0


def is_quorum(log: tuple[Entry, ...], names: frozenset[int]) -> bool:
    """Return whether these are a majority of those who vote."""
    voting = {vm for vm, voter in enumerate(voters_of(log)) if voter[1]}
    return 2 * len(names & voting) > len(voting)


def last_of(log: tuple[Entry, ...]) -> tuple[int, int]:
    """Return what decides which of two logs is the newer."""
    return (log[-1].term if log else 0, len(log))


def follow(vm: Vm, term: int) -> Vm:
    if term > vm.term:
        vm = vm._replace(term=term, voted=None)
    return vm._replace(
        role=Role.FOLLOWER,
        votes=frozenset(),
        match=(0, 0, 0),
    )


def put(state: State, place: int, vm: Vm) -> State:
    vms = state.vms
    return state._replace(vms=(*vms[:place], vm, *vms[place + 1 :]))


def committed(state: State, log: tuple[Entry, ...]) -> State:
    common = min(len(log), len(state.committed))
    if log[:common] != state.committed[:common]:
        return state._replace(reverted=True)
    longest = max(log, state.committed, key=len)
    return state._replace(committed=longest)


def one_leader_a_term(fields: dict) -> bool:
    """No term has two leaders."""
    terms = [term for term, _ in fields["leaders"]]
    return len(set(terms)) == len(terms)


def committed_never_reverted(fields: dict) -> bool:
    """Nobody commits anything but the one history."""
    if fields["reverted"]:
        return False
    committed = fields["committed"]
    return all(
        vm.log[: vm.commit] == committed[: vm.commit] for vm in fields["vms"]
    )


def leaders_have_all_committed(fields: dict) -> bool:
    """The newest leader has every entry that was ever committed."""
    leading = [vm for vm in fields["vms"] if vm.role == Role.LEADER]
    if not leading:
        return True
    newest = max(leading, key=lambda vm: vm.term)
    if any(term > newest.term for term, _ in fields["leaders"]):
        return True
    committed = fields["committed"]
    return newest.log[: len(committed)] == committed


INVARIANTS = {
    "one_leader_a_term": one_leader_a_term,
    "committed_never_reverted": committed_never_reverted,
    "leaders_have_all_committed": leaders_have_all_committed,
}
