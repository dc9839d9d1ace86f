"""HTTP/1.1 server for callers' requests."""

import contextlib
import itertools
import json
from typing import Any

import gevent
from gevent import pool
from gevent import pywsgi

from ebonytally import actions
from ebonytally import ports
from ebonytally import reasons
from ebonytally.requests import request_client
from ebonytally.requests import request_exchange
from ebonytally.requests import request_handler
from ebonytally.requests import request_head
from ebonytally import settings

IDEMPOTENT_METHODS = frozenset({"DELETE", "GET", "HEAD", "OPTIONS", "PUT"})
METHODS = IDEMPOTENT_METHODS | {"PATCH", "POST"}
MAX_TOTAL_BODY_BYTES = 128 * 1024 * 1024
RECV_BYTES = 64 * 1024
_OUTCOME_HEADERS = {
    actions.Outcome.ANSWERED: "answered",
    actions.Outcome.NOT_RUN: "not-run",
    actions.Outcome.STILL_RUNNING: "still-running",
    actions.Outcome.OUTCOME_UNKNOWN: "unknown",
    actions.Outcome.FAILED_AFTER_RUNNING: "failed-after-running",
}
_PHRASES = {
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
_OWN_HEADERS = frozenset(
    {"attempt", "content-length", "outcome", "request-id"}
)


class RequestServer:
    """Accept callers' requests and carry out the decisions on them.

    :param cfg: settings of the daemon
    :param port: interface to the `RequestDispatcher`, which decides
    :param stack: closes the server when it unwinds
    """

    def __init__(
        self,
        cfg: settings.Settings,
        port: request_exchange.RequestPort,
        stack: contextlib.ExitStack,
    ) -> None:
        """Set up the server; `start` opens its socket."""
        self._cfg = cfg.requests
        self._port = port
        self._req_numbers = itertools.count(1)
        self._exchanges: dict[int, request_exchange.Exchange] = {}
        self._total_body_bytes = 0
        self._draining = False
        self._client = request_client.Client(
            cfg.name,
            port,
            cfg.requests.silent_s,
        )
        self._server = pywsgi.WSGIServer(
            (cfg.address, cfg.ports.requests),
            self._serve,
            spawn=pool.Pool(cfg.requests.max_connections),
            log=None,
            error_log=None,
            handler_class=request_handler.Handler,
        )
        stack.callback(self._close)

    def start(self) -> None:
        """Open the socket and accept connections."""
        self._server.start()

    def drain(self) -> None:
        """Close each caller's connection after its next answer."""
        self._draining = True

    def perform(
        self,
        action: actions.Dispatch | actions.Cancel | actions.RequestAnswer,
    ) -> None:
        """Carry out one action on a request or an attempt."""
        if isinstance(action, actions.Cancel):
            self._client.cancel(action.attempt)
        elif isinstance(action, actions.Dispatch):
            self._dispatch(action)
        elif isinstance(action, actions.RequestAnswer):
            self._answer(action)

    def _close(self) -> None:
        self._server.stop(timeout=1)
        self._client.close()

    def _dispatch(self, action: actions.Dispatch) -> None:
        exchange = self._exchanges.get(action.req)
        if exchange is not None:
            self._client.dispatch(action, exchange)
            return
        result = ports.AttemptResult(ports.AttemptEnd.NOT_SENT, 0.0)
        self._port.on_attempt_end(action.attempt, result)

    def _answer(self, action: actions.RequestAnswer) -> None:
        exchange = self._exchanges.pop(action.req, None)
        if exchange is not None:
            exchange.answer = action
            exchange.attempt = exchange.attempt or action.attempt
            exchange.ready.set()

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Serve one request (WSGI application)."""
        handler = environ["ebonytally.handler"]
        started_at = self._port.now()
        try:
            head, size = self._parse_head(handler, environ, started_at)
            body = self._read_body(handler, environ, head, size)
        except request_handler.RefusedError as exc:
            handler.close_after_answer()
            return self._answer_refused(start_response, exc, environ)
        self._total_body_bytes += len(body)
        try:
            return self._submit(handler, start_response, head, body)
        finally:
            self._total_body_bytes -= len(body)

    def _parse_head(
        self,
        handler: request_handler.Handler,
        environ: dict[str, Any],
        now: float,
    ) -> tuple[request_head.RequestHead, int]:
        """Return the head and the length of the body, -1 if chunked.

        :raises RefusedError: when a header is invalid or the service is
            unknown, or its body limit exceeded
        """
        if handler.command not in METHODS:
            raise _malformed(
                f"method {handler.command!r} is not one of {sorted(METHODS)}"
            )
        service = environ.get("HTTP_HOST", "").split(":")[0].lower()
        limit = self._port.max_request_bytes(service)
        if not limit:
            reason = reasons.Refusal.REQUEST_UNKNOWN_SERVICE
            raise request_handler.RefusedError(
                404, reason, f"service {service!r} is not configured"
            )
        size = _body_size(environ)
        if size > limit:
            reason = reasons.Refusal.REQUEST_OVERSIZED
            detail = f"body of {size} bytes exceeds the limit of {limit}"
            raise request_handler.RefusedError(413, reason, detail)
        idempotent = environ.get("HTTP_IDEMPOTENT", "").lower() == "true"
        head = request_head.RequestHead(
            req=next(self._req_numbers),
            service=service,
            method=handler.command,
            idempotent=idempotent or handler.command in IDEMPOTENT_METHODS,
            key=environ.get("HTTP_IDEMPOTENCY_KEY", "").strip(),
            content_digest=b"",
            body_bytes=max(size, 0),
            deadline=now + self._timeout_s(environ),
            wall=self._port.wall(),
        )
        return head, size

    def _timeout_s(self, environ: dict[str, Any]) -> float:
        text = environ.get("HTTP_REQUEST_TIMEOUT")
        if text is None:
            return self._cfg.default_timeout_s
        try:
            timeout_s = float(text)
        except ValueError as exc:
            raise _malformed(
                f"Request-Timeout {text!r} is not a number",
            ) from exc
        if not 0.0 < timeout_s < float("inf"):
            raise _malformed(
                f"Request-Timeout {text!r} is not positive and finite",
            )
        return min(timeout_s, self._cfg.max_timeout_s)

    def _read_body(
        self,
        handler: request_handler.Handler,
        environ: dict[str, Any],
        head: request_head.RequestHead,
        size: int,
    ) -> bytes:
        """Read the whole body, which is hashed and may be sent by a retry.

        :raises RefusedError: when it is too large or not received in time
        """
        if not size:
            return b""
        limit = self._port.max_request_bytes(head.service)
        if self._total_body_bytes + max(size, 0) > MAX_TOTAL_BODY_BYTES:
            reason = reasons.Refusal.REQUEST_QUEUE_FULL
            raise request_handler.RefusedError(
                503,
                reason,
                f"bodies would exceed {MAX_TOTAL_BODY_BYTES} bytes",
            )
        left_s = head.deadline - self._port.now()
        parts = []
        total = 0
        try:
            with gevent.Timeout(left_s, TimeoutError("deadline passed")):
                while part := environ["wsgi.input"].read(RECV_BYTES):
                    parts.append(part)
                    total += len(part)
                    if total > limit:
                        break
        except OSError as exc:
            raise _malformed(f"reading the body failed: {exc}") from exc
        if total > limit:
            reason = reasons.Refusal.REQUEST_OVERSIZED
            detail = f"body exceeds the limit of {limit} bytes"
            raise request_handler.RefusedError(413, reason, detail)
        return b"".join(parts)

    def _submit(
        self,
        handler: request_handler.Handler,
        start_response: Any,
        head: request_head.RequestHead,
        body: bytes,
    ) -> Any:
        """Submit the request, wait for its answer and return the body.

        :raises CallerGoneError: when the caller closed its connection
        """
        exchange = request_exchange.Exchange(
            head=request_head.with_body(head, handler.path, body),
            target=handler.path,
            headers=handler.headers.items(),
            body=body,
        )
        self._exchanges[head.req] = exchange
        self._port.handle_request(exchange.head)
        with handler.watch_caller(exchange):
            exchange.ready.wait()
        if exchange.caller_gone and exchange.answer is None:
            if not self._port.on_caller_gone(head.req):
                self._exchanges.pop(head.req, None)
            handler.close_after_answer()
            raise request_handler.CallerGoneError
        response = exchange.responses.get(exchange.attempt)
        if response is None:
            return self._local_answer(start_response, exchange.answer)
        return self._forward_answer(
            handler, start_response, exchange, response
        )

    def _forward_answer(
        self,
        handler: request_handler.Handler,
        start_response: Any,
        exchange: request_exchange.Exchange,
        response: request_exchange.Response,
    ) -> Any:
        headers = request_exchange.end_to_end(response.headers, _OWN_HEADERS)
        outcome = "answered"
        if response.status >= 500:
            outcome = "failed-after-running"
        headers.append((request_exchange.OUTCOME, outcome))
        length = response.length
        if response.chunks is None and length < 0 and response.body:
            length = len(response.body)
        if length >= 0:
            headers.append(("Content-Length", str(length)))
        headers += self._connection_headers()
        start_response(f"{response.status} {response.reason or 'OK'}", headers)
        if response.chunks is None:
            return [response.body]
        return self._stream(handler, exchange, response)

    def _stream(
        self,
        handler: request_handler.Handler,
        exchange: request_exchange.Exchange,
        response: request_exchange.Response,
    ) -> Any:
        """Yield the parts of a long answer; reset if it breaks off."""
        is_complete = False
        try:
            part = response.body
            while part:
                yield part
                part = response.chunks.get()
            is_complete = part is not None
        finally:
            if not is_complete:
                handler.reset()
                self._port.on_caller_gone(exchange.head.req)
                self._exchanges.pop(exchange.head.req, None)
        if not is_complete:
            raise request_handler.CallerGoneError

    def _local_answer(
        self, start_response: Any, answer: actions.RequestAnswer
    ) -> Any:
        """Send a refusal or the recorded first answer to a key."""
        headers = [
            (name, value)
            for name, value in answer.headers
            if name.lower() not in _OWN_HEADERS
        ]
        headers.append(
            (request_exchange.OUTCOME, _OUTCOME_HEADERS[answer.outcome])
        )
        body = answer.body
        if answer.reason:
            headers.append(("Outcome-Reason", answer.reason))
            headers.append(("Content-Type", "application/json"))
            body = _refusal_body(
                _OUTCOME_HEADERS[answer.outcome], answer.reason
            )
        if answer.retry_after_s:
            retry_after = str(max(1, round(answer.retry_after_s)))
            headers.append(("Retry-After", retry_after))
        headers.append(("Content-Length", str(len(body))))
        headers += self._connection_headers()
        phrase = _PHRASES.get(answer.status, "OK")
        start_response(f"{answer.status} {phrase}", headers)
        return [body]

    def _answer_refused(
        self,
        start_response: Any,
        exc: request_handler.RefusedError,
        environ: dict[str, Any],
    ) -> Any:
        """Answer a request that was refused before it was submitted.

        With an idempotency key the outcome is unknown, as another copy of
        the request may have run.
        """
        self._port.on_refused(exc.reason)
        outcome = actions.Outcome.NOT_RUN
        if environ.get("HTTP_IDEMPOTENCY_KEY"):
            outcome = actions.Outcome.OUTCOME_UNKNOWN
        answer = actions.RequestAnswer(
            0, outcome, exc.status, 0, exc.reason.value
        )
        return self._local_answer(start_response, answer)

    def _connection_headers(self) -> list[tuple[str, str]]:
        return [("Connection", "close")] if self._draining else []


def _malformed(detail: str) -> request_handler.RefusedError:
    reason = reasons.Refusal.REQUEST_MALFORMED
    return request_handler.RefusedError(400, reason, detail)


def _body_size(environ: dict[str, Any]) -> int:
    """Return the length of the body, -1 for a chunked one."""
    coding = environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if coding == "chunked":
        return -1
    if coding:
        raise _malformed(f"Transfer-Encoding {coding!r}, expected 'chunked'")
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdigit():
        raise _malformed(f"Content-Length {text!r} is not a number")
    return int(text)


def _refusal_body(outcome: str, reason: str) -> bytes:
    text = json.dumps({"outcome": outcome, "reason": reason})
    return text.encode() + b"\n"
