"""The platform's HTTP calls."""

import contextlib
import json
from typing import Protocol

from ebonytally import deployment
from ebonytally import orders
from ebonytally.platform import calls
from ebonytally.platform import decode
from ebonytally.platform import http_server
from ebonytally.register import records

MAX_BODY_BYTES = 1024 * 1024
_JSON = ("Content-Type", "application/json")
_HEARTBEAT = "/v1/Instances.Heartbeat/"
_DEREGISTER = "/v1/Instances.Deregister/"
_PUT = "/v1/Config.Put"
_GET = "/v1/Config.Get"
_OUT = "/v1/Evacuations.Start/"
_BACK = "/v1/Evacuations.End/"
_STATUS = {
    orders.End.DONE: "200 OK",
    orders.End.INVALID: "400 Bad Request",
    orders.End.ELSEWHERE: "307 Temporary Redirect",
    orders.End.UNAVAILABLE: "503 Service Unavailable",
}


class Upstreams(Protocol):
    """Takes what upstreams say of themselves."""

    def announced(self, said: records.Announcement) -> None:
        """Take an announcement."""

    def left(self, id_: str, born_ms: int) -> None:
        """Take an upstream's word that it has ended."""


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
        http_server.serve(told.orders, stack, self._answer)

    def _answer(self, environ: dict) -> http_server.Reply:
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

    def _call(self, method: str, path: str, body: bytes) -> http_server.Reply:
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

    def _reply(self, answer: orders.Answer, path: str) -> http_server.Reply:
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
