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
from tests import test_upstream_announce as announcements


class _Clock:
    def now(self) -> float:
        return 5.0

    def wall(self) -> float:
        return 5.0


@pytest.fixture
def announcement_server():
    """Yield upstream management, its actions and a function that posts."""
    manager = announcements.make_upstreams()
    performed = []
    server = announce_http.AnnouncementServer(
        "127.0.0.1", 0, manager, _Clock(), performed.extend, manager._recorder
    )
    server.start()
    http = geventhttpclient.HTTPClient("127.0.0.1", server.port)

    def post(body: bytes, path: str = announce_http.PATH):
        response = http.post(path, body=body)
        return response.status_code, json.loads(response.read())

    yield manager, performed, post
    http.close()
    server.stop()


def test_accepted_announcement_is_told_what_to_do_next(announcement_server):
    _, performed, post = announcement_server
    body = json.dumps(announcements.announcement_json()).encode()
    assert post(body) == (200, {"next": "serve", "again_s": 1.0})
    assert len(performed) == 1


def test_refusals_have_a_one_line_error_and_are_counted(announcement_server):
    manager, performed, post = announcement_server
    status, response = post(
        json.dumps(announcements.announcement_json(slots=0)).encode()
    )
    assert (status, response["error"]) == (
        400,
        "slots: must be 1 to 1024, got 0",
    )
    wrong = announcements.announcement_json(data_centre="dc-2")
    status, response = post(json.dumps(wrong).encode())
    assert (status, response["reason"]) == (
        409,
        "announcement_wrong_data_centre",
    )
    big = b" " * (upstream_announce.MAX_ANNOUNCEMENT_BYTES + 10)
    assert post(big)[0] == 400
    assert post(b"{}", "/other")[0] == 404
    assert performed == []
    assert manager._recorder.counts == {
        "announcement_malformed": 2,
        "announcement_wrong_data_centre": 1,
    }


@pytest.fixture
def health_page():
    """Yield the port of a health page and its settable status and delay."""
    answers = {"status": "200 OK", "sleep_s": 0.0}

    def serve_page(environ, start_response):
        gevent.sleep(answers["sleep_s"])
        start_response(answers["status"], [("Content-Length", "0")])
        return [b""]

    server = pywsgi.WSGIServer(("127.0.0.1", 0), serve_page, log=None)
    server.start()
    yield server.server_port, answers
    server.stop(timeout=0.1)


def test_bad_late_and_missing_health_pages_are_unhealthy(
    health_page, monkeypatch
):
    port, answers = health_page
    monkeypatch.setattr(health_http, "TIMEOUT_S", 0.1)
    assert health_http.is_healthy("127.0.0.1", port)
    answers["status"] = "503 Service Unavailable"
    assert not health_http.is_healthy("127.0.0.1", port)
    answers.update(status="200 OK", sleep_s=0.3)
    assert not health_http.is_healthy("127.0.0.1", port)
    assert not health_http.is_healthy("127.0.0.1", 1)


def test_only_upstreams_of_the_data_centre_are_polled(health_page):
    port, answers = health_page
    answers["status"] = "500 Internal Server Error"
    known = tuple(
        view.Upstream(
            number, "desk", "127.0.0.1", number, port, data_centre, 2, 2000, 1
        )
        for number, data_centre in ((1, "dc-1"), (2, "dc-2"), (3, "dc-1"))
    )
    reports = []

    class FakeManager:
        def on_health_page(self, upstream, is_ok, now):
            reports.append((upstream, is_ok, now))

    poller = health_http.HealthPoller(
        FakeManager(), lambda: view.View(upstreams=known), "dc-1", _Clock()
    )
    poller.poll_all()
    assert sorted(reports) == [(1, False, 5.0), (3, False, 5.0)]
