"""Messages and log entries of the agreement between control VMs."""

import attrs

from ebonytally import wire


@attrs.frozen
class Entry:
    """One entry of the replicated log.

    :param index: place in the log, from 1
    :param term: term of the leader that made it
    :param token: names the proposal, "" for entries of the log itself
    :param command: registered message as `wire.pack_message` wrote it
    """

    index: int
    term: int
    token: str
    command: bytes


@attrs.frozen
class Voter:
    """A control VM in the voter list.

    :param identity: random id of its data folder; another id under
        the same name is a VM that lost its memory and has no vote
    :param voting: False for a learner, which only receives the log
    """

    name: str
    identity: str
    voting: bool


@wire.message(100)
@attrs.frozen
class VoteRequest:
    """Ask for a vote, or in advance whether one would be given.

    :param pre: ask in advance; nothing is promised
    :param transfer: the leader asked for this election
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

    :param term: for a granted one, the term that was asked about
    """

    generation: int
    term: int
    granted: bool
    pre: bool
    identity: str


@wire.message(102)
@attrs.frozen
class AppendRequest:
    """Entries after `prev_index`, or a heartbeat when there are none.

    :param commit: the leader's commit index
    :param sent_at: seconds on the leader's clock, given back
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

    :param ok: the log matches up to `match`, and that is on disk
    :param match: when not ok, the index to go on from
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
    """A part of a snapshot for a VM that is too far behind.

    :param index: last log index that the snapshot covers
    :param crc: CRC-32 of the whole
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
    """Say how much of a snapshot has come.

    :param received: bytes from the start; the total once it is on disk
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
    """Hand a proposal to the leader.

    :param attempt: counts the tries of this proposal
    """

    token: str
    command: bytes
    attempt: int


@wire.message(107)
@attrs.frozen
class ProposeReply:
    """Answer a `ProposeRequest` once it is applied or refused.

    :param result: as `agreement_results.pack` wrote it
    :param leader: who to ask instead, "" when not known
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
    """Ask a voter to start an election at once."""

    generation: int
    term: int


@wire.message(109)
@attrs.frozen
class Hello:
    """Make a VM known that isn't in the voter list.

    :param identity: id of its data folder
    :param name: the VM, "" for the sender itself
    """

    identity: str
    name: str = ""


@wire.message(120)
@attrs.frozen
class VotersSet:
    """Log entry: the voter list from here on.

    :param generation: grows when voters are formed anew by hand
    """

    generation: int
    voters: tuple[Voter, ...]


@wire.message(121)
@attrs.frozen
class LeaderStarted:
    """Log entry: a new leader's first, which commits older ones."""

    leader: str


@attrs.frozen
class Snapshot:
    """All state up to an index.

    :param term: term of the entry at `index`
    :param voters: voter list at that index, None before the first
    :param answers: recent proposals with their packed results
    :param machine: what the state machine returned
    """

    index: int
    term: int
    voters: VotersSet | None
    answers: tuple[tuple[str, bytes], ...]
    machine: bytes
