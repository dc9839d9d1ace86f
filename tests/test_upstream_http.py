"""Tests of the HTTP adapters of upstreams, on loopback."""

import json

import gevent
from gevent import pywsgi
import geventhttpclient
import pytest

from ebonytally.upstreams import announce_http
from ebonytally.upstreams import health_http
from ebonytally.upstreams import upstream_announce
from ebonytally import view
from tests import test_upstream_announce as said


class _Clock:
    def now(self) -> float:
        return 5.0

    def wall(self) -> float:
        return 5.0


@pytest.fixture
def served():
    """Yield (slice, actions performed, post function)."""
    slice_ = said.make()
    done = []
    server = announce_http.AnnouncementServer(
        "127.0.0.1", 0, slice_, _Clock(), done.extend, slice_._recorder
    )
    server.start()
    http = geventhttpclient.HTTPClient("127.0.0.1", server.port)

    def post(body: bytes, path: str = announce_http.PATH):
        answer = http.post(path, body=body)
        return answer.status_code, json.loads(answer.read())

    yield slice_, done, post
    http.close()
    server.stop()


def test_taken_says_what_to_do_next(served):
    _, done, post = served
    body = json.dumps(said.said()).encode()
    assert post(body) == (200, {"next": "serve", "again_s": 1.0})
    assert len(done) == 1


def test_refusals_are_one_line_and_counted(served):
    slice_, done, post = served
    status, answer = post(json.dumps(said.said(slots=0)).encode())
    assert (status, answer["error"]) == (400, "slots: must be 1 to 1024")
    wrong = said.said(data_centre="dc-2")
    status, answer = post(json.dumps(wrong).encode())
    assert (status, answer["reason"]) == (
        409,
        "announcement_wrong_data_centre",
    )
    big = b" " * (upstream_announce.MAX_ANNOUNCEMENT_BYTES + 10)
    assert post(big)[0] == 400
    assert post(b"{}", "/other")[0] == 404
    assert done == []
    assert slice_._recorder.counts == {
        "announcement_malformed": 2,
        "announcement_wrong_data_centre": 1,
    }


@pytest.fixture
def pages():
    """Yield (port, settable answers) of an upstream's health page."""
    answers = {"status": "200 OK", "sleep_s": 0.0}

    def page(environ, start_response):
        gevent.sleep(answers["sleep_s"])
        start_response(answers["status"], [("Content-Length", "0")])
        return [b""]

    server = pywsgi.WSGIServer(("127.0.0.1", 0), page, log=None)
    server.start()
    yield server.server_port, answers
    server.stop(timeout=0.1)


def test_health_pages_bad_late_and_missing(pages, monkeypatch):
    port, answers = pages
    monkeypatch.setattr(health_http, "TIMEOUT_S", 0.1)
    assert health_http.healthy("127.0.0.1", port)
    answers["status"] = "503 Service Unavailable"
    assert not health_http.healthy("127.0.0.1", port)
    answers.update(status="200 OK", sleep_s=0.3)
    assert not health_http.healthy("127.0.0.1", port)
    assert not health_http.healthy("127.0.0.1", 1)


def test_poller_asks_its_own_data_centre_only(pages):
    port, answers = pages
    answers["status"] = "500 Internal Server Error"
    known = tuple(
        view.Upstream(
            number, "desk", "127.0.0.1", number, port, centre, 2, 2000, 1
        )
        for number, centre in ((1, "dc-1"), (2, "dc-2"), (3, "dc-1"))
    )
    seen = []

    class Slice:
        def page(self, upstream, ok, now):
            seen.append((upstream, ok, now))

    poller = health_http.HealthPoller(
        Slice(), lambda: view.View(upstreams=known), "dc-1", _Clock()
    )
    poller.ask_all()
    assert sorted(seen) == [(1, False, 5.0), (3, False, 5.0)]
