"""Tells the platform's routers whether to send packets here."""

from collections.abc import Callable
import contextlib

from ebonytally import deployment
from ebonytally.platform import http_server

_PATH = "/v1/readiness"


def open_readiness(
    at: deployment.Endpoint,
    stack: contextlib.ExitStack,
    ready: Callable[[], bool],
) -> None:
    """Answer the routers."""

    def answer(environ: dict) -> http_server.Reply:
        if environ["PATH_INFO"] != _PATH:
            return "404 Not Found", [], b""
        status = "200 OK" if ready() else "503 Service Unavailable"
        return status, [], b""

    http_server.serve(at, stack, answer)
