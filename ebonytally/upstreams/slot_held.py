"""What a holder knows of its lenders, its slots and its requests."""

import attrs

from ebonytally.upstreams import slot_messages


@attrs.define
class Loan:
    """Slots of one upstream, as its lender lent them."""

    serial: int = 0
    count: int = 0
    starts: int = slot_messages.UNLIMITED
    used: float = 0.0


@attrs.define
class Tally:
    """What happened at one upstream, since the start."""

    busy: int = 0
    oks: int = 0
    fails: int = 0
    slows: int = 0
    sheds: int = 0


@attrs.define
class Lender:
    """What this entry VM has from one lender."""

    boot: int = 0
    flipped_ms: int = -1
    floor: int = 0
    lease_until: float = float("-inf")
    hold_s: int = 0
    loans: dict[int, Loan] = attrs.field(factory=dict)
    number: int = 0
    sent: float = float("-inf")
    urgent: bool = True
    told: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class Demand:
    """The requests of one service at this entry VM."""

    waiting: int = 0
    last: float = float("-inf")
