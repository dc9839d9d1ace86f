"""Caller's connection: limits on its header, detection of its close."""

from collections.abc import Iterator
import contextlib
import io
import socket
import struct
from typing import Any

import attrs
import gevent
from gevent import pywsgi
import gevent.socket

from ebonytally import reasons
from ebonytally.requests import request_exchange

MAX_HEADER_BYTES = 16 * 1024
HEADER_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0
LINGER_S = 1.0
RECV_BYTES = 64 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class RefusedError(Exception):
    """A request that is refused before it is submitted.

    :param status: HTTP status of the answer
    :param detail: what was expected and found
    """

    status: int
    reason: reasons.Refusal
    detail: str


class CallerGoneError(Exception):
    """The answer can't be sent, or not be sent to its end."""


class _BoundedLines:
    """Line reader that limits the total size of a header."""

    def __init__(self, stream: io.BufferedIOBase) -> None:
        self._stream = stream
        self._remaining_bytes = MAX_HEADER_BYTES

    def readline(self, limit: int) -> bytes:
        line = self._stream.readline(min(limit, self._remaining_bytes + 1))
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise ValueError(
                f"request header exceeds {MAX_HEADER_BYTES} bytes"
            )
        return line


class _DiscardedInput:
    """Request body that is left unread."""

    def _discard(self) -> None:
        """Do nothing; pywsgi would read the rest of the body here."""


class _LingeringInput:
    """Request body that is drained before the connection closes.

    Closing a socket with unread data resets the connection, and a caller
    that is still sending would not see the answer.
    """

    def __init__(self, sock: gevent.socket.socket) -> None:
        self._sock = sock

    def _discard(self) -> None:
        """Send FIN, then discard received data for up to `LINGER_S`."""
        with contextlib.suppress(OSError), gevent.Timeout(LINGER_S, False):
            self._sock.shutdown(socket.SHUT_WR)
            while self._sock.recv(RECV_BYTES):
                pass


class Handler(pywsgi.WSGIHandler):
    """A pywsgi handler with timeouts and control over the connection."""

    def handle(self) -> None:
        """Serve the connection, with Nagle's algorithm switched off."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> str:
        """Read the request line, for `IDLE_TIMEOUT_S` at most."""
        self.socket.settimeout(IDLE_TIMEOUT_S)
        line = super().read_requestline()
        self.socket.settimeout(None)
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Read the header, for `HEADER_TIMEOUT_S` at most in all."""
        with gevent.Timeout(
            HEADER_TIMEOUT_S,
            ValueError(
                f"request header not received in {HEADER_TIMEOUT_S:g} s"
            ),
        ):
            done = super().read_request(raw_requestline)
        lengths = self.headers.get_all("content-length", [])
        if len(lengths) > 1:
            raise ValueError(
                f"expected one Content-Length, got {len(lengths)}"
            )
        return done

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Parse a header of at most `MAX_HEADER_BYTES`."""
        lines = _BoundedLines(self.rfile)
        return super().MessageClass(lines, *args[1:])

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with this handler added."""
        environ = super().get_environ()
        environ["ebonytally.handler"] = self
        return environ

    def close_after_answer(self) -> None:
        """Close the connection after the answer, draining it briefly."""
        self.close_connection = True
        self.wsgi_input = _LingeringInput(self.socket)

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.close_connection = True
        self.wsgi_input = _DiscardedInput()
        with contextlib.suppress(OSError):
            self.socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _RESET_ON_CLOSE,
            )

    @contextlib.contextmanager
    def watch_caller(
        self,
        exchange: request_exchange.Exchange,
    ) -> Iterator[None]:
        """Set `exchange.caller_gone` if the caller closes its connection."""
        loop = gevent.get_hub().loop
        watcher = loop.io(self.socket.fileno(), 1)
        watcher.start(self._on_readable, watcher, exchange)
        try:
            yield
        finally:
            watcher.stop()
            watcher.close()

    def _on_readable(
        self,
        watcher: Any,
        exchange: request_exchange.Exchange,
    ) -> None:
        """Check whether the connection was closed or has new data."""
        watcher.stop()
        try:
            data = self.socket._sock.recv(1, socket.MSG_PEEK)
        except OSError:
            data = b""
        if not data:
            exchange.caller_gone = True
            exchange.ready.set()

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close without an error answer when the caller is gone."""
        if isinstance(v, CallerGoneError):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)
