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
# Sums are up to 1.2 s old when the next ones come, 1.7 s if these are lost.
# Entry VMs don't use figures above 2 s.
MAX_SUMS_AGE_S = 1.9
# Sums that should have been replaced by now. While some are late, followers
# may be in them and in newer ones.
LATE_SUMS_S = 0.6
# Until this age of another control VM's sums it isn't known whether its
# followers have no demand or will be in other sums: it may be restarting, or
# they may be choosing another primary.
MAX_MISSING_AGE_S = 2.8
# Demand is told if at most this part of it is missing.
MAX_MISSING_SHARE = 0.1
# After a start or a pause the sums lack followers until each has reported,
# which takes up to 0.68 s, and the other control VMs have sent theirs.
COLLECT_S = 0.75
# The sums are computed anew at most this often, not for each report.
SUM_AFTER_S = 0.05
# One reporter's suspicion may come from a few slow requests by chance.
MIN_REPORTERS = 2
# Bytes a second for all answers together, as long as each is as large as
# `MIN_SUMMARY_BYTES`. Reports come every 0.6 s.
SUMMARIES_BYTES_S = 3000
REPORT_INTERVAL_S = 0.6
# Two services in eight data centres and six suspicions.
MIN_SUMMARY_BYTES = 400
# A service is told if at least this part of the reports that lack services
# has it: else reports that lack this one may be many.
MIN_COVERED_SHARE = 0.9
# Demand that is told to entry VMs. Below it the standard deviation of the
# figure is above a quarter, and the largest ones are so by chance.
MIN_TOLD_PER_100_S = 1000.0
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


@attrs.frozen
class _Rows:
    """What messages of different sizes take their first rows from.

    :param demand: rows with the bytes of each, largest demand first
    :param suspicions: rows with the bytes of each, worst first
    """

    data_centres: tuple[str, ...] = ()
    demand: tuple[tuple[messages.ServiceDemand, int], ...] = ()
    suspicions: tuple[tuple[messages.Suspected, int], ...] = ()

    def fitting(self, size: int) -> tuple:
        """Return data centres, demand and suspicions for a message.

        :param size: maximum bytes of the datagram with its headers
        """
        names = self.data_centres
        room = size - figures.HEAD_BYTES
        room -= sum(len(name.encode()) + 2 for name in names)
        # Suspicions take at most half, so that demand is told in any case.
        suspicions, left = figures.fit_sized(self.suspicions, room // 2)
        room -= room // 2 - left
        demand, _ = figures.fit_sized(self.demand, room)
        return names, demand, suspicions


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
        self._merged_rows = _Rows()
        # Requests in 100 s when nothing was missing last.
        self._complete_per_100_s = 0.0
        self._sums_sent_at = -1e9
        self._is_last_empty = True
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
        answered until those of all followers should have arrived. After a
        pause, what arrives before the next tick is ignored.
        """
        if self._is_paused(now):
            return []
        if isinstance(msg, messages.LoadReport):
            report = self._checks.report(msg)
            if report is None:
                return []
            is_new = self._keep(self._reports, peer, msg.sent_ms, report, now)
            if not is_new or report.is_empty or now < self._complete_at:
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
        if not is_due or now < self._complete_at:
            return []
        totals = self._own_totals(now)
        if totals.is_empty and self._is_last_empty:
            return []
        # Empty ones are sent once, so that the others don't wait for more.
        self._is_last_empty = totals.is_empty
        self._sums_sent_at = now
        rows = _to_rows(totals, figures.MAX_SERVICES)
        fields = rows.fitting(figures.MAX_DATAGRAM_BYTES)
        msg = messages.LoadSums(
            round(now * 1000),
            round(totals.age_s * 1000),
            *fields,
            totals.cut_reports,
            figures.largest_left_out(totals, fields[1]),
        )
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
        is_paused = self._is_paused(now)
        self._ticked_at = now
        if not is_paused:
            return
        self._complete_at = now + COLLECT_S
        self._reports.clear()
        self._sums.clear()

    def _is_paused(self, now: float) -> bool:
        """Return whether there was no tick for long, or none at all."""
        ticked_at = self._ticked_at
        return ticked_at is None or now - ticked_at > MAX_TICK_GAP_S

    def _expire(self, now: float) -> None:
        _remove_older(self._reports, figures.MAX_AGE_S, now)
        _remove_older(self._sums, MAX_MISSING_AGE_S, now)

    def _summary(self, sent_ms: int, now: float) -> messages.LoadSummary:
        if now - self._merged_at >= SUM_AFTER_S:
            self._merge(now)
        share = SUMMARIES_BYTES_S * REPORT_INTERVAL_S / len(self._reports)
        size = max(MIN_SUMMARY_BYTES, min(share, figures.MAX_DATAGRAM_BYTES))
        age_s = self._merged.age_s + now - self._merged_at
        return messages.LoadSummary(
            sent_ms,
            round(age_s * 1000),
            *self._merged_rows.fitting(int(size)),
        )

    def _merge(self, now: float) -> None:
        """Add the sums of all control VMs; keep confirmed suspicions.

        No demand is kept if a large part is missing, and not in the sums
        of others by now: its data centre would seem to have room.
        """
        self._expire(now)
        merged = self._own_totals(now)
        missing = figures.Totals()
        cut_sums = []
        for item in self._sums.values():
            age_s = item.content.age_s + now - item.at
            if age_s < MAX_SUMS_AGE_S:
                merged.add(attrs.evolve(item.content, age_s=age_s))
                if item.content.left_out_per_100_s:
                    cut_sums.append(item.content)
            elif age_s < MAX_MISSING_AGE_S:
                missing.add(item.content)
        if self._is_incomplete(merged, missing, now):
            merged.demand = {}
        incomplete = _incomplete_services(merged, cut_sums)
        for service, count in missing.reporters.items():
            merged.add_reporters(service, count)
        is_cut = merged.is_cut or missing.is_cut
        merged.suspected = {
            cookie: suspected
            for cookie, suspected in merged.suspected.items()
            if self._is_confirmed(suspected, merged, is_cut)
        }
        self._merged = merged
        self._merged_at = now
        self._merged_rows = _to_rows(
            merged,
            figures.MAX_SUMMARY_SERVICES,
            MIN_TOLD_PER_100_S,
            incomplete,
            MIN_COVERED_SHARE * merged.cut_reports,
        )

    def _is_incomplete(
        self, merged: figures.Totals, missing: figures.Totals, now: float
    ) -> bool:
        """Return whether a large part of the demand is missing."""
        present = merged.per_100_s()
        if (
            missing.per_100_s() > MAX_MISSING_SHARE * present
            and present < (1 - MAX_MISSING_SHARE) * self._complete_per_100_s
        ):
            return True
        if all(now - item.at <= LATE_SUMS_S for item in self._sums.values()):
            self._complete_per_100_s = present
        return False

    def _is_confirmed(
        self,
        suspected: messages.Suspected,
        totals: figures.Totals,
        is_cut: bool,
    ) -> bool:
        """Return whether enough entry VMs suspect an upstream.

        Where a service has one reporter only, there is no other to ask.
        Reports and sums that lack services may hide further reporters.
        """
        if suspected.reporters >= MIN_REPORTERS:
            return True
        if is_cut:
            return False
        service = self._service_of(suspected.cookie)
        return service is not None and totals.reporters.get(service, 0) <= 1

    def _own_totals(self, now: float) -> figures.Totals:
        """Return the sums of the own followers, with their oldest age."""
        totals = figures.Totals()
        for item in self._reports.values():
            report = item.content
            if report.is_empty:
                continue
            totals.age_s = max(totals.age_s, now - item.at)
            totals.cut_reports += report.is_cut
            if report.demand:
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
        return totals


def _to_rows(
    totals: figures.Totals,
    services: int,
    min_per_100_s: float = 0.0,
    incomplete: frozenset[str] = frozenset(),
    min_reporters: float = 0.0,
) -> _Rows:
    """Return the rows of a message about sums.

    :param services: maximum number of services
    :param min_per_100_s: services with less demand are left out
    :param incomplete: services that are told without figures
    :param min_reporters: services with fewer are told without figures
    """
    names = tuple(sorted(totals.data_centres))
    names = names[: figures.MAX_DATA_CENTRES]
    demand = (
        row
        if row.reporters >= min_reporters and row.service not in incomplete
        else attrs.evolve(row, per_100_s=())
        for row in figures.to_demand(totals, names, services, min_per_100_s)
    )
    return _Rows(
        names,
        tuple(figures.with_sizes(demand)),
        tuple(figures.with_sizes(figures.worst(totals.suspected.values()))),
    )


def _incomplete_services(
    merged: figures.Totals, cut_sums: list[figures.Totals]
) -> frozenset[str]:
    """Return services of which a large part may be missing.

    :param cut_sums: those among the merged ones that lack services
    """
    incomplete = set()
    for service, rates in merged.demand.items():
        missing = sum(
            sums.left_out_per_100_s
            for sums in cut_sums
            if service not in sums.demand
        )
        if missing > MAX_MISSING_SHARE * sum(rates.values()):
            incomplete.add(service)
    return frozenset(incomplete)


def _remove_older(
    kept: dict[str, _Kept[_T]], age_s: float, now: float
) -> None:
    """Remove what arrived longer ago than an age in seconds."""
    for peer, item in list(kept.items()):
        if now - item.at >= age_s:
            del kept[peer]
