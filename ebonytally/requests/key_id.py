"""Idempotency keys: UUIDs of version 7, which carry their mint time."""

import uuid

import attrs
import xxhash

BUCKETS = 128
_VERSION = 7


@attrs.frozen
class Key:
    """One idempotency key.

    :param raw: its 16 bytes
    :param minted: seconds since 1970 by the caller's clock
    """

    raw: bytes
    minted: float


def bucket(raw: bytes) -> int:
    """Return the bucket whose keepers keep a key."""
    return xxhash.xxh3_64_intdigest(raw) % BUCKETS


def parse(text: str) -> Key | None:
    """Return the key that `text` spells, None when it is no UUIDv7."""
    try:
        parsed = uuid.UUID(text.strip('"'))
    except ValueError:
        return None
    if parsed.version != _VERSION:
        return None
    return Key(parsed.bytes, (parsed.int >> 80) / 1000.0)
