"""HTTP server of the metrics port; it needs no authentication."""

from gevent import pool
from gevent import pywsgi

from ebonytally import http_bounds
from ebonytally import metrics

MAX_CONNECTIONS = 8
CONNECTION_TIMEOUT_S = 5.0


class _MetricsHandler(http_bounds.BoundedHandler):
    """Closes a connection after `CONNECTION_TIMEOUT_S`."""

    max_request_s = CONNECTION_TIMEOUT_S


class MetricsServer:
    """Answers ``GET /metrics`` in the Prometheus text format."""

    def __init__(
        self,
        address: tuple[str, int],
        source: metrics.Metrics,
    ) -> None:
        """Set up the server; `start` opens the port."""
        self._source = source
        self._server = pywsgi.WSGIServer(
            address,
            self._serve,
            log=None,
            error_log=None,
            handler_class=_MetricsHandler,
            spawn=pool.Pool(MAX_CONNECTIONS),
        )

    def start(self) -> None:
        """Open the port.

        :raises OSError: when it can't be opened
        """
        self._server.start()

    def stop(self) -> None:
        """Close the port."""
        self._server.stop(timeout=0.5)

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the server listens on."""
        return (self._server.server_host, self._server.server_port)

    def _serve(self, environ: dict, start_response) -> list[bytes]:
        is_metrics = environ["PATH_INFO"] == "/metrics"
        if environ["REQUEST_METHOD"] != "GET" or not is_metrics:
            start_response("404 Not Found", [("Connection", "close")])
            return [b""]
        data = self._source.text()
        headers = [
            ("Content-Type", metrics.CONTENT_TYPE),
            ("Content-Length", str(len(data))),
            ("Connection", "close"),
        ]
        start_response("200 OK", headers)
        return [data]
