"""Reports of a holder to its grantors: when to send, and their content."""

import math

from ebonytally import settings
from ebonytally.upstreams import slot_holder_state
from ebonytally.upstreams import slot_inventory
from ebonytally.upstreams import slot_messages

RENEW_FRACTION = 0.3
STARVED_REPORT_GAP_S = 0.05
DEMAND_REPORT_GAP_S = 0.25
ACTIVE_S = 1.0


class Reports:
    """Builds the reports of one holder.

    :param boot: random number that identifies this process
    """

    def __init__(
        self,
        cfg: settings.Settings,
        local_vm: str,
        boot: int,
        inventory: slot_inventory.Inventory,
    ) -> None:
        """Set up reports on the slots in `inventory`."""
        self._cfg = cfg
        self._local_vm = local_vm
        self._boot = boot
        self._inventory = inventory
        self._renew_s = RENEW_FRACTION * cfg.upstreams.loan_s

    def flush(self, now: float) -> list[tuple[str, slot_messages.Report]]:
        """Return pairs of grantor name and report for all due reports."""
        if not self._inventory.check_reports:
            return []
        self._inventory.check_reports = False
        out = []
        for name, services in self._active_services(now).items():
            grantor = self._inventory.grantor_state(name)
            gap_s = self._gap_s(name, grantor, services, now)
            has_grants = any(grant.count for grant in grantor.grants.values())
            if has_grants or self._has_attempts(name):
                gap_s = min(gap_s, self._renew_s)
            if not grantor.urgent and now - grantor.sent_at < gap_s:
                continue
            if gap_s == math.inf and not grantor.urgent:
                continue
            out.append((name, self._report(name, services, now)))
        return out

    def _gap_s(
        self,
        name: str,
        grantor: slot_holder_state.GrantorState,
        services: set[str],
        now: float,
    ) -> float:
        """Return the seconds between reports, infinity if none is needed.

        :param services: active services whose slots it grants
        """
        gap_s = self._renew_s if services else math.inf
        for service in services:
            waiting = self._inventory.demand_for(service).waiting
            if waiting == grantor.reported_waiting.get(service, 0):
                continue
            if name == self._local_vm:
                return 0.0
            starved = waiting and not self._inventory.held_slots(service, now)
            changed_s = (
                STARVED_REPORT_GAP_S if starved else DEMAND_REPORT_GAP_S
            )
            gap_s = min(gap_s, changed_s)
        return gap_s

    def _active_services(self, now: float) -> dict[str, set[str]]:
        """Return the active services of each known grantor, by its name."""
        out: dict[str, set[str]] = {
            name: set() for name in self._inventory.grantors if name
        }
        for service, demand in self._inventory.demands.items():
            if now - demand.active_at > ACTIVE_S:
                continue
            for upstream in self._inventory.upstreams_of.get(service, ()):
                name = self._inventory.grantor_of[upstream.id]
                if name:
                    out.setdefault(name, set()).add(service)
        return out

    def _has_attempts(self, name: str) -> bool:
        return any(
            totals.busy and self._inventory.grantor_of.get(upstream) == name
            for upstream, totals in self._inventory.totals.items()
        )

    def _report(
        self,
        name: str,
        services: set[str],
        now: float,
    ) -> slot_messages.Report:
        grantor = self._inventory.grantor_state(name)
        grantor.number += 1
        grantor.sent_at = now
        grantor.urgent = False
        return slot_messages.Report(
            boot=self._boot,
            number=grantor.number,
            stamp_ms=math.floor(now * 1000),
            grantor_boot=grantor.boot,
            revision=self._inventory.view.revision,
            max_attempt_s=self._max_attempt_s(now),
            uses=self._uses(name, grantor, now),
            demands=tuple(
                self._demand(grantor, service, now)
                for service in sorted(services)
            ),
        )

    def _max_attempt_s(self, now: float) -> int:
        default_s = math.ceil(self._cfg.requests.default_timeout_s)
        max_attempt_s, until = self._inventory.long_attempt
        return max(default_s, max_attempt_s) if now < until else default_s

    def _demand(
        self,
        grantor: slot_holder_state.GrantorState,
        service: str,
        now: float,
    ) -> slot_messages.SlotDemand:
        demand = self._inventory.demand_for(service)
        grantor.reported_waiting[service] = demand.waiting
        busy = sum(
            self._inventory.busy(upstream.id)
            for upstream in self._inventory.upstreams_of.get(service, ())
        )
        return slot_messages.SlotDemand(
            service,
            demand.waiting,
            busy,
            self._inventory.held_slots(service, now),
        )

    def _uses(
        self,
        name: str,
        grantor: slot_holder_state.GrantorState,
        now: float,
    ) -> tuple[slot_messages.SlotUse, ...]:
        return tuple(
            self._use(upstream, grantor.grants.get(upstream), now)
            for upstream, grantor_name in self._inventory.grantor_of.items()
            if grantor_name == name
            and (
                upstream in grantor.grants
                or upstream in self._inventory.totals
            )
        )

    def _use(
        self,
        upstream: int,
        grant: slot_holder_state.HeldGrant | None,
        now: float,
    ) -> slot_messages.SlotUse:
        totals = self._inventory.totals_of(upstream)
        grant = grant or slot_holder_state.HeldGrant()
        count = grant.count
        if grant.starts != slot_messages.UNLIMITED:
            count = min(count, totals.busy + grant.starts)
        return slot_messages.SlotUse(
            upstream=upstream,
            serial=grant.serial,
            count=max(count, totals.busy),
            busy=totals.busy,
            oks=totals.oks,
            fails=totals.fails,
            slows=totals.slows,
            sheds=totals.sheds,
            mean_answer_ms=math.ceil(
                self._inventory.health.mean_answer_s(upstream) * 1000
            ),
            avoid=self._inventory.health.is_ejected(upstream, now),
        )
