"""HTTP server of a control VM for the platform's calls."""

import contextlib
import json
from typing import Protocol

from ebonytally import deployment
from ebonytally import orders
from ebonytally.platform import calls
from ebonytally.platform import decode
from ebonytally.platform import heartbeats
from ebonytally.platform import http_server
from ebonytally import recorder as recorders
from ebonytally.registry import records

MAX_BODY_BYTES = 1024 * 1024
_JSON = ("Content-Type", "application/json")
_HEARTBEAT = "/v1/Instances.Heartbeat/"
_DEREGISTER = "/v1/Instances.Deregister/"
_PUT = "/v1/Config.Put"
_GET = "/v1/Config.Get"
_START_EVACUATION = "/v1/Evacuations.Start/"
_END_EVACUATION = "/v1/Evacuations.End/"
_STATUS = {
    orders.OrderStatus.DONE: "200 OK",
    orders.OrderStatus.INVALID: "400 Bad Request",
    orders.OrderStatus.ELSEWHERE: "307 Temporary Redirect",
    orders.OrderStatus.UNAVAILABLE: "503 Service Unavailable",
}


class Upstreams(Protocol):
    """Receiver of upstreams' announcements."""

    def on_announcement(self, announcement: records.Announcement) -> None:
        """Record an upstream's announcement."""

    def on_deregistration(self, id_: str, born_ms: int) -> None:
        """Record that an upstream has deregistered.

        :param born_ms: its start, milliseconds since 1970, 0 if unknown
        """


class OrdersServer:
    """Serves operators' orders and upstreams' announcements."""

    def __init__(
        self,
        deployed: deployment.Deployment,
        stack: contextlib.ExitStack,
        order_handler: orders.Orders,
        upstreams: Upstreams,
        recorder: recorders.Recorder,
    ) -> None:
        """Open the port for calls.

        :param stack: closes the port
        """
        self._orders = order_handler
        self._upstreams = upstreams
        self._heartbeats = heartbeats.HeartbeatDecoder()
        self._port = deployed.orders_endpoint.port
        address = (
            f"{deployed.orders_endpoint.address}:"
            f"{deployed.orders_endpoint.port}"
        )
        # Asks the upstream to send its next heartbeats to this VM, which
        # knows its last sequence number.
        self._heartbeat_reply = json.dumps({"heartbeat-url": address}).encode()
        http_server.serve(
            deployed.orders_endpoint,
            stack,
            self._handle,
            recorder,
            deployed.max_connections,
        )

    def _handle(self, call: http_server.Call) -> http_server.Reply:
        body = call.read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            return "413 Content Too Large", [], b""
        try:
            return self._dispatch(call.method, call.path, body)
        except decode.DecodeError as exc:
            self._orders.count_malformed(exc.step, str(exc), call.source)
            return "400 Bad Request", [_JSON], _error(str(exc))

    def _dispatch(
        self, method: str, path: str, body: bytes
    ) -> http_server.Reply:
        """Carry out the call that method and path name."""
        if method == "POST" and path.startswith(_HEARTBEAT):
            id_ = path.removeprefix(_HEARTBEAT)
            announcement = self._heartbeats.decode(id_, body)
            self._upstreams.on_announcement(announcement)
            return "200 OK", [_JSON], self._heartbeat_reply
        if method == "POST" and path.startswith(_DEREGISTER):
            id_ = path.removeprefix(_DEREGISTER)
            self._upstreams.on_deregistration(
                id_, calls.decode_deregistration(body)
            )
            return "200 OK", [_JSON], b"{}"
        if method == "POST" and path == _PUT:
            version, content = calls.decode_config(body)
            answer = self._orders.replace(version, content, body)
            return self._reply(answer, path)
        if method == "GET" and path == _GET:
            return self._reply(self._orders.read(), path)
        if method == "POST" and path.startswith(_START_EVACUATION):
            name = path.removeprefix(_START_EVACUATION)
            return self._reply(self._orders.set_data_centre(name, True), path)
        if method == "POST" and path.startswith(_END_EVACUATION):
            name = path.removeprefix(_END_EVACUATION)
            answer = self._orders.set_data_centre(name, False)
            return self._reply(answer, path)
        body = _error(f"unknown call {method} {path}")
        return "404 Not Found", [_JSON], body

    def _reply(self, answer: orders.Answer, path: str) -> http_server.Reply:
        """Return the HTTP reply; redirect the client to a remote leader."""
        headers = [_JSON]
        if answer.status == orders.OrderStatus.ELSEWHERE:
            location = f"http://{answer.leader}:{self._port}{path}"
            headers.append(("Location", location))
        body = answer.document
        if answer.status != orders.OrderStatus.DONE:
            body = _error(answer.detail)
        return _STATUS[answer.status], headers, body or b"{}"


def _error(text: str) -> bytes:
    return json.dumps({"error": text}).encode()
