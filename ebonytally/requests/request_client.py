"""HTTP/1.1 client that carries out attempts at upstreams."""

import errno
import math

import attrs
import gevent
from gevent import queue
from geventhttpclient import response as http_response

from ebonytally import actions
from ebonytally import ports
from ebonytally.requests import request_exchange
from ebonytally.requests import request_pool

MAX_BUFFERED_BYTES = 64 * 1024
RECV_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
_OWN_HEADERS = frozenset(
    {"attempt", "content-length", "request-id", "request-timeout"},
)
_NOT_STORED_HEADERS = frozenset(
    {"attempt", "content-length", "outcome", "request-id"},
)
_AttemptEnd = ports.AttemptEnd


@attrs.define(eq=False)
class _AttemptError(Exception):
    """An attempt that ended without a complete answer."""

    kind: ports.AttemptEnd
    detail: str


class _Parser(http_response.HTTPResponse):
    """Parser of one final answer that detects bytes after its end."""

    code = 0
    answer_complete = False
    has_surplus = False

    def _on_message_begin(self) -> None:
        if self.answer_complete:
            raise http_response.HTTPProtocolViolationError(
                "expected no data after the answer, found a second answer",
            )
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        self.code = self.get_code()
        return super()._on_headers_complete()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self.answer_complete = self.code >= 200

    def parse(self, data: bytes) -> None:
        """Parse `data`; bytes after the answer only set `has_surplus`."""
        try:
            self.feed(data)
        except http_response.HTTPParseError:
            if not self.answer_complete:
                raise
            self.has_surplus = True

    def pop_body(self) -> bytes:
        """Return the bytes of the body parsed since the last call."""
        part = bytes(self._body_buffer)
        self._body_buffer.clear()
        return part

    @property
    def has_final_head(self) -> bool:
        """Return whether the head of the final (not 1xx) answer is parsed."""
        return self.headers_complete and self.code >= 200


class Client:
    """Carry out attempts, each in its own greenlet."""

    def __init__(
        self,
        name: str,
        port: request_exchange.RequestPort,
        silent_s: float,
    ) -> None:
        """Set up an empty connection pool.

        :param name: name of this entry VM, the prefix of request ids
        :param port: receives the result of each attempt
        :param silent_s: read timeout after which a connection is probed
        """
        self._name = name
        self._port = port
        self._silent_s = silent_s
        self._pool = request_pool.Pool(silent_s)
        self._running: dict[int, _Attempt] = {}

    def dispatch(
        self,
        action: actions.Dispatch,
        exchange: request_exchange.Exchange,
    ) -> None:
        """Start an attempt; its end is reported by `on_attempt_end`."""
        attempt = _Attempt(self, action, exchange)
        self._running[action.attempt] = attempt
        attempt.task = gevent.spawn(self._run, attempt)

    def cancel(self, attempt: int) -> None:
        """Stop a running attempt; it ends as `CANCELLED` or `NOT_SENT`."""
        run = self._running.get(attempt)
        if run is not None:
            run.stop()

    def close(self) -> None:
        """Stop all attempts, wait for them and close all connections."""
        attempts = list(self._running.values())
        for attempt in attempts:
            attempt.stop()
        gevent.joinall([attempt.task for attempt in attempts])
        self._pool.close()

    def _run(self, attempt: "_Attempt") -> None:
        action = attempt.action
        started_at = self._port.now()
        status = 0
        detail = ""
        try:
            with gevent.Timeout(max(action.deadline - started_at, 0.0)):
                kind = attempt.run()
            status = attempt.status
        except gevent.Timeout:
            kind = (
                _AttemptEnd.TIMED_OUT if attempt.sent else _AttemptEnd.NOT_SENT
            )
            detail = "deadline passed"
        except gevent.GreenletExit:
            kind = (
                _AttemptEnd.CANCELLED if attempt.sent else _AttemptEnd.NOT_SENT
            )
            detail = "cancelled while running"
        except _AttemptError as exc:
            kind = exc.kind
            detail = exc.detail
        finally:
            self._running.pop(action.attempt, None)
        attempt.close(is_complete=kind is _AttemptEnd.ANSWERED)
        result = ports.AttemptResult(
            kind,
            self._port.now() - started_at,
            status,
            detail,
            *attempt.recorded_answer(kind),
        )
        self._port.on_attempt_end(action.attempt, result)


class _Attempt:
    """One attempt: its connection, its parser and its progress."""

    def __init__(
        self,
        client: Client,
        action: actions.Dispatch,
        exchange: request_exchange.Exchange,
    ) -> None:
        self._port = client._port
        self._pool = client._pool
        self._silent_s = client._silent_s
        self._id = f"{client._name}-{action.req}"
        self.action = action
        self.task: gevent.Greenlet | None = None
        self._started = False
        self._cancelled = False
        self._exchange = exchange
        self._conn: request_pool.Connection | None = None
        self._parser = _Parser(exchange.head.method)
        self._chunks: queue.Queue | None = None
        self._ids_echoed = False
        self.sent = False

    @property
    def status(self) -> int:
        return self._parser.code

    def stop(self) -> None:
        """Cancel the attempt, also before its greenlet has started."""
        self._cancelled = True
        if self._started:
            self.task.kill(block=False)

    def run(self) -> ports.AttemptEnd:
        self._started = True
        if self._cancelled:
            raise _AttemptError(_AttemptEnd.NOT_SENT, "cancelled before start")
        self._get_connection()
        self._send()
        self._read_head()
        self._check_ids()
        parts = [self._parser.pop_body()]
        size = len(parts[0])
        while size < MAX_BUFFERED_BYTES and not self._parser.answer_complete:
            self._read_body()
            parts.append(self._parser.pop_body())
            size += len(parts[-1])
        response = self._response(b"".join(parts))
        if self._parser.answer_complete:
            return self._on_complete_answer(response)
        return self._stream(response)

    def close(self, is_complete: bool) -> None:
        """Release the connection if it may be reused, else close it.

        It may when the answer was complete, echoed both ids and was
        followed by no further bytes.
        """
        if self._chunks is not None:
            self._chunks.maxsize += 1
            self._chunks.put_nowait(b"" if is_complete else None)
        if self._conn is None:
            return
        clean = (
            is_complete and self._ids_echoed and not self._parser.has_surplus
        )
        if not clean or self._parser.should_close():
            self._conn.close()
            return
        self._pool.release(
            self.action.address,
            self.action.port,
            self._conn,
            self._port.now(),
        )

    def recorded_answer(
        self,
        kind: ports.AttemptEnd,
    ) -> tuple[tuple[tuple[str, str], ...], bytes, bool]:
        """Return headers, body and whether a keyed answer can be recorded."""
        response = self._exchange.responses.get(self.action.attempt)
        if kind is not _AttemptEnd.ANSWERED or not self._exchange.head.key:
            return (), b"", False
        if response is None or response.chunks is not None:
            return (), b"", False
        if len(response.body) > ports.MAX_RECORDED_BYTES:
            return (), b"", False
        kept = request_exchange.end_to_end(
            response.headers, _NOT_STORED_HEADERS
        )
        return tuple(kept), response.body, True

    def _get_connection(self) -> None:
        """Get a connection, a new one for a non-idempotent request."""
        try:
            self._conn = self._pool.acquire(
                self.action.address,
                self.action.port,
                self._port.now(),
                new_only=not self._exchange.head.idempotent,
            )
        except OSError as exc:
            raise _AttemptError(_AttemptEnd.NOT_SENT, str(exc)) from exc

    def _send(self) -> None:
        data = self._request_bytes()
        self.sent = True
        self._conn.sock.settimeout(None)
        try:
            self._conn.sock.sendall(data)
        except OSError as exc:
            raise self._connection_error(exc) from exc

    def _request_bytes(self) -> bytes:
        exchange = self._exchange
        timeout = timeout_text(self.action.deadline, self._port.now())
        lines = [f"{exchange.head.method} {exchange.target} HTTP/1.1"]
        lines += [
            f"{name}: {value}"
            for name, value in request_exchange.end_to_end(
                exchange.headers,
                _OWN_HEADERS,
            )
        ]
        lines.append(f"{request_exchange.REQUEST_ID}: {self._id}")
        lines.append(f"{request_exchange.ATTEMPT}: {self.action.attempt}")
        lines.append(f"{request_exchange.TIMEOUT}: {timeout}")
        if exchange.body or exchange.head.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(exchange.body)}")
        text = "\r\n".join(lines) + "\r\n\r\n"
        return text.encode("latin-1") + exchange.body

    def _read_body(self) -> None:
        """Receive and parse one chunk of the answer."""
        data = self._recv()
        if not data:
            raise _AttemptError(
                _AttemptEnd.BROKEN,
                "connection closed before the end of the answer",
            )
        try:
            self._parser.parse(data)
        except (http_response.HTTPParseError, ValueError) as exc:
            raise _AttemptError(_AttemptEnd.BROKEN, repr(exc)) from exc

    def _read_head(self) -> None:
        size = 0
        while not self._parser.has_final_head:
            data = self._recv()
            if not data:
                raise self._connection_error(
                    EOFError("connection closed before an answer")
                )
            size += len(data)
            if size > MAX_HEADER_BYTES + RECV_BYTES:
                raise _AttemptError(
                    _AttemptEnd.BROKEN,
                    f"answer head incomplete after {size} bytes, "
                    f"limit {MAX_HEADER_BYTES + RECV_BYTES}",
                )
            try:
                self._parser.parse(data)
            except (http_response.HTTPParseError, ValueError) as exc:
                raise _AttemptError(_AttemptEnd.BROKEN, repr(exc)) from exc

    def _recv(self) -> bytes:
        """Return received bytes; probe the upstream when none arrive."""
        while True:
            self._conn.sock.settimeout(self._silent_s)
            try:
                return self._conn.sock.recv(RECV_BYTES)
            except TimeoutError as exc:
                if exc.errno == errno.ETIMEDOUT:
                    raise self._probe_upstream(
                        f"no acknowledgement for {self._silent_s:g} s"
                    ) from exc
                self._on_read_timeout()
            except OSError as exc:
                raise self._connection_error(exc) from exc

    def _on_read_timeout(self) -> None:
        """Raise unless the attempt should wait on for its answer."""
        error = self._probe_upstream(f"no data for {self._silent_s:g} s")
        if error.kind is not _AttemptEnd.SILENT:
            raise error
        if self._port.should_abandon(self.action.attempt):
            raise error

    def _probe_upstream(self, detail: str) -> _AttemptError:
        """Return the error of a stalled connection, after opening a new one.

        If the upstream accepts a connection only the old one is at fault
        (`SILENT`), else the upstream is unreachable (`LOST`).
        """
        address = self.action.address
        port = self.action.port
        self._pool.close_idle(address, port)
        try:
            conn = self._pool.connect(address, port)
        except OSError as exc:
            text = f"{detail}, and reconnecting failed: {exc}"
            return _AttemptError(_AttemptEnd.LOST, text)
        self._pool.release(address, port, conn, self._port.now())
        return _AttemptError(_AttemptEnd.SILENT, detail)

    def _connection_error(self, exc: Exception) -> _AttemptError:
        kind = (
            _AttemptEnd.BROKEN
            if self._parser.has_final_head
            else _AttemptEnd.LOST
        )
        return _AttemptError(kind, repr(exc))

    def _check_ids(self) -> None:
        """Reject an answer that belongs to another request or attempt."""
        echoes = (
            (request_exchange.REQUEST_ID, self._id),
            (request_exchange.ATTEMPT, str(self.action.attempt)),
        )
        echo_count = 0
        for name, sent in echoes:
            received = self._parser.get(name)
            if received is not None and received != sent:
                detail = f"foreign answer: {name} {received}, expected {sent}"
                raise _AttemptError(_AttemptEnd.BROKEN, detail)
            echo_count += received is not None
        self._ids_echoed = echo_count == len(echoes)

    def _response(self, body: bytes) -> request_exchange.Response:
        length = self._parser.content_length
        return request_exchange.Response(
            status=self._parser.code,
            reason=self._parser.status_message or "",
            headers=list(self._parser.items()),
            body=body,
            length=-1 if length is None else length,
        )

    def _on_complete_answer(
        self,
        response: request_exchange.Response,
    ) -> ports.AttemptEnd:
        outcome = self._parser.get(request_exchange.OUTCOME)
        if response.status == 503 and outcome == "not-run":
            return _AttemptEnd.SHED
        self._exchange.responses[self.action.attempt] = response
        return _AttemptEnd.ANSWERED

    def _stream(
        self,
        response: request_exchange.Response,
    ) -> ports.AttemptEnd:
        """Forward a long answer in chunks, with back-pressure.

        When the caller has gone, the rest is read and discarded.
        """
        if self._port.start_response(self.action.attempt):
            self._chunks = queue.Queue(request_exchange.MAX_QUEUED_CHUNKS)
            response.chunks = self._chunks
            self._exchange.on_response_start(self.action.attempt, response)
        while not self._parser.answer_complete:
            self._read_body()
            part = self._parser.pop_body()
            if part and self._chunks is not None:
                self._chunks.put(part)
        return _AttemptEnd.ANSWERED


def timeout_text(deadline: float, now: float) -> str:
    """Format the remaining time for the `Request-Timeout` header.

    It is rounded down to milliseconds, so that an upstream never works
    on after the deadline.

    :param deadline: monotonic seconds, on the clock of `now`
    :return: seconds
    """
    left_ms = max(0, math.floor((deadline - now) * 1000))
    return f"{left_ms / 1000:.3f}"
