"""What the HTTP adapters share: one request, its answer, their port."""

from typing import Protocol

import attrs
from gevent import event
from gevent import queue

from ebonytally import actions
from ebonytally import ports
from ebonytally import reasons
from ebonytally.requests import request_head

REQUEST_ID = "Request-Id"
ATTEMPT = "Attempt"
TIMEOUT = "Request-Timeout"
OUTCOME = "Outcome"
CHUNKS_AHEAD = 4
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    },
)


class RequestPort(Protocol):
    """The requests slice as its HTTP adapters see it.

    Each method calls the slice's method of the same name with the
    present time and carries out the actions that it returns; `Dispatch`,
    `Cancel` and `Answer` go to `RequestServer.perform`.
    """

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since 1970."""

    def max_request_bytes(self, service: str) -> int:
        """Return the largest body of a service, 0 if it is unknown."""

    def request(self, head: request_head.RequestHead) -> None:
        """Hand in a caller's request."""

    def cancelled(self, req: int) -> bool:
        """Say that the caller went away.

        :return: True when the request goes on and will be answered
        """

    def attempt_done(
        self,
        attempt: int,
        result: ports.AttemptResult,
    ) -> None:
        """Say how an attempt went, once for each dispatch."""

    def passing(self, attempt: int) -> bool:
        """Ask whether an answer may begin to go to the caller."""

    def silent(self, attempt: int) -> bool:
        """Ask whether to give up an attempt without progress."""

    def refused(self, reason: reasons.Refusal) -> None:
        """Count a refusal that needed no decision."""


@attrs.define
class Response:
    """An upstream's answer.

    :param body: the whole body, or its first part
    :param rest: further parts, then b"" for the end or None for a
        break; None when `body` is whole
    :param length: length of the body, -1 while it isn't known
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes
    rest: queue.Queue | None = None
    length: int = -1


@attrs.define(eq=False)
class Exchange:
    """One caller's request with all its bytes.

    :param target: path and query as the caller wrote them
    :param responses: answers by attempt
    :param ready: set when there is an answer, or the caller is gone
    :param attempt: attempt whose answer goes to the caller
    """

    head: request_head.RequestHead
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    responses: dict[int, Response] = attrs.field(factory=dict)
    ready: event.Event = attrs.field(factory=event.Event)
    answer: actions.Answer | None = None
    attempt: int = 0
    gone: bool = False

    def passed_on(self, attempt: int, response: Response) -> None:
        """Let a long answer begin to go to the caller."""
        self.responses[attempt] = response
        self.attempt = attempt
        self.ready.set()


def end_to_end(
    headers: list[tuple[str, str]],
    without: frozenset[str],
) -> list[tuple[str, str]]:
    """Return the headers that go past this hop.

    :param without: further names to leave out, in lower case
    """
    dropped = _HOP_BY_HOP | without
    for name, value in headers:
        if name.lower() == "connection":
            named = value.lower().split(",")
            dropped = dropped | {item.strip() for item in named}
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]
