"""Adapter: upstreams announce themselves by HTTP to this entry VM."""

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
    """Serves one connection, for a bounded time."""

    def handle(self) -> None:
        """Serve it, or close it when its time is over."""
        with gevent.Timeout(REQUEST_TIMEOUT_S, False):
            super().handle()


class AnnouncementServer:
    """Takes announcements and hands them to the slice.

    :param perform: carries out the actions of the slice
    """

    def __init__(
        self,
        address: str,
        port: int,
        slice_: upstreams.Upstreams,
        clock: ports.Clock,
        perform: Callable[[list[actions.Action]], None],
        recorder: recorders.Recorder,
    ) -> None:
        """Bind nothing yet; `start` listens."""
        self._slice = slice_
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
        """Return the port that it listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Listen; returns at once."""
        self._server.start()

    def stop(self) -> None:
        """Close the port and finish what is being answered."""
        self._server.stop(timeout=1.0)

    def _serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        status, answer = self._answer(environ)
        body = json.dumps(answer).encode() + b"\n"
        length = ("Content-Length", str(len(body)))
        start_response(status, [*_HEADERS, length])
        return [body]

    def _answer(self, environ: dict) -> tuple[str, dict[str, object]]:
        if environ["PATH_INFO"] != PATH:
            return "404 Not Found", {"error": f"announce at {PATH}"}
        if environ["REQUEST_METHOD"] != "POST":
            return "405 Method Not Allowed", {"error": "announce by POST"}
        limit = upstream_announce.MAX_ANNOUNCEMENT_BYTES
        body = environ["wsgi.input"].read(limit + 1)
        source = environ["REMOTE_ADDR"]
        parsed = upstream_announce.parse(body)
        if isinstance(parsed, str):
            return self._malformed(parsed, source)
        verdict, todo = self._slice.announce(
            parsed,
            source,
            self._clock.now(),
        )
        self._perform(todo)
        if verdict.ok:
            return "200 OK", _taken(verdict)
        return "409 Conflict", {
            "error": verdict.detail,
            "reason": verdict.reason.value,
            "next": verdict.next.value,
        }

    def _malformed(
        self,
        fault: str,
        source: str,
    ) -> tuple[str, dict[str, object]]:
        reason = reasons.Refusal.ANNOUNCEMENT_MALFORMED
        self._recorder.refused(reason)
        self._recorder.event(
            events.Event.ANNOUNCEMENT_REFUSED,
            peer=source,
            reason=reason.value,
            detail=fault,
        )
        return "400 Bad Request", {
            "error": fault,
            "reason": reason.value,
            "next": upstream_announce.Next.FIX.value,
        }


def _taken(verdict: upstream_announce.Verdict) -> dict[str, object]:
    return {
        "next": verdict.next.value,
        "again_s": round(verdict.again_s, 3),
    }
