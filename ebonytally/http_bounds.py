"""Handler for gevent's HTTP server that limits its connections."""

import gevent
from gevent import pywsgi


# With fewer free places, connections are closed after their answers: idle
# ones must not keep others out.
MIN_FREE_SHARE = 0.25


class BoundedHandler(pywsgi.WSGIHandler):
    """Closes a connection after a fixed time, and when there are many.

    :cvar max_connection_s: seconds that a connection may stay open
    """

    max_connection_s = 20.0

    def handle(self) -> None:
        """Serve the connection until it ends or times out."""
        with gevent.Timeout(self.max_connection_s, False):
            # Closes the connection in its `finally`, also on the timeout.
            super().handle()

    def finalize_headers(self) -> None:
        """Close the connection after this answer if there are many."""
        pool = self.server.pool
        if pool and pool.free_count() < MIN_FREE_SHARE * pool.size:
            self.close_connection = True
        super().finalize_headers()

    def log_request(self) -> None:
        """Write no access log; the recorder logs events."""
