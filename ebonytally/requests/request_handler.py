"""One caller's connection: bounds on its header, and its going away."""

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
READ_BYTES = 64 * 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class RefusedError(Exception):
    """A request that is refused before it reaches the slice.

    :param status: HTTP status
    """

    status: int
    reason: reasons.Refusal
    detail: str


class CallerGoneError(Exception):
    """Nothing more can be told to this caller."""


class _BoundedLines:
    """Lines of a header, refused when they get too long in sum."""

    def __init__(self, file: io.BufferedIOBase) -> None:
        self._file = file
        self._left = MAX_HEADER_BYTES

    def readline(self, limit: int) -> bytes:
        line = self._file.readline(min(limit, self._left + 1))
        self._left -= len(line)
        if self._left < 0:
            raise ValueError("header too long")
        return line


class _NoInput:
    """Stands for a request body that nobody wants."""

    def _discard(self) -> None:
        """Read nothing; pywsgi calls this after the answer."""


class _LingeringClose:
    """Lets a caller that still sends read our answer first."""

    def __init__(self, sock: gevent.socket.socket) -> None:
        self._sock = sock

    def _discard(self) -> None:
        """Read and drop for a short time what the caller still sends."""
        with contextlib.suppress(OSError), gevent.Timeout(LINGER_S, False):
            self._sock.shutdown(socket.SHUT_WR)
            while self._sock.recv(READ_BYTES):
                pass


class Handler(pywsgi.WSGIHandler):
    """A pywsgi handler with time limits, and hands for its application."""

    def handle(self) -> None:
        """Serve the connection, sending small parts at once."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> str:
        """Read the request line, waiting a bounded time for it."""
        self.socket.settimeout(IDLE_TIMEOUT_S)
        line = super().read_requestline()
        self.socket.settimeout(None)
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Read the header, for a bounded time in all."""
        with gevent.Timeout(HEADER_TIMEOUT_S, ValueError("slow header")):
            done = super().read_request(raw_requestline)
        lengths = self.headers.get_all("content-length", [])
        if len(lengths) > 1:
            raise ValueError("more than one Content-Length")
        return done

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Parse a header of bounded size."""
        lines = _BoundedLines(self.rfile)
        return super().MessageClass(lines, *args[1:])

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with this handler in it."""
        environ = super().get_environ()
        environ["ebonytally.handler"] = self
        return environ

    def close_after_answer(self) -> None:
        """Close the connection without reading the rest of a body."""
        self.close_connection = True
        self.wsgi_input = _LingeringClose(self.socket)

    def reset(self) -> None:
        """Let closing the connection be a reset."""
        self.close_connection = True
        self.wsgi_input = _NoInput()
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
        """Set `exchange.gone` when the caller closes its connection."""
        loop = gevent.get_hub().loop
        watcher = loop.io(self.socket.fileno(), 1)
        watcher.start(self._peek, watcher, exchange)
        try:
            yield
        finally:
            watcher.stop()
            watcher.close()

    def _peek(
        self,
        watcher: Any,
        exchange: request_exchange.Exchange,
    ) -> None:
        """Tell a closed connection from one with a further request."""
        watcher.stop()
        try:
            data = self.socket._sock.recv(1, socket.MSG_PEEK)
        except OSError:
            data = b""
        if not data:
            exchange.gone = True
            exchange.ready.set()

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close without a word when the caller is gone."""
        if isinstance(v, CallerGoneError):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)
