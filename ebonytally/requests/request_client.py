"""Attempts at upstreams over HTTP/1.1."""

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

WHOLE_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
_SET_HERE = frozenset(
    {"attempt", "content-length", "request-id", "request-timeout"},
)
_NOT_KEPT = frozenset(
    {"attempt", "content-length", "outcome", "request-id"},
)
_KIND = ports.AttemptKind


@attrs.define(eq=False)
class _AttemptError(Exception):
    """An attempt that ended without a whole answer."""

    kind: ports.AttemptKind
    detail: str


class _Parser(http_response.HTTPResponse):
    """Parses one final answer and notes bytes that follow it."""

    code = 0
    whole = False
    surplus = False

    def _on_message_begin(self) -> None:
        if self.whole:
            raise http_response.HTTPProtocolViolationError("second answer")
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        self.code = self.get_code()
        return super()._on_headers_complete()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self.whole = self.code >= 200

    def take(self, data: bytes) -> None:
        """Parse `data`; bytes after the answer only set `surplus`."""
        try:
            self.feed(data)
        except http_response.HTTPParseError:
            if not self.whole:
                raise
            self.surplus = True

    def pop_body(self) -> bytes:
        """Return the part of the body parsed since the last call."""
        part = bytes(self._body_buffer)
        self._body_buffer.clear()
        return part

    @property
    def final(self) -> bool:
        """Tell whether the headers of the final answer are there."""
        return self.headers_complete and self.code >= 200


class Client:
    """Carries out dispatches, each in a greenlet of its own."""

    def __init__(
        self,
        name: str,
        port: request_exchange.RequestPort,
        silent_s: float,
    ) -> None:
        """Start without attempts.

        :param name: this entry VM, the first part of request ids
        """
        self._name = name
        self._port = port
        self._silent_s = silent_s
        self._pool = request_pool.Pool(silent_s)
        self._running: dict[int, _Attempt] = {}

    def dispatch(
        self,
        act: actions.Dispatch,
        exchange: request_exchange.Exchange,
    ) -> None:
        """Start an attempt."""
        attempt = _Attempt(self, act, exchange)
        self._running[act.attempt] = attempt
        attempt.task = gevent.spawn(self._run, attempt)

    def cancel(self, attempt: int) -> None:
        """Stop an attempt; it ends as cancelled."""
        run = self._running.get(attempt)
        if run is not None:
            run.stop()

    def close(self) -> None:
        """Stop all attempts and close all connections."""
        attempts = list(self._running.values())
        for attempt in attempts:
            attempt.stop()
        gevent.joinall([attempt.task for attempt in attempts])
        self._pool.close()

    def _run(self, attempt: "_Attempt") -> None:
        act = attempt.act
        began = self._port.now()
        status = 0
        detail = ""
        try:
            with gevent.Timeout(max(act.deadline - began, 0.0)):
                kind = attempt.run()
            status = attempt.status
        except gevent.Timeout:
            kind = _KIND.TIMED_OUT if attempt.sent else _KIND.NOT_SENT
            detail = "deadline"
        except gevent.GreenletExit:
            kind = _KIND.CANCELLED if attempt.sent else _KIND.NOT_SENT
            detail = "cancelled"
        except _AttemptError as exc:
            kind = exc.kind
            detail = exc.detail
        finally:
            self._running.pop(act.attempt, None)
        attempt.close(whole=kind is _KIND.ANSWERED)
        result = ports.AttemptResult(
            kind,
            self._port.now() - began,
            status,
            detail,
            *attempt.kept(kind),
        )
        self._port.attempt_done(act.attempt, result)


class _Attempt:
    """One attempt: its connection, its parser and how far it came."""

    def __init__(
        self,
        client: Client,
        act: actions.Dispatch,
        exchange: request_exchange.Exchange,
    ) -> None:
        self._port = client._port
        self._pool = client._pool
        self._silent_s = client._silent_s
        self._id = f"{client._name}-{act.req}"
        self.act = act
        self.task: gevent.Greenlet | None = None
        self._begun = False
        self._unwanted = False
        self._exchange = exchange
        self._conn: request_pool.Connection | None = None
        self._parser = _Parser(exchange.head.method)
        self._rest: queue.Queue | None = None
        self._echoed = False
        self.sent = False

    @property
    def status(self) -> int:
        return self._parser.code

    def stop(self) -> None:
        """End the attempt as cancelled, also before it has begun."""
        self._unwanted = True
        if self._begun:
            self.task.kill(block=False)

    def run(self) -> ports.AttemptKind:
        self._begun = True
        if self._unwanted:
            raise _AttemptError(_KIND.NOT_SENT, "cancelled")
        self._connect()
        self._send()
        self._read_head()
        self._check_echo()
        parts = [self._parser.pop_body()]
        size = len(parts[0])
        while size < WHOLE_BYTES and not self._parser.whole:
            self._read()
            parts.append(self._parser.pop_body())
            size += len(parts[-1])
        response = self._response(b"".join(parts))
        if self._parser.whole:
            return self._whole(response)
        return self._pass_on(response)

    def close(self, whole: bool) -> None:
        """Keep the connection if that is safe, else close it."""
        if self._rest is not None:
            self._rest.maxsize += 1
            self._rest.put_nowait(b"" if whole else None)
        if self._conn is None:
            return
        clean = whole and self._echoed and not self._parser.surplus
        if not clean or self._parser.should_close():
            self._conn.close()
            return
        self._pool.give_back(
            self.act.address,
            self.act.port,
            self._conn,
            self._port.now(),
        )

    def kept(
        self,
        kind: ports.AttemptKind,
    ) -> tuple[tuple[tuple[str, str], ...], bytes, bool]:
        """Return headers and body of a small answer, to be kept."""
        response = self._exchange.responses.get(self.act.attempt)
        if kind is not _KIND.ANSWERED or not self._exchange.head.key:
            return (), b"", False
        if response is None or response.rest is not None:
            return (), b"", False
        if len(response.body) > ports.MAX_KEPT_BYTES:
            return (), b"", False
        kept = request_exchange.end_to_end(response.headers, _NOT_KEPT)
        return tuple(kept), response.body, True

    def _connect(self) -> None:
        """Get a connection; a non-idempotent request gets a new one."""
        try:
            self._conn = self._pool.take(
                self.act.address,
                self.act.port,
                self._port.now(),
                fresh=not self._exchange.head.idempotent,
            )
        except OSError as exc:
            raise _AttemptError(_KIND.NOT_SENT, str(exc)) from exc

    def _send(self) -> None:
        data = self._request_bytes()
        self.sent = True
        self._conn.sock.settimeout(None)
        try:
            self._conn.sock.sendall(data)
        except OSError as exc:
            raise self._lost(exc) from exc

    def _request_bytes(self) -> bytes:
        exchange = self._exchange
        left = timeout_text(self.act.deadline, self._port.now())
        lines = [f"{exchange.head.method} {exchange.target} HTTP/1.1"]
        lines += [
            f"{name}: {value}"
            for name, value in request_exchange.end_to_end(
                exchange.headers,
                _SET_HERE,
            )
        ]
        lines.append(f"{request_exchange.REQUEST_ID}: {self._id}")
        lines.append(f"{request_exchange.ATTEMPT}: {self.act.attempt}")
        lines.append(f"{request_exchange.TIMEOUT}: {left}")
        if exchange.body or exchange.head.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(exchange.body)}")
        text = "\r\n".join(lines) + "\r\n\r\n"
        return text.encode("latin-1") + exchange.body

    def _read(self) -> None:
        """Parse some more bytes of the answer."""
        data = self._recv()
        if not data:
            raise _AttemptError(_KIND.BROKEN, "closed before the end")
        try:
            self._parser.take(data)
        except (http_response.HTTPParseError, ValueError) as exc:
            raise _AttemptError(_KIND.BROKEN, repr(exc)) from exc

    def _read_head(self) -> None:
        size = 0
        while not self._parser.final:
            data = self._recv()
            if not data:
                raise self._lost(EOFError("closed before an answer"))
            size += len(data)
            if size > MAX_HEADER_BYTES + READ_BYTES:
                raise _AttemptError(_KIND.BROKEN, "header too long")
            try:
                self._parser.take(data)
            except (http_response.HTTPParseError, ValueError) as exc:
                raise _AttemptError(_KIND.BROKEN, repr(exc)) from exc

    def _recv(self) -> bytes:
        """Return what came, looking after a connection gone silent."""
        while True:
            self._conn.sock.settimeout(self._silent_s)
            try:
                return self._conn.sock.recv(READ_BYTES)
            except TimeoutError as exc:
                if exc.errno == errno.ETIMEDOUT:
                    raise self._silent("no sign of its kernel") from exc
                self._no_progress()
            except OSError as exc:
                raise self._lost(exc) from exc

    def _no_progress(self) -> None:
        """Try a new connection before judging the old one."""
        verdict = self._silent("no progress")
        if verdict.kind is not _KIND.SILENT:
            raise verdict
        if self._port.silent(self.act.attempt):
            raise verdict

    def _silent(self, detail: str) -> _AttemptError:
        """Tell a silent connection from a dead peer by a new one."""
        address = self.act.address
        port = self.act.port
        self._pool.drop(address, port)
        try:
            conn = self._pool.connect(address, port)
        except OSError as exc:
            text = f"{detail}, no new connection: {exc}"
            return _AttemptError(_KIND.LOST, text)
        self._pool.give_back(address, port, conn, self._port.now())
        return _AttemptError(_KIND.SILENT, detail)

    def _lost(self, exc: Exception) -> _AttemptError:
        kind = _KIND.BROKEN if self._parser.final else _KIND.LOST
        return _AttemptError(kind, repr(exc))

    def _check_echo(self) -> None:
        """Refuse an answer to another request or attempt."""
        echoes = (
            (request_exchange.REQUEST_ID, self._id),
            (request_exchange.ATTEMPT, str(self.act.attempt)),
        )
        seen = 0
        for name, sent in echoes:
            got = self._parser.get(name)
            if got is not None and got != sent:
                detail = f"crossed: {name} {got} for {sent}"
                raise _AttemptError(_KIND.BROKEN, detail)
            seen += got is not None
        self._echoed = seen == len(echoes)

    def _response(self, body: bytes) -> request_exchange.Response:
        length = self._parser.content_length
        return request_exchange.Response(
            status=self._parser.code,
            reason=self._parser.status_message or "",
            headers=list(self._parser.items()),
            body=body,
            length=-1 if length is None else length,
        )

    def _whole(
        self,
        response: request_exchange.Response,
    ) -> ports.AttemptKind:
        outcome = self._parser.get(request_exchange.OUTCOME)
        if response.status == 503 and outcome == "not-run":
            return _KIND.SHED
        self._exchange.responses[self.act.attempt] = response
        return _KIND.ANSWERED

    def _pass_on(
        self,
        response: request_exchange.Response,
    ) -> ports.AttemptKind:
        """Stream a long answer, at the pace of the caller.

        When the caller has gone, the rest is read and thrown away.
        """
        if self._port.passing(self.act.attempt):
            self._rest = queue.Queue(request_exchange.CHUNKS_AHEAD)
            response.rest = self._rest
            self._exchange.passed_on(self.act.attempt, response)
        while not self._parser.whole:
            self._read()
            part = self._parser.pop_body()
            if part and self._rest is not None:
                self._rest.put(part)
        return _KIND.ANSWERED


def timeout_text(deadline: float, now: float) -> str:
    """Return the seconds left as upstreams are told, never more.

    :param deadline: seconds, on the clock of `now`
    """
    left_ms = max(0, math.floor((deadline - now) * 1000))
    return f"{left_ms / 1000:.3f}"
