"""Handler for gevent's HTTP server that limits its connections."""

import contextlib
import types

import gevent
from gevent import pywsgi
from gevent import socket


# With fewer free places, connections are closed after their answers: idle
# ones must not keep others out.
MIN_FREE_SHARE = 0.25


class BoundedHandler(pywsgi.WSGIHandler):
    """Closes a connection that is idle or slow, and when there are many.

    :cvar max_request_s: seconds from an answer, or from the connection's
        opening, until the next answer is sent
    """

    max_request_s = 20.0

    def handle_one_request(self) -> bool | tuple | None:
        """Serve a request; None closes the connection, also on a timeout."""
        with gevent.Timeout(self.max_request_s, False):
            return super().handle_one_request()

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
        pool = self.server.pool
        if pool and pool.free_count() < MIN_FREE_SHARE * pool.size:
            self.close_connection = True
        super().finalize_headers()

    def log_request(self) -> None:
        """Write no access log; the recorder logs events."""
