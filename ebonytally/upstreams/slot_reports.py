"""Reports of a holder to its lenders: when they are due, what they say."""

import math

from ebonytally import settings
from ebonytally.upstreams import slot_held
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import slot_stock

RENEW_PART = 0.3
STARVING_GAP_S = 0.05
WANTING_GAP_S = 0.25
ACTIVE_S = 1.0


class Reports:
    """Writes the reports of one holder.

    :param boot: drawn at the start, tells restarts apart
    """

    def __init__(
        self,
        cfg: settings.Settings,
        me: str,
        boot: int,
        stock: slot_stock.Stock,
    ) -> None:
        """Have sent nothing yet."""
        self._cfg = cfg
        self._me = me
        self._boot = boot
        self._stock = stock
        self._renew_s = RENEW_PART * cfg.upstreams.loan_s

    def flush(self, now: float) -> list[tuple[str, slot_messages.Report]]:
        """Return the reports that are due, with their lenders."""
        if not self._stock.due:
            return []
        self._stock.due = False
        out = []
        for name, services in self._wanted(now).items():
            lender = self._stock.lender(name)
            gap_s = self._gap_s(name, lender, services, now)
            loans = any(loan.count for loan in lender.loans.values())
            if loans or self._busy_at(name):
                gap_s = min(gap_s, self._renew_s)
            if not lender.urgent and now - lender.sent < gap_s:
                continue
            if gap_s == math.inf and not lender.urgent:
                continue
            out.append((name, self._report(name, services, now)))
        return out

    def _gap_s(
        self,
        name: str,
        lender: slot_held.Lender,
        services: set[str],
        now: float,
    ) -> float:
        """Return the seconds between reports while services are active."""
        gap_s = self._renew_s if services else math.inf
        for service in services:
            waiting = self._stock.demand(service).waiting
            if waiting == lender.told.get(service, 0):
                continue
            if name == self._me:
                return 0.0
            starving = waiting and not self._stock.held(service, now)
            wanting_s = STARVING_GAP_S if starving else WANTING_GAP_S
            gap_s = min(gap_s, wanting_s)
        return gap_s

    def _wanted(self, now: float) -> dict[str, set[str]]:
        """Return the active services by lender."""
        out: dict[str, set[str]] = {
            name: set() for name in self._stock.lenders if name
        }
        for service, demand in self._stock.demands.items():
            if now - demand.last > ACTIVE_S:
                continue
            for one in self._stock.services.get(service, ()):
                name = self._stock.lender_of[one.id]
                if name:
                    out.setdefault(name, set()).add(service)
        return out

    def _busy_at(self, name: str) -> bool:
        return any(
            tally.busy and self._stock.lender_of.get(upstream) == name
            for upstream, tally in self._stock.tallies.items()
        )

    def _report(
        self,
        name: str,
        services: set[str],
        now: float,
    ) -> slot_messages.Report:
        lender = self._stock.lender(name)
        lender.number += 1
        lender.sent = now
        lender.urgent = False
        return slot_messages.Report(
            boot=self._boot,
            number=lender.number,
            stamp_ms=math.floor(now * 1000),
            lender=lender.boot,
            revision=self._stock.view.revision,
            hold_s=self._hold_s(now),
            uses=self._uses(name, lender, now),
            needs=tuple(
                self._need(lender, service, now)
                for service in sorted(services)
            ),
        )

    def _hold_s(self, now: float) -> int:
        usual = math.ceil(self._cfg.requests.default_timeout_s)
        hold_s, until = self._stock.long_hold
        return max(usual, hold_s) if now < until else usual

    def _need(
        self,
        lender: slot_held.Lender,
        service: str,
        now: float,
    ) -> slot_messages.Need:
        demand = self._stock.demand(service)
        lender.told[service] = demand.waiting
        busy = sum(
            self._stock.busy(one.id)
            for one in self._stock.services.get(service, ())
        )
        return slot_messages.Need(
            service,
            demand.waiting,
            busy,
            self._stock.held(service, now),
        )

    def _uses(
        self,
        name: str,
        lender: slot_held.Lender,
        now: float,
    ) -> tuple[slot_messages.Use, ...]:
        return tuple(
            self._use(upstream, lender.loans.get(upstream), now)
            for upstream, lender_name in self._stock.lender_of.items()
            if lender_name == name
            and (upstream in lender.loans or upstream in self._stock.tallies)
        )

    def _use(
        self,
        upstream: int,
        loan: slot_held.Loan | None,
        now: float,
    ) -> slot_messages.Use:
        tally = self._stock.tally(upstream)
        loan = loan or slot_held.Loan()
        count = loan.count
        if loan.starts != slot_messages.UNLIMITED:
            count = min(count, tally.busy + loan.starts)
        return slot_messages.Use(
            upstream=upstream,
            serial=loan.serial,
            count=max(count, tally.busy),
            busy=tally.busy,
            oks=tally.oks,
            fails=tally.fails,
            slows=tally.slows,
            sheds=tally.sheds,
            took_ms=math.ceil(self._stock.health.took_s(upstream) * 1000),
            avoid=self._stock.health.ejected(upstream, now),
        )
