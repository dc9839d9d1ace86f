"""Tests of the log on disk: crashes, damage, a full disk."""

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

    @stateful.rule(share=st.floats(0, 1))
    def truncate(self, share):
        low = self.storage.commit
        first = low + 1 + int(share * (len(self.model) - low))
        self.storage.truncate(first)
        del self.model[first - 1 :]
        self.term += 1

    @stateful.rule(share=st.floats(0, 1))
    def commit(self, share):
        low = self.storage.commit
        self.storage.note_commit(low + int(share * (len(self.model) - low)))

    @stateful.rule(keep=st.integers(0, 30))
    def snapshot(self, keep):
        index = self.storage.commit
        old = self.storage.snapshot
        if index == 0 or (old and old.index >= index):
            return
        term = self.model[index - 1].term
        snapshot = messages.Snapshot(index, term, None, (), b"state")
        self.storage.save_snapshot(snapshot, keep)

    @stateful.rule(ahead=st.integers(1, 50))
    def install(self, ahead):
        index = len(self.model) + ahead
        self.term += 1
        snapshot = messages.Snapshot(index, self.term, None, (), b"state")
        self.storage.install_snapshot(snapshot)
        self.model = list(_entries(1, index, self.term))

    @stateful.rule(torn=st.booleans())
    def crash(self, torn):
        self.disk.crash(self.rng if torn else None)
        self.storage = _open(self.disk)

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
