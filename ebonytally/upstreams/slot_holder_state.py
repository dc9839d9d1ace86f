"""State that a holder keeps of its grantors, slots and requests."""

import attrs

from ebonytally.upstreams import slot_messages


@attrs.define
class HeldGrant:
    """Slots of one upstream that a grantor has granted to this VM.

    :param serial: newest grant received, 0 for none
    :param count: attempts that may be in progress
    :param starts: attempts that may still be started
    :param used_at: when a slot was last taken or added
    """

    serial: int = 0
    count: int = 0
    starts: int = slot_messages.UNLIMITED
    used_at: float = 0.0


@attrs.define
class AttemptTotals:
    """Attempts in progress at one upstream, and totals since the start."""

    busy: int = 0
    oks: int = 0
    fails: int = 0
    slows: int = 0
    sheds: int = 0


@attrs.define
class GrantorState:
    """Grants that this entry VM has from one grantor.

    :param boot: random number of the grantor's current process
    :param boot_stamp_ms: stamp of the first answer of that process
    :param dropped_serial: highest serial dropped as no longer valid;
        copies of it and of older grants are ignored
    :param lease_until: the grants may be used until then
    :param max_attempt_s: longest attempt that may be started
    :param number: number of the last report sent
    :param urgent: a report must be sent at once
    :param reported_waiting: waiting requests last reported, by service
    """

    boot: int = 0
    boot_stamp_ms: int = -1
    dropped_serial: int = 0
    lease_until: float = float("-inf")
    max_attempt_s: int = 0
    grants: dict[int, HeldGrant] = attrs.field(factory=dict)
    number: int = 0
    sent_at: float = float("-inf")
    urgent: bool = True
    reported_waiting: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class Demand:
    """Demand for slots of one service at this entry VM.

    :param waiting: requests waiting for a slot
    :param active_at: when a request last took a slot or waited for one
    """

    waiting: int = 0
    active_at: float = float("-inf")
