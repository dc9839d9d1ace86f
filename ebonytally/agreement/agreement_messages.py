"""Messages and log entries of the consensus between control VMs."""

import attrs

from ebonytally import wire


@attrs.frozen
class Entry:
    """One entry of the replicated log.

    :param index: position in the log, from 1
    :param term: term of the leader that appended it
    :param token: idempotency key of the proposal, "" for internal entries
    :param command: message packed by `wire.pack_message`
    """

    index: int
    term: int
    token: str
    command: bytes


@attrs.frozen
class Voter:
    """A control VM in the voter list.

    :param identity: random id of its data folder; a VM of the same name
        with another id has lost its disk and has no vote
    :param voting: False for a learner, which only receives the log
    """

    name: str
    identity: str
    voting: bool


@wire.message(100)
@attrs.frozen
class VoteRequest:
    """Ask for a vote, or in a pre-vote whether one would be granted.

    :param pre: pre-vote; a granted one is not binding
    :param transfer: the leader started this election by `TimeoutNow`
    :param identity: id of the candidate's data folder
    """

    generation: int
    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool
    identity: str


@wire.message(101)
@attrs.frozen
class VoteReply:
    """Answer a `VoteRequest`.

    :param term: requested term if granted, else the replier's term
    """

    generation: int
    term: int
    granted: bool
    pre: bool
    identity: str


@wire.message(102)
@attrs.frozen
class AppendRequest:
    """Replicate entries after `prev_index`; a heartbeat if empty.

    :param commit: the leader's commit index
    :param sent_at: seconds on the leader's clock, echoed in the reply
    """

    generation: int
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent_at: float


@wire.message(103)
@attrs.frozen
class AppendReply:
    """Answer an `AppendRequest`.

    :param ok: the follower's log matches up to `match` and is on disk
    :param match: if not ok, the index after which to resume
    """

    generation: int
    term: int
    ok: bool
    match: int
    sent_at: float
    identity: str


@wire.message(104)
@attrs.frozen
class SnapshotChunk:
    """Send a part of a snapshot to a VM behind the compacted log.

    :param index: last log index that the snapshot covers
    :param offset: position of `data` in the packed snapshot, bytes
    :param total: bytes of the packed snapshot
    :param crc: CRC-32 of the packed snapshot
    """

    generation: int
    term: int
    index: int
    offset: int
    total: int
    crc: int
    data: bytes
    sent_at: float


@wire.message(105)
@attrs.frozen
class SnapshotReply:
    """Acknowledge a `SnapshotChunk`.

    :param received: contiguous bytes from the start
    :param done: the snapshot is installed, `received` is its total
    """

    generation: int
    term: int
    index: int
    received: int
    done: bool
    sent_at: float
    identity: str


@wire.message(106)
@attrs.frozen
class ProposeRequest:
    """Forward a proposal to the leader.

    :param attempt: number of this attempt, from 1
    """

    token: str
    command: bytes
    attempt: int


@wire.message(107)
@attrs.frozen
class ProposeReply:
    """Answer a `ProposeRequest` once it is applied or refused.

    :param result: packed by `agreement_results.pack`
    :param reason: a `reasons.Refusal` if not ok
    :param leader: the leader known to the replier, "" if unknown
    """

    token: str
    ok: bool
    result: bytes
    reason: str
    leader: str
    attempt: int


@wire.message(108)
@attrs.frozen
class TimeoutNow:
    """Ask a voter to start an election at once (leadership transfer)."""

    generation: int
    term: int


@wire.message(109)
@attrs.frozen
class Hello:
    """Announce a VM that isn't in the voter list.

    :param identity: id of its data folder
    :param name: the VM, "" for the sender
    """

    identity: str
    name: str = ""


@wire.message(120)
@attrs.frozen
class VotersSet:
    """Log entry: the voter list from this index on.

    :param generation: raised when an operator forms voters anew
    """

    generation: int
    voters: tuple[Voter, ...]


@wire.message(121)
@attrs.frozen
class LeaderStarted:
    """Log entry: the first of a term, which commits older entries."""

    leader: str


@attrs.frozen
class Snapshot:
    """The replicated state up to a log index.

    :param term: term of the entry at `index`
    :param voters: voter list at `index`, None before the first one
    :param answers: tokens of recent proposals with packed results
    :param machine: state as packed by `ports.StateMachine.snapshot`
    """

    index: int
    term: int
    voters: VotersSet | None
    answers: tuple[tuple[str, bytes], ...]
    machine: bytes
