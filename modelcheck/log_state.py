"""State and invariants of the model of the replicated log.

Three control VMs. A log entry is identified by its term and index; an
entry that changes the voter list contains the new list.
"""

import enum
from typing import NamedTuple

import attrs

VMS = (0, 1, 2)
NAMES = "abc"


class Mistake(enum.Enum):
    """Faults that can be seeded into the model, which must detect them."""

    VOTE_NOT_SYNCED = "vote_not_synced"
    APPEND_NOT_SYNCED = "append_not_synced"
    OLD_TERM_COUNTED = "old_term_counted"
    LOG_NOT_COMPARED = "log_not_compared"
    IDENTITY_IGNORED = "identity_ignored"
    GAP_ACCEPTED = "gap_accepted"


@attrs.frozen
class Bounds:
    """Bounds of the state space.

    :param terms: highest term
    :param entries: maximum log length, including the first voter list
    :param candidates: VMs that may start an election
    :param held: whether an append may be delayed and duplicated
    :param snapshots: whether leaders may install snapshots
    """

    terms: int = 2
    entries: int = 3
    crashes: int = 1
    wipes: int = 0
    candidates: tuple[int, ...] = VMS
    held: bool = False
    snapshots: bool = False


class Role(enum.IntEnum):
    """Role of a VM in its current term."""

    FOLLOWER = 0
    CANDIDATE = 1
    LEADER = 2


class Entry(NamedTuple):
    """A log entry, identified by its term and its index in the log.

    :param voters: new list, (identity, voting) of each VM; None if unchanged
    """

    term: int
    voters: tuple[tuple[int, bool], ...] | None


class Vm(NamedTuple):
    """One control VM.

    :param voted: VM it voted for in this term
    :param commit: number of committed entries
    :param votes: VMs that voted for this candidate
    :param match: by VM, length of the log prefix known to match the leader's
    :param identity: generation of its disk, new after each loss
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
    """An append request in transit; `entry` is None for a heartbeat."""

    leader: int
    follower: int
    term: int
    prev: int
    prev_term: int
    entry: Entry | None
    commit: int


class State(NamedTuple):
    """All VMs, and the history that the invariants need.

    :param delayed: the append request that is delayed
    :param leaders: (term, VM) of every election won
    :param committed: longest log prefix that was ever committed
    :param reverted: a commit contradicted an earlier one
    """

    vms: tuple[Vm, ...]
    delayed: Append | None = None
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
    """Return the latest voter list in a log, () if there is none."""
    for entry in reversed(log):
        if entry.voters is not None:
            return entry.voters
    return ()


def last_voters_length(log: tuple[Entry, ...]) -> int:
    """Return the length of the log up to its last voter list."""
    for length in range(len(log), 0, -1):
        if log[length - 1].voters is not None:
            return length
    return 0


def is_quorum(log: tuple[Entry, ...], vms: frozenset[int]) -> bool:
    """Return whether some VMs are a majority of the voters of a log."""
    voting = {vm for vm, voter in enumerate(voters_of(log)) if voter[1]}
    return 2 * len(vms & voting) > len(voting)


def log_rank(log: tuple[Entry, ...]) -> tuple[int, int]:
    """Return the key by which logs compare: last term, then length."""
    return (log[-1].term if log else 0, len(log))


def become_follower(vm: Vm, term: int) -> Vm:
    """Return a VM as a follower in a term."""
    if term > vm.term:
        vm = vm._replace(term=term, voted=None)
    return vm._replace(
        role=Role.FOLLOWER,
        votes=frozenset(),
        match=(0, 0, 0),
    )


def with_vm(state: State, index: int, vm: Vm) -> State:
    """Return the state with one VM replaced."""
    vms = state.vms
    return state._replace(vms=(*vms[:index], vm, *vms[index + 1 :]))


def record_commit(state: State, log: tuple[Entry, ...]) -> State:
    """Return the state after a log prefix was committed.

    It records whether the prefix contradicts an earlier commit.
    """
    common = min(len(log), len(state.committed))
    if log[:common] != state.committed[:common]:
        return state._replace(reverted=True)
    longest_log = max(log, state.committed, key=len)
    return state._replace(committed=longest_log)


def one_leader_a_term(fields: dict) -> bool:
    """Return whether every term has at most one leader."""
    terms = [term for term, _ in fields["leaders"]]
    return len(set(terms)) == len(terms)


def committed_never_reverted(fields: dict) -> bool:
    """Return whether all VMs committed prefixes of the same log."""
    if fields["reverted"]:
        return False
    committed = fields["committed"]
    return all(
        vm.log[: vm.commit] == committed[: vm.commit] for vm in fields["vms"]
    )


def leaders_have_all_committed(fields: dict) -> bool:
    """Return whether the newest leader has every committed entry."""
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
