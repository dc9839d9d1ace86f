"""HTTP server for the platform's calls."""

from collections.abc import Callable
import contextlib

from gevent import pool
from gevent import pywsgi

from ebonytally import deployment
from ebonytally import http_bounds
from ebonytally import recorder as recorders

# All upstreams connect at once after the control VM that they used is lost.
BACKLOG = 1024

Reply = tuple[str, list[tuple[str, str]], bytes]


def serve(
    endpoint: deployment.Endpoint,
    stack: contextlib.ExitStack,
    handle: Callable[[dict], Reply],
    recorder: recorders.Recorder,
    max_connections: int,
) -> None:
    """Open a port and answer the calls to it.

    :param stack: closes the port
    :param handle: takes a WSGI environ, returns status, headers and body;
        an unexpected exception is logged and answered with 500
    :param max_connections: that may be open at the same time
    :raises OSError: when the port can't be opened
    """

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        try:
            status, headers, body = handle(environ)
        except Exception:
            recorders.log_failure(recorder, "call", environ["REMOTE_ADDR"])
            status, headers, body = "500 Internal Server Error", [], b""
        length = ("Content-Length", str(len(body)))
        start_response(status, [*headers, length])
        return [body]

    server = pywsgi.WSGIServer(
        (endpoint.address, endpoint.port),
        application,
        log=None,
        error_log=None,
        handler_class=http_bounds.BoundedHandler,
        spawn=pool.Pool(max_connections),
        backlog=BACKLOG,
    )
    server.start()
    stack.callback(server.stop, timeout=0.2)
