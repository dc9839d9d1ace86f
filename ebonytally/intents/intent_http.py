"""The operators' API: JSON over HTTP on the operators' port.

The routes and their answers are described in docs/OPERATING.md.
"""

import json
import re
from typing import Protocol

import attrs
import gevent
from gevent import event as gevent_event
from gevent import pool as gevent_pool
from gevent import pywsgi

from ebonytally import actions
from ebonytally import errors
from ebonytally import events
from ebonytally import http_bounds
from ebonytally.intents import intent_json
from ebonytally.intents import intent_requests as requests
from ebonytally.intents import intents
from ebonytally.intents import operator_tokens
from ebonytally.intents import plan_messages as messages
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import status
from ebonytally import status_verdict
from ebonytally import view

MAX_BODY_BYTES = 64 * 1024
MAX_CONNECTIONS = 64
ANSWER_TIMEOUT_S = intents.TIMEOUT_S + 1.0
STATUS_TIMEOUT_S = 2.0
_PLAN_PATH = re.compile(r"/v1/plans/([0-9a-z-]{1,32})(/confirm|/discard)?")
_STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    409: "409 Conflict",
    411: "411 Length Required",
    413: "413 Content Too Large",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}
_STATUS_CODES = {
    reasons.Refusal.INTENT_MALFORMED: 400,
    reasons.Refusal.PLAN_UNKNOWN: 404,
    reasons.Refusal.OPERATOR_REQUEST_LIMIT: 503,
    reasons.Refusal.NO_LEADER: 503,
    reasons.Refusal.NOT_LEADER: 503,
    reasons.Refusal.STORAGE_FULL: 503,
    reasons.Refusal.OUTCOME_NOT_HEARD: 504,
}


class IntentPort(Protocol):
    """What the operators' API needs from the daemon."""

    def submit(self, req: int, request: requests.Request) -> None:
        """Pass a request to `intents.Intents`.

        The resulting `actions.OperatorReply` is passed to
        `IntentServer.on_reply`, either before this returns or later.

        :param req: number that the reply carries again
        """

    def view(self) -> view.View:
        """Return the configuration view that this VM has applied."""

    def facts(self) -> status.NodeFacts:
        """Return this VM's state that isn't in the replicated view."""


@attrs.frozen
class _Response:
    code: int
    body: dict[str, object]


class IntentServer:
    """HTTP server of the operators' API on this VM."""

    def __init__(
        self,
        cfg: settings.Settings,
        port: IntentPort,
        recorder: recorders.Recorder,
    ) -> None:
        """Create the server; `start` opens the port."""
        self._cfg = cfg
        self._port = port
        self._recorder = recorder
        self._pending: dict[int, gevent_event.AsyncResult] = {}
        self._request_count = 0
        self._server = pywsgi.WSGIServer(
            (cfg.address, cfg.ports.operators),
            self._serve,
            log=None,
            error_log=None,
            handler_class=http_bounds.BoundedHandler,
            spawn=gevent_pool.Pool(MAX_CONNECTIONS),
        )

    def start(self) -> None:
        """Start to listen.

        :raises OSError: when the port can't be opened
        """
        self._server.start()

    def stop(self) -> None:
        """Close the port; requests in progress get 1 s to finish."""
        self._server.stop(timeout=1.0)

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the server listens on."""
        return (self._server.server_host, self._server.server_port)

    def on_reply(self, reply: actions.OperatorReply) -> None:
        """Pass a reply to the HTTP request that waits for it.

        A reply is dropped when its request has timed out.
        """
        pending = self._pending.get(reply.req)
        if pending is not None:
            pending.set(reply.answer)

    def _serve(self, environ: dict, start_response) -> list[bytes]:
        try:
            response = self._respond(environ)
        except Exception as exc:
            response = self._internal_error(environ, exc)
        data = json.dumps(response.body).encode() + b"\n"
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            ("Connection", "close"),
        ]
        if response.code == 401:
            headers.append(("WWW-Authenticate", "Bearer"))
        if response.code == 503:
            headers.append(("Retry-After", "1"))
        start_response(_STATUS_LINES[response.code], headers)
        return [data]

    def _respond(self, environ: dict) -> _Response:
        operator = operator_tokens.operator_of(
            environ.get("HTTP_AUTHORIZATION", ""),
            self._cfg.operators,
        )
        if not operator:
            return self._reject_token(environ)
        try:
            return self._route(environ, operator)
        except errors.IntentError as exc:
            reason = reasons.Refusal.INTENT_MALFORMED
            return self._reject(environ, 400, reason, exc.detail)

    def _route(self, environ: dict, operator: str) -> _Response:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        plan = _PLAN_PATH.fullmatch(path)
        if method == "POST" and path == "/v1/intents":
            return self._post(environ, operator, "", "")
        if method == "POST" and plan and plan[2]:
            return self._post(environ, operator, plan[1], plan[2])
        if method == "GET" and plan and not plan[2]:
            return self._submit(requests.ReadPlan(operator, plan[1]))
        if method == "GET" and path == "/v1/plans":
            return self._list_plans(operator)
        if method == "GET" and path == "/v1/status":
            return self._get_status(operator)
        if method == "GET" and path == "/v1/services":
            return self._list_services()
        reason = reasons.Refusal.OPERATOR_REQUEST_MALFORMED
        text = f"no such route: {method:.16} {path:.100}"
        return self._reject(environ, 404, reason, text)

    def _post(
        self,
        environ: dict,
        operator: str,
        plan: str,
        verb: str,
    ) -> _Response:
        body = self._read_body(environ)
        if isinstance(body, _Response):
            return body
        raw = intent_json.load_body(body)
        name = intent_json.read_id(raw)
        if verb == "/confirm":
            return self._submit(requests.ConfirmPlan(operator, name, plan))
        if verb == "/discard":
            return self._submit(requests.DiscardPlan(operator, name, plan))
        intent = intent_json.read_intent(raw)
        return self._submit(requests.StateIntent(operator, name, intent))

    def _read_body(self, environ: dict) -> bytes | _Response:
        text = environ.get("CONTENT_LENGTH") or ""
        if not text.isascii() or not text.isdigit():
            reason = reasons.Refusal.OPERATOR_REQUEST_MALFORMED
            return self._reject(
                environ,
                411,
                reason,
                f"Content-Length must be a whole number, got {text!r:.40}",
            )
        length = int(text[:12])
        if length > MAX_BODY_BYTES:
            reason = reasons.Refusal.OPERATOR_REQUEST_OVERSIZED
            detail = (
                f"the body has {text:.20} bytes, at most {MAX_BODY_BYTES} are "
                "allowed"
            )
            return self._reject(environ, 413, reason, detail)
        body = environ["wsgi.input"].read(length)
        if len(body) < length:
            reason = reasons.Refusal.OPERATOR_REQUEST_MALFORMED
            return self._reject(
                environ,
                400,
                reason,
                f"body truncated: got {len(body)} of {length} bytes",
            )
        return body

    def _submit(self, request: requests.Request) -> _Response:
        answer = self._await_answer(request, ANSWER_TIMEOUT_S)
        if answer is None:
            answer = messages.Answer(
                reasons.Refusal.OUTCOME_NOT_HEARD.value,
                "No answer in time, so the outcome isn't known. Send the "
                "request again with the same id.",
            )
        code = 200
        if answer.reason:
            code = _STATUS_CODES.get(reasons.Refusal(answer.reason), 409)
        return _Response(code, intent_json.answer_dict(answer))

    def _await_answer(
        self,
        request: requests.Request,
        timeout_s: float,
    ) -> object:
        """Submit a request and wait for its answer; None on a timeout."""
        self._request_count += 1
        req = self._request_count
        pending = gevent_event.AsyncResult()
        self._pending[req] = pending
        try:
            self._port.submit(req, request)
            return pending.get(timeout=timeout_s)
        except gevent.Timeout:
            return None
        finally:
            del self._pending[req]

    def _list_plans(self, operator: str) -> _Response:
        answer = self._await_answer(
            requests.ListPlans(operator), ANSWER_TIMEOUT_S
        )
        if not isinstance(answer, messages.OpenPlans):
            reason = reasons.Refusal.NO_LEADER.value
            text = "The control VMs don't answer."
            body = {"ok": False, "reason": reason, "text": text}
            return _Response(503, body)
        plans = [intent_json.plan_dict(plan) for plan in answer.plans]
        return _Response(200, {"ok": True, "plans": plans})

    def _get_status(self, operator: str) -> _Response:
        answer = self._await_answer(
            requests.ListPlans(operator), STATUS_TIMEOUT_S
        )
        plans = None
        if isinstance(answer, messages.OpenPlans):
            plans = answer.plans
        result = status_verdict.assess(
            self._port.view(), self._port.facts(), plans
        )
        return _Response(200, {"ok": True, **attrs.asdict(result)})

    def _list_services(self) -> _Response:
        cfg = self._port.view()
        result = status_verdict.assess(cfg, self._port.facts(), None)
        services = [
            {**intent_json.service_dict(service), "now": attrs.asdict(state)}
            for service, state in zip(
                cfg.services, result.services, strict=True
            )
        ]
        body = {"ok": True, "revision": cfg.revision, "services": services}
        return _Response(200, body)

    def _internal_error(self, environ: dict, exc: Exception) -> _Response:
        """Log an unexpected exception and return a response of 500."""
        self._recorder.log_event(
            events.Event.TASK_FAILED,
            step=f"answer {environ['PATH_INFO']:.100}",
            peer=environ.get("REMOTE_ADDR", ""),
            detail=repr(exc),
        )
        text = "Internal error on this VM, see its log. Ask another VM."
        return _Response(500, {"ok": False, "reason": "", "text": text})

    def _reject_token(self, environ: dict) -> _Response:
        reason = reasons.Refusal.OPERATOR_TOKEN
        self._recorder.count_refusal(reason)
        self._recorder.log_event(
            events.Event.TOKEN_REFUSED,
            peer=environ.get("REMOTE_ADDR", ""),
        )
        text = (
            "The token is missing or belongs to no operator "
            "(EBONYTALLY_TOKEN)."
        )
        body = {"ok": False, "reason": reason.value, "text": text}
        return _Response(401, body)

    def _reject(
        self,
        environ: dict,
        code: int,
        reason: reasons.Refusal,
        text: str,
    ) -> _Response:
        self._recorder.count_refusal(reason)
        self._recorder.log_event(
            events.Event.OPERATOR_REQUEST_REFUSED,
            peer=environ.get("REMOTE_ADDR", ""),
            reason=reason.value,
            detail=text[:200],
        )
        body = {"ok": False, "reason": reason.value, "text": text}
        return _Response(code, body)
