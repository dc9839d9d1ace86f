"""Validation of announcements before they enter the registry."""

import ipaddress

import attrs

from ebonytally.registry import records

# A record with its names must fit into one datagram.
MAX_NAME_CHARS = 128
# Bounds far above any real value: a larger one is a unit mistaken or a
# sentinel, and would outrank or outweigh all other upstreams.
MAX_BORN_MS = 10**14
MAX_SLOTS = 10**6
MAX_COLD_S = 24 * 3600.0


@attrs.frozen
class FieldError:
    """An invalid field of an announcement.

    :param field: name of the field in `records.Announcement`
    :param detail: what was expected, and what was found
    """

    field: str
    detail: str


def first_error(announcement: records.Announcement) -> FieldError | None:
    """Return the first invalid field, None if all are valid."""
    return (
        _name_error(announcement)
        or _range_error("slots", announcement.slots, 1, MAX_SLOTS)
        or _range_error("sequence", announcement.sequence, 0, None)
        or start_error(announcement.born_ms)
        or _range_error(
            "cold_for_s", announcement.cold_for_s, 0, MAX_COLD_S, " s"
        )
        or _host_error(announcement.address)
    )


def start_error(born_ms: int) -> FieldError | None:
    """Return the error in a start, milliseconds since 1970, if any."""
    return _range_error("born_ms", born_ms, 0, MAX_BORN_MS)


def _name_error(announcement: records.Announcement) -> FieldError | None:
    if not announcement.service:
        return FieldError("service", "must not be empty")
    for field in ("id", "service", "data_centre"):
        length = len(getattr(announcement, field))
        if length > MAX_NAME_CHARS:
            return FieldError(
                field,
                f"must have at most {MAX_NAME_CHARS} chars, has {length}",
            )
    return None


def _range_error(
    field: str, value: float, least: int, most: float | None, unit: str = ""
) -> FieldError | None:
    """Return the error in a number, if any.

    :param most: largest value allowed, None for no limit
    :param unit: of the value, for the error
    """
    if value >= least and (most is None or value <= most):
        return None
    limit = f" and at most {most}" if most is not None else ""
    return FieldError(
        field, f"must be at least {least}{limit}, got {value}{unit}"
    )


def _host_error(address: str) -> FieldError | None:
    """Return the error in an IPv4 address that can't be one host's."""
    parsed = ipaddress.IPv4Address(address)
    is_this_network = parsed.packed[0] == 0
    if is_this_network or parsed.is_multicast or parsed.is_reserved:
        return FieldError(
            "address", f"must be a host's address, got {address}"
        )
    return None
