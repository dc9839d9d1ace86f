"""The replicated log, the vote and the snapshot of a control VM on disk.

Files in the data folder, each with a format version:

- ``vote``: term, vote, identity, superseded mark; replaced atomically
- ``snapshot``: all state up to an index; replaced atomically
- ``log-<first index>``: segments of records, see `log_records`

Votes and entries are synced before a method returns, so the caller may
acknowledge them. Every method that writes raises StorageError if the
disk fails; then the call had no effect and may be retried.
"""

import contextlib
import random
import struct
import zlib

import attrs

from ebonytally.agreement import agreement_messages
from ebonytally.agreement import log_records
from ebonytally import errors
from ebonytally import events
from ebonytally import ports
from ebonytally import recorder as recorder_lib
from ebonytally import wire

FORMAT_VERSION = 1
SEGMENT_BYTES = 256 * 1024
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
_SEGMENT_PREFIX = "log-"
_SEGMENT_HEADER = b"EBTLOG" + struct.pack(">H", FORMAT_VERSION)
_FILE_HEADER = struct.Struct(">6sHI")
_FILE_MAGIC = b"EBTALL"

Entry = agreement_messages.Entry
Snapshot = agreement_messages.Snapshot


@attrs.frozen
class Vote:
    """Durable vote and identity of a control VM.

    :param voted_for: candidate that got the vote in `term`, "" for none
    :param identity: random id, created with the data folder
    :param superseded: a higher generation exists, this VM has no vote
    """

    term: int
    voted_for: str
    identity: str
    superseded: bool = False


@attrs.define
class _Segment:
    """A log file.

    :param first: index of its first entry
    :param size: bytes of valid content, 0 before the first write
    :param offsets: position of each entry in the file, bytes
    """

    name: str
    first: int
    size: int
    offsets: list[int]

    @property
    def last(self) -> int:
        return self.first + len(self.offsets) - 1


def segment_name(first: int) -> str:
    """Return the file name of the segment that starts at an index."""
    return f"{_SEGMENT_PREFIX}{first:016d}"


def segment_first(name: str) -> int:
    """Return the first index of a segment from its file name."""
    return int(name[len(_SEGMENT_PREFIX) :])


def segment_names(disk: ports.Disk) -> list[str]:
    """Return the file names of all segments, oldest first."""
    return [name for name in disk.names() if name.startswith(_SEGMENT_PREFIX)]


def renew_identity(disk: ports.Disk, rng: random.Random) -> None:
    """Save a new identity, which is in no voter list, and no vote."""
    vote = Vote(0, "", _identity(rng))
    disk.replace(VOTE_FILE, _add_header(wire.pack(vote)))


def _identity(rng: random.Random) -> str:
    return f"{rng.getrandbits(64):016x}"


def _add_header(body: bytes) -> bytes:
    """Return the content of a file: magic, version, CRC-32 and body."""
    header = _FILE_HEADER.pack(_FILE_MAGIC, FORMAT_VERSION, zlib.crc32(body))
    return header + body


def _strip_header(name: str, data: bytes) -> bytes:
    """Check the header of a file's content and return its body."""
    if len(data) < _FILE_HEADER.size:
        detail = (
            f"truncated: {len(data)} bytes, header needs {_FILE_HEADER.size}"
        )
        raise errors.DamagedLogError("open storage", name, detail)
    magic, version, crc = _FILE_HEADER.unpack_from(data)
    if magic != _FILE_MAGIC:
        detail = f"unknown format: starts with {magic!r}, not {_FILE_MAGIC!r}"
        raise errors.DamagedLogError("open storage", name, detail)
    if version != FORMAT_VERSION:
        detail = f"has format version {version}, expected {FORMAT_VERSION}"
        raise errors.StorageError("open storage", name, detail)
    body = data[_FILE_HEADER.size :]
    if zlib.crc32(body) != crc:
        detail = f"CRC-32 is {zlib.crc32(body):08x}, header says {crc:08x}"
        raise errors.DamagedLogError("open storage", name, detail)
    return body


class LogStorage:
    """The log of one control VM, in memory and on disk."""

    def __init__(
        self,
        disk: ports.Disk,
        recorder: recorder_lib.Recorder,
        rng: random.Random,
    ) -> None:
        """Open the data folder, or initialise an empty one.

        :param rng: source of the identity of a new folder
        :raises DamagedLogError: if acknowledged entries can't be read
        :raises StorageError: if the disk fails
        """
        self._disk = disk
        self._recorder = recorder
        self._segments: list[_Segment] = []
        self._entries: list[Entry] = []
        self._first = 1
        self._needs_new_segment = False
        self._needs_trim = False
        # Files of dropped segments, highest index first.
        self._obsolete: list[str] = []
        self._noted_commit = 0
        self.commit = 0
        self.snapshot: Snapshot | None = self._read_snapshot()
        self._read_segments()
        self.vote = self._read_vote(rng)
        self._recorder.log_event(
            events.Event.STORAGE_OPENED,
            last_index=self.last_index,
            term=self.vote.term,
            commit=self.commit,
        )

    @property
    def first_index(self) -> int:
        """Return the lowest index whose entry is not compacted."""
        return self._first

    @property
    def last_index(self) -> int:
        """Return the highest index, 0 for an empty log."""
        return self._first + len(self._entries) - 1

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.term_at(self.last_index) or 0

    @property
    def is_clean(self) -> bool:
        """Return whether nothing that was dropped is left on disk."""
        return not (self._needs_trim or self._obsolete)

    @property
    def is_empty(self) -> bool:
        """Return whether there is neither entry nor snapshot."""
        return self.last_index == 0

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if missing or compacted."""
        if index == 0:
            return 0 if self._first == 1 else None
        if self.snapshot is not None and index == self.snapshot.index:
            return self.snapshot.term
        if self._first <= index <= self.last_index:
            return self._entries[index - self._first].term
        return None

    def entry(self, index: int) -> Entry:
        """Return the entry at an index from `first_index` on."""
        return self._entries[index - self._first]

    def entries(
        self,
        first: int,
        max_count: int,
        max_bytes: int,
    ) -> tuple[Entry, ...]:
        """Return entries from `first` on, at least one if there is one.

        :param max_bytes: limit for the sum of the commands' sizes
        :raises ValueError: if `first` is compacted
        """
        if first < self._first:
            detail = f"entry {first} is compacted, first is {self._first}"
            raise ValueError(detail)
        batch: list[Entry] = []
        size = 0
        start = first - self._first
        for entry in self._entries[start : start + max_count]:
            size += len(entry.command)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def save_vote(self, vote: Vote) -> None:
        """Save a term and vote durably."""
        self._disk.replace(VOTE_FILE, _add_header(wire.pack(vote)))
        self.vote = vote

    def supersede(self) -> None:
        """Save durably that this data folder has no vote any more."""
        self.save_vote(attrs.evolve(self.vote, superseded=True))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries after the last one and sync them.

        :raises ValueError: if the first one isn't the next index
        """
        if not entries:
            return
        if entries[0].index != self.last_index + 1:
            expected = self.last_index + 1
            detail = f"expected entry {expected}, got {entries[0].index}"
            raise ValueError(detail)
        self._remove_dropped()
        segment = self._segment_for(entries[0].index)
        data = b"" if segment.size else _SEGMENT_HEADER
        offsets = []
        for entry in entries:
            offsets.append(segment.size + len(data))
            data += log_records.encode_entry(entry, self.last_index)
        self._write(segment, data, durable=True)
        segment.offsets += offsets
        self._entries += entries
        self._noted_commit = 0

    def note_commit(self, commit: int) -> None:
        """Record the commit index; the next append syncs it."""
        self.commit = max(self.commit, commit)
        written = bool(self._segments) and self._segments[-1].size > 0
        if not written or self._noted_commit == self.commit:
            return
        self._remove_dropped()
        data = log_records.encode_commit_note(self.last_index, self.commit)
        self._write(self._segments[-1], data, durable=False)
        self._noted_commit = self.commit

    def truncate(self, first: int) -> None:
        """Drop the entries from `first` on.

        They are dropped in memory even if the disk fails; the next write
        removes them from disk first.

        :raises DamagedLogError: if a committed entry would be dropped
        :raises StorageError: if they can't be removed from disk yet
        """
        if first <= self.commit:
            detail = (
                f"entry {first} conflicts with the leader's log, but "
                f"entries up to {self.commit} are committed"
            )
            raise errors.DamagedLogError("truncate log", "", detail)
        while self._segments and self._segments[-1].first >= first:
            self._drop_last_segment()
        if self._segments:
            segment = self._segments[-1]
            keep = first - segment.first
            if keep < len(segment.offsets):
                segment.size = segment.offsets[keep]
                del segment.offsets[keep:]
                self._needs_trim = True
        del self._entries[first - self._first :]
        self._remove_dropped()

    def save_snapshot(self, snapshot: Snapshot, keep: int) -> None:
        """Save a snapshot of applied entries and compact the log.

        :param keep: number of entries before the snapshot to keep, for
            peers that are a little behind
        """
        self._disk.replace(SNAPSHOT_FILE, _add_header(wire.pack(snapshot)))
        self.snapshot = snapshot
        self._needs_new_segment = True
        self._drop_below(snapshot.index - keep)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace local state by a leader's snapshot.

        Entries after it are kept if the log agrees with it.
        """
        agrees = self.term_at(snapshot.index) == snapshot.term
        self._disk.replace(SNAPSHOT_FILE, _add_header(wire.pack(snapshot)))
        self.snapshot = snapshot
        self.commit = max(self.commit, snapshot.index)
        if not agrees:
            self._drop_all()

    def _drop_all(self) -> None:
        """Drop a log that the snapshot replaces.

        A disk failure is only logged: the snapshot is in force, and the
        next write removes the files first.
        """
        while self._segments:
            self._drop_last_segment()
        self._entries.clear()
        self._first = self.snapshot.index + 1 if self.snapshot else 1
        try:
            self._remove_dropped()
        except errors.StorageError as exc:
            self._recorder.log_event(
                events.Event.STORAGE_FAILED, error=str(exc)
            )

    def _drop_last_segment(self) -> None:
        segment = self._segments.pop()
        self._obsolete.append(segment.name)
        self._needs_trim = False

    def _drop_below(self, index: int) -> None:
        while len(self._segments) > 1 and self._segments[0].last <= index:
            self._disk.remove(self._segments[0].name)
            removed = self._segments.pop(0)
            del self._entries[: len(removed.offsets)]
            self._first = removed.last + 1

    def _segment_for(self, index: int) -> _Segment:
        current = self._segments[-1] if self._segments else None
        full = current is not None and current.size >= SEGMENT_BYTES
        if (
            current is None
            or full
            or (self._needs_new_segment and current.offsets)
        ):
            current = _Segment(segment_name(index), index, 0, [])
            self._segments.append(current)
            self._needs_new_segment = False
        return current

    def _write(self, segment: _Segment, data: bytes, durable: bool) -> None:
        try:
            self._disk.append(segment.name, data)
            if durable:
                self._disk.sync(segment.name)
        except errors.StorageError:
            self._needs_trim = True
            with contextlib.suppress(errors.StorageError):
                self._remove_dropped()
            raise
        segment.size += len(data)

    def _remove_dropped(self) -> None:
        """Remove from disk what was dropped or written only in part.

        :raises StorageError: if the disk fails; the next call continues
        """
        while self._obsolete:
            self._disk.remove(self._obsolete[0])
            self._obsolete.pop(0)
        if not self._needs_trim:
            return
        segment = self._segments[-1]
        if segment.size:
            self._disk.truncate(segment.name, segment.size)
        else:
            self._disk.remove(segment.name)
        self._needs_trim = False

    def _read_vote(self, rng: random.Random) -> Vote:
        data = self._disk.read(VOTE_FILE)
        if data is not None:
            return wire.unpack(_strip_header(VOTE_FILE, data), Vote)
        if self.snapshot is not None or self._entries:
            detail = "file is missing, but a log or a snapshot exists"
            raise errors.DamagedLogError("open storage", VOTE_FILE, detail)
        vote = Vote(0, "", _identity(rng))
        self.save_vote(vote)
        return vote

    def _read_snapshot(self) -> Snapshot | None:
        data = self._disk.read(SNAPSHOT_FILE)
        if data is None:
            return None
        snapshot = wire.unpack(_strip_header(SNAPSHOT_FILE, data), Snapshot)
        self._first = snapshot.index + 1
        self.commit = snapshot.index
        return snapshot

    def _read_segments(self) -> None:
        names = segment_names(self._disk)
        if names:
            self._first = segment_first(names[0])
        for position, name in enumerate(names):
            self._read_segment(name, names[position + 1 :])
        self._drop_stale_log()
        self.commit = min(self.commit, self.last_index)

    def _read_segment(self, name: str, later_names: list[str]) -> None:
        data = self._disk.read(name) or b""
        header = data[: len(_SEGMENT_HEADER)]
        if len(header) == len(_SEGMENT_HEADER) and header != _SEGMENT_HEADER:
            detail = f"header is {header!r}, expected {_SEGMENT_HEADER!r}"
            raise errors.DamagedLogError("open storage", name, detail)
        first = segment_first(name)
        if first != self.last_index + 1:
            expected = self.last_index + 1
            detail = f"starts at entry {first}, expected entry {expected}"
            raise errors.DamagedLogError("open storage", name, detail)
        scan = log_records.scan(data, len(_SEGMENT_HEADER))
        offsets = []
        for record in scan.records:
            if record.entry is None:
                self.commit = max(self.commit, record.commit)
                continue
            if record.entry.index != self.last_index + 1:
                expected = self.last_index + 1
                index = record.entry.index
                detail = f"expected entry {expected}, found {index}"
                raise errors.DamagedLogError("open storage", name, detail)
            offsets.append(record.offset)
            self._entries.append(record.entry)
        self._check_tail(name, data, scan, later_names)
        if scan.records:
            segment = _Segment(name, first, scan.end, offsets)
            self._segments.append(segment)
        else:
            self._disk.remove(name)

    def _check_tail(
        self,
        name: str,
        data: bytes,
        scan: log_records.Scan,
        later_names: list[str],
    ) -> None:
        if scan.end >= len(data) and scan.records:
            return
        expected = self.last_index + 1
        # Only commit notes can be torn after a full segment's last entry.
        is_missing = (
            bool(later_names) and segment_first(later_names[0]) != expected
        )
        if scan.damaged_after >= expected or is_missing:
            detail = f"entry {expected} at byte {scan.end} is damaged"
            raise errors.DamagedLogError("open storage", name, detail)
        self._recorder.count("storage_tail_cut")
        self._recorder.log_event(
            events.Event.STORAGE_TAIL_CUT,
            file=name,
            size=len(data) - min(scan.end, len(data)),
        )
        if scan.records:
            self._disk.truncate(name, scan.end)

    def _drop_stale_log(self) -> None:
        """Drop a log that an installed snapshot has replaced."""
        if self.snapshot is None:
            return
        index = self.snapshot.index
        covers = self._first <= index <= self.last_index
        agrees = covers and (
            self._entries[index - self._first].term == self.snapshot.term
        )
        if agrees or self._first == index + 1:
            return
        if self._first > index + 1:
            detail = f"entries {index + 1} to {self._first - 1} are missing"
            raise errors.DamagedLogError("open storage", "", detail)
        self._drop_all()
