"""Handler for gevent's HTTP server that limits its connections."""

import contextlib
import time
import types

import gevent
from gevent import pywsgi
from gevent import socket


# With fewer free places, connections are closed after their answers: idle
# ones must not keep others out.
MIN_FREE_SHARE = 0.25
# Share of a connection's time limit after which an answer renews it.
RENEWAL_SHARE = 0.2


class BoundedHandler(pywsgi.WSGIHandler):
    """Closes a connection that is idle or slow, and when there are many.

    :cvar max_request_s: seconds from an answer, or from the connection's
        opening, until the next answer is sent; up to `RENEWAL_SHARE` less
    """

    max_request_s = 20.0

    def handle(self) -> None:
        """Serve the connection until it ends or times out."""
        self._renewed_at = time.monotonic()
        self._timeout = gevent.Timeout.start_new(self.max_request_s)
        try:
            # Closes the connection in its `finally`, also on the timeout.
            super().handle()
        except gevent.Timeout as exc:
            if exc is not self._timeout:
                raise
        finally:
            self._timeout.close()

    def handle_one_request(self) -> bool | tuple | None:
        """Serve a request; None closes the connection."""
        now = time.monotonic()
        # A timer for each request would be a tenth of a heartbeat's cost.
        if now - self._renewed_at > RENEWAL_SHARE * self.max_request_s:
            self._renewed_at = now
            # One that is started again has only its remaining time.
            self._timeout.close()
            self._timeout = gevent.Timeout.start_new(self.max_request_s)
        return self.serve_request()

    def serve_request(self) -> bool | tuple | None:
        """Serve a request within the connection's time limit."""
        return super().handle_one_request()

    def is_crowded(self) -> bool:
        """Return whether so many connections are open that some must end."""
        pool = self.server.pool
        return len(pool) > (1 - MIN_FREE_SHARE) * pool.size

    def run_application(self) -> None:
        """Call the application; shut the connection down on a timeout.

        Otherwise the base class would wait for the rest of the body.
        """
        try:
            super().run_application()
        except gevent.Timeout:
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)
            raise

    def handle_error(
        self,
        kind: type[BaseException],
        exc: BaseException,
        trace: types.TracebackType,
    ) -> None:
        """Answer an exception with 500, unless the connection timed out.

        A client that reads no answers would block the 500 without a limit.
        """
        if isinstance(exc, gevent.Timeout):
            self.close_connection = True
            return
        super().handle_error(kind, exc, trace)

    def finalize_headers(self) -> None:
        """Close the connection after this answer if there are many."""
        if self.is_crowded():
            self.close_connection = True
        super().finalize_headers()

    def log_request(self) -> None:
        """Write no access log; the recorder logs events."""
