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
ANSWER_S = intents.TIMEOUT_S + 1.0
STATUS_S = 2.0
_PLAN = re.compile(r"/v1/plans/([0-9a-z-]{1,32})(/confirm|/discard)?")
_LINES = {
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
_CODES = {
    reasons.Refusal.INTENT_MALFORMED: 400,
    reasons.Refusal.PLAN_UNKNOWN: 404,
    reasons.Refusal.OPERATOR_REQUEST_LIMIT: 503,
    reasons.Refusal.NO_LEADER: 503,
    reasons.Refusal.NOT_LEADER: 503,
    reasons.Refusal.STORAGE_FULL: 503,
    reasons.Refusal.OUTCOME_NOT_HEARD: 504,
}


class IntentPort(Protocol):
    """What the operators' API needs of the daemon."""

    def ask(self, req: int, request: requests.Request) -> None:
        """Hand a request to the intents slice.

        Its `actions.Reply` goes to `IntentServer.answer`, later or
        before this returns.
        """

    def view(self) -> view.View:
        """Return the view that this VM runs."""

    def facts(self) -> status.NodeFacts:
        """Return what this VM knows beyond the view."""


@attrs.frozen
class _Response:
    code: int
    body: dict[str, object]


class IntentServer:
    """Serves operators on this VM's operators' port."""

    def __init__(
        self,
        cfg: settings.Settings,
        port: IntentPort,
        recorder: recorders.Recorder,
    ) -> None:
        """Prepare; `start` opens the port."""
        self._cfg = cfg
        self._port = port
        self._recorder = recorder
        self._waiting: dict[int, gevent_event.AsyncResult] = {}
        self._count = 0
        self._server = pywsgi.WSGIServer(
            (cfg.address, cfg.ports.operators),
            self._serve,
            log=None,
            error_log=None,
            handler_class=http_bounds.BoundedHandler,
            spawn=gevent_pool.Pool(MAX_CONNECTIONS),
        )

    def start(self) -> None:
        """Open the port.

        :raises OSError: when it can't be opened
        """
        self._server.start()

    def stop(self) -> None:
        """Close the port; requests under way get a second to end."""
        self._server.stop(timeout=1.0)

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port that it listens on."""
        return (self._server.server_host, self._server.server_port)

    def answer(self, reply: actions.Reply) -> None:
        """Take the answer to a request that was asked."""
        waiting = self._waiting.get(reply.req)
        if waiting is not None:
            waiting.set(reply.answer)

    def _serve(self, environ: dict, start_response) -> list[bytes]:
        try:
            response = self._respond(environ)
        except Exception as exc:
            response = self._failed(environ, exc)
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
        start_response(_LINES[response.code], headers)
        return [data]

    def _respond(self, environ: dict) -> _Response:
        operator = operator_tokens.operator_of(
            environ.get("HTTP_AUTHORIZATION", ""),
            self._cfg.operators,
        )
        if not operator:
            return self._token_refused(environ)
        try:
            return self._route(environ, operator)
        except errors.IntentError as exc:
            reason = reasons.Refusal.INTENT_MALFORMED
            return self._refused(environ, 400, reason, exc.detail)

    def _route(self, environ: dict, operator: str) -> _Response:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        plan = _PLAN.fullmatch(path)
        if method == "POST" and path == "/v1/intents":
            return self._post(environ, operator, "", "")
        if method == "POST" and plan and plan[2]:
            return self._post(environ, operator, plan[1], plan[2])
        if method == "GET" and plan and not plan[2]:
            return self._asked(requests.ReadPlan(operator, plan[1]))
        if method == "GET" and path == "/v1/plans":
            return self._plans(operator)
        if method == "GET" and path == "/v1/status":
            return self._status(operator)
        if method == "GET" and path == "/v1/services":
            return self._services()
        reason = reasons.Refusal.OPERATOR_REQUEST_MALFORMED
        text = f"there is no {method:.16} {path:.100}"
        return self._refused(environ, 404, reason, text)

    def _post(
        self,
        environ: dict,
        operator: str,
        plan: str,
        verb: str,
    ) -> _Response:
        body = self._body(environ)
        if isinstance(body, _Response):
            return body
        raw = intent_json.load_body(body)
        name = intent_json.id_of(raw)
        if verb == "/confirm":
            return self._asked(requests.ConfirmPlan(operator, name, plan))
        if verb == "/discard":
            return self._asked(requests.DiscardPlan(operator, name, plan))
        intent = intent_json.intent_of(raw)
        return self._asked(requests.StateIntent(operator, name, intent))

    def _body(self, environ: dict) -> bytes | _Response:
        text = environ.get("CONTENT_LENGTH") or ""
        if not text.isascii() or not text.isdigit():
            reason = reasons.Refusal.OPERATOR_REQUEST_MALFORMED
            return self._refused(environ, 411, reason, "give Content-Length")
        length = int(text[:12])
        if length > MAX_BODY_BYTES:
            reason = reasons.Refusal.OPERATOR_REQUEST_OVERSIZED
            detail = f"the body may have {MAX_BODY_BYTES} bytes at most"
            return self._refused(environ, 413, reason, detail)
        body = environ["wsgi.input"].read(length)
        if len(body) < length:
            reason = reasons.Refusal.OPERATOR_REQUEST_MALFORMED
            return self._refused(environ, 400, reason, "the body is cut")
        return body

    def _asked(self, request: requests.Request) -> _Response:
        answer = self._ask(request, ANSWER_S)
        if answer is None:
            answer = messages.Answer(
                reasons.Refusal.OUTCOME_NOT_HEARD.value,
                "No answer in time. Send it again with the same id.",
            )
        code = 200
        if answer.reason:
            code = _CODES.get(reasons.Refusal(answer.reason), 409)
        return _Response(code, intent_json.answer_dict(answer))

    def _ask(self, request: requests.Request, wait_s: float) -> object:
        """Return the slice's answer, None when it takes too long."""
        self._count += 1
        req = self._count
        waiting = gevent_event.AsyncResult()
        self._waiting[req] = waiting
        try:
            self._port.ask(req, request)
            return waiting.get(timeout=wait_s)
        except gevent.Timeout:
            return None
        finally:
            del self._waiting[req]

    def _plans(self, operator: str) -> _Response:
        found = self._ask(requests.ListPlans(operator), ANSWER_S)
        if not isinstance(found, messages.OpenPlans):
            reason = reasons.Refusal.NO_LEADER.value
            text = "The control VMs don't answer."
            body = {"ok": False, "reason": reason, "text": text}
            return _Response(503, body)
        plans = [intent_json.plan_dict(plan) for plan in found.plans]
        return _Response(200, {"ok": True, "plans": plans})

    def _status(self, operator: str) -> _Response:
        found = self._ask(requests.ListPlans(operator), STATUS_S)
        plans = None
        if isinstance(found, messages.OpenPlans):
            plans = found.plans
        made = status_verdict.make(
            self._port.view(), self._port.facts(), plans
        )
        return _Response(200, {"ok": True, **attrs.asdict(made)})

    def _services(self) -> _Response:
        cfg = self._port.view()
        made = status_verdict.make(cfg, self._port.facts(), None)
        services = [
            {**intent_json.service_dict(one), "now": attrs.asdict(now)}
            for one, now in zip(cfg.services, made.services, strict=True)
        ]
        body = {"ok": True, "revision": cfg.revision, "services": services}
        return _Response(200, body)

    def _failed(self, environ: dict, exc: Exception) -> _Response:
        """Log a fault of the program and go on."""
        self._recorder.event(
            events.Event.TASK_FAILED,
            step=f"answer {environ['PATH_INFO']:.100}",
            peer=environ.get("REMOTE_ADDR", ""),
            detail=repr(exc),
        )
        text = "This VM failed to answer; its log says why. Ask another."
        return _Response(500, {"ok": False, "reason": "", "text": text})

    def _token_refused(self, environ: dict) -> _Response:
        reason = reasons.Refusal.OPERATOR_TOKEN
        self._recorder.refused(reason)
        self._recorder.event(
            events.Event.TOKEN_REFUSED,
            peer=environ.get("REMOTE_ADDR", ""),
        )
        text = "The token is missing or nobody's (EBONYTALLY_TOKEN)."
        body = {"ok": False, "reason": reason.value, "text": text}
        return _Response(401, body)

    def _refused(
        self,
        environ: dict,
        code: int,
        reason: reasons.Refusal,
        text: str,
    ) -> _Response:
        self._recorder.refused(reason)
        self._recorder.event(
            events.Event.OPERATOR_REQUEST_REFUSED,
            peer=environ.get("REMOTE_ADDR", ""),
            reason=reason.value,
            detail=text[:200],
        )
        body = {"ok": False, "reason": reason.value, "text": text}
        return _Response(code, body)
