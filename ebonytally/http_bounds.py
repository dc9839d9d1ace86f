"""Handler for gevent's HTTP server that limits a connection's duration."""

import gevent
from gevent import pywsgi


class BoundedHandler(pywsgi.WSGIHandler):
    """Closes a connection after a fixed time, even during a request.

    :cvar max_connection_s: seconds that a connection may stay open
    """

    max_connection_s = 20.0

    def handle(self) -> None:
        """Serve the connection until it ends or times out."""
        with gevent.Timeout(self.max_connection_s, False):
            # Closes the connection in its `finally`, also on the timeout.
            super().handle()

    def log_request(self) -> None:
        """Write no access log; the recorder logs events."""
