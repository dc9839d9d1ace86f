"""Messages about load between entry VMs and control VMs.

Rates are whole numbers of requests in 100 s, which msgpack packs into one
to five bytes; a float takes nine. The types are floats nevertheless, so
that a value that is not finite can be refused alone, without the rest of
its message. All fields have defaults: a shorter message of another build
is a message without these figures.
"""

import attrs

from ebonytally import wire


@attrs.frozen
class ServiceRate:
    """Demand for a service at one entry VM.

    :param per_100_s: requests in 100 s
    """

    service: str = ""
    per_100_s: float = 0.0


@attrs.frozen
class ServiceDemand:
    """Demand for a service, by data centre.

    :param per_100_s: requests in 100 s, in the order of the message's
        `data_centres`; empty in a summary if entry VMs should report the
        service because not all that have demand for it did
    :param reporters: number of entry VMs that have reported the service
    """

    service: str = ""
    per_100_s: tuple[float, ...] = ()
    reporters: int = 0


@attrs.frozen
class Suspected:
    """An upstream that entry VMs find slow or failing.

    :param cookie: cookie of the upstream
    :param slowdown_tenths: tenths of its service's time to answer, the
        mean over the reporters
    :param failing_percent: share of its requests that fail, the mean
        over the reporters
    :param reporters: number of entry VMs that suspect it
    """

    cookie: int = 0
    slowdown_tenths: float = 0.0
    failing_percent: float = 0.0
    reporters: int = 1


@wire.message(660)
@attrs.frozen
class LoadReport:
    """Report the load seen by an entry VM to its primary control VM.

    :param sent_ms: sending time on the entry VM's monotonic clock,
        repeated in the answer
    :param demand: requests of its callers by service
    :param suspicions: upstreams that it suspects, worst first
    :param is_cut: it has demand for further services
    """

    sent_ms: int = 0
    data_centre: str = ""
    demand: tuple[ServiceRate, ...] = ()
    suspicions: tuple[Suspected, ...] = ()
    is_cut: bool = False

    @property
    def is_empty(self) -> bool:
        """Return whether it withdraws the sender's last report."""
        return not self.demand and not self.suspicions


@wire.message(661)
@attrs.frozen
class LoadSummary:
    """Answer a report with the load seen by all entry VMs.

    :param sent_ms: that of the report which is answered
    :param age_ms: age of the figures at sending
    :param data_centres: those of which an entry VM has reported
    :param demand: services with the largest demand first
    :param suspicions: confirmed suspicions, worst first
    """

    sent_ms: int = 0
    age_ms: float = 0.0
    data_centres: tuple[str, ...] = ()
    demand: tuple[ServiceDemand, ...] = ()
    suspicions: tuple[Suspected, ...] = ()


@wire.message(662)
@attrs.frozen
class LoadSums:
    """Send the sums of the own followers' reports to a control VM.

    :param sent_ms: sending time on the sender's monotonic clock
    :param age_ms: age of the oldest report at sending
    :param data_centres: those of which a follower has reported
    :param demand: services with the largest demand first
    :param suspicions: suspicions of any follower, worst first
    :param cut_reports: number of reports that lack services
    :param left_out_per_100_s: demand of the largest service that isn't in
        `demand` for lack of room, requests in 100 s
    """

    sent_ms: int = 0
    age_ms: float = 0.0
    data_centres: tuple[str, ...] = ()
    demand: tuple[ServiceDemand, ...] = ()
    suspicions: tuple[Suspected, ...] = ()
    cut_reports: int = 0
    left_out_per_100_s: float = 0.0
