"""Handlers of gevent's HTTP server that bound a connection's life."""

import gevent
from gevent import pywsgi


class BoundedHandler(pywsgi.WSGIHandler):
    """Ends a connection when its time is over, whatever it does.

    :cvar connection_s: seconds that a connection may last
    """

    connection_s = 20.0

    def handle(self) -> None:
        """Serve the connection."""
        with gevent.Timeout(self.connection_s, False):
            # It closes the connection, also when its time is over.
            super().handle()

    def log_request(self) -> None:
        """Leave logging to the recorder."""
