"""The holder's side of slot lending: slots that this entry VM may use.

Requests take and return slots here without a message. Reports go to the
lenders when a slot is wanted, owed or idle, and now and then to renew.
"""

import heapq
import math

from ebonytally import settings
from ebonytally.upstreams import slot_held
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import slot_reports
from ebonytally.upstreams import slot_stock
from ebonytally.upstreams import upstream_health
from ebonytally import view

IDLE_S = 0.1
LAST_IDLE_S = 1.0


class Holder:
    """Slots that this entry VM holds, over all lenders.

    :param boot: drawn at the start, tells restarts apart
    """

    def __init__(
        self,
        cfg: settings.Settings,
        me: str,
        boot: int,
        health: upstream_health.Health,
    ) -> None:
        """Hold nothing."""
        self._cfg = cfg
        self._boot = boot
        self._stock = slot_stock.Stock(cfg, health)
        self._reports = slot_reports.Reports(cfg, me, boot, self._stock)
        self._late: list[tuple[float, int]] = []
        self.ready: set[str] = set()

    def changed(self, new: view.View, now: float) -> None:
        """Take a newer view; slots of a former lender are dropped."""
        self._stock.changed(new, now)
        self.ready |= set(self._stock.services)

    def reach(self, leased: bool) -> None:
        """Note whether the configuration lease holds."""
        self._stock.leased = leased

    def lender_of(self, upstream: int) -> str:
        """Return the name of the upstream's lender, "" for none."""
        return self._stock.lender_of.get(upstream, "")

    def take(
        self,
        service: str,
        exclude: frozenset[int],
        now: float,
        deadline: float | None,
    ) -> view.Upstream | None:
        """Take a free slot of the best upstream, None if none is here."""
        demand = self._stock.demand(service)
        demand.last = now
        left_s = self._left_s(now, deadline)
        best = None
        for one in self._stock.services.get(service, ()):
            if one.id in exclude or self._stock.free(one, now) <= 0:
                continue
            if not self._may_hold(one, left_s, now):
                continue
            rank = self._rank(one, now)
            if best is None or rank < best[0]:
                best = (rank, one)
        if best is None:
            return None
        self._start(best[1], now)
        return best[1]

    def _left_s(self, now: float, deadline: float | None) -> float:
        if deadline is None:
            return self._cfg.requests.max_timeout_s
        return deadline - now

    def _may_hold(
        self,
        one: view.Upstream,
        left_s: float,
        now: float,
    ) -> bool:
        lender = self._stock.lender(self._stock.lender_of[one.id])
        if left_s > self._cfg.requests.default_timeout_s:
            hold_s, until = self._stock.long_hold
            self._stock.long_hold = (
                max(math.ceil(left_s), hold_s),
                max(until, now + left_s),
            )
        if left_s <= lender.hold_s:
            return True
        self._stock.due = True
        lender.urgent = True
        return False

    def _rank(self, one: view.Upstream, now: float) -> tuple:
        """Order: single starts first, then the fastest, then home."""
        loan = self._stock.lender(self._stock.lender_of[one.id]).loans[one.id]
        return (
            loan.starts == slot_messages.UNLIMITED,
            self._stock.busy(one.id) / one.slots,
            one.data_centre != self._cfg.data_centre,
            one.id,
        )

    def _start(self, one: view.Upstream, now: float) -> None:
        loan = self._stock.lender(self._stock.lender_of[one.id]).loans[one.id]
        loan.used = now
        if loan.starts != slot_messages.UNLIMITED:
            loan.starts -= 1
        self._stock.tally(one.id).busy += 1

    def want(self, service: str, count: int, now: float) -> None:
        """Note how many requests wait for a slot of the service."""
        demand = self._stock.demand(service)
        if count:
            demand.last = now
        self._stock.due |= demand.waiting != count
        demand.waiting = count

    def answered(
        self,
        upstream: int,
        took_s: float,
        now: float,
    ) -> None:
        """Note an answer and return the slot."""
        tally = self._stock.tally(upstream)
        one = self._stock.known.get(upstream)
        peers = self._stock.peers.get(one.service, frozenset()) if one else ()
        if self._stock.health.answered(upstream, took_s, peers):
            tally.slows += 1
        else:
            tally.oks += 1
        self._end(upstream, now)

    def shed(self, upstream: int, now: float) -> None:
        """Note the upstream's own refusal and return the slot."""
        self._stock.tally(upstream).sheds += 1
        self._stock.owe(upstream)
        self._end(upstream, now)

    def failed(self, upstream: int, until: float, now: float) -> None:
        """Note a lost connection; the slot returns at `until`.

        The upstream may have started anew, so all its slots go back
        before anything else is sent there.
        """
        self._stock.tally(upstream).fails += 1
        loan = self._stock.loan(upstream)
        if loan:
            loan.count = 0
        self._stock.owe(upstream)
        self.unclear(upstream, until, now)

    def unclear(self, upstream: int, until: float, now: float) -> None:
        """Return the slot at `until`: the attempt may still run."""
        if until <= now:
            self._end(upstream, now)
        else:
            heapq.heappush(self._late, (until, upstream))

    def _end(self, upstream: int, now: float) -> None:
        tally = self._stock.tally(upstream)
        tally.busy = max(0, tally.busy - 1)
        loan = self._stock.loan(upstream)
        limited = loan and loan.starts != slot_messages.UNLIMITED
        if loan is None or limited or tally.busy >= loan.count:
            self._stock.owe(upstream)
        one = self._stock.known.get(upstream)
        if one:
            self.ready.add(one.service)

    def loans(self, peer: str, msg: slot_messages.Loans, now: float) -> None:
        """Take a lender's answer."""
        if msg.boot != self._boot:
            return
        lender = self._stock.lender(peer)
        if msg.lender != lender.boot:
            if msg.stamp_ms <= lender.flipped_ms:
                return
            lender.boot = msg.lender
            lender.flipped_ms = msg.stamp_ms
            lender.floor = 0
            lender.loans = {}
        self._stock.due = True
        until = msg.stamp_ms / 1000 + self._cfg.upstreams.loan_s
        lender.lease_until = max(lender.lease_until, until)
        lender.hold_s = msg.hold_s
        for loan in msg.loans:
            self._take_loan(peer, lender, loan, now)

    def _take_loan(
        self,
        peer: str,
        lender: slot_held.Lender,
        new: slot_messages.Loan,
        now: float,
    ) -> None:
        if self._stock.lender_of.get(new.upstream) != peer:
            return
        loan = lender.loans.setdefault(new.upstream, slot_held.Loan(used=now))
        if new.serial <= max(loan.serial, lender.floor):
            return
        if new.count > loan.count:
            loan.used = now
            self.ready.add(self._stock.known[new.upstream].service)
        else:
            lender.urgent = True
        loan.serial = new.serial
        loan.count = new.count
        loan.starts = new.starts

    def tick(self, now: float) -> None:
        """Return idle slots and those of attempts that have ended."""
        self._stock.due = True
        while self._late and self._late[0][0] <= now:
            _, upstream = heapq.heappop(self._late)
            self._end(upstream, now)
        for lender in self._stock.lenders.values():
            if now >= lender.lease_until:
                for loan in lender.loans.values():
                    loan.count = 0
                continue
            for upstream, loan in lender.loans.items():
                self._return_idle(lender, upstream, loan, now)

    def _return_idle(
        self,
        lender: slot_held.Lender,
        upstream: int,
        loan: slot_held.Loan,
        now: float,
    ) -> None:
        one = self._stock.known.get(upstream)
        if one is None or loan.count <= self._stock.busy(upstream):
            return
        if (
            self._stock.demand(one.service).waiting
            and self._stock.free(one, now) > 0
        ):
            return
        wait_s = IDLE_S
        if self._stock.held(one.service, now) == 1:
            wait_s = LAST_IDLE_S
        if now - loan.used >= wait_s:
            loan.count = self._stock.busy(upstream)
            loan.starts = min(loan.starts, 0)
            lender.urgent = True

    def flush(self, now: float) -> list[tuple[str, slot_messages.Report]]:
        """Return the reports that are due, with their lenders."""
        return self._reports.flush(now)
