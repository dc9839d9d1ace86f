"""Control VM's part of the shared load: sums the reports of entry VMs.

Load condition handled: each entry VM sees a small part of the demand and
of each upstream's requests.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

import attrs

from ebonytally import actions
from ebonytally.load import figures
from ebonytally.load import messages

SUMS_INTERVAL_S = 0.5
# Two sums may be lost. Older ones would make the summary too old before the
# next one arrives, for as long as they are kept.
MAX_SUMS_AGE_S = 1.25
# After a start or a pause the sums lack followers until each has reported
# and the other control VMs have sent theirs.
COLLECT_S = 1.25
# The sums are computed anew at most this often, not for each report.
SUM_AFTER_S = 0.1
# One reporter's suspicion may come from a few slow requests by chance.
MIN_REPORTERS = 2
# Bytes a second for all answers together, as long as each is as large as
# `MIN_SUMMARY_BYTES`. Reports come every 0.6 s.
SUMMARIES_BYTES_S = 3000
REPORT_INTERVAL_S = 0.6
# Two services in eight data centres and some suspicions.
MIN_SUMMARY_BYTES = 320
# A longer time between two ticks means that this VM was paused: reports are
# older than they seem, and further ones wait in its socket.
MAX_TICK_GAP_S = 0.5


_T = TypeVar("_T")


@attrs.frozen
class _Kept(Generic[_T]):
    """A report, or the sums of another control VM.

    :param sent_ms: sending time on the sender's clock
    :param at: local time of arrival, seconds
    """

    sent_ms: int
    at: float
    content: _T


class LoadServer:
    """Answers load reports with the sums of all control VMs."""

    def __init__(
        self,
        checks: figures.Checks,
        service_of: Callable[[int], str | None],
    ) -> None:
        """Set up without reports.

        :param service_of: returns the service of an upstream's cookie
        """
        self._checks = checks
        self._service_of = service_of
        self._reports: dict[str, _Kept[messages.LoadReport]] = {}
        self._sums: dict[str, _Kept[figures.Totals]] = {}
        self._merged = figures.Totals()
        self._merged_at = -1e9
        self._sums_sent_at = -1e9
        self._ticked_at: float | None = None
        # Time from which the reports of all followers should be here.
        self._complete_at = float("inf")

    def use_services(self, services: frozenset[str]) -> None:
        """Set the names of the services in the configuration in force."""
        self._checks.services = services

    def handle(
        self, peer: str, msg: object, now: float
    ) -> list[actions.Action]:
        """Handle a report of an entry VM or sums of a control VM.

        One that is no newer than the known one is ignored. No report is
        answered until those of all followers should have arrived.
        """
        if isinstance(msg, messages.LoadReport):
            report = self._checks.report(msg)
            is_new = self._keep(self._reports, peer, msg.sent_ms, report, now)
            if not is_new or now < self._complete_at:
                return []
            return [actions.Send(peer, self._summary(msg.sent_ms, now))]
        if isinstance(msg, messages.LoadSums):
            totals = self._checks.totals(msg)
            if totals is not None:
                self._keep(self._sums, peer, msg.sent_ms, totals, now)
        return []

    def tick(self, peers: Iterable[str], now: float) -> list[actions.Action]:
        """Drop old reports; send the sums if they are due.

        :param peers: names of the other control VMs that are heard
        """
        self._drop_after_pause(now)
        self._expire(now)
        is_due = now - self._sums_sent_at >= SUMS_INTERVAL_S
        if not self._reports or not is_due or now < self._complete_at:
            return []
        totals = self._own_totals(now)
        if totals.is_empty:
            return []
        self._sums_sent_at = now
        fields = self._fields(
            totals, figures.MAX_SERVICES, figures.MAX_DATAGRAM_BYTES
        )
        msg = messages.LoadSums(round(now * 1000), *fields)
        return [actions.Send(name, msg) for name in peers]

    def _keep(
        self,
        kept: dict[str, _Kept[_T]],
        peer: str,
        sent_ms: int,
        content: _T,
        now: float,
    ) -> bool:
        """Replace what is kept of a sender, unless that is as new."""
        known = kept.get(peer)
        if known is not None and known.at + figures.MAX_AGE_S <= now:
            known = None
        if known is not None and sent_ms <= known.sent_ms:
            return False
        if known is None and len(kept) >= figures.MAX_REPORTERS:
            return False
        kept[peer] = _Kept(sent_ms, now, content)
        return True

    def _drop_after_pause(self, now: float) -> None:
        ticked_at = self._ticked_at
        self._ticked_at = now
        if ticked_at is not None and now - ticked_at <= MAX_TICK_GAP_S:
            return
        self._complete_at = now + COLLECT_S
        self._reports.clear()
        self._sums.clear()

    def _expire(self, now: float) -> None:
        for kept in (self._reports, self._sums):
            for peer, item in list(kept.items()):
                if now - item.at >= figures.MAX_AGE_S:
                    del kept[peer]

    def _summary(self, sent_ms: int, now: float) -> messages.LoadSummary:
        if now - self._merged_at >= SUM_AFTER_S:
            self._merge(now)
        share = SUMMARIES_BYTES_S * REPORT_INTERVAL_S / len(self._reports)
        size = max(MIN_SUMMARY_BYTES, min(share, figures.MAX_DATAGRAM_BYTES))
        age_s = self._merged.age_s + now - self._merged_at
        totals = attrs.evolve(self._merged, age_s=age_s)
        fields = self._fields(totals, figures.MAX_SUMMARY_SERVICES, int(size))
        return messages.LoadSummary(sent_ms, *fields)

    def _merge(self, now: float) -> None:
        """Add the sums of all control VMs; keep confirmed suspicions."""
        self._expire(now)
        merged = self._own_totals(now)
        for item in self._sums.values():
            age_s = item.content.age_s + now - item.at
            if age_s < MAX_SUMS_AGE_S:
                merged.add(attrs.evolve(item.content, age_s=age_s))
        merged.suspected = {
            cookie: suspected
            for cookie, suspected in merged.suspected.items()
            if self._is_confirmed(suspected, merged)
        }
        self._merged = merged
        self._merged_at = now

    def _is_confirmed(
        self, suspected: messages.Suspected, totals: figures.Totals
    ) -> bool:
        """Return whether enough entry VMs suspect an upstream.

        Where a service has one reporter only, there is no other to ask.
        """
        if suspected.reporters >= MIN_REPORTERS:
            return True
        service = self._service_of(suspected.cookie)
        return service is not None and totals.reporters.get(service, 0) <= 1

    def _own_totals(self, now: float) -> figures.Totals:
        """Return the sums of the own followers, with their mean age."""
        totals = figures.Totals()
        ages_s = [0.0]
        for item in self._reports.values():
            report = item.content
            ages_s.append(now - item.at)
            totals.data_centres.add(report.data_centre)
            reported = {self._service_of(s.cookie) for s in report.suspicions}
            for rate in report.demand:
                reported.add(rate.service)
                totals.add_demand(
                    rate.service, report.data_centre, rate.per_100_s
                )
            for service in reported - {None}:
                totals.add_reporters(service, 1)
            for suspected in report.suspicions:
                totals.add_suspected(suspected)
        totals.age_s = sum(ages_s) / max(1, len(ages_s) - 1)
        return totals

    def _fields(
        self, totals: figures.Totals, services: int, size: int
    ) -> tuple:
        """Return the fields of a message after `sent_ms`.

        :param services: maximum number of services
        :param size: maximum bytes of the datagram with its headers
        """
        names = tuple(sorted(totals.data_centres))
        names = names[: figures.MAX_DATA_CENTRES]
        room = size - figures.HEAD_BYTES
        room -= sum(len(name.encode()) + 2 for name in names)
        worst = figures.worst(totals.suspected.values())
        # Suspicions take at most half, so that demand is told in any case.
        suspicions, left = figures.fit(worst, room // 2)
        room -= room // 2 - left
        demand, _ = figures.fit(
            figures.to_demand(totals, names, services), room
        )
        return round(totals.age_s * 1000), names, demand, suspicions
