"""Readiness check of the platform's routers."""

from collections.abc import Callable
import contextlib

from ebonytally import deployment
from ebonytally.platform import http_server
from ebonytally import recorder as recorders

# The routers open a few connections.
_MAX_CONNECTIONS = 512
_PATH = "/v1/readiness"


def open_readiness(
    endpoint: deployment.Endpoint,
    stack: contextlib.ExitStack,
    is_ready: Callable[[], bool],
    recorder: recorders.Recorder,
) -> None:
    """Answer readiness checks with 200 or 503.

    :param stack: closes the port
    :param is_ready: returns whether routers may send packets to this VM
    """

    def handle(call: http_server.Call) -> http_server.Reply:
        if call.path != _PATH:
            return "404 Not Found", [], b""
        status = "200 OK" if is_ready() else "503 Service Unavailable"
        return status, [], b""

    http_server.serve(endpoint, stack, handle, recorder, _MAX_CONNECTIONS)
