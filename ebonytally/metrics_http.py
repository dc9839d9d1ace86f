"""HTTP server of the metrics port; it needs no authentication."""

from collections.abc import Callable
from collections.abc import Mapping
import http
import json

import gevent
from gevent import pool
from gevent import pywsgi

from ebonytally import http_bounds
from ebonytally import metrics

MAX_CONNECTIONS = 8
CONNECTION_TIMEOUT_S = 5.0


# Takes the query string of the URL, returns the HTTP status and the fields of
# a JSON object.
Page = Callable[[str], tuple[http.HTTPStatus, dict]]


class _MetricsHandler(http_bounds.BoundedHandler):
    """Closes a connection after `CONNECTION_TIMEOUT_S`."""

    max_request_s = CONNECTION_TIMEOUT_S


class MetricsServer:
    """Answers ``GET /metrics`` in the Prometheus text format.

    Other pages answer with JSON.
    """

    def __init__(
        self,
        address: tuple[str, int],
        source: metrics.Metrics,
        pages: Mapping[str, Page] | None = None,
    ) -> None:
        """Set up the server; `start` opens the port.

        :param pages: further pages by path
        """
        self._source = source
        self._pages = pages or {}
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
        status, kind, data = self._answer(environ)
        headers = [
            ("Content-Type", kind),
            ("Content-Length", str(len(data))),
            ("Connection", "close"),
        ]
        start_response(f"{status.value} {status.phrase}", headers)
        return [data]

    def _answer(self, environ: dict) -> tuple[http.HTTPStatus, str, bytes]:
        """Return the HTTP status, the content's type and the content."""
        path = environ["PATH_INFO"]
        page = self._pages.get(path)
        if environ["REQUEST_METHOD"] == "GET" and path == "/metrics":
            text = self._source.text()
            return http.HTTPStatus.OK, metrics.CONTENT_TYPE, text
        if environ["REQUEST_METHOD"] == "GET" and page is not None:
            status, fields = page(environ.get("QUERY_STRING", ""))
            # Both steps may take tens of milliseconds; packets that wait
            # are forwarded in between.
            gevent.sleep(0)
            data = json.dumps(fields).encode() + b"\n"
            return status, "application/json", data
        return http.HTTPStatus.NOT_FOUND, "text/plain", b""
