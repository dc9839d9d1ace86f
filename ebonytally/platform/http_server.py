"""HTTP for the platform's calls."""

from collections.abc import Callable
import contextlib

from gevent import pool
from gevent import pywsgi

from ebonytally import deployment
from ebonytally import http_bounds

MAX_CONNECTIONS = 512

Reply = tuple[str, list[tuple[str, str]], bytes]


def serve(
    at: deployment.Endpoint,
    stack: contextlib.ExitStack,
    answer: Callable[[dict], Reply],
) -> None:
    """Answer calls with status, headers and body.

    :param stack: closes the port
    :raises OSError: when the port can't be opened
    """

    def call(environ: dict, start_response: Callable) -> list[bytes]:
        status, headers, body = answer(environ)
        length = ("Content-Length", str(len(body)))
        start_response(status, [*headers, length])
        return [body]

    server = pywsgi.WSGIServer(
        (at.address, at.port),
        call,
        log=None,
        error_log=None,
        handler_class=http_bounds.BoundedHandler,
        spawn=pool.Pool(MAX_CONNECTIONS),
    )
    server.start()
    stack.callback(server.stop, timeout=0.2)
