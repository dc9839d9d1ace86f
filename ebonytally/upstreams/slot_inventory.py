"""Slots that this entry VM holds, and the state behind its reports."""

from ebonytally import settings
from ebonytally.upstreams import slot_holder_state
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import upstream_choice
from ebonytally.upstreams import upstream_health
from ebonytally import view


class Inventory:
    """State shared by `slot_holder.Holder` and `slot_reports.Reports`.

    `check_reports` is set when a report may be due before the next tick,
    `long_attempt` is the longest attempt wanted beyond the default timeout
    (seconds) and the time until which it is wanted.
    """

    def __init__(
        self,
        cfg: settings.Settings,
        health: upstream_health.Health,
    ) -> None:
        """Set up without upstreams and slots."""
        self.cfg = cfg
        self.health = health
        self.view = view.View()
        self.upstreams: dict[int, view.Upstream] = {}
        self.upstreams_of: dict[str, list[view.Upstream]] = {}
        self.peers: dict[str, frozenset[int]] = {}
        self.grantor_of: dict[int, str] = {}
        self.grantors: dict[str, slot_holder_state.GrantorState] = {}
        self.totals: dict[int, slot_holder_state.AttemptTotals] = {}
        self.demands: dict[str, slot_holder_state.Demand] = {}
        self.leased = True
        self.check_reports = True
        self.long_attempt = (0, float("-inf"))

    def on_view_change(self, new: view.View, now: float) -> None:
        """Apply a newer view; slots of a former grantor are dropped."""
        self.view = new
        self.upstreams = {upstream.id: upstream for upstream in new.upstreams}
        self.upstreams_of = {}
        for upstream in new.upstreams:
            self.upstreams_of.setdefault(upstream.service, []).append(upstream)
        self.peers = {
            name: frozenset(upstream.id for upstream in upstreams)
            for name, upstreams in self.upstreams_of.items()
        }
        old = self.grantor_of
        self.check_reports = True
        self.grantor_of = {}
        for upstream in new.upstreams:
            name = upstream_choice.grantor(new.vms, upstream)
            self.grantor_of[upstream.id] = name
            if old.get(upstream.id) != name and name:
                self.grantor_state(name).urgent = True
        for name, grantor in self.grantors.items():
            self._drop_former(name, grantor)
        self.totals = {
            upstream: totals
            for upstream, totals in self.totals.items()
            if upstream in self.upstreams or totals.busy
        }

    def _drop_former(
        self, name: str, grantor: slot_holder_state.GrantorState
    ) -> None:
        """Drop grants of upstreams that have another grantor now.

        A late copy of such a grant must not be applied, so its serial is
        remembered and only grants with a higher one are accepted.
        """
        for upstream, grant in list(grantor.grants.items()):
            if self.grantor_of.get(upstream) != name:
                grantor.dropped_serial = max(
                    grantor.dropped_serial, grant.serial
                )
                del grantor.grants[upstream]

    def grantor_state(self, name: str) -> slot_holder_state.GrantorState:
        """Return the state of a grantor, created if missing."""
        return self.grantors.setdefault(name, slot_holder_state.GrantorState())

    def totals_of(self, upstream: int) -> slot_holder_state.AttemptTotals:
        """Return the running totals of an upstream, created if missing."""
        return self.totals.setdefault(
            upstream, slot_holder_state.AttemptTotals()
        )

    def demand_for(self, service: str) -> slot_holder_state.Demand:
        """Return the demand for slots of a service, created if missing."""
        return self.demands.setdefault(service, slot_holder_state.Demand())

    def busy(self, upstream: int) -> int:
        """Return how many attempts are in progress at an upstream."""
        totals = self.totals.get(upstream)
        return totals.busy if totals else 0

    def free_slots(self, upstream: view.Upstream, now: float) -> int:
        """Return how many attempts may be started at an upstream now."""
        if not upstream_choice.is_usable(
            self.view, upstream, self.cfg.data_centre, self.leased
        ):
            return 0
        grantor = self.grantors.get(self.grantor_of.get(upstream.id, ""))
        if grantor is None or now >= grantor.lease_until:
            return 0
        grant = grantor.grants.get(upstream.id)
        if grant is None or self.health.is_ejected(upstream.id, now):
            return 0
        free = grant.count - self.busy(upstream.id)
        if grant.starts != slot_messages.UNLIMITED:
            free = min(free, grant.starts)
        return free

    def grant_of(self, upstream: int) -> slot_holder_state.HeldGrant | None:
        """Return the grant of an upstream, None without one."""
        grantor = self.grantors.get(self.grantor_of.get(upstream, ""))
        return grantor.grants.get(upstream) if grantor else None

    def report_now(self, upstream: int) -> None:
        """Schedule an immediate report to the upstream's grantor."""
        name = self.grantor_of.get(upstream)
        if name:
            self.grantor_state(name).urgent = True
            self.check_reports = True

    def held_slots(self, service: str, now: float) -> int:
        """Return the slots of a service that are in use or free here."""
        return sum(
            self.busy(upstream.id) + max(0, self.free_slots(upstream, now))
            for upstream in self.upstreams_of.get(service, ())
        )
