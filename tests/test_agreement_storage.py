"""Tests of the log on disk: crashes, damage, a full disk."""

import contextlib
import os
import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import log_records
from ebonytally.agreement import log_storage
from ebonytally.agreement import recovery
from ebonytally import errors
from ebonytally import recorder
from tests import agreement_fakes as fakes

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))


def _open(disk, rec=None):
    rec = rec or recorder.MemoryRecorder()
    return log_storage.LogStorage(disk, rec, random.Random(1))


def _entries(first, count, term=1):
    return tuple(
        messages.Entry(index, term, f"t{index}", b"x" * 20)
        for index in range(first, first + count)
    )


def _filled_disk():
    disk = fakes.Disk()
    storage = _open(disk)
    storage.append(_entries(1, 4))
    storage.append(_entries(5, 1))
    storage.note_commit(5)
    name = log_storage.segment_names(disk)[0]
    disk.sync(name)
    return disk, name


def test_torn_tail_is_cut_off_and_counted():
    disk, name = _filled_disk()
    whole = disk.files[name]
    disk.append(name, whole[-60:-5])
    rec = recorder.MemoryRecorder()
    assert _open(disk, rec).last_index == 5
    assert rec.counts["storage_tail_cut"] == 1
    assert disk.files[name] == whole


def test_any_damaged_byte_of_acknowledged_entries_is_refused():
    disk, name = _filled_disk()
    whole = disk.files[name]
    note_bytes = 12 + 4
    for position in range(len(whole) - note_bytes):
        data = bytearray(whole)
        data[position] ^= 0x10
        disk.files[name] = bytes(data)
        with pytest.raises(errors.DamagedLogError):
            _open(disk)


def test_damaged_vote_snapshot_or_lost_file_is_refused():
    disk, name = _filled_disk()
    for victim in (log_storage.VOTE_FILE, name):
        original = disk.files.pop(victim)
        if victim == log_storage.VOTE_FILE:
            with pytest.raises(errors.DamagedLogError):
                _open(disk)
            disk.files[victim] = original[:-1] + b"?"
            with pytest.raises(errors.DamagedLogError):
                _open(disk)
        disk.files[victim] = original
    newer = bytearray(disk.files[log_storage.VOTE_FILE])
    newer[7] = 9
    disk.files[log_storage.VOTE_FILE] = bytes(newer)
    with pytest.raises(errors.StorageError, match="format version 9"):
        _open(disk)


def test_repair_renews_the_identity_and_empties_the_log():
    disk, name = _filled_disk()
    old = _open(disk).vote.identity
    aside = recovery.repair(disk, recorder.MemoryRecorder(), 7)
    storage = _open(disk)
    assert storage.is_empty
    assert storage.vote.identity != old
    assert f"damaged-{name}" in aside


STEPS_TO_FULL = st.one_of(st.none(), st.integers(0, 4))


class StorageMachine(stateful.RuleBasedStateMachine):
    """Random use of the storage, compared with a list of entries."""

    def __init__(self):
        super().__init__()
        self.disk = fakes.Disk()
        self.rng = random.Random(5)
        self.storage = _open(self.disk)
        self.model = []
        self.term = 1

    @stateful.rule(count=st.integers(1, 40), full=st.booleans())
    def append(self, count, full):
        self.disk.full = full
        entries = _entries(len(self.model) + 1, count, self.term)
        try:
            self.storage.append(entries)
        except errors.StorageError:
            assert full
        else:
            self.model += entries
        self.disk.full = False

    @stateful.rule(share=st.floats(0, 1), steps=STEPS_TO_FULL)
    def truncate(self, share, steps):
        low = self.storage.commit
        first = low + 1 + int(share * (len(self.model) - low))
        with self.full_after(steps):
            self.storage.truncate(first)
        del self.model[first - 1 :]
        self.term += 1

    @stateful.rule(share=st.floats(0, 1), steps=STEPS_TO_FULL)
    def commit(self, share, steps):
        low = self.storage.commit
        with self.full_after(steps):
            index = low + int(share * (len(self.model) - low))
            self.storage.note_commit(index)

    @stateful.rule(keep=st.integers(0, 30), steps=STEPS_TO_FULL)
    def snapshot(self, keep, steps):
        index = self.storage.commit
        old = self.storage.snapshot
        if index == 0 or (old and old.index >= index):
            return
        term = self.model[index - 1].term
        snapshot = messages.Snapshot(index, term, None, (), b"state")
        with self.full_after(steps):
            self.storage.save_snapshot(snapshot, keep)

    @stateful.rule(ahead=st.integers(1, 50), steps=STEPS_TO_FULL)
    def install(self, ahead, steps):
        index = len(self.model) + ahead
        self.term += 1
        snapshot = messages.Snapshot(index, self.term, None, (), b"state")
        with self.full_after(steps) as failed:
            self.storage.install_snapshot(snapshot)
        if failed:
            assert self.storage.snapshot is not snapshot
            return
        self.model = list(_entries(1, index, self.term))

    @stateful.rule(freeing=st.sampled_from(fakes.Freeing))
    def free(self, freeing):
        self.disk.freeing = freeing

    @stateful.rule(torn=st.booleans())
    def crash(self, torn):
        was_clean = self.storage.is_clean
        self.disk.crash(self.rng if torn else None)
        self.storage = _open(self.disk)
        if not was_clean:
            self.restore_dropped()

    def restore_dropped(self):
        """Expect entries whose removal from disk had failed."""
        for index in range(len(self.model) + 1, self.storage.last_index + 1):
            self.model.append(self.storage.entry(index))

    @contextlib.contextmanager
    def full_after(self, steps):
        """Let the disk be full after some changes, None for never.

        :returns: list that isn't empty once the disk has failed
        """
        failed = []
        self.disk.steps_to_full = steps
        try:
            yield failed
        except errors.StorageError:
            assert steps is not None
            failed.append(True)
        self.disk.make_room()

    @stateful.invariant()
    def keeps_all_entries(self):
        storage = self.storage
        assert storage.last_index == len(self.model)
        for index in range(storage.first_index, storage.last_index + 1):
            assert storage.term_at(index) == self.model[index - 1].term


TestStorage = StorageMachine.TestCase
TestStorage.settings = settings(
    max_examples=60 + SEEDS * 40,
    stateful_step_count=30,
    deadline=None,
    derandomize=not SEEDS,
    database=None,
)


@pytest.mark.parametrize("zeros", range(0, 40))
def test_a_tail_torn_into_zeros_is_cut_off(zeros):
    """A magic followed by zeros must not pass as a record (inc-4202).

    The CRC-32 of no data is 0, so it would look like an empty record.
    """
    entry = messages.Entry(1, 1, "t", b"command")
    whole = log_records.encode_entry(entry, 0)
    for torn in range(5):
        data = whole + whole[:torn] + bytes(zeros)
        scan = log_records.scan(data, 0)
        assert [record.entry for record in scan.records] == [entry]
        assert scan.end == len(whole)
        assert scan.damaged_after == -1


@pytest.mark.parametrize("freeing", fakes.Freeing)
@pytest.mark.parametrize("steps", range(8))
def test_a_follower_whose_disk_is_full_at_any_write_of_a_snapshot_recovers(
    steps, freeing
):
    """The snapshot was in force, but never reached the state machine."""
    cluster = fakes.Cluster(("a", "b", "c"), seed=3)
    leader = cluster.elect()
    lagging = next(name for name in "abc" if name != leader)
    cluster.isolate(lagging)
    for number in range(90):
        assert cluster.put(f"t{number}", f"v{number}").is_committed
    cluster.cuts.clear()
    cluster.disks[lagging].steps_to_full = steps
    cluster.disks[lagging].freeing = freeing
    cluster.run(3.0)
    cluster.disks[lagging].make_room()
    cluster.run(3.0)
    assert cluster.put("last", "last").is_committed
    cluster.run(1.0)
    values = [f"v{number}" for number in range(90)] + ["last"]
    assert cluster.machines[lagging].values == values


@pytest.mark.parametrize(
    "freeing", [fakes.Freeing.FAILS, fakes.Freeing.FAILS_IN_SYNC]
)
def test_entries_after_a_failed_truncation_survive_a_restart(freeing):
    """The file was shorter than the log in memory, or still longer."""
    disk = fakes.Disk()
    storage = _open(disk)
    storage.append(_entries(1, 6))
    disk.full = True
    disk.freeing = freeing
    with pytest.raises(errors.StorageError):
        storage.truncate(4)
    disk.make_room()
    storage.append(_entries(4, 2, term=2))
    disk.crash()
    reopened = _open(disk)
    assert reopened.last_index == 5
    assert [reopened.term_at(index) for index in range(1, 6)] == [
        1,
        1,
        1,
        2,
        2,
    ]


@pytest.mark.parametrize("freeing", fakes.Freeing)
def test_disks_full_in_turn_leave_a_cluster_that_takes_changes(freeing):
    """Leader after leader has a full disk, at any of its next writes."""
    for steps in range(6):
        cluster = fakes.Cluster(("a", "b", "c"), seed=steps)
        count = 0
        for _ in range(6):
            name = cluster.elect()
            cluster.disks[name].steps_to_full = steps
            cluster.disks[name].freeing = freeing
            for _ in range(12):
                count += 1
                cluster.propose(name, f"t{count}", f"v{count}")
                cluster.run(0.2)
            cluster.disks[name].make_room()
            cluster.run(0.5)
        cluster.run(4.0)
        leader = cluster.elect()
        cluster.propose(leader, "last", "last")
        cluster.run(1.0)
        assert cluster.decided["last"].is_committed
        cluster.run(2.0)
        for machine in cluster.machines.values():
            assert machine.values == cluster.machines[leader].values
