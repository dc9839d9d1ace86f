"""HTTP server on which upstreams announce themselves to this entry VM."""

from collections.abc import Callable
import json

import gevent
from gevent import pool
from gevent import pywsgi

from ebonytally import actions
from ebonytally import events
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally.upstreams import upstream_announce
from ebonytally.upstreams import upstreams

PATH = "/v1/announcements"
MAX_CONNECTIONS = 256
REQUEST_TIMEOUT_S = 5.0
_HEADERS = [("Content-Type", "application/json"), ("Connection", "close")]


class _Handler(pywsgi.WSGIHandler):
    """Serves one connection for at most `REQUEST_TIMEOUT_S`."""

    def handle(self) -> None:
        """Serve the connection; close it when the timeout passes."""
        with gevent.Timeout(REQUEST_TIMEOUT_S, False):
            super().handle()


class AnnouncementServer:
    """Parses announcements and passes them to `Upstreams`.

    :param manager: decides on each announcement
    :param perform: carries out the actions that `manager` returns
    """

    def __init__(
        self,
        address: str,
        port: int,
        manager: upstreams.Upstreams,
        clock: ports.Clock,
        perform: Callable[[list[actions.Action]], None],
        recorder: recorders.Recorder,
    ) -> None:
        """Set up the server; `start` binds the port."""
        self._manager = manager
        self._clock = clock
        self._perform = perform
        self._recorder = recorder
        self._server = pywsgi.WSGIServer(
            (address, port),
            self._serve,
            spawn=pool.Pool(MAX_CONNECTIONS),
            handler_class=_Handler,
            log=None,
            error_log=None,
        )

    @property
    def port(self) -> int:
        """Return the TCP port that the server listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Start listening, without blocking."""
        self._server.start()

    def stop(self) -> None:
        """Close the port; requests in progress get 1 s to finish."""
        self._server.stop(timeout=1.0)

    def _serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        status, payload = self._respond(environ)
        body = json.dumps(payload).encode() + b"\n"
        length = ("Content-Length", str(len(body)))
        start_response(status, [*_HEADERS, length])
        return [body]

    def _respond(self, environ: dict) -> tuple[str, dict[str, object]]:
        if environ["PATH_INFO"] != PATH:
            return "404 Not Found", {
                "error": f"announcements are accepted at {PATH} only",
            }
        if environ["REQUEST_METHOD"] != "POST":
            return "405 Method Not Allowed", {
                "error": "announcements must be sent with POST, "
                f"not {environ['REQUEST_METHOD'][:16]}",
            }
        limit = upstream_announce.MAX_ANNOUNCEMENT_BYTES
        body = environ["wsgi.input"].read(limit + 1)
        source = environ["REMOTE_ADDR"]
        announcement = upstream_announce.parse(body)
        if isinstance(announcement, str):
            return self._refuse_malformed(announcement, source)
        verdict, actions_ = self._manager.on_announcement(
            announcement,
            source,
            self._clock.now(),
        )
        self._perform(actions_)
        if verdict.ok:
            return "200 OK", _accepted_body(verdict)
        return "409 Conflict", {
            "error": verdict.detail,
            "reason": verdict.reason.value,
            "next": verdict.next.value,
        }

    def _refuse_malformed(
        self,
        detail: str,
        source: str,
    ) -> tuple[str, dict[str, object]]:
        reason = reasons.Refusal.ANNOUNCEMENT_MALFORMED
        self._recorder.count_refusal(reason)
        self._recorder.log_event(
            events.Event.ANNOUNCEMENT_REFUSED,
            peer=source,
            reason=reason.value,
            detail=detail,
        )
        return "400 Bad Request", {
            "error": detail,
            "reason": reason.value,
            "next": upstream_announce.Next.FIX.value,
        }


def _accepted_body(verdict: upstream_announce.Verdict) -> dict[str, object]:
    return {
        "next": verdict.next.value,
        "again_s": round(verdict.again_s, 3),
    }
