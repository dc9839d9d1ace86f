"""State shared by election, replication and snapshots of one VM."""

import enum
import random

import attrs

from ebonytally import actions
from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import log_storage
from ebonytally import errors
from ebonytally import events
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder as recorder_lib
from ebonytally import settings
from ebonytally import wire

_VOTERS_KIND = wire.kind_of(messages.VotersSet(0, ()))


class Role(enum.StrEnum):
    """Role of a control VM in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.define
class State:
    """Role, log and voter list of one control VM.

    :param is_control: this VM should have a vote
    :param genesis: names that form the first voter list
    :param contacts: control VMs to send `Hello` to while this VM has no vote
    :param leader_heard_at: seconds, when a leader was last heard
    :param applied: index of the last applied entry
    :param voter_sets: voter lists in the log, with their indexes
    :param identities: by VM name, when each data folder id was heard
    :param pending_actions: actions of the current call
    :param storage_error: disk failure for the current call to handle
    """

    cfg: settings.Control
    local_vm: str
    is_control: bool
    genesis: tuple[str, ...]
    contacts: tuple[str, ...]
    storage: log_storage.LogStorage
    machine: ports.StateMachine
    recorder: recorder_lib.Recorder
    rng: random.Random
    role: Role = Role.FOLLOWER
    leader: str = ""
    leader_heard_at: float = 0.0
    applied: int = 0
    voter_sets: list[tuple[int, messages.VotersSet]] = attrs.field(
        factory=list,
    )
    identities: dict[str, dict[str, float]] = attrs.field(factory=dict)
    pending_actions: list[actions.Action] = attrs.field(factory=list)
    storage_error: errors.StorageError | None = None

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.storage.vote.term

    @property
    def identity(self) -> str:
        """Return the id of this VM's data folder."""
        return self.storage.vote.identity

    @property
    def commit(self) -> int:
        """Return the highest index known to be committed."""
        return self.storage.commit

    @property
    def is_leader(self) -> bool:
        """Return whether this VM leads the current term."""
        return self.role == Role.LEADER

    @property
    def voters(self) -> messages.VotersSet | None:
        """Return the voter list in use, None before the first one."""
        return self.voter_sets[-1][1] if self.voter_sets else None

    @property
    def voters_index(self) -> int:
        """Return the index of the voter list in use, 0 for none."""
        return self.voter_sets[-1][0] if self.voter_sets else 0

    @property
    def generation(self) -> int:
        """Return the generation of the voter list, 0 without a list."""
        return self.voters.generation if self.voters else 0

    @property
    def voting(self) -> dict[str, str]:
        """Return the identities of the voting VMs, by name."""
        if self.voters is None:
            return {}
        return {
            voter.name: voter.identity
            for voter in self.voters.voters
            if voter.voting
        }

    @property
    def peers(self) -> list[str]:
        """Return the other VMs of the voter list, or else of `genesis`."""
        if self.voters is None:
            names = self.genesis
        else:
            names = tuple(voter.name for voter in self.voters.voters)
        return [name for name in names if name != self.local_vm]

    def voters_at(self, index: int) -> messages.VotersSet | None:
        """Return the voter list in use at an index, None for none."""
        found = None
        for start, voters in self.voter_sets:
            if start <= index:
                found = voters
        return found

    def identity_of(self, name: str) -> str:
        """Return a VM's identity in the voter list, "" for none."""
        if self.voters is not None:
            for voter in self.voters.voters:
                if voter.name == name:
                    return voter.identity
        return ""

    def is_quorum(self, names: set[str]) -> bool:
        """Return whether these VMs form a quorum.

        The first voter list needs all genesis VMs, so that a VM that
        lost its disk can't help to form a second one.
        """
        if self.voters is None:
            return bool(self.genesis) and names.issuperset(self.genesis)
        voting = self.voting
        return 2 * len(names & voting.keys()) > len(voting)

    def send(self, peer: str, msg: object) -> None:
        """Add a message to the actions of the current call."""
        self.pending_actions.append(actions.Send(peer, msg))

    def record_identity(self, peer: str, identity: str, now: float) -> None:
        """Record which data folder a VM runs with."""
        self.identities.setdefault(peer, {})[identity] = now

    def follow(self, term: int, leader: str) -> None:
        """Become a follower, and enter the term if it is higher.

        :raises StorageError: if the term can't be saved
        """
        was_leader = self.is_leader
        self.role = Role.FOLLOWER
        self.leader = leader
        if was_leader:
            self.recorder.log_event(
                events.Event.LEADER_STEPPED_DOWN,
                term=self.term,
                newer_term=term,
            )
        if term > self.term:
            vote = attrs.evolve(self.storage.vote, term=term, voted_for="")
            self.storage.save_vote(vote)

    def append(self, entries: tuple[messages.Entry, ...]) -> None:
        """Append entries durably and adopt voter lists among them.

        :raises StorageError: if the entries can't be saved
        """
        self.storage.append(entries)
        for entry in entries:
            self._adopt_voters(entry)

    def append_own(self, token: str, command: bytes) -> int:
        """Append an entry of the current term and return its index."""
        index = self.storage.last_index + 1
        self.append((messages.Entry(index, self.term, token, command),))
        return index

    def truncate(self, first: int) -> None:
        """Drop the entries from `first` on, with their voter lists.

        :raises StorageError: if the disk fails; they are dropped even so
        """
        try:
            self.storage.truncate(first)
        finally:
            last = self.storage.last_index
            while self.voter_sets and self.voter_sets[-1][0] > last:
                self.voter_sets.pop()

    def load_voters(self) -> None:
        """Reload the voter lists from snapshot and log."""
        self.voter_sets = read_voter_sets(self.storage)

    def refuse(self, reason: reasons.Refusal) -> None:
        """Count a refusal in the metrics."""
        self.recorder.count_refusal(reason)

    def _adopt_voters(self, entry: messages.Entry) -> None:
        if not is_voters(entry.command):
            return
        voters = wire.unpack_message(entry.command)
        self.voter_sets.append((entry.index, voters))
        self.recorder.log_event(
            events.Event.VOTERS_CHANGED,
            index=entry.index,
            generation=voters.generation,
            voting=[v.name for v in voters.voters if v.voting],
            learners=[v.name for v in voters.voters if not v.voting],
        )


def read_voter_sets(
    storage: log_storage.LogStorage,
) -> list[tuple[int, messages.VotersSet]]:
    """Return the voter lists in snapshot and log, with their indexes."""
    voter_sets = []
    snapshot = storage.snapshot
    first = storage.first_index
    if snapshot is not None and snapshot.voters is not None:
        voter_sets.append((snapshot.index, snapshot.voters))
        first = snapshot.index + 1
    for index in range(first, storage.last_index + 1):
        command = storage.entry(index).command
        if is_voters(command):
            voter_sets.append((index, wire.unpack_message(command)))
    return voter_sets


def is_voters(command: bytes) -> bool:
    """Return whether a packed command is a voter list."""
    return command[:2] == bytes((0x92, _VOTERS_KIND))
