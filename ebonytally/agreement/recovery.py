"""Repair of one control VM, and recovery from a single copy.

An operator runs both on the data folder of a stopped daemon. Neither
drops a committed change silently: a repaired VM fetches everything from
its peers, and forming voters anew keeps every entry of the copy and
reports what the copy may lack.
"""

import random

import attrs

from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import agreement_state
from ebonytally.agreement import log_storage
from ebonytally import commands
from ebonytally import errors
from ebonytally import events
from ebonytally import ports
from ebonytally import recorder as recorder_lib
from ebonytally import wire

GENERATION_STEP = 1000
_DAMAGED_PREFIX = "damaged-"


@attrs.frozen
class LogCopy:
    """Summary of a data folder.

    :param identity: random id of the data folder
    :param last_index: index of the last entry of the log
    :param committed: highest index known to be committed in it
    :param superseded: voters were formed anew from another copy
    """

    identity: str
    term: int
    generation: int
    last_term: int
    last_index: int
    committed: int
    voters: tuple[messages.Voter, ...]
    superseded: bool

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the sort key by which a more complete copy is higher."""
        return (self.generation, self.last_term, self.last_index)


@attrs.frozen
class RecoveryResult:
    """Result of forming voters anew.

    :param generation: generation of the new voter list
    :param missing: sentences for the operator on what may be missing
    """

    copy: LogCopy
    generation: int
    missing: tuple[str, ...]


def inspect(disk: ports.Disk, recorder: recorder_lib.Recorder) -> LogCopy:
    """Return a summary of a data folder, to choose among copies.

    Opening the folder truncates a torn tail, like a daemon start.

    :raises DamagedLogError: if it needs a repair
    """
    return _summarise(_open(disk, recorder))


def repair(
    disk: ports.Disk,
    recorder: recorder_lib.Recorder,
    seed: int,
) -> tuple[str, ...]:
    """Empty a data folder, so that its VM fetches all from its peers.

    The VM gets a new identity first: it has no vote until the leader has
    made it a learner and it has caught up. The old files are kept under
    ``damaged-`` names.

    :param seed: for the new identity, different at each repair
    :returns: new names of the old files
    """
    names = [log_storage.VOTE_FILE, log_storage.SNAPSHOT_FILE]
    names += log_storage.segment_names(disk)
    aside = []
    for name in names:
        data = disk.read(name)
        if data is not None:
            disk.replace(_DAMAGED_PREFIX + name, data)
            aside.append(_DAMAGED_PREFIX + name)
    log_storage.renew_identity(disk, random.Random(seed))
    for name in reversed(names[1:]):
        disk.remove(name)
    recorder.log_event(events.Event.STORAGE_REPAIRED, aside=aside)
    return tuple(aside)


def form_voters_anew(
    disk: ports.Disk,
    local_vm: str,
    recorder: recorder_lib.Recorder,
) -> RecoveryResult:
    """Make this data folder the only voter of a new generation.

    For the loss of a majority of the control VMs. VMs of the old
    generation that come back log that they are superseded and take no part
    until they are repaired. All entries of the copy are kept. Revisions
    continue far above those of entry VMs that had applied more than this
    copy; these fetch the whole view instead.

    :raises StorageError: if the copy is unusable, or the disk fails
    """
    storage = _open(disk, recorder)
    copy = _summarise(storage)
    if copy.superseded:
        detail = "voters were formed anew elsewhere, use that copy"
        raise errors.StorageError("form voters anew", local_vm, detail)
    if not copy.voters:
        detail = "the log and snapshot contain no voter list"
        raise errors.StorageError("form voters anew", local_vm, detail)
    generation = _next_generation(copy)
    term = max(copy.term, copy.last_term) + 1
    vote = attrs.evolve(storage.vote, term=term, voted_for=local_vm)
    storage.save_vote(vote)
    sole_voter = messages.Voter(local_vm, copy.identity, True)
    first_commands = (
        messages.VotersSet(generation, (sole_voter,)),
        commands.Recovered(generation),
    )
    entries = tuple(
        messages.Entry(index, term, "", wire.pack_message(command))
        for index, command in enumerate(first_commands, copy.last_index + 1)
    )
    storage.append(entries)
    missing = _describe_missing(copy)
    recorder.log_event(
        events.Event.VOTERS_FORMED_ANEW,
        generation=generation,
        kept_to=copy.last_index,
        missing=list(missing),
    )
    return RecoveryResult(copy, generation, missing)


def _open(
    disk: ports.Disk,
    recorder: recorder_lib.Recorder,
) -> log_storage.LogStorage:
    if disk.read(log_storage.VOTE_FILE) is None:
        detail = f"no data of a control VM: no file {log_storage.VOTE_FILE!r}"
        raise errors.StorageError("open storage", "", detail)
    return log_storage.LogStorage(disk, recorder, random.Random(0))


def _summarise(storage: log_storage.LogStorage) -> LogCopy:
    voters = agreement_state.read_voter_sets(storage)
    newest = voters[-1][1] if voters else messages.VotersSet(0, ())
    return LogCopy(
        storage.vote.identity,
        storage.vote.term,
        newest.generation,
        storage.last_term,
        storage.last_index,
        storage.commit,
        newest.voters,
        storage.vote.superseded,
    )


def _next_generation(copy: LogCopy) -> int:
    """Return a generation above the copy's, different for each copy.

    If two copies are recovered by mistake, the lower one is superseded.
    """
    step = copy.generation // GENERATION_STEP + 1
    offset = int(copy.identity, 16) % GENERATION_STEP
    return step * GENERATION_STEP + offset


def _describe_missing(copy: LogCopy) -> tuple[str, ...]:
    lines = [
        f"changes accepted after entry {copy.last_index} of term "
        f"{copy.last_term} are not in this copy; a change whose answer an "
        "operator has but that is not shown now must be stated again",
        "entry VMs that had applied such a change revert to this copy",
    ]
    open_entries = copy.last_index - copy.committed
    if open_entries:
        lines.append(
            f"{open_entries} entries after {copy.committed} were not known "
            "to be accepted here; they are kept and take effect now"
        )
    other_names = [v.name for v in copy.voters if v.identity != copy.identity]
    if other_names:
        lines.append(
            "these control VMs have no vote until they are repaired: "
            + ", ".join(other_names)
        )
    return tuple(lines)
