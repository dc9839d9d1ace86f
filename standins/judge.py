"""Judges the deployment by the reports of upstreams and callers.

Status and metrics of the load balancer are not used, except for figures
about its own resources.
"""

import collections
import math

import attrs

from standins import reports

OUT_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 2.0
RSS_LIMIT_BYTES = 128 * 1024 * 1024
CONTROL_LIMIT_BYTES_PER_S = 3 * 1024
IMBALANCE_LIMIT = 1.10
SAMPLING_SIGMAS = 4.0
DELIVERY_TIMEOUT_S = 3.0
MIN_LOST_PACKETS = 3


@attrs.define
class Flow:
    """A caller's flow.

    :param sent: number of packets sent so far
    :param first_upstream: name of the upstream that received a packet of it
        first, "" before
    :param is_broken: a later packet reached another upstream
    :param is_exempt: it may break, since its upstream or data centre is gone
    :param is_reset: its caller received a TCP reset
    :param delivered: sequence numbers that reached an upstream
    :param last_sent_at: send times of the latest packets by sequence number
    """

    number: int
    service: str
    sent: int = 0
    first_upstream: str = ""
    is_broken: bool = False
    is_exempt: bool = False
    is_reset: bool = False
    delivered: set[int] = attrs.field(factory=set)
    last_sent_at: dict[int, float] = attrs.field(factory=dict)


@attrs.define
class Request:
    """A caller's request, of which several copies may be sent.

    :param mark: its identifier, sent as Caller-Mark
    :param outcomes: outcomes of the copies that were answered
    :param in_flight: number of copies not answered yet
    :param runs: number of times that an upstream began to run it
    :param false_not_run: the caller was told "not run", but it ran
    """

    mark: str
    idempotent: bool
    outcomes: list[str] = attrs.field(factory=list)
    in_flight: int = 0
    runs: int = 0
    false_not_run: bool = False

    def on_run(self) -> None:
        """Count a run.

        After "not run" only a copy still in flight may run.
        """
        self.runs += 1
        if "not-run" in self.outcomes and not self.in_flight:
            self.false_not_run = True

    def on_answer(self, outcome: str) -> None:
        """Record the outcome of a copy; "not run" after a run is false."""
        self.in_flight -= 1
        self.outcomes.append(outcome)
        if outcome == "not-run" and self.runs:
            self.false_not_run = True


@attrs.frozen
class Figures:
    """Results of a run, in seconds and bytes."""

    flows: int
    broken_flows: int
    wrong_service_packets: int
    requests: int
    answered: int
    refused_not_run: int
    outcome_unknown: int
    duplicate_runs: int
    wrong_answers: int
    false_not_run: int
    out_last_packet_s: float
    in_force_s: float
    imbalance_max_over_mean: float
    cut_requests: int
    daemon_rss_max_bytes: int
    control_bytes_per_s_max: float
    fell_over_cold: int
    over_slots: int


@attrs.define
class Judge:
    """Collects the reports of the stand-ins and computes the figures.

    :param centre_of: data centre of each upstream stand-in, by name
    :param address_of: ``address:port`` of each service, by name
    :param out_centre: data centre that was taken out, "" for none
    :param out_at: time at which taking it out was confirmed
    :param last_arrival_at: time of the last packet or run by data centre
    :param is_back: the data centre has been brought back
    :param imbalance: highest ratio of maximum to mean open flows
    """

    centre_of: dict[str, str]
    address_of: dict[str, str]
    flows: dict[int, Flow] = attrs.field(factory=dict)
    requests: dict[str, Request] = attrs.field(factory=dict)
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    out_centre: str = ""
    out_at: float = 0.0
    last_arrival_at: dict[str, float] = attrs.field(factory=dict)
    is_back: bool = False
    imbalance: float = 0.0
    imbalance_limit: float = IMBALANCE_LIMIT

    def on_report(self, report: reports.Report, now: float) -> None:
        """Handle a report of an upstream stand-in."""
        if report.kind == "packet":
            self._on_packet(report, now)
        elif report.kind == "run":
            self._on_run(report, now)
        else:
            self.counts[report.kind] += 1

    def _on_packet(self, report: reports.Report, now: float) -> None:
        self._record_arrival(report.upstream, now)
        if report.dst != self.address_of[report.service]:
            self.counts["wrong_service"] += 1
        flow = self.flows.get(report.flow)
        if flow is None:
            return
        flow.delivered.add(report.seq)
        if not flow.first_upstream:
            flow.first_upstream = report.upstream
            out = self.centre_of[report.upstream] == self.out_centre
            flow.is_exempt = out and not self.is_back
        elif report.upstream != flow.first_upstream and not flow.is_exempt:
            flow.is_broken = True

    def _on_run(self, report: reports.Report, now: float) -> None:
        self._record_arrival(report.upstream, now)
        req = self.requests.get(report.request)
        if req is not None:
            req.on_run()

    def _record_arrival(self, upstream: str, now: float) -> None:
        if not self.is_back:
            self.last_arrival_at[self.centre_of[upstream]] = now

    def on_take_out(self, centre: str, now: float) -> None:
        """Record that taking a data centre out was confirmed.

        Its open flows may break from now on.
        """
        self.out_centre = centre
        self.out_at = now
        for flow in self.flows.values():
            if (
                flow.first_upstream
                and self.centre_of[flow.first_upstream] == centre
            ):
                flow.is_exempt = True

    def measure_imbalance(self, warm: dict[str, list[str]]) -> None:
        """Compare the open flows of each service's warm upstreams.

        The limit allows for the sampling noise of a small mean.

        :param warm: names of warm upstreams by service
        """
        for service, names in warm.items():
            counts = collections.Counter(
                flow.first_upstream
                for flow in self.flows.values()
                if flow.service == service and not flow.is_exempt
            )
            loads = [counts[name] for name in names]
            mean = sum(loads) / max(1, len(loads))
            if mean == 0:
                continue
            noise = SAMPLING_SIGMAS / math.sqrt(mean)
            limit = IMBALANCE_LIMIT + noise
            self.imbalance_limit = max(self.imbalance_limit, limit)
            self.imbalance = max(self.imbalance, max(loads) / mean)

    def lost_flows(self, now: float) -> int:
        """Return the number of flows whose latest packets were all lost.

        Packets younger than `DELIVERY_TIMEOUT_S` may still arrive.
        """
        lost = 0
        for flow in self.flows.values():
            if flow.is_exempt or flow.is_broken:
                continue
            if flow.is_reset:
                # The reset of a new flow is a refusal; the reset of a
                # flow established at a live upstream is a loss.
                lost += bool(flow.first_upstream)
                continue
            due = [
                seq
                for seq, at in flow.last_sent_at.items()
                if now - at > DELIVERY_TIMEOUT_S
            ][-MIN_LOST_PACKETS:]
            if len(due) < MIN_LOST_PACKETS:
                continue
            if max(flow.delivered, default=0) < due[0]:
                lost += 1
        return lost

    def figures(
        self,
        now: float,
        in_force_s: float,
        rss: int,
        control: float,
    ) -> Figures:
        """Return the figures of the run.

        :param rss: largest resident set size of a daemon, bytes
        :param control: highest control traffic of an entry VM, bytes/s
        """
        outcomes = collections.Counter(
            outcome
            for req in self.requests.values()
            for outcome in req.outcomes
        )
        last = self.last_arrival_at.get(self.out_centre, 0.0)
        broken = sum(flow.is_broken for flow in self.flows.values())
        return Figures(
            flows=len(self.flows),
            broken_flows=broken + self.lost_flows(now),
            wrong_service_packets=self.counts["wrong_service"],
            requests=len(self.requests),
            answered=outcomes["answered"],
            refused_not_run=outcomes["not-run"],
            outcome_unknown=outcomes["unknown"],
            duplicate_runs=sum(
                max(0, req.runs - 1)
                for req in self.requests.values()
                if not req.idempotent
            ),
            wrong_answers=outcomes["wrong"],
            false_not_run=sum(
                req.false_not_run
                for req in self.requests.values()
                if not req.idempotent
            ),
            out_last_packet_s=round(max(0.0, last - self.out_at), 3),
            in_force_s=in_force_s,
            imbalance_max_over_mean=round(self.imbalance, 3),
            cut_requests=outcomes["cut"],
            daemon_rss_max_bytes=rss,
            control_bytes_per_s_max=round(control, 1),
            fell_over_cold=self.counts["fell"],
            over_slots=self.counts["over"],
        )


def violated_guarantees(
    figures: Figures,
    imbalance_limit: float,
) -> list[str]:
    """Return a line for each guarantee that was violated."""
    must_be_zero = (
        "broken_flows",
        "wrong_service_packets",
        "duplicate_runs",
        "wrong_answers",
        "false_not_run",
        "cut_requests",
        "fell_over_cold",
        "over_slots",
    )
    violations = [
        f"{name} is {getattr(figures, name)}, must be 0"
        for name in must_be_zero
        if getattr(figures, name)
    ]
    limits = (
        ("out_last_packet_s", OUT_LIMIT_S),
        ("in_force_s", IN_FORCE_LIMIT_S),
        ("daemon_rss_max_bytes", RSS_LIMIT_BYTES),
        ("control_bytes_per_s_max", CONTROL_LIMIT_BYTES_PER_S),
        ("imbalance_max_over_mean", imbalance_limit),
    )
    for name, limit in limits:
        value = getattr(figures, name)
        if value > limit:
            violations.append(f"{name} is {value}, must be at most {limit:g}")
    if figures.answered == 0:
        violations.append("no request was answered")
    if figures.flows == 0:
        violations.append("no flow was opened")
    return violations
