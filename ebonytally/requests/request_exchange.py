"""Types shared by the HTTP server, its handler and the HTTP client."""

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
MAX_QUEUED_CHUNKS = 4
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
    """Interface of a `RequestDispatcher` for the HTTP adapters.

    Each method calls the method of the same name with the current time
    and carries out the actions that it returns; `Dispatch`, `Cancel` and
    `RequestAnswer` go to `RequestServer.perform`.
    """

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since 1970."""

    def max_request_bytes(self, service: str) -> int:
        """Return the body limit of a service, 0 for an unknown service."""

    def handle_request(self, head: request_head.RequestHead) -> None:
        """Submit a caller's request."""

    def on_caller_gone(self, req: int) -> bool:
        """Report that the caller closed its connection.

        :return: True when the request goes on and will be answered
        """

    def on_attempt_end(
        self,
        attempt: int,
        result: ports.AttemptResult,
    ) -> None:
        """Report the result of an attempt, once for each `Dispatch`."""

    def start_response(self, attempt: int) -> bool:
        """Return whether an answer may be forwarded to the caller now."""

    def should_abandon(self, attempt: int) -> bool:
        """Return whether to abandon an attempt on a stalled connection."""

    def on_refused(self, reason: reasons.Refusal) -> None:
        """Count a request that was refused before it was submitted."""


@attrs.define
class Response:
    """An upstream's answer.

    :param body: the whole body, or its first part
    :param chunks: further parts, then b"" at the end or None when the
        answer broke off; None instead of a queue when `body` is whole
    :param length: length of the body in bytes, -1 if unknown
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: bytes
    chunks: queue.Queue | None = None
    length: int = -1


@attrs.define(eq=False)
class Exchange:
    """One caller's request in full, with the state of its answer.

    :param target: path and query as the caller wrote them
    :param responses: upstreams' answers by attempt number
    :param ready: set when an answer can be sent or the caller is gone
    :param answer: decision on the request, None until it is made
    :param attempt: number of the attempt whose answer is forwarded
    :param caller_gone: the caller closed its connection
    """

    head: request_head.RequestHead
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    responses: dict[int, Response] = attrs.field(factory=dict)
    ready: event.Event = attrs.field(factory=event.Event)
    answer: actions.RequestAnswer | None = None
    attempt: int = 0
    caller_gone: bool = False

    def on_response_start(self, attempt: int, response: Response) -> None:
        """Start to forward an answer whose body is not complete yet."""
        self.responses[attempt] = response
        self.attempt = attempt
        self.ready.set()


def end_to_end(
    headers: list[tuple[str, str]],
    exclude: frozenset[str],
) -> list[tuple[str, str]]:
    """Return the end-to-end headers, without the hop-by-hop ones.

    :param exclude: further names to leave out, in lower case
    """
    dropped = _HOP_BY_HOP | exclude
    for name, value in headers:
        if name.lower() == "connection":
            listed = value.lower().split(",")
            dropped = dropped | {item.strip() for item in listed}
    return [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]
