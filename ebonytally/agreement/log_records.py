"""Checksummed records of the log files and their scan after a crash.

A record is a 4-byte magic, the payload's length and CRC-32 (both big
endian), then the payload: msgpack ``[durable, index, term, token,
command]`` for an entry, ``[durable, 0, commit]`` for a commit note.
`durable` is the highest index that was synced when the record was
written. It distinguishes a torn tail, which was never acknowledged,
from damage to acknowledged entries.
"""

import struct
import zlib

import attrs
import msgpack

from ebonytally.agreement import agreement_messages

MAX_RECORD_BYTES = 4 * 1024 * 1024
_RECORD_MAGIC = b"\xebTly"
_RECORD_HEADER = struct.Struct(">4sII")


@attrs.frozen
class Record:
    """A decoded record.

    :param offset: position of the record in the file, bytes
    :param end: position after the record, bytes
    :param entry: None for a commit note
    :param commit: commit index, 0 for an entry
    """

    offset: int
    end: int
    durable: int
    entry: agreement_messages.Entry | None
    commit: int


@attrs.frozen
class Scan:
    """Result of scanning a file.

    :param records: valid records before the first damaged one
    :param end: position after these records, bytes
    :param damaged_after: highest `durable` of a valid record after the
        first damaged one, -1 for none
    """

    records: tuple[Record, ...]
    end: int
    damaged_after: int


def _frame(payload: bytes) -> bytes:
    return (
        _RECORD_HEADER.pack(_RECORD_MAGIC, len(payload), zlib.crc32(payload))
        + payload
    )


def encode_entry(entry: agreement_messages.Entry, durable: int) -> bytes:
    """Return an entry encoded as a record."""
    fields = (durable, entry.index, entry.term, entry.token, entry.command)
    return _frame(msgpack.packb(fields, use_bin_type=True))


def encode_commit_note(durable: int, commit: int) -> bytes:
    """Return a commit index encoded as a record."""
    return _frame(msgpack.packb((durable, 0, commit)))


def decode(data: bytes, offset: int) -> Record | None:
    """Return the record at `offset`, None if it is torn or damaged."""
    start = offset + _RECORD_HEADER.size
    if start > len(data):
        return None
    magic, size, crc = _RECORD_HEADER.unpack_from(data, offset)
    end = start + size
    if magic != _RECORD_MAGIC or end > len(data):
        return None
    # A magic followed by zeros from a torn write would pass as an empty
    # record, as the CRC-32 of no data is 0.
    if not 0 < size <= MAX_RECORD_BYTES:
        return None
    payload = data[start:end]
    if zlib.crc32(payload) != crc:
        return None
    durable, index, *rest = msgpack.unpackb(payload, raw=False)
    if index == 0:
        return Record(offset, end, durable, None, rest[0])
    entry = agreement_messages.Entry(index, *rest)
    return Record(offset, end, durable, entry, 0)


def scan(data: bytes, offset: int) -> Scan:
    """Read records from `offset` up to the first damaged one."""
    records = []
    while record := decode(data, offset):
        records.append(record)
        offset = record.end
    return Scan(tuple(records), offset, _durable_after_damage(data, offset))


def _durable_after_damage(data: bytes, offset: int) -> int:
    """Return the highest `durable` of valid records after damage."""
    highest = -1
    position = data.find(_RECORD_MAGIC, offset + 1)
    while position >= 0:
        record = decode(data, position)
        if record is not None:
            highest = max(highest, record.durable)
        position = data.find(_RECORD_MAGIC, position + 1)
    return highest
