"""Judges the deployment by what upstreams and callers saw.

Nothing that the system says of itself is believed, except where a figure is
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
SETTLED_S = 3.0
LOST_AT_END = 3


@attrs.define
class Flow:
    """One caller's flow as the judge knows it.

    :param sent: number of packets sent so far
    :param first: name of the upstream that saw its first packet
    :param given_up: its data centre was taken out
    """

    number: int
    service: str
    sent: int = 0
    first: str = ""
    broken: bool = False
    given_up: bool = False
    reset: bool = False
    delivered: set[int] = attrs.field(factory=set)
    last_sent_at: dict[int, float] = attrs.field(factory=dict)


@attrs.define
class Request:
    """One caller's request as the judge knows it.

    :param outcomes: of the copies that were answered
    :param in_hand: copies that aren't answered yet
    :param false_not_run: it ran although the caller was told otherwise
    """

    mark: str
    idempotent: bool
    outcomes: list[str] = attrs.field(factory=list)
    in_hand: int = 0
    runs: int = 0
    false_not_run: bool = False

    def ran(self) -> None:
        """Note a run; after "not run" it takes another copy to run it."""
        self.runs += 1
        if "not-run" in self.outcomes and not self.in_hand:
            self.false_not_run = True

    def ended(self, outcome: str) -> None:
        """Note the answer to a copy; "not run" must be true by then."""
        self.in_hand -= 1
        self.outcomes.append(outcome)
        if outcome == "not-run" and self.runs:
            self.false_not_run = True


@attrs.frozen
class Figures:
    """The verdict; times in seconds, sizes in bytes."""

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
    """Collects what the stand-ins saw.

    :param centre_of: data centre of each upstream stand-in, by name
    :param address_of: ``address:port`` of each service, by name
    """

    centre_of: dict[str, str]
    address_of: dict[str, str]
    flows: dict[int, Flow] = attrs.field(factory=dict)
    requests: dict[str, Request] = attrs.field(factory=dict)
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    out_centre: str = ""
    out_at: float = 0.0
    last_into: dict[str, float] = attrs.field(factory=dict)
    back: bool = False
    imbalance: float = 0.0
    imbalance_limit: float = IMBALANCE_LIMIT

    def take(self, report: reports.Report, now: float) -> None:
        """Take what an upstream stand-in saw."""
        if report.kind == "packet":
            self._packet(report, now)
        elif report.kind == "run":
            self._run(report, now)
        else:
            self.counts[report.kind] += 1

    def _packet(self, report: reports.Report, now: float) -> None:
        self._into(report.upstream, now)
        if report.dst != self.address_of[report.service]:
            self.counts["wrong_service"] += 1
        flow = self.flows.get(report.flow)
        if flow is None:
            return
        flow.delivered.add(report.seq)
        if not flow.first:
            flow.first = report.upstream
            out = self.centre_of[report.upstream] == self.out_centre
            flow.given_up = out and not self.back
        elif report.upstream != flow.first and not flow.given_up:
            flow.broken = True

    def _run(self, report: reports.Report, now: float) -> None:
        self._into(report.upstream, now)
        req = self.requests.get(report.request)
        if req is not None:
            req.ran()

    def _into(self, upstream: str, now: float) -> None:
        if not self.back:
            self.last_into[self.centre_of[upstream]] = now

    def taken_out(self, centre: str, now: float) -> None:
        """Note that a data centre's departure was confirmed."""
        self.out_centre = centre
        self.out_at = now
        for flow in self.flows.values():
            if flow.first and self.centre_of[flow.first] == centre:
                flow.given_up = True

    def measure_imbalance(self, warm: dict[str, list[str]]) -> None:
        """Compare open flows of the warm upstreams of each service.

        :param warm: names of warm upstreams by service
        """
        for service, names in warm.items():
            counts = collections.Counter(
                flow.first
                for flow in self.flows.values()
                if flow.service == service and not flow.given_up
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
        """Return flows that have got nothing through lately."""
        lost = 0
        for flow in self.flows.values():
            if flow.given_up or flow.broken:
                continue
            if flow.reset:
                # A refused new flow is none; a reset of one that had
                # begun at an upstream that stands is a loss.
                lost += bool(flow.first)
                continue
            settled = [
                seq
                for seq, at in flow.last_sent_at.items()
                if now - at > SETTLED_S
            ][-LOST_AT_END:]
            if len(settled) < LOST_AT_END:
                continue
            if max(flow.delivered, default=0) < settled[0]:
                lost += 1
        return lost

    def figures(
        self,
        now: float,
        in_force_s: float,
        rss: int,
        control: float,
    ) -> Figures:
        """Return the verdict."""
        outcomes = collections.Counter(
            outcome
            for req in self.requests.values()
            for outcome in req.outcomes
        )
        last = self.last_into.get(self.out_centre, 0.0)
        broken = sum(flow.broken for flow in self.flows.values())
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


def broken_promises(
    figures: Figures,
    imbalance_limit: float,
) -> list[str]:
    """Return a line for each promise that didn't hold."""
    zero = (
        "broken_flows",
        "wrong_service_packets",
        "duplicate_runs",
        "wrong_answers",
        "false_not_run",
        "cut_requests",
        "fell_over_cold",
        "over_slots",
    )
    out = [
        f"{name} is {getattr(figures, name)}, must be 0"
        for name in zero
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
            out.append(f"{name} is {value}, must be at most {limit:g}")
    if figures.answered == 0:
        out.append("no request was answered")
    if figures.flows == 0:
        out.append("no flow was opened")
    return out
