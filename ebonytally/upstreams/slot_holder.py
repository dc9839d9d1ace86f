"""Request slots that grantors have granted to this entry VM.

Requests take and return slots here without a message. A report goes to a
grantor when a slot is wanted, recalled or idle, and to renew the lease.
"""

import heapq
import math

from ebonytally import settings
from ebonytally.upstreams import slot_holder_state
from ebonytally.upstreams import slot_inventory
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import slot_reports
from ebonytally.upstreams import upstream_health
from ebonytally import view

IDLE_RETURN_S = 0.1
LAST_IDLE_RETURN_S = 1.0


class Holder:
    """Holder of the slots that this entry VM has from all grantors.

    `ready` collects the services that may have got a free slot.

    :param boot: random number that identifies this process
    """

    def __init__(
        self,
        cfg: settings.Settings,
        local_vm: str,
        boot: int,
        health: upstream_health.Health,
    ) -> None:
        """Set up without slots."""
        self._cfg = cfg
        self._boot = boot
        self._inventory = slot_inventory.Inventory(cfg, health)
        self._reports = slot_reports.Reports(
            cfg, local_vm, boot, self._inventory
        )
        self._delayed_returns: list[tuple[float, int]] = []
        self.ready: set[str] = set()

    def on_view_change(self, new: view.View, now: float) -> None:
        """Apply a newer view; slots of a former grantor are dropped."""
        self._inventory.on_view_change(new, now)
        self.ready |= set(self._inventory.upstreams_of)

    def on_lease_change(self, leased: bool) -> None:
        """Record whether this VM holds the configuration lease."""
        self._inventory.leased = leased

    def grantor_of(self, upstream: int) -> str:
        """Return the name of the upstream's grantor, "" for none."""
        return self._inventory.grantor_of.get(upstream, "")

    def acquire_slot(
        self,
        service: str,
        exclude: frozenset[int],
        now: float,
        deadline: float | None,
    ) -> view.Upstream | None:
        """Acquire a slot of the best upstream; return None without one.

        :param exclude: ids of upstreams that must not be used
        :param deadline: when the attempt ends at the latest
        """
        demand = self._inventory.demand_for(service)
        demand.active_at = now
        remaining_s = self._remaining_s(now, deadline)
        best = None
        for upstream in self._inventory.upstreams_of.get(service, ()):
            if (
                upstream.id in exclude
                or self._inventory.free_slots(upstream, now) <= 0
            ):
                continue
            if not self._may_attempt(upstream, remaining_s, now):
                continue
            rank = self._rank(upstream, now)
            if best is None or rank < best[0]:
                best = (rank, upstream)
        if best is None:
            return None
        self._begin_attempt(best[1], now)
        return best[1]

    def _remaining_s(self, now: float, deadline: float | None) -> float:
        if deadline is None:
            return self._cfg.requests.max_timeout_s
        return deadline - now

    def _may_attempt(
        self,
        upstream: view.Upstream,
        remaining_s: float,
        now: float,
    ) -> bool:
        """Return whether the grantor allows an attempt of `remaining_s`.

        If it doesn't, the next report asks it for longer attempts.
        """
        grantor = self._inventory.grantor_state(
            self._inventory.grantor_of[upstream.id]
        )
        if remaining_s > self._cfg.requests.default_timeout_s:
            max_attempt_s, until = self._inventory.long_attempt
            self._inventory.long_attempt = (
                max(math.ceil(remaining_s), max_attempt_s),
                max(until, now + remaining_s),
            )
        if remaining_s <= grantor.max_attempt_s:
            return True
        self._inventory.check_reports = True
        grantor.urgent = True
        return False

    def _rank(self, upstream: view.Upstream, now: float) -> tuple:
        """Return a sort key: single starts, then low load, then local."""
        grant = self._inventory.grantor_state(
            self._inventory.grantor_of[upstream.id]
        ).grants[upstream.id]
        return (
            grant.starts == slot_messages.UNLIMITED,
            self._inventory.busy(upstream.id) / upstream.slots,
            upstream.data_centre != self._cfg.data_centre,
            upstream.id,
        )

    def _begin_attempt(self, upstream: view.Upstream, now: float) -> None:
        grant = self._inventory.grantor_state(
            self._inventory.grantor_of[upstream.id]
        ).grants[upstream.id]
        grant.used_at = now
        if grant.starts != slot_messages.UNLIMITED:
            grant.starts -= 1
        self._inventory.totals_of(upstream.id).busy += 1

    def set_waiting(self, service: str, count: int, now: float) -> None:
        """Record how many requests wait for a slot of the service."""
        demand = self._inventory.demand_for(service)
        if count:
            demand.active_at = now
        self._inventory.check_reports |= demand.waiting != count
        demand.waiting = count

    def on_answer(
        self,
        upstream: int,
        took_s: float,
        now: float,
    ) -> None:
        """Record an answer and return the slot."""
        totals = self._inventory.totals_of(upstream)
        known = self._inventory.upstreams.get(upstream)
        peers = (
            self._inventory.peers.get(known.service, frozenset())
            if known
            else ()
        )
        if self._inventory.health.on_answer(upstream, took_s, peers):
            totals.slows += 1
        else:
            totals.oks += 1
        self._end_attempt(upstream, now)

    def on_shed(self, upstream: int, now: float) -> None:
        """Record that the upstream shed the attempt; return the slot."""
        self._inventory.totals_of(upstream).sheds += 1
        self._inventory.report_now(upstream)
        self._end_attempt(upstream, now)

    def on_connection_lost(
        self, upstream: int, until: float, now: float
    ) -> None:
        """Record a lost connection; the slot is returned at `until`.

        The upstream may have restarted, so all its slots are given back
        before anything else is sent to it.
        """
        self._inventory.totals_of(upstream).fails += 1
        grant = self._inventory.grant_of(upstream)
        if grant:
            grant.count = 0
        self._inventory.report_now(upstream)
        self.return_at(upstream, until, now)

    def return_at(self, upstream: int, until: float, now: float) -> None:
        """Return the slot at `until`, as the attempt may still run."""
        if until <= now:
            self._end_attempt(upstream, now)
        else:
            heapq.heappush(self._delayed_returns, (until, upstream))

    def _end_attempt(self, upstream: int, now: float) -> None:
        totals = self._inventory.totals_of(upstream)
        totals.busy = max(0, totals.busy - 1)
        grant = self._inventory.grant_of(upstream)
        limited = grant and grant.starts != slot_messages.UNLIMITED
        if grant is None or limited or totals.busy >= grant.count:
            self._inventory.report_now(upstream)
        known = self._inventory.upstreams.get(upstream)
        if known:
            self.ready.add(known.service)

    def handle_grants(
        self, peer: str, msg: slot_messages.Loans, now: float
    ) -> None:
        """Apply a grantor's answer."""
        if msg.boot != self._boot:
            return
        grantor = self._inventory.grantor_state(peer)
        if msg.grantor_boot != grantor.boot:
            if msg.stamp_ms <= grantor.boot_stamp_ms:
                return
            grantor.boot = msg.grantor_boot
            grantor.boot_stamp_ms = msg.stamp_ms
            grantor.dropped_serial = 0
            grantor.grants = {}
        self._inventory.check_reports = True
        until = msg.stamp_ms / 1000 + self._cfg.upstreams.loan_s
        grantor.lease_until = max(grantor.lease_until, until)
        grantor.max_attempt_s = msg.max_attempt_s
        for grant in msg.grants:
            self._apply_grant(peer, grantor, grant, now)

    def _apply_grant(
        self,
        peer: str,
        grantor: slot_holder_state.GrantorState,
        new: slot_messages.SlotGrant,
        now: float,
    ) -> None:
        if self._inventory.grantor_of.get(new.upstream) != peer:
            return
        grant = grantor.grants.setdefault(
            new.upstream, slot_holder_state.HeldGrant(used_at=now)
        )
        if new.serial <= max(grant.serial, grantor.dropped_serial):
            return
        if new.count > grant.count:
            grant.used_at = now
            self.ready.add(self._inventory.upstreams[new.upstream].service)
        else:
            grantor.urgent = True
        grant.serial = new.serial
        grant.count = new.count
        grant.starts = new.starts

    def tick(self, now: float) -> None:
        """Return idle slots and those whose delayed return is due."""
        self._inventory.check_reports = True
        while self._delayed_returns and self._delayed_returns[0][0] <= now:
            _, upstream = heapq.heappop(self._delayed_returns)
            self._end_attempt(upstream, now)
        for grantor in self._inventory.grantors.values():
            if now >= grantor.lease_until:
                for grant in grantor.grants.values():
                    grant.count = 0
                continue
            for upstream, grant in grantor.grants.items():
                self._return_idle(grantor, upstream, grant, now)

    def _return_idle(
        self,
        grantor: slot_holder_state.GrantorState,
        upstream: int,
        grant: slot_holder_state.HeldGrant,
        now: float,
    ) -> None:
        known = self._inventory.upstreams.get(upstream)
        if known is None or grant.count <= self._inventory.busy(upstream):
            return
        if (
            self._inventory.demand_for(known.service).waiting
            and self._inventory.free_slots(known, now) > 0
        ):
            return
        idle_s = IDLE_RETURN_S
        if self._inventory.held_slots(known.service, now) == 1:
            idle_s = LAST_IDLE_RETURN_S
        if now - grant.used_at >= idle_s:
            grant.count = self._inventory.busy(upstream)
            grant.starts = min(grant.starts, 0)
            grantor.urgent = True

    def flush(self, now: float) -> list[tuple[str, slot_messages.Report]]:
        """Return pairs of grantor name and report for all due reports."""
        return self._reports.flush(now)
