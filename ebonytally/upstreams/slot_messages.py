"""Messages between lenders and holders of request slots.

A holder reports to each lender; a lender answers with loans. Reports
carry whole state and running totals, so losing, repeating or reordering
them does no harm.
"""

import attrs

from ebonytally import wire

UNLIMITED = -1


@attrs.frozen
class Use:
    """What a holder does with one upstream's slots.

    :param serial: newest loan that it has seen, 0 for none
    :param count: attempts that it may have under way, busy ones included
    :param busy: attempts under way
    :param oks: answered attempts since the holder started
    :param fails: connections refused or lost since the holder started
    :param slows: answers far slower than the service's usual ones
    :param sheds: attempts that the upstream refused to run
    :param took_ms: usual time of an answer
    :param avoid: the holder wants no slots of this upstream now
    """

    upstream: int
    serial: int
    count: int
    busy: int
    oks: int = 0
    fails: int = 0
    slows: int = 0
    sheds: int = 0
    took_ms: int = 0
    avoid: bool = False


@attrs.frozen
class Need:
    """How pressed a holder is for slots of a service.

    :param waiting: requests that wait
    :param busy: attempts under way
    :param held: slots held, over all lenders
    """

    service: str
    waiting: int
    busy: int
    held: int


@wire.message(400)
@attrs.frozen
class Report:
    """What a holder tells one lender.

    :param boot: drawn at the start of the holder
    :param number: grows with each report of this boot to this lender
    :param stamp_ms: holder's clock when it was sent
    :param lender: boot of the lender that the serials belong to
    :param revision: view that the holder acts on
    :param hold_s: longest attempt that it wants to start
    """

    boot: int
    number: int
    stamp_ms: int
    lender: int
    revision: int
    hold_s: int
    uses: tuple[Use, ...] = ()
    needs: tuple[Need, ...] = ()


@attrs.frozen
class Loan:
    """Slots of one upstream that the holder may use.

    :param serial: grows with each loan of this lender
    :param count: attempts that it may have under way
    :param starts: attempts that it may start, `UNLIMITED` for any
    """

    upstream: int
    serial: int
    count: int
    starts: int = UNLIMITED


@wire.message(401)
@attrs.frozen
class Loans:
    """A lender's answer: renews all its loans, and changes some.

    :param boot: holder's boot, as reported
    :param stamp_ms: stamp of the report that this answers; the lease
        runs from then on the holder's clock
    :param lender: drawn at the start of the lender
    :param hold_s: longest attempt that the holder may start
    """

    boot: int
    stamp_ms: int
    lender: int
    hold_s: int
    loans: tuple[Loan, ...] = ()


@wire.message(402)
@attrs.frozen
class Changed:
    """An upstream said that it drains, leaves or has started again.

    :param incarnation: the newest one announced
    """

    upstream: int
    incarnation: int


@wire.message(403)
@attrs.frozen
class Lapsing:
    """Ask whether anyone still hears these (id, incarnation) pairs."""

    upstreams: tuple[tuple[int, int], ...]


@wire.message(404)
@attrs.frozen
class StillHeard:
    """Answer to `Lapsing`: those heard within their lease."""

    upstreams: tuple[tuple[int, int], ...]
