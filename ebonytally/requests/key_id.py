"""Idempotency keys: UUIDs of version 7, which contain their creation time."""

import uuid

import attrs
import xxhash

BUCKETS = 128
_VERSION = 7


@attrs.frozen
class Key:
    """One idempotency key.

    :param raw: the 16 bytes of the UUID
    :param minted_at: when the caller created it, seconds since 1970 by the
        caller's clock
    """

    raw: bytes
    minted_at: float


def bucket(raw: bytes) -> int:
    """Return the number of the bucket (hash partition) of a key."""
    return xxhash.xxh3_64_intdigest(raw) % BUCKETS


def parse(text: str) -> Key | None:
    """Parse a key from a header value, None when it is no UUIDv7."""
    try:
        parsed = uuid.UUID(text.strip('"'))
    except ValueError:
        return None
    if parsed.version != _VERSION:
        return None
    return Key(parsed.bytes, (parsed.int >> 80) / 1000.0)
