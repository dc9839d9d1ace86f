"""The holder's side of slot lending: slots that this entry VM may use.

Requests take and return slots here without a message. Reports go to the
lenders when a slot is wanted, owed or idle, and now and then to renew.
"""

import heapq
import math

from ebonytally import settings
from ebonytally import slot_held
from ebonytally import slot_messages
from ebonytally import upstream_choice
from ebonytally import upstream_health
from ebonytally import view

RENEW_PART = 0.3
STARVING_GAP_S = 0.05
WANTING_GAP_S = 0.25
IDLE_S = 0.1
LAST_IDLE_S = 1.0
ACTIVE_S = 1.0


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
        self._me = me
        self._boot = boot
        self._health = health
        self._view = view.View()
        self._known: dict[int, view.Upstream] = {}
        self._services: dict[str, list[view.Upstream]] = {}
        self._peers: dict[str, frozenset[int]] = {}
        self._lender_of: dict[int, str] = {}
        self._lenders: dict[str, slot_held.Lender] = {}
        self._tallies: dict[int, slot_held.Tally] = {}
        self._demands: dict[str, slot_held.Demand] = {}
        self._leased = True
        self._renew_s = RENEW_PART * cfg.upstreams.loan_s
        self._late: list[tuple[float, int]] = []
        self._long_hold = (0, float("-inf"))
        self._due = True
        self.ready: set[str] = set()

    def changed(self, new: view.View, now: float) -> None:
        """Take a newer view; slots of a former lender are dropped."""
        self._view = new
        self._known = {one.id: one for one in new.upstreams}
        self._services = {}
        for one in new.upstreams:
            self._services.setdefault(one.service, []).append(one)
        self._peers = {
            name: frozenset(one.id for one in those)
            for name, those in self._services.items()
        }
        old = self._lender_of
        self._due = True
        self._lender_of = {}
        for one in new.upstreams:
            name = upstream_choice.lender(new.vms, one)
            self._lender_of[one.id] = name
            if old.get(one.id) != name and name:
                self._lender(name).urgent = True
        for name, lender in self._lenders.items():
            self._drop_former(name, lender)
        self._tallies = {
            upstream: tally
            for upstream, tally in self._tallies.items()
            if upstream in self._known or tally.busy
        }
        self.ready |= set(self._services)

    def _drop_former(self, name: str, lender: slot_held.Lender) -> None:
        """Drop loans of upstreams that the lender doesn't lend now.

        An old copy of such a loan must not count later, so its serial
        becomes the floor of new ones.
        """
        for upstream, loan in list(lender.loans.items()):
            if self._lender_of.get(upstream) != name:
                lender.floor = max(lender.floor, loan.serial)
                del lender.loans[upstream]

    def reach(self, leased: bool) -> None:
        """Note whether the configuration lease holds."""
        self._leased = leased

    def _lender(self, name: str) -> slot_held.Lender:
        return self._lenders.setdefault(name, slot_held.Lender())

    def _tally(self, upstream: int) -> slot_held.Tally:
        return self._tallies.setdefault(upstream, slot_held.Tally())

    def _demand(self, service: str) -> slot_held.Demand:
        return self._demands.setdefault(service, slot_held.Demand())

    def lender_of(self, upstream: int) -> str:
        """Return the name of the upstream's lender, "" for none."""
        return self._lender_of.get(upstream, "")

    def busy(self, upstream: int) -> int:
        """Return how many attempts are under way at an upstream."""
        tally = self._tallies.get(upstream)
        return tally.busy if tally else 0

    def take(
        self,
        service: str,
        exclude: frozenset[int],
        now: float,
        deadline: float | None,
    ) -> view.Upstream | None:
        """Take a free slot of the best upstream, None if none is here."""
        demand = self._demand(service)
        demand.last = now
        left_s = self._left_s(now, deadline)
        best = None
        for one in self._services.get(service, ()):
            if one.id in exclude or self._free(one, now) <= 0:
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
        lender = self._lender(self._lender_of[one.id])
        if left_s > self._cfg.requests.default_timeout_s:
            hold_s, until = self._long_hold
            self._long_hold = (
                max(math.ceil(left_s), hold_s),
                max(until, now + left_s),
            )
        if left_s <= lender.hold_s:
            return True
        self._due = True
        lender.urgent = True
        return False

    def _free(self, one: view.Upstream, now: float) -> int:
        """Return how many attempts may start at an upstream now."""
        if not upstream_choice.usable(
            self._view, one, self._cfg.data_centre, self._leased
        ):
            return 0
        lender = self._lenders.get(self._lender_of.get(one.id, ""))
        if lender is None or now >= lender.lease_until:
            return 0
        loan = lender.loans.get(one.id)
        if loan is None or self._health.ejected(one.id, now):
            return 0
        free = loan.count - self.busy(one.id)
        if loan.starts != slot_messages.UNLIMITED:
            free = min(free, loan.starts)
        return free

    def _rank(self, one: view.Upstream, now: float) -> tuple:
        """Order: single starts first, then the fastest, then home."""
        loan = self._lender(self._lender_of[one.id]).loans[one.id]
        return (
            loan.starts == slot_messages.UNLIMITED,
            self.busy(one.id) / one.slots,
            one.data_centre != self._cfg.data_centre,
            one.id,
        )

    def _start(self, one: view.Upstream, now: float) -> None:
        loan = self._lender(self._lender_of[one.id]).loans[one.id]
        loan.used = now
        if loan.starts != slot_messages.UNLIMITED:
            loan.starts -= 1
        self._tally(one.id).busy += 1

    def want(self, service: str, count: int, now: float) -> None:
        """Note how many requests wait for a slot of the service."""
        demand = self._demand(service)
        if count:
            demand.last = now
        self._due |= demand.waiting != count
        demand.waiting = count

    def answered(
        self,
        upstream: int,
        took_s: float,
        now: float,
    ) -> None:
        """Note an answer and return the slot."""
        tally = self._tally(upstream)
        one = self._known.get(upstream)
        peers = self._peers.get(one.service, frozenset()) if one else ()
        if self._health.answered(upstream, took_s, peers):
            tally.slows += 1
        else:
            tally.oks += 1
        self._end(upstream, now)

    def shed(self, upstream: int, now: float) -> None:
        """Note the upstream's own refusal and return the slot."""
        self._tally(upstream).sheds += 1
        self._owe(upstream)
        self._end(upstream, now)

    def failed(self, upstream: int, until: float, now: float) -> None:
        """Note a lost connection; the slot returns at `until`.

        The upstream may have started anew, so all its slots go back
        before anything else is sent there.
        """
        self._tally(upstream).fails += 1
        loan = self._loan(upstream)
        if loan:
            loan.count = 0
        self._owe(upstream)
        self.unclear(upstream, until, now)

    def unclear(self, upstream: int, until: float, now: float) -> None:
        """Return the slot at `until`: the attempt may still run."""
        if until <= now:
            self._end(upstream, now)
        else:
            heapq.heappush(self._late, (until, upstream))

    def _loan(self, upstream: int) -> slot_held.Loan | None:
        lender = self._lenders.get(self._lender_of.get(upstream, ""))
        return lender.loans.get(upstream) if lender else None

    def _owe(self, upstream: int) -> None:
        name = self._lender_of.get(upstream)
        if name:
            self._lender(name).urgent = True
            self._due = True

    def _end(self, upstream: int, now: float) -> None:
        tally = self._tally(upstream)
        tally.busy = max(0, tally.busy - 1)
        loan = self._loan(upstream)
        limited = loan and loan.starts != slot_messages.UNLIMITED
        if loan is None or limited or tally.busy >= loan.count:
            self._owe(upstream)
        one = self._known.get(upstream)
        if one:
            self.ready.add(one.service)

    def loans(self, peer: str, msg: slot_messages.Loans, now: float) -> None:
        """Take a lender's answer."""
        if msg.boot != self._boot:
            return
        lender = self._lender(peer)
        if msg.lender != lender.boot:
            if msg.stamp_ms <= lender.flipped_ms:
                return
            lender.boot = msg.lender
            lender.flipped_ms = msg.stamp_ms
            lender.floor = 0
            lender.loans = {}
        self._due = True
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
        if self._lender_of.get(new.upstream) != peer:
            return
        loan = lender.loans.setdefault(new.upstream, slot_held.Loan(used=now))
        if new.serial <= max(loan.serial, lender.floor):
            return
        if new.count > loan.count:
            loan.used = now
            self.ready.add(self._known[new.upstream].service)
        else:
            lender.urgent = True
        loan.serial = new.serial
        loan.count = new.count
        loan.starts = new.starts

    def tick(self, now: float) -> None:
        """Return idle slots and those of attempts that have ended."""
        self._due = True
        while self._late and self._late[0][0] <= now:
            _, upstream = heapq.heappop(self._late)
            self._end(upstream, now)
        for lender in self._lenders.values():
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
        one = self._known.get(upstream)
        if one is None or loan.count <= self.busy(upstream):
            return
        if self._demand(one.service).waiting and self._free(one, now) > 0:
            return
        wait_s = IDLE_S
        if self.held(one.service, now) == 1:
            wait_s = LAST_IDLE_S
        if now - loan.used >= wait_s:
            loan.count = self.busy(upstream)
            loan.starts = min(loan.starts, 0)
            lender.urgent = True

    def held(self, service: str, now: float) -> int:
        """Return the slots of a service that it has in use or free."""
        return sum(
            self.busy(one.id) + max(0, self._free(one, now))
            for one in self._services.get(service, ())
        )

    def flush(self, now: float) -> list[tuple[str, slot_messages.Report]]:
        """Return the reports that are due, with their lenders."""
        if not self._due:
            return []
        self._due = False
        out = []
        for name, services in self._wanted(now).items():
            lender = self._lender(name)
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
            waiting = self._demand(service).waiting
            if waiting == lender.told.get(service, 0):
                continue
            if name == self._me:
                return 0.0
            starving = waiting and not self.held(service, now)
            wanting_s = STARVING_GAP_S if starving else WANTING_GAP_S
            gap_s = min(gap_s, wanting_s)
        return gap_s

    def _wanted(self, now: float) -> dict[str, set[str]]:
        """Return the active services by lender."""
        out: dict[str, set[str]] = {
            name: set() for name in self._lenders if name
        }
        for service, demand in self._demands.items():
            if now - demand.last > ACTIVE_S:
                continue
            for one in self._services.get(service, ()):
                name = self._lender_of[one.id]
                if name:
                    out.setdefault(name, set()).add(service)
        return out

    def _busy_at(self, name: str) -> bool:
        return any(
            tally.busy and self._lender_of.get(upstream) == name
            for upstream, tally in self._tallies.items()
        )

    def _report(
        self,
        name: str,
        services: set[str],
        now: float,
    ) -> slot_messages.Report:
        lender = self._lender(name)
        lender.number += 1
        lender.sent = now
        lender.urgent = False
        return slot_messages.Report(
            boot=self._boot,
            number=lender.number,
            stamp_ms=math.floor(now * 1000),
            lender=lender.boot,
            revision=self._view.revision,
            hold_s=self._hold_s(now),
            uses=self._uses(name, lender, now),
            needs=tuple(
                self._need(lender, service, now)
                for service in sorted(services)
            ),
        )

    def _hold_s(self, now: float) -> int:
        usual = math.ceil(self._cfg.requests.default_timeout_s)
        hold_s, until = self._long_hold
        return max(usual, hold_s) if now < until else usual

    def _need(
        self,
        lender: slot_held.Lender,
        service: str,
        now: float,
    ) -> slot_messages.Need:
        demand = self._demand(service)
        lender.told[service] = demand.waiting
        busy = sum(
            self.busy(one.id) for one in self._services.get(service, ())
        )
        return slot_messages.Need(
            service,
            demand.waiting,
            busy,
            self.held(service, now),
        )

    def _uses(
        self,
        name: str,
        lender: slot_held.Lender,
        now: float,
    ) -> tuple[slot_messages.Use, ...]:
        return tuple(
            self._use(upstream, lender.loans.get(upstream), now)
            for upstream, lender_name in self._lender_of.items()
            if lender_name == name
            and (upstream in lender.loans or upstream in self._tallies)
        )

    def _use(
        self,
        upstream: int,
        loan: slot_held.Loan | None,
        now: float,
    ) -> slot_messages.Use:
        tally = self._tally(upstream)
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
            took_ms=math.ceil(self._health.took_s(upstream) * 1000),
            avoid=self._health.ejected(upstream, now),
        )
