"""Interfaces between the decisions under load, and the data they share.

The modules of this package do no I/O. Times are monotonic seconds; upstreams
are named by their ids, data centres and services by their names.
"""

from collections.abc import Mapping
import enum
from typing import Protocol

import attrs


class Condition(enum.StrEnum):
    """What an entry VM has learned about an upstream.

    :cvar UNKNOWN: too few recent requests, or a new incarnation
    :cvar SLOW: takes much longer than the others of its service
    :cvar FAILING: answers its health check, but fails or drops requests
    :cvar FULL: rejects requests because its queue is full
    """

    UNKNOWN = "unknown"
    NORMAL = "normal"
    SLOW = "slow"
    FAILING = "failing"
    FULL = "full"


class Refusal(enum.StrEnum):
    """Reason for which a new flow is refused under load.

    :cvar LINK: this entry VM's link has no room for another flow
    :cvar UPSTREAMS: the upstreams reject requests for lack of room
    :cvar CALLER: the caller uses more than its share of the room
    """

    LINK = "link"
    UPSTREAMS = "upstreams"
    CALLER = "caller"


@attrs.frozen
class Opening:
    """A new flow that asks to be admitted.

    :param caller: IPv4 address of the caller, four bytes
    :param priority: priority class of the route, 0 is the highest
    :param idempotent: its requests may be repeated safely
    :param target_latency_s: answers should arrive within this time
    :param timeout_s: the caller waits for an answer this long
    """

    caller: bytes
    service: str
    priority: int
    idempotent: bool
    target_latency_s: float
    timeout_s: float


@attrs.frozen
class Verdict:
    """Whether a new flow is opened.

    :param refusal: reason, None if the flow is opened
    :param pressure: load of the resource that decided, 1.0 when it
        has no room left
    """

    refusal: Refusal | None = None
    pressure: float = 0.0

    @property
    def is_admitted(self) -> bool:
        """Return whether the flow is opened."""
        return self.refusal is None


@attrs.frozen
class Suspicion:
    """An upstream that serves callers worse than others of its service.

    :param cookie: cookie of the upstream, which names one incarnation
    :param slowdown: its time to answer as a multiple of its service's
    :param failing: share of its requests that fail, 0 to 1
    """

    cookie: int
    slowdown: float
    failing: float


class FlowObserver(Protocol):
    """Receives what callers' packets show about upstreams.

    A class that inherits from it ignores what it doesn't override.
    """

    def on_opened(self, upstream: str, took_s: float, now: float) -> None:
        """Handle the opening of a flow.

        :param took_s: from the opening packet to the caller's next packet
        """

    def on_silence(self, upstream: str, now: float) -> None:
        """Handle an opening packet that the upstream didn't answer."""

    def on_request(self, upstream: str, now: float) -> None:
        """Handle the first packet of a request."""

    def on_answer(self, upstream: str, took_s: float, now: float) -> None:
        """Handle the first bytes of an answer.

        :param took_s: from the request's first packet to the caller's
            acknowledgement
        """

    def on_request_end(
        self,
        upstream: str,
        service_address: bytes,
        answer_bytes: int,
        now: float,
    ) -> None:
        """Handle the end of a request: the next one, or the flow's end.

        :param service_address: as in `packets.Packet.service_address`
        :param answer_bytes: bytes of the answer that the caller has
            acknowledged, 0 without an answer
        """


class Capacity(Protocol):
    """What this entry VM has learned about the upstreams."""

    def speed(self, upstream: str, now: float) -> float:
        """Return the speed relative to its service's, 1.0 if unknown.

        An upstream that fails requests counts as slow: its speed may be
        as low as the share of its requests that it answers.
        """

    def condition(self, upstream: str, now: float) -> Condition:
        """Return what is known about an upstream."""

    def service_time_s(self, service: str, now: float) -> float | None:
        """Return the time that a request takes without waiting, if known."""

    def rejected_share(self, service: str, now: float) -> float:
        """Return the share of recent requests rejected for lack of room."""

    def suspicions(self, now: float) -> tuple[Suspicion, ...]:
        """Return the upstreams that this entry VM finds slow or failing.

        Only its own observations count, not those of other VMs.
        """


class SharedLoad(Protocol):
    """What the entry VMs have told each other about load."""

    def demand_per_s(
        self, service: str, now: float
    ) -> Mapping[str, float] | None:
        """Return the requests a second of callers, by their data centre.

        :return: None if it is missing or too old
        """

    def suspicions(self, now: float) -> Mapping[int, Suspicion]:
        """Return the upstreams that other entry VMs suspect, by cookie."""


class Admission(Protocol):
    """Decides whether a new flow is opened."""

    def decide(self, opening: Opening, now: float) -> Verdict:
        """Return the verdict and count the flow as load if it is opened."""

    def preview(self, opening: Opening, now: float) -> Verdict:
        """Return what `decide` would return, without any effect."""


class Spill(Protocol):
    """Decides how much of a service's load leaves the data centre."""

    def remote_shares(
        self, service: str, priority: int, now: float
    ) -> Mapping[str, float]:
        """Return the shares of new flows to send to other data centres.

        :return: by data centre, each 0 to 1, their sum at most 1; empty
            while the own data centre has room
        """

    def home_share(self, service: str, priority: int, now: float) -> float:
        """Return the share of new flows to open at home.

        One may go to a data centre of `remote_shares` if home looks full,
        and one sent there may go home.
        What is left of it and `remote_shares` is for the choice among all
        upstreams by the load that this entry VM sees: everything while
        there are no figures, or while home has room.
        """


class Utilisation(Protocol):
    """Tells how much of the upstreams' room is demanded."""

    def utilisation(self, service: str, now: float) -> float | None:
        """Return the demand on a service by the room of its upstreams.

        :return: over all data centres, None if demand or room is unknown
        """


class Congestion(Protocol):
    """Tells whether packets queue at this entry VM's link."""

    def delay_s(self, now: float) -> float:
        """Return the queue's delay in seconds, 0 if too little is known."""

    def is_congested(self, now: float) -> bool:
        """Return whether the queue makes working upstreams look silent."""


class Traffic(Protocol):
    """Counts the bytes that callers' packets bring to the VM's link.

    Sizes include the headers of IP and UDP.
    """

    def on_admitted(self, key: bytes, opening: Opening, now: float) -> None:
        """Handle the admission of a flow, before its opening packet."""

    def on_packet(
        self,
        key: bytes,
        is_end: bool,
        received: int,
        sent: int,
        now: float,
    ) -> None:
        """Handle a packet of a flow.

        :param key: the flow, as in `packets.Packet.key`
        :param is_end: the caller closes or resets the flow
        :param received: bytes of the packet
        :param sent: bytes sent because of it
        """

    def on_tick(self, sent: int, now: float) -> None:
        """Handle the passing of time, and bytes sent by timers."""
