"""Figures about load: bounds, checks on arrival, sums, and their packing."""

from collections.abc import Iterable
from collections.abc import Iterator
import math
from typing import Any

import attrs

from ebonytally.load import messages
from ebonytally import recorder as recorders
from ebonytally import wire

# Demand in the bursts that matter changes by a multiple within 2 s.
MAX_AGE_S = 2.0
MAX_SERVICES = 32
# Fewer than a report may have, so that a report has room for services whose
# demand is growing besides all that the last summary had.
MAX_SUMMARY_SERVICES = 24
MAX_DATA_CENTRES = 16
MAX_SUSPICIONS = 16
MAX_REPORTERS = 2000
MAX_DATAGRAM_BYTES = 1100
# Headers, tag, kind, a sender's name of up to 30 bytes, and the numbers.
HEAD_BYTES = 100
# An older summary isn't one that was only late on its way.
MAX_TOLD_AGE_MS = 60_000
# A million requests a second.
MAX_PER_100_S = 1e8
MAX_SLOWDOWN = 100.0
# Whole numbers up to here are exact in every build's types.
MAX_SENT_MS = 2**53
MAX_COOKIE = 2**32 - 1
# A share of failures above it makes an upstream no worse.
_MAX_FAILING = 0.95


@attrs.define
class Totals:
    """Sums over the reports of some entry VMs.

    :param demand: requests in 100 s by service and data centre
    :param reporters: number of entry VMs by service
    :param suspected: by cookie
    :param data_centres: those of which an entry VM has reported
    :param age_s: age of the figures
    :param cut_reports: number of reports that lack services
    :param left_out_per_100_s: demand of the largest service that these sums
        lack although there are reports about it
    """

    demand: dict[str, dict[str, float]] = attrs.field(factory=dict)
    reporters: dict[str, int] = attrs.field(factory=dict)
    suspected: dict[int, messages.Suspected] = attrs.field(factory=dict)
    data_centres: set[str] = attrs.field(factory=set)
    age_s: float = 0.0
    cut_reports: int = 0
    left_out_per_100_s: float = 0.0

    @property
    def is_cut(self) -> bool:
        """Return whether services are missing."""
        return self.cut_reports > 0 or self.left_out_per_100_s > 0.0

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not self.demand and not self.suspected

    def per_100_s(self) -> float:
        """Return the requests in 100 s of all services."""
        return sum(sum(rates.values()) for rates in self.demand.values())

    def add_demand(
        self, service: str, data_centre: str, per_100_s: float
    ) -> None:
        """Add requests in 100 s."""
        rates = self.demand.setdefault(service, {})
        rates[data_centre] = rates.get(data_centre, 0.0) + per_100_s

    def add_reporters(self, service: str, count: int) -> None:
        """Add entry VMs that have reported a service."""
        self.reporters[service] = self.reporters.get(service, 0) + count

    def add_suspected(self, new: messages.Suspected) -> None:
        """Merge a suspicion into the mean over its reporters."""
        known = self.suspected.get(new.cookie)
        if known is None:
            self.suspected[new.cookie] = new
            return
        count = known.reporters + new.reporters
        weight = new.reporters / count
        self.suspected[new.cookie] = messages.Suspected(
            new.cookie,
            _mean(known.slowdown_tenths, new.slowdown_tenths, weight),
            _mean(known.failing_percent, new.failing_percent, weight),
            count,
        )

    def add(self, other: "Totals") -> None:
        """Add the sums of another control VM; the older age counts."""
        for service, rates in other.demand.items():
            for data_centre, per_100_s in rates.items():
                self.add_demand(service, data_centre, per_100_s)
        for service, count in other.reporters.items():
            self.add_reporters(service, count)
        for suspected in other.suspected.values():
            self.add_suspected(suspected)
        self.data_centres |= other.data_centres
        self.age_s = max(self.age_s, other.age_s)
        self.cut_reports += other.cut_reports
        self.left_out_per_100_s = max(
            self.left_out_per_100_s, other.left_out_per_100_s
        )


class Checks:
    """Drops figures that can't be true, and counts them."""

    def __init__(
        self,
        data_centres: frozenset[str],
        recorder: recorders.Recorder,
    ) -> None:
        """Set up without known services.

        :param data_centres: names of all data centres, empty if unknown
        """
        self.services: frozenset[str] = frozenset()
        self._data_centres = data_centres
        self._recorder = recorder

    def report(self, msg: messages.LoadReport) -> messages.LoadReport | None:
        """Return a report without the figures that can't be true.

        One of an unknown data centre has no demand left.

        :return: None if its sending time can't be true
        """
        if not _is_within(msg.sent_ms, MAX_SENT_MS):
            self._refuse()
            return None
        rates: dict[str, messages.ServiceRate] = {}
        for rate in msg.demand[:MAX_SERVICES]:
            if rate.service in rates or not self._is_rate_valid(rate):
                self._refuse()
            else:
                rates[rate.service] = rate
        self._refuse(len(msg.demand[MAX_SERVICES:]))
        if not self._is_data_centre(msg.data_centre):
            self._refuse(len(rates))
            rates = {}
        suspicions = tuple(
            attrs.evolve(suspected, reporters=1)
            for suspected in self._suspicions(msg.suspicions).values()
        )
        return attrs.evolve(
            msg, demand=tuple(rates.values()), suspicions=suspicions
        )

    def totals(
        self, msg: messages.LoadSummary | messages.LoadSums
    ) -> Totals | None:
        """Return the sums of a message.

        :return: None if their age or their sending time can't be true
        """
        if not (
            _is_within(msg.sent_ms, MAX_SENT_MS)
            and _is_within(msg.age_ms, MAX_TOLD_AGE_MS)
        ):
            self._refuse()
            return None
        totals = Totals(age_s=msg.age_ms / 1000)
        names = msg.data_centres[:MAX_DATA_CENTRES]
        for demand in msg.demand[:MAX_SERVICES]:
            is_new = demand.service not in totals.demand
            if is_new and self._is_demand_valid(demand, len(names)):
                self._add_valid_rates(totals, demand, names)
            else:
                self._refuse()
        self._refuse(len(msg.demand[MAX_SERVICES:]))
        totals.suspected = self._suspicions(msg.suspicions)
        if isinstance(msg, messages.LoadSums):
            totals.cut_reports = max(0, min(msg.cut_reports, MAX_REPORTERS))
            if _is_within(msg.left_out_per_100_s, MAX_PER_100_S):
                totals.left_out_per_100_s = msg.left_out_per_100_s
            else:
                # Something is missing, of unknown size.
                totals.left_out_per_100_s = MAX_PER_100_S
                self._refuse()
        totals.data_centres = {
            name for name in names if self._is_data_centre(name)
        }
        return totals

    def _add_valid_rates(
        self,
        totals: Totals,
        demand: messages.ServiceDemand,
        names: tuple[str, ...],
    ) -> None:
        totals.demand[demand.service] = {}
        for name, value in zip(names, demand.per_100_s, strict=False):
            if _is_within(value, MAX_PER_100_S) and self._is_data_centre(name):
                totals.add_demand(demand.service, name, value)
            else:
                self._refuse()
        totals.add_reporters(demand.service, demand.reporters)

    def _is_demand_valid(
        self, demand: messages.ServiceDemand, data_centres: int
    ) -> bool:
        return (
            demand.service in self.services
            and len(demand.per_100_s) <= data_centres
            and 0 <= demand.reporters <= MAX_REPORTERS
        )

    def _is_rate_valid(self, rate: messages.ServiceRate) -> bool:
        return rate.service in self.services and _is_within(
            rate.per_100_s, MAX_PER_100_S
        )

    def _is_data_centre(self, name: str) -> bool:
        return not self._data_centres or name in self._data_centres

    def _suspicions(
        self, suspicions: tuple[messages.Suspected, ...]
    ) -> dict[int, messages.Suspected]:
        valid: dict[int, messages.Suspected] = {}
        for suspected in suspicions[:MAX_SUSPICIONS]:
            if suspected.cookie in valid or not _is_possible(suspected):
                self._refuse()
            else:
                valid[suspected.cookie] = suspected
        self._refuse(len(suspicions[MAX_SUSPICIONS:]))
        return valid

    def _refuse(self, count: int = 1) -> None:
        if count:
            self._recorder.count("load_figures_refused", count)


def badness(suspected: messages.Suspected) -> float:
    """Return by how much an upstream serves less than a normal one."""
    failing = min(suspected.failing_percent / 100, _MAX_FAILING)
    return max(suspected.slowdown_tenths / 10, 1.0) / (1.0 - failing)


def worst(
    suspicions: Iterable[messages.Suspected],
) -> list[messages.Suspected]:
    """Return the worst suspicions, rounded, at most `MAX_SUSPICIONS`."""
    ordered = sorted(suspicions, key=badness, reverse=True)
    return [
        attrs.evolve(
            suspected,
            slowdown_tenths=round(suspected.slowdown_tenths),
            failing_percent=round(suspected.failing_percent),
        )
        for suspected in ordered[:MAX_SUSPICIONS]
    ]


def to_demand(
    totals: Totals,
    data_centres: tuple[str, ...],
    limit: int,
    min_per_100_s: float,
) -> list[messages.ServiceDemand]:
    """Return the services with the largest demand, largest first.

    :param data_centres: order of the rates
    :param limit: maximum number of services
    :param min_per_100_s: those with less demand are left out
    """
    sums = {name: sum(rates.values()) for name, rates in totals.demand.items()}
    names = sorted(
        (
            name
            for name, per_100_s in sums.items()
            if per_100_s >= min_per_100_s
        ),
        key=lambda name: (-sums[name], name),
    )
    return [
        messages.ServiceDemand(
            name,
            tuple(round(totals.demand[name].get(n, 0)) for n in data_centres),
            totals.reporters.get(name, 0),
        )
        for name in names[:limit]
    ]


def largest_left_out(
    totals: Totals, told: Iterable[messages.ServiceDemand]
) -> int:
    """Return the demand of the largest service that isn't told.

    :return: requests in 100 s, rounded up; 0 if all services are told
    """
    names = {row.service for row in told}
    return math.ceil(
        max(
            (
                sum(rates.values())
                for name, rates in totals.demand.items()
                if name not in names
            ),
            default=0.0,
        )
    )


def with_sizes(items: Iterable) -> Iterator[tuple[Any, int]]:
    """Yield the items with the bytes of each."""
    for item in items:
        yield item, len(wire.pack(item))


def fit_sized(
    items: Iterable[tuple[Any, int]], room_bytes: int
) -> tuple[tuple, int]:
    """Return the first items that fit, and the bytes that are left.

    :param items: items with the bytes of each
    """
    fitting = []
    for item, size in items:
        if size > room_bytes:
            break
        room_bytes -= size
        fitting.append(item)
    return tuple(fitting), room_bytes


def fit(items: Iterable, room_bytes: int) -> tuple[tuple, int]:
    """Return the first items that fit, and the bytes that are left."""
    return fit_sized(with_sizes(items), room_bytes)


def _mean(old: float, new: float, weight: float) -> float:
    return old + weight * (new - old)


def _is_within(value: float, high: float) -> bool:
    # Not `math.isfinite`, which raises OverflowError for a long integer.
    return 0.0 <= value <= high


def _is_possible(suspected: messages.Suspected) -> bool:
    return (
        1 <= suspected.cookie <= MAX_COOKIE
        and _is_within(suspected.slowdown_tenths, 10 * MAX_SLOWDOWN)
        and _is_within(suspected.failing_percent, 100.0)
        and 1 <= suspected.reporters <= MAX_REPORTERS
    )
