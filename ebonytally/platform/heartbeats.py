"""Decoder of heartbeats that repeat the last one of their upstream."""

import re

import attrs

from ebonytally.platform import calls
from ebonytally.registry import records

# Bounds the memory; one control VM may hear all upstreams of a fleet.
MAX_KNOWN = 4096
MAX_KNOWN_BYTES = 1024
_FIELD = b"sequence"
_SEQUENCE = re.compile(rb'[{,]\s*"sequence"\s*:\s*(\d{1,18})(?=\s*[,}])')


@attrs.frozen
class _Known:
    """A heartbeat that was accepted.

    :param prefix: bytes of the body before the sequence
    :param suffix: bytes of the body after the sequence
    """

    prefix: bytes
    suffix: bytes
    announcement: records.Announcement


class HeartbeatDecoder:
    """Decodes heartbeats; parses only those that differ from the last one.

    Upstreams mostly send the same bytes with another sequence.
    """

    def __init__(self) -> None:
        """Set up without known heartbeats."""
        self._known: dict[str, _Known] = {}

    def decode(self, id_: str, body: bytes) -> records.Announcement:
        """Return the announcement in the body of an upstream's heartbeat.

        :param id_: upstream id, from the path
        :raises DecodeError: when a field is missing or invalid
        """
        known = self._known.get(id_)
        if known is not None:
            announcement = _repeated(known, body)
            if announcement is not None:
                return announcement
        announcement = calls.decode_heartbeat(id_, body)
        self._remember(announcement, body)
        return announcement

    def _remember(
        self, announcement: records.Announcement, body: bytes
    ) -> None:
        """Keep an accepted heartbeat if its sequence is found for certain.

        Without a backslash a quotation mark always delimits a string, so
        that the only `"sequence"` is the key that was decoded.
        """
        self._known.pop(announcement.id, None)
        found = _SEQUENCE.search(body)
        if (
            found is None
            or len(body) > MAX_KNOWN_BYTES
            or body.count(_FIELD) != 1
            or b"\\" in body
        ):
            return
        if len(self._known) >= MAX_KNOWN:
            del self._known[next(iter(self._known))]
        self._known[announcement.id] = _Known(
            body[: found.start(1)], body[found.end(1) :], announcement
        )


def _repeated(known: _Known, body: bytes) -> records.Announcement | None:
    """Return the announcement if only the sequence differs, else None."""
    if not body.startswith(known.prefix) or not body.endswith(known.suffix):
        return None
    digits = body[len(known.prefix) : len(body) - len(known.suffix)]
    # JSON allows no leading zeros; 18 digits fit into 64 bits.
    if not digits.isdigit() or len(digits) > 18 or digits[:1] == b"0":
        return None
    last = known.announcement
    return records.Announcement(
        last.id,
        last.born_ms,
        int(digits),
        last.service,
        last.address,
        last.port,
        last.data_centre,
        last.slots,
        last.draining,
        last.cold_for_s,
    )
