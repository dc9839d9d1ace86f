"""Tests of the HTTP adapters of upstreams, on loopback."""

import json

import geventhttpclient
import pytest

from ebonytally import announce_http
from ebonytally import upstream_announce
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
