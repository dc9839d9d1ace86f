"""The slots that this entry VM holds, and what it knows of upstreams."""

from ebonytally import settings
from ebonytally.upstreams import slot_held
from ebonytally.upstreams import slot_messages
from ebonytally.upstreams import upstream_choice
from ebonytally.upstreams import upstream_health
from ebonytally import view


class Stock:
    """State that the holder and its reports share.

    :param due: a report may be due before the next tick
    :param long_hold: longest attempt wanted (seconds), and until when
    """

    def __init__(
        self,
        cfg: settings.Settings,
        health: upstream_health.Health,
    ) -> None:
        """Hold nothing."""
        self.cfg = cfg
        self.health = health
        self.view = view.View()
        self.known: dict[int, view.Upstream] = {}
        self.services: dict[str, list[view.Upstream]] = {}
        self.peers: dict[str, frozenset[int]] = {}
        self.lender_of: dict[int, str] = {}
        self.lenders: dict[str, slot_held.Lender] = {}
        self.tallies: dict[int, slot_held.Tally] = {}
        self.demands: dict[str, slot_held.Demand] = {}
        self.leased = True
        self.due = True
        self.long_hold = (0, float("-inf"))

    def changed(self, new: view.View, now: float) -> None:
        """Take a newer view; slots of a former lender are dropped."""
        self.view = new
        self.known = {one.id: one for one in new.upstreams}
        self.services = {}
        for one in new.upstreams:
            self.services.setdefault(one.service, []).append(one)
        self.peers = {
            name: frozenset(one.id for one in those)
            for name, those in self.services.items()
        }
        old = self.lender_of
        self.due = True
        self.lender_of = {}
        for one in new.upstreams:
            name = upstream_choice.lender(new.vms, one)
            self.lender_of[one.id] = name
            if old.get(one.id) != name and name:
                self.lender(name).urgent = True
        for name, lender in self.lenders.items():
            self._drop_former(name, lender)
        self.tallies = {
            upstream: tally
            for upstream, tally in self.tallies.items()
            if upstream in self.known or tally.busy
        }

    def _drop_former(self, name: str, lender: slot_held.Lender) -> None:
        """Drop loans of upstreams that the lender doesn't lend now.

        An old copy of such a loan must not count later, so its serial
        becomes the floor of new ones.
        """
        for upstream, loan in list(lender.loans.items()):
            if self.lender_of.get(upstream) != name:
                lender.floor = max(lender.floor, loan.serial)
                del lender.loans[upstream]

    def lender(self, name: str) -> slot_held.Lender:
        """Return what is known of a lender."""
        return self.lenders.setdefault(name, slot_held.Lender())

    def tally(self, upstream: int) -> slot_held.Tally:
        """Return the running totals of an upstream."""
        return self.tallies.setdefault(upstream, slot_held.Tally())

    def demand(self, service: str) -> slot_held.Demand:
        """Return the requests of a service at this entry VM."""
        return self.demands.setdefault(service, slot_held.Demand())

    def busy(self, upstream: int) -> int:
        """Return how many attempts are under way at an upstream."""
        tally = self.tallies.get(upstream)
        return tally.busy if tally else 0

    def free(self, one: view.Upstream, now: float) -> int:
        """Return how many attempts may start at an upstream now."""
        if not upstream_choice.usable(
            self.view, one, self.cfg.data_centre, self.leased
        ):
            return 0
        lender = self.lenders.get(self.lender_of.get(one.id, ""))
        if lender is None or now >= lender.lease_until:
            return 0
        loan = lender.loans.get(one.id)
        if loan is None or self.health.ejected(one.id, now):
            return 0
        free = loan.count - self.busy(one.id)
        if loan.starts != slot_messages.UNLIMITED:
            free = min(free, loan.starts)
        return free

    def loan(self, upstream: int) -> slot_held.Loan | None:
        """Return the loan of an upstream, None without one."""
        lender = self.lenders.get(self.lender_of.get(upstream, ""))
        return lender.loans.get(upstream) if lender else None

    def owe(self, upstream: int) -> None:
        """Have the upstream's lender told at once."""
        name = self.lender_of.get(upstream)
        if name:
            self.lender(name).urgent = True
            self.due = True

    def held(self, service: str, now: float) -> int:
        """Return the slots of a service that it has in use or free."""
        return sum(
            self.busy(one.id) + max(0, self.free(one, now))
            for one in self.services.get(service, ())
        )
