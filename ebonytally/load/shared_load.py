"""Entry VM's part of the shared load: reports its own, keeps the summary.

Load condition handled: what one entry VM has learned about demand and
upstreams must reach the others, which see too little of either.
"""

from collections.abc import Mapping
import math
import random

from ebonytally import actions
from ebonytally import events
from ebonytally.feed import follower as followers
from ebonytally.load import demand as demands
from ebonytally.load import figures
from ebonytally.load import interfaces
from ebonytally.load import messages
from ebonytally import recorder as recorders

REPORT_INTERVAL_S = 0.6
# Reports are spread over this part of the interval, so that entry VMs don't
# get, and act on, the same summary at the same time. With more, a figure could
# be older than 2 s before the next summary: 0.68 s at each of the two reports
# and 0.57 s at the control VMs.
JITTER_SHARE = 0.1
# After so many unanswered reports the interval doubles with each further
# one: a control VM of an older build never answers.
UNANSWERED_REPORTS = 4
MAX_REPORT_INTERVAL_S = 4.8


class EntryLoad:
    """An `interfaces.SharedLoad` from the primary control VM's summaries."""

    def __init__(
        self,
        follower: followers.Follower,
        meter: demands.DemandMeter,
        data_centre: str,
        checks: figures.Checks,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Set up without figures.

        :param data_centre: data centre of this entry VM and its callers
        """
        self._follower = follower
        self._meter = meter
        self._capacity: interfaces.Capacity | None = None
        self._data_centre = data_centre
        self._checks = checks
        self._recorder = recorder
        self._rng = random.Random(seed)
        self._report_at = 0.0
        self._reported_to = ""
        self._sent_ms = 0
        self._answered_ms = 0
        self._unanswered = 0
        self._totals = figures.Totals()
        # Time to which the figures apply, seconds.
        self._figures_at = -1e9
        self._view_version = 0

    def use_capacity(self, capacity: interfaces.Capacity) -> None:
        """Set the source of this VM's own suspicions.

        It takes the other VMs' suspicions from here, so it is created later.
        """
        self._capacity = capacity

    def demand_per_s(
        self, service: str, now: float
    ) -> Mapping[str, float] | None:
        """Return the requests a second of callers, by their data centre.

        A data centre of which no entry VM has reported is missing; that
        may be because its callers request nothing.

        :return: None if it is missing or too old
        """
        rates = self._totals.demand.get(service)
        if not rates or not self._is_fresh(now):
            return None
        return {name: rate / 100 for name, rate in rates.items()}

    def services(self) -> list[str]:
        """Return the services of the latest figures, however old."""
        return list(self._totals.demand)

    def age_s(self, now: float) -> float | None:
        """Return the age of the figures, None if they aren't used."""
        if not self._is_fresh(now):
            return None
        return max(0.0, now - self._figures_at)

    def suspicions(self, now: float) -> Mapping[int, interfaces.Suspicion]:
        """Return the upstreams that entry VMs suspect, by cookie."""
        if not self._is_fresh(now):
            return {}
        return {
            cookie: interfaces.Suspicion(
                cookie,
                suspected.slowdown_tenths / 10,
                suspected.failing_percent / 100,
            )
            for cookie, suspected in self._totals.suspected.items()
        }

    def handle(self, peer: str, msg: object, now: float) -> None:
        """Handle a message from a control VM, which may be a summary.

        Only an answer to a report counts, and only one newer than the
        last: its age is counted from the sending of that report.
        """
        if not isinstance(msg, messages.LoadSummary):
            return
        if peer != self._reported_to or not (
            self._answered_ms < msg.sent_ms <= self._sent_ms
        ):
            return
        self._use_view()
        totals = self._checks.totals(msg)
        if totals is None:
            return
        self._on_answer(peer, msg.sent_ms)
        self._totals = totals
        self._figures_at = msg.sent_ms / 1000 - totals.age_s

    def tick(self, now: float) -> list[actions.Action]:
        """Return a report if it is due and there is something to tell."""
        self._meter.tick(now)
        primary = self._follower.primary
        if not primary or now < self._due_at(primary):
            return []
        self._use_view()
        demand, is_cut = self._demand(now)
        suspicions = self._suspicions(now)
        if not demand and not suspicions:
            return []
        last_primary = self._reported_to
        self._on_sending(primary, now)
        report = messages.LoadReport(
            self._sent_ms, self._data_centre, demand, suspicions, is_cut
        )
        out = [actions.Send(primary, report)]
        if last_primary not in ("", primary):
            # Both would count this VM's demand otherwise.
            empty = messages.LoadReport(self._sent_ms, self._data_centre)
            out.append(actions.Send(last_primary, empty))
        return out

    def _due_at(self, primary: str) -> float:
        """Return when to send a report; soon to a new primary."""
        if primary == self._reported_to:
            return self._report_at
        return min(self._report_at, self._sent_ms / 1000 + REPORT_INTERVAL_S)

    def _is_fresh(self, now: float) -> bool:
        return now - self._figures_at <= figures.MAX_AGE_S

    def _use_view(self) -> None:
        view = self._follower.view
        if self._view_version != view.version:
            self._view_version = view.version
            self._checks.services = frozenset(
                service.name for service in view.content.services
            )

    def _on_sending(self, primary: str, now: float) -> None:
        if primary != self._reported_to:
            self._reported_to = primary
            self._unanswered = 0
        doublings = max(0, self._unanswered - UNANSWERED_REPORTS)
        interval_s = min(
            REPORT_INTERVAL_S * 2 ** min(doublings, 8), MAX_REPORT_INTERVAL_S
        )
        jitter_s = interval_s * JITTER_SHARE * self._rng.random()
        self._report_at = now + interval_s + jitter_s
        self._sent_ms = int(now * 1000)
        self._unanswered += 1
        if self._unanswered == UNANSWERED_REPORTS + 1:
            self._log(primary, is_answered=False)

    def _on_answer(self, peer: str, sent_ms: int) -> None:
        self._answered_ms = sent_ms
        if self._unanswered > UNANSWERED_REPORTS:
            self._log(peer, is_answered=True)
            self._report_at = sent_ms / 1000 + REPORT_INTERVAL_S
        self._unanswered = 0

    def _log(self, peer: str, is_answered: bool) -> None:
        self._recorder.log_event(
            events.Event.LOAD_REPORTS_ANSWERED,
            peer=peer,
            answered=is_answered,
        )

    def _demand(
        self, now: float
    ) -> tuple[tuple[messages.ServiceRate, ...], bool]:
        """Return the demand to report, and whether not all of it fits.

        Services of the last summary come first. All entry VMs report
        these, so that their sums are complete; among hundreds of services
        of equal demand each VM would choose others otherwise.
        """
        rates = self._meter.rates_per_s(now)
        shared = self._totals.demand if self._is_fresh(now) else {}
        names = sorted(
            (
                name
                for name, rate in rates.items()
                if name in self._checks.services and math.isfinite(rate)
            ),
            key=lambda name: (name not in shared, -rates[name], name),
        )
        room = figures.MAX_DATAGRAM_BYTES - figures.HEAD_BYTES
        items = (
            messages.ServiceRate(name, round(100 * rates[name]))
            for name in names[: figures.MAX_SERVICES]
        )
        # Half is left for the suspicions, which take less than that.
        fitting, _ = figures.fit(items, room // 2)
        return fitting, len(fitting) < len(names)

    def _suspicions(self, now: float) -> tuple[messages.Suspected, ...]:
        if self._capacity is None:
            return ()
        return tuple(
            figures.worst(
                messages.Suspected(
                    suspicion.cookie,
                    10 * min(suspicion.slowdown, figures.MAX_SLOWDOWN),
                    100 * min(suspicion.failing, 1.0),
                )
                for suspicion in self._capacity.suspicions(now)
                if math.isfinite(suspicion.slowdown)
                and math.isfinite(suspicion.failing)
            )
        )
