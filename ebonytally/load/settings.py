"""Settings of the decisions under load: table `load` of the settings file."""

import attrs

MAX_RESERVED_SHARE = 0.5


def _check_share(_: object, __: attrs.Attribute, value: float) -> None:
    if not 0 <= value <= MAX_RESERVED_SHARE:
        raise ValueError(f"must be 0 to {MAX_RESERVED_SHARE}, got {value}")


@attrs.frozen
class Load:
    """Which decisions are taken under load.

    :param admission: refuse new flows when capacity is exceeded
    :param spill: send load to other data centres when home has no room
    :param reserved_share: share of the room that only the highest
        priority may use, 0 to 0.5
    """

    admission: bool = True
    spill: bool = True
    reserved_share: float = attrs.field(default=0.1, validator=_check_share)
