"""Messages between grantors and holders of request slots.

A holder reports to each grantor; a grantor answers with grants. Reports
carry the whole state and running totals, so lost, duplicated or reordered
ones do no harm.
"""

import attrs

from ebonytally import wire

UNLIMITED = -1


@attrs.frozen
class SlotUse:
    """A holder's use of one upstream's slots.

    :param serial: newest grant received, 0 for none
    :param count: attempts that may be in progress, running ones included
    :param busy: attempts in progress
    :param oks: attempts answered since the holder started
    :param fails: connections refused or lost since the holder started
    :param slows: answers much slower than its peers' since the holder started
    :param sheds: attempts shed by the upstream since the holder started
    :param mean_answer_ms: mean answer time, 0 if unknown
    :param avoid: the holder has ejected the upstream and wants no slots
    """

    upstream: int
    serial: int
    count: int
    busy: int
    oks: int = 0
    fails: int = 0
    slows: int = 0
    sheds: int = 0
    mean_answer_ms: int = 0
    avoid: bool = False


@attrs.frozen
class SlotDemand:
    """A holder's demand for slots of a service.

    :param waiting: requests waiting for a slot
    :param busy: attempts in progress
    :param held: slots held, over all grantors
    """

    service: str
    waiting: int
    busy: int
    held: int


@wire.message(400)
@attrs.frozen
class Report:
    """A holder's slot use and demand, sent to one grantor.

    :param boot: random number of the holder's current process
    :param number: increases with each report of this boot to this grantor
    :param stamp_ms: holder's clock when the report was sent
    :param grantor_boot: boot of the grantor that issued the serials
    :param revision: revision of the view that the holder uses
    :param max_attempt_s: longest attempt that it wants to start
    """

    boot: int
    number: int
    stamp_ms: int
    grantor_boot: int
    revision: int
    max_attempt_s: int
    uses: tuple[SlotUse, ...] = ()
    demands: tuple[SlotDemand, ...] = ()


@attrs.frozen
class SlotGrant:
    """Slots of one upstream granted to the holder.

    :param serial: increases with each grant of this grantor
    :param count: attempts that it may have in progress
    :param starts: attempts that it may start, `UNLIMITED` for any number
    """

    upstream: int
    serial: int
    count: int
    starts: int = UNLIMITED


@wire.message(401)
@attrs.frozen
class Loans:
    """A grantor's answer: renews the lease on its grants, changes some.

    :param boot: holder's boot, as reported
    :param stamp_ms: stamp of the report that this answers; the lease
        starts then, on the holder's clock
    :param grantor_boot: random number of the grantor's current process
    :param max_attempt_s: longest attempt that the holder may start
    :param grants: new and unconfirmed grants
    """

    boot: int
    stamp_ms: int
    grantor_boot: int
    max_attempt_s: int
    grants: tuple[SlotGrant, ...] = ()


@wire.message(402)
@attrs.frozen
class Changed:
    """Tell a grantor that an upstream drains, leaves or has restarted.

    :param upstream: id of the upstream in the view
    :param incarnation: newest incarnation announced
    """

    upstream: int
    incarnation: int


@wire.message(403)
@attrs.frozen
class Lapsing:
    """Ask peers which upstreams still announce themselves to them.

    :param upstreams: pairs of id and incarnation
    """

    upstreams: tuple[tuple[int, int], ...]


@wire.message(404)
@attrs.frozen
class StillHeard:
    """Answer `Lapsing` with the upstreams heard within their lease.

    :param upstreams: pairs of id and incarnation
    """

    upstreams: tuple[tuple[int, int], ...]
