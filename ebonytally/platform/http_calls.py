"""The platform's HTTP calls."""

from collections.abc import Callable
import contextlib
import json
from typing import Protocol

from gevent import pool
from gevent import pywsgi

from ebonytally import deployment
from ebonytally import http_bounds
from ebonytally import orders
from ebonytally.platform import calls
from ebonytally.platform import decode
from ebonytally.register import records

MAX_CONNECTIONS = 512
MAX_BODY_BYTES = 1024 * 1024
_JSON = ("Content-Type", "application/json")
_HEARTBEAT = "/v1/Instances.Heartbeat/"
_DEREGISTER = "/v1/Instances.Deregister/"
_PUT = "/v1/Config.Put"
_GET = "/v1/Config.Get"
_OUT = "/v1/Evacuations.Start/"
_BACK = "/v1/Evacuations.End/"
_READINESS = "/v1/readiness"
_STATUS = {
    orders.End.DONE: "200 OK",
    orders.End.INVALID: "400 Bad Request",
    orders.End.ELSEWHERE: "307 Temporary Redirect",
    orders.End.UNAVAILABLE: "503 Service Unavailable",
}

Reply = tuple[str, list[tuple[str, str]], bytes]


class Upstreams(Protocol):
    """Takes what upstreams say of themselves."""

    def announced(self, said: records.Announcement) -> None:
        """Take an announcement."""

    def left(self, id_: str, born_ms: int) -> None:
        """Take an upstream's word that it has ended."""


def open_readiness(
    at: deployment.Endpoint,
    stack: contextlib.ExitStack,
    ready: Callable[[], bool],
) -> None:
    """Answer the routers that ask whether to send packets here."""

    def answer(environ: dict) -> Reply:
        if environ["PATH_INFO"] != _READINESS:
            return "404 Not Found", [], b""
        return "200 OK" if ready() else _STATUS[_UNAVAILABLE], [], b""

    _serve(at, stack, answer)


_UNAVAILABLE = orders.End.UNAVAILABLE


class Control:
    """Calls of operators and upstreams to a control VM."""

    def __init__(
        self,
        told: deployment.Deployment,
        stack: contextlib.ExitStack,
        taken: orders.Orders,
        upstreams: Upstreams,
    ) -> None:
        """Listen for calls."""
        self._orders = taken
        self._upstreams = upstreams
        self._port = told.orders.port
        address = f"{told.orders.address}:{told.orders.port}"
        # Keeps an upstream with the VM that knows its last sequence.
        self._beat = json.dumps({"heartbeat-url": address}).encode()
        _serve(told.orders, stack, self._answer)

    def _answer(self, environ: dict) -> Reply:
        body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            return "413 Content Too Large", [], b""
        path = environ["PATH_INFO"]
        try:
            return self._call(environ["REQUEST_METHOD"], path, body)
        except decode.DecodeError as exc:
            source = environ["REMOTE_ADDR"]
            self._orders.refused(exc.step, str(exc), source)
            return "400 Bad Request", [_JSON], _error(str(exc))

    def _call(self, method: str, path: str, body: bytes) -> Reply:
        if method == "POST" and path.startswith(_HEARTBEAT):
            id_ = path.removeprefix(_HEARTBEAT)
            self._upstreams.announced(calls.heartbeat(id_, body))
            return "200 OK", [_JSON], self._beat
        if method == "POST" and path.startswith(_DEREGISTER):
            id_ = path.removeprefix(_DEREGISTER)
            self._upstreams.left(id_, calls.born_of(body))
            return "200 OK", [_JSON], b"{}"
        if method == "POST" and path == _PUT:
            version, content = calls.config(body)
            answer = self._orders.replace(version, content, body)
            return self._reply(answer, path)
        if method == "GET" and path == _GET:
            return self._reply(self._orders.read(), path)
        if method == "POST" and path.startswith(_OUT):
            name = path.removeprefix(_OUT)
            return self._reply(self._orders.set_data_centre(name, True), path)
        if method == "POST" and path.startswith(_BACK):
            name = path.removeprefix(_BACK)
            answer = self._orders.set_data_centre(name, False)
            return self._reply(answer, path)
        return "404 Not Found", [_JSON], _error("no such call")

    def _reply(self, answer: orders.Answer, path: str) -> Reply:
        headers = [_JSON]
        if answer.end == orders.End.ELSEWHERE:
            there = f"http://{answer.leader}:{self._port}{path}"
            headers.append(("Location", there))
        body = answer.document
        if answer.end != orders.End.DONE:
            body = _error(answer.detail)
        return _STATUS[answer.end], headers, body or b"{}"


def _error(text: str) -> bytes:
    return json.dumps({"error": text}).encode()


def _serve(
    at: deployment.Endpoint,
    stack: contextlib.ExitStack,
    answer: Callable[[dict], Reply],
) -> None:
    def serve(environ: dict, start_response: Callable) -> list[bytes]:
        status, headers, body = answer(environ)
        length = ("Content-Length", str(len(body)))
        start_response(status, [*headers, length])
        return [body]

    server = pywsgi.WSGIServer(
        (at.address, at.port),
        serve,
        log=None,
        error_log=None,
        handler_class=http_bounds.BoundedHandler,
        spawn=pool.Pool(MAX_CONNECTIONS),
    )
    server.start()
    stack.callback(server.stop, timeout=0.2)
