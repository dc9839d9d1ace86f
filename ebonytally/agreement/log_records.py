"""Records of the log files: checksummed, and scanned after a crash.

A record is a 4-byte mark, the payload's length and CRC-32 (both big
endian), then the payload: msgpack ``[durable, index, term, token,
command]`` for an entry, ``[durable, 0, commit]`` for a note of what is
durable and committed. `durable` is the highest index that was synced
when the record was written: it tells a torn tail, which nobody relied
on, from damage to entries that were promised.
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
    """A record with its place in the file.

    :param entry: None for a note
    :param commit: commit index, 0 for an entry
    """

    offset: int
    end: int
    durable: int
    entry: agreement_messages.Entry | None
    commit: int


@attrs.frozen
class Scan:
    """What a file holds.

    :param end: where the whole records end
    :param damaged_after: highest `durable` of a whole record behind
        the first bad one, -1 when there is none
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
    """Return an entry as a record."""
    fields = (durable, entry.index, entry.term, entry.token, entry.command)
    return _frame(msgpack.packb(fields, use_bin_type=True))


def encode_commit_note(durable: int, commit: int) -> bytes:
    """Return a note as a record."""
    return _frame(msgpack.packb((durable, 0, commit)))


def decode(data: bytes, offset: int) -> Record | None:
    """Return the record at `offset`, None when it isn't whole."""
    start = offset + _RECORD_HEADER.size
    if start > len(data):
        return None
    magic, size, crc = _RECORD_HEADER.unpack_from(data, offset)
    end = start + size
    if magic != _RECORD_MAGIC or end > len(data):
        return None
    # A mark torn into zeros would pass for an empty record: the CRC-32 of
    # nothing is 0.
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
    """Read all records from `offset` on."""
    records = []
    while record := decode(data, offset):
        records.append(record)
        offset = record.end
    return Scan(tuple(records), offset, _durable_after_damage(data, offset))


def _durable_after_damage(data: bytes, offset: int) -> int:
    """Return the highest `durable` of any whole record behind a bad one."""
    highest = -1
    position = data.find(_RECORD_MAGIC, offset + 1)
    while position >= 0:
        record = decode(data, position)
        if record is not None:
            highest = max(highest, record.durable)
        position = data.find(_RECORD_MAGIC, position + 1)
    return highest
