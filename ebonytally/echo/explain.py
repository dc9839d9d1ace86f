"""Explanation of where a new flow would go now, and why.

It calls the functions that decide on a copy of what they would change, so
that the flows after it are placed as without it.
"""

from collections.abc import Mapping

import attrs

from ebonytally.configuration import model
from ebonytally.echo import forwarder as forwarders
from ebonytally.echo import gate as gates
from ebonytally.echo import openings
from ebonytally.echo import placing as placings
from ebonytally.feed import follower as followers
from ebonytally.load import composition
from ebonytally.load import interfaces
from ebonytally.load import spill as spills
from ebonytally.registry import registry as registries

NO_ROUTE = "no_route"
NO_UPSTREAM = "no_upstream"
NO_WEIGHT = "no_weight"


@attrs.define
class Candidate:
    """An upstream of one of the route's services.

    Not frozen: there may be thousands, and a frozen class takes longer.

    :param address: address and port
    :param speed: learned speed relative to its service's
    :param busy: requests of this entry VM whose answer has not begun
    :param opening: flows of this entry VM that have not opened yet
    :param flows: open flows of this entry VM
    :param left_out: a `placing.Exclusion`, `NO_WEIGHT`, or "" if it may
        be chosen; always "" for the chosen one
    """

    id: str
    service: str
    address: str
    data_centre: str
    state: str
    condition: interfaces.Condition
    speed: float
    slots: int
    busy: int
    opening: int
    flows: int
    cold_for_s: float
    backed_off_for_s: float
    left_out: str = ""


@attrs.frozen
class Leaving:
    """What is decided about the service's flows that leave for elsewhere.

    :param reason: a `spill.Reason`, "" before the first decision
    :param shares: present shares of the route's priority by data centre
    :param home_share: present share that stays at home; the rest is for
        the choice among all upstreams
    :param utilisation: of home by its own callers
    :param mean: utilisation over all data centres
    """

    reason: str
    shares: Mapping[str, float]
    home_share: float
    utilisation: float
    mean: float


@attrs.frozen
class Explanation:
    """Where a new flow of a caller would go now.

    :param caller: address and port of the caller
    :param version: of the configuration, 0 for none
    :param is_fresh: the view is up to date as far as is known; without
        it, admission isn't asked and nothing is reset
    :param route: None if the address and port have none
    :param service: the one drawn among the route's services
    :param demand_per_s: requests a second by data centre, None if unknown
    :param figures_age_s: age of the shared figures, None without them
    :param admission: None if admission is switched off, or wasn't asked
    :param chosen: id of the upstream, "" if the flow is refused
    :param refusal: "" if an upstream is chosen, else `NO_ROUTE`,
        `NO_UPSTREAM` or an `interfaces.Refusal`
    """

    caller: str
    version: int
    is_fresh: bool
    data_centre: str
    route: model.Route | None = None
    service: str = ""
    candidates: tuple[Candidate, ...] = ()
    demand_per_s: Mapping[str, float] | None = None
    figures_age_s: float | None = None
    leaving: Leaving | None = None
    has_admission: bool = False
    admission: interfaces.Verdict | None = None
    chosen: str = ""
    refusal: str = ""


class Explainer:
    """Explains the decisions of one entry VM."""

    def __init__(
        self,
        registry: registries.Registry,
        follower: followers.Follower,
        placing: placings.Placing,
        forwarder: forwarders.Forwarder,
        decisions: composition.Decisions,
        data_centre: str,
    ) -> None:
        """Create it for the objects that decide.

        :param data_centre: data centre of this entry VM
        """
        self._registry = registry
        self._follower = follower
        self._placing = placing
        self._forwarder = forwarder
        self._decisions = decisions
        self._data_centre = data_centre

    def has_view(self) -> bool:
        """Return whether the view is complete enough to serve callers."""
        return self._follower.is_complete()

    def explain(
        self,
        caller: tuple[str, int],
        service_address: tuple[str, int],
        now: float,
    ) -> Explanation:
        """Return where a new flow would go, without any effect.

        :param caller: IPv4 address and port
        :param service_address: IPv4 address and port that it connects to
        """
        address = forwarders.address_bytes(*service_address)
        route = self._forwarder.route_at(address)
        explanation = Explanation(
            caller=f"{caller[0]}:{caller[1]}",
            version=self._follower.view.version,
            is_fresh=self._follower.is_fresh(now),
            data_centre=self._data_centre,
            route=route,
        )
        if route is None:
            return attrs.evolve(explanation, refusal=NO_ROUTE)
        key = forwarders.address_bytes(*caller) + address
        return self._explain(explanation, key, route, now)

    def _explain(
        self,
        explanation: Explanation,
        key: bytes,
        route: model.Route,
        now: float,
    ) -> Explanation:
        trial = self._placing.trial()
        service = trial.service_of(route)
        verdict = None
        gate = self._decisions.gate
        if explanation.is_fresh:
            opening = gates.opening_of(key, route, service)
            verdict = gate.preview(opening, now)
        chosen, refusal = "", ""
        if verdict is not None and not verdict.is_admitted:
            refusal = verdict.refusal.value
        else:
            record = openings.choose(
                trial,
                self._forwarder.cookies,
                service,
                route.priority,
                (),
                now,
            )
            chosen = record.id if record is not None else ""
            refusal = NO_UPSTREAM if record is None else ""
        shared = self._decisions.shared_load
        return attrs.evolve(
            explanation,
            service=service,
            candidates=self._candidates(route, chosen, now),
            demand_per_s=shared.demand_per_s(service, now),
            figures_age_s=shared.age_s(now),
            leaving=self._leaving(service, route.priority, now),
            has_admission=gate.has_admission,
            admission=verdict,
            chosen=chosen,
            refusal=refusal,
        )

    def _leaving(self, service: str, priority: int, now: float) -> Leaving:
        spill = self._decisions.spill
        decision = spill.decision(service)
        reason = decision.reason.value if decision is not None else ""
        if decision is None:
            decision = spills.Decision(spills.Reason.NO_FIGURES)
        return Leaving(
            reason,
            dict(spill.remote_shares(service, priority, now)),
            spill.home_share(service, priority, now),
            decision.utilisation,
            decision.mean,
        )

    def _candidates(
        self, route: model.Route, chosen: str, now: float
    ) -> tuple[Candidate, ...]:
        """Return the upstreams of a route's services, ordered by id."""
        weights = {target.service: target.weight for target in route.targets}
        trial = self._placing.trial()
        found = []
        for entry in self._registry.entries():
            weight = weights.get(entry.record.service)
            if weight is None:
                continue
            left_out = ""
            if entry.record.id != chosen:
                left_out = trial.exclusion(entry, now) or ""
                if not left_out and not weight:
                    left_out = NO_WEIGHT
            found.append(self._candidate(entry, left_out, trial, now))
        return tuple(sorted(found, key=lambda candidate: candidate.id))

    def _candidate(
        self,
        entry: registries.Entry,
        left_out: str,
        trial: placings.Placing,
        now: float,
    ) -> Candidate:
        record = entry.record
        load = trial.load(record.id)
        capacity = self._decisions.capacity
        return Candidate(
            id=record.id,
            service=record.service,
            address=f"{record.address}:{record.port}",
            data_centre=record.data_centre,
            state=record.state.name.lower(),
            condition=capacity.condition(record.id, now),
            speed=capacity.speed(record.id, now),
            slots=record.slots,
            busy=load.busy,
            opening=load.opening,
            flows=load.flows,
            cold_for_s=max(0.0, entry.cold_until - now),
            backed_off_for_s=max(0.0, load.backed_off_until - now),
            left_out=str(left_out),
        )
