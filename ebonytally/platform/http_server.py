"""HTTP server for the platform's calls."""

from collections.abc import Callable
import contextlib

from gevent import pool
from gevent import pywsgi

from ebonytally import deployment
from ebonytally import http_bounds

MAX_CONNECTIONS = 512

Reply = tuple[str, list[tuple[str, str]], bytes]


def serve(
    endpoint: deployment.Endpoint,
    stack: contextlib.ExitStack,
    handle: Callable[[dict], Reply],
) -> None:
    """Open a port and answer the calls to it.

    :param stack: closes the port
    :param handle: takes a WSGI environ, returns status, headers and body
    :raises OSError: when the port can't be opened
    """

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        status, headers, body = handle(environ)
        length = ("Content-Length", str(len(body)))
        start_response(status, [*headers, length])
        return [body]

    server = pywsgi.WSGIServer(
        (endpoint.address, endpoint.port),
        application,
        log=None,
        error_log=None,
        handler_class=http_bounds.BoundedHandler,
        spawn=pool.Pool(MAX_CONNECTIONS),
    )
    server.start()
    stack.callback(server.stop, timeout=0.2)
