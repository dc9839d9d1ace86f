"""The callers' side: HTTP/1.1 to any entry VM."""

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
MAX_BODIES_BYTES = 128 * 1024 * 1024
READ_BYTES = 64 * 1024
_OUTCOMES = {
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
_SET_HERE = frozenset({"attempt", "content-length", "outcome", "request-id"})


class RequestServer:
    """Takes callers' requests and carries out what is decided on them.

    :param cfg: settings of the daemon
    :param port: the requests slice
    :param stack: closes the server at the end
    """

    def __init__(
        self,
        cfg: settings.Settings,
        port: request_exchange.RequestPort,
        stack: contextlib.ExitStack,
    ) -> None:
        """Make the server; `start` opens its socket."""
        self._cfg = cfg.requests
        self._port = port
        self._numbers = itertools.count(1)
        self._exchanges: dict[int, request_exchange.Exchange] = {}
        self._bodies_bytes = 0
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
        """Close callers' connections after their next answer."""
        self._draining = True

    def perform(
        self,
        act: actions.Dispatch | actions.Cancel | actions.Answer,
    ) -> None:
        """Carry out one action of the requests slice."""
        if isinstance(act, actions.Cancel):
            self._client.cancel(act.attempt)
        elif isinstance(act, actions.Dispatch):
            self._dispatch(act)
        elif isinstance(act, actions.Answer):
            self._answer(act)

    def _close(self) -> None:
        self._server.stop(timeout=1)
        self._client.close()

    def _dispatch(self, act: actions.Dispatch) -> None:
        exchange = self._exchanges.get(act.req)
        if exchange is not None:
            self._client.dispatch(act, exchange)
            return
        result = ports.AttemptResult(ports.AttemptKind.NOT_SENT, 0.0)
        self._port.attempt_done(act.attempt, result)

    def _answer(self, act: actions.Answer) -> None:
        exchange = self._exchanges.pop(act.req, None)
        if exchange is not None:
            exchange.answer = act
            exchange.attempt = exchange.attempt or act.attempt
            exchange.ready.set()

    def _serve(self, environ: dict[str, Any], start: Any) -> Any:
        """Answer one request; a WSGI application."""
        handler = environ["ebonytally.handler"]
        began = self._port.now()
        try:
            head, size = self._head(handler, environ, began)
            body = self._body(handler, environ, head, size)
        except request_handler.RefusedError as exc:
            handler.close_after_answer()
            return self._refuse(start, exc, environ)
        self._bodies_bytes += len(body)
        try:
            return self._ask(handler, start, head, body)
        finally:
            self._bodies_bytes -= len(body)

    def _head(
        self,
        handler: request_handler.Handler,
        environ: dict[str, Any],
        now: float,
    ) -> tuple[request_head.RequestHead, int]:
        """Return the head and the length of the body, -1 if unknown.

        :raises RefusedError: when the request can't be taken
        """
        if handler.command not in METHODS:
            raise _malformed(f"method {handler.command} is not served")
        service = environ.get("HTTP_HOST", "").split(":")[0].lower()
        limit = self._port.max_request_bytes(service)
        if not limit:
            reason = reasons.Refusal.REQUEST_UNKNOWN_SERVICE
            raise request_handler.RefusedError(404, reason, service)
        size = _body_size(environ)
        if size > limit:
            reason = reasons.Refusal.REQUEST_OVERSIZED
            detail = f"{size} bytes, {limit} at most"
            raise request_handler.RefusedError(413, reason, detail)
        idempotent = environ.get("HTTP_IDEMPOTENT", "").lower() == "true"
        head = request_head.RequestHead(
            req=next(self._numbers),
            service=service,
            method=handler.command,
            idempotent=idempotent or handler.command in IDEMPOTENT_METHODS,
            key=environ.get("HTTP_IDEMPOTENCY_KEY", "").strip(),
            content=b"",
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
            raise _malformed(f"Request-Timeout {text!r}") from exc
        if not 0.0 < timeout_s < float("inf"):
            raise _malformed(f"Request-Timeout {text!r}")
        return min(timeout_s, self._cfg.max_timeout_s)

    def _body(
        self,
        handler: request_handler.Handler,
        environ: dict[str, Any],
        head: request_head.RequestHead,
        size: int,
    ) -> bytes:
        """Read the whole body: it is hashed, and may be sent again.

        :raises RefusedError: when it is too large or doesn't come
        """
        if not size:
            return b""
        limit = self._port.max_request_bytes(head.service)
        if self._bodies_bytes + max(size, 0) > MAX_BODIES_BYTES:
            reason = reasons.Refusal.REQUEST_QUEUE_FULL
            raise request_handler.RefusedError(503, reason, "bodies")
        left_s = head.deadline - self._port.now()
        parts = []
        total = 0
        try:
            with gevent.Timeout(left_s, TimeoutError("slow body")):
                while part := environ["wsgi.input"].read(READ_BYTES):
                    parts.append(part)
                    total += len(part)
                    if total > limit:
                        break
        except OSError as exc:
            raise _malformed(f"body: {exc}") from exc
        if total > limit:
            reason = reasons.Refusal.REQUEST_OVERSIZED
            detail = f"{limit} bytes at most"
            raise request_handler.RefusedError(413, reason, detail)
        return b"".join(parts)

    def _ask(
        self,
        handler: request_handler.Handler,
        start: Any,
        head: request_head.RequestHead,
        body: bytes,
    ) -> Any:
        """Hand the request in and pass on its answer."""
        exchange = request_exchange.Exchange(
            head=request_head.with_body(head, handler.path, body),
            target=handler.path,
            headers=handler.headers.items(),
            body=body,
        )
        self._exchanges[head.req] = exchange
        self._port.request(exchange.head)
        with handler.watch_caller(exchange):
            exchange.ready.wait()
        if exchange.gone and exchange.answer is None:
            if not self._port.cancelled(head.req):
                self._exchanges.pop(head.req, None)
            handler.close_after_answer()
            raise request_handler.CallerGoneError
        response = exchange.responses.get(exchange.attempt)
        if response is None:
            return self._own_answer(start, exchange.answer)
        return self._upstream_answer(handler, start, exchange, response)

    def _upstream_answer(
        self,
        handler: request_handler.Handler,
        start: Any,
        exchange: request_exchange.Exchange,
        response: request_exchange.Response,
    ) -> Any:
        headers = request_exchange.end_to_end(response.headers, _SET_HERE)
        outcome = "answered"
        if response.status >= 500:
            outcome = "failed-after-running"
        headers.append((request_exchange.OUTCOME, outcome))
        length = response.length
        if response.rest is None and length < 0 and response.body:
            length = len(response.body)
        if length >= 0:
            headers.append(("Content-Length", str(length)))
        headers += self._closing()
        start(f"{response.status} {response.reason or 'OK'}", headers)
        if response.rest is None:
            return [response.body]
        return self._stream(handler, exchange, response)

    def _stream(
        self,
        handler: request_handler.Handler,
        exchange: request_exchange.Exchange,
        response: request_exchange.Response,
    ) -> Any:
        """Yield a long answer; a broken one ends in a reset."""
        whole = False
        try:
            part = response.body
            while part:
                yield part
                part = response.rest.get()
            whole = part is not None
        finally:
            if not whole:
                handler.reset()
                self._port.cancelled(exchange.head.req)
                self._exchanges.pop(exchange.head.req, None)
        if not whole:
            raise request_handler.CallerGoneError

    def _own_answer(self, start: Any, answer: actions.Answer) -> Any:
        """Answer for ourselves: a refusal, or a kept answer."""
        headers = [
            (name, value)
            for name, value in answer.headers
            if name.lower() not in _SET_HERE
        ]
        headers.append((request_exchange.OUTCOME, _OUTCOMES[answer.outcome]))
        body = answer.body
        if answer.reason:
            headers.append(("Outcome-Reason", answer.reason))
            headers.append(("Content-Type", "application/json"))
            body = _explain(_OUTCOMES[answer.outcome], answer.reason)
        if answer.retry_after_s:
            retry_after = str(max(1, round(answer.retry_after_s)))
            headers.append(("Retry-After", retry_after))
        headers.append(("Content-Length", str(len(body))))
        headers += self._closing()
        phrase = _PHRASES.get(answer.status, "OK")
        start(f"{answer.status} {phrase}", headers)
        return [body]

    def _refuse(
        self,
        start: Any,
        exc: request_handler.RefusedError,
        environ: dict[str, Any],
    ) -> Any:
        """Refuse what the slice never sees.

        Another copy of a request with a key may have run elsewhere.
        """
        self._port.refused(exc.reason)
        outcome = actions.Outcome.NOT_RUN
        if environ.get("HTTP_IDEMPOTENCY_KEY"):
            outcome = actions.Outcome.OUTCOME_UNKNOWN
        answer = actions.Answer(0, outcome, exc.status, 0, exc.reason.value)
        return self._own_answer(start, answer)

    def _closing(self) -> list[tuple[str, str]]:
        return [("Connection", "close")] if self._draining else []


def _malformed(detail: str) -> request_handler.RefusedError:
    reason = reasons.Refusal.REQUEST_MALFORMED
    return request_handler.RefusedError(400, reason, detail)


def _body_size(environ: dict[str, Any]) -> int:
    """Return the length of the body, -1 for chunked."""
    coding = environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if coding == "chunked":
        return -1
    if coding:
        raise _malformed(f"Transfer-Encoding {coding}")
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdigit():
        raise _malformed(f"Content-Length {text!r}")
    return int(text)


def _explain(outcome: str, reason: str) -> bytes:
    text = json.dumps({"outcome": outcome, "reason": reason})
    return text.encode() + b"\n"
