"""Calls of the usual form are answered as gevent's parser answers them."""

import contextlib
import json
import os
import re

import gevent
from gevent import socket
import hypothesis
from hypothesis import strategies as st
import pytest

from ebonytally import deployment
from ebonytally.platform import calls
from ebonytally.platform import decode
from ebonytally.platform import heartbeats
from ebonytally.platform import http_server
from ebonytally.platform import plain_call
from ebonytally import recorder as recorders
from tests import test_http_bounds
from tests import test_platform_wire

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))
ANSWER_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 1000
DATE = re.compile(rb"Date: [^\r]*")


def post(body=b"beat", length=None, headers=b"", version=b"HTTP/1.1"):
    """Return a request to /v1/x."""
    length = len(body) if length is None else length
    head = b"POST /v1/x %s\r\nHost: a\r\n%sContent-Length: %s\r\n\r\n"
    return head % (version, headers, str(length).encode()) + body


CHUNKED = (
    b"POST /v1/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nbeat\r\n0\r\n\r\n"
)
STREAMS = {
    "usual": post(),
    "empty body": post(b""),
    "pipelined": post() + post(b"again") + post(),
    "usual, then unusual": post() + CHUNKED + post(b"after"),
    "expects 100": post(headers=b"Expect: 100-continue\r\n"),
    "chunked": CHUNKED + post(),
    "chunked and length": post(headers=b"Transfer-Encoding: chunked\r\n"),
    "bad chunk": CHUNKED.replace(b"4\r\n", b"zz\r\n") + post(),
    "over the limit": post(bytes(MAX_BODY_BYTES + 1)) + post(),
    "large": post(bytes(100_000)) + post(),
    "incomplete body": post(length=9),
    "incomplete head": post()[:30],
    "close": post(headers=b"Connection: close\r\n") + post(),
    "Close": post(headers=b"connection: CLOSE\r\n") + post(),
    "keep-alive": post(headers=b"Connection: Keep-Alive\r\n") + post(),
    "upgrade": post(headers=b"Connection: Upgrade\r\n"),
    "HTTP/1.0": post(version=b"HTTP/1.0") + post(),
    "HTTP/2.0": post(version=b"HTTP/2.0") + post(),
    "HTTP/1.x": post(version=b"HTTP/1.x") + post(),
    "two lengths": post(headers=b"Content-Length: 2\r\n") + post(),
    "signed length": post(length="+4") + post(),
    "negative length": post(length=-4) + post(),
    "length in text": post(length="four") + post(),
    "length with underscore": post(length="0_4") + post(),
    "no length": b"POST /v1/x HTTP/1.1\r\nHost: a\r\n\r\n" + post(),
    "folded header": post(headers=b"A: b\r\n c\r\n"),
    "header without colon": post(headers=b"nonsense\r\n") + post(),
    "space before colon": post(headers=b"Content-Length : 2\r\n") + post(),
    "empty header name": post(headers=b": x\r\n") + post(),
    "line feeds only": post().replace(b"\r\n", b"\n"),
    "bare carriage return": post(headers=b"A: b\rc\r\n"),
    "NUL": post(headers=b"A: \0\r\n"),
    "many headers": post(headers=b"A: b\r\n" * 120),
    "long header": post(headers=b"A: " + b"b" * 70_000 + b"\r\n"),
    "long line": b"POST /" + b"x" * 9000 + b" HTTP/1.1\r\n\r\n",
    "path with %": post().replace(b"/v1/x", b"/v1/%78"),
    "path with query": post().replace(b"/v1/x", b"/v1/x?q=1"),
    "absolute path": post().replace(b"/v1/x", b"http://a/v1/x"),
    "two spaces": post().replace(b"POST /", b"POST  /"),
    "failing": post().replace(b"/v1/x", b"/fail") + post(),
    "get": post().replace(b"POST", b"GET"),
    "head": post().replace(b"POST", b"HEAD"),
    "empty line first": b"\r\n" + post(),
    "no HTTP": b"\x16\x03\x01" + bytes(100),
}


def echo(call):
    """Answer with what was read of a call."""
    if call.path == "/fail":
        raise KeyError("unexpected")
    body = call.read(MAX_BODY_BYTES + 1)
    if len(body) > MAX_BODY_BYTES:
        return "413 Content Too Large", [], b""
    text = f"{call.method} {call.path} {call.source} {body!r}"
    return "200 OK", [("Content-Type", "text/plain")], text.encode()


def ask(address, pieces):
    """Send pieces, half-close, and return all that is answered."""
    answer = b""
    with contextlib.closing(
        socket.create_connection(address, timeout=ANSWER_TIMEOUT_S)
    ) as conn:
        # The server may close before it has read everything.
        with contextlib.suppress(OSError):
            for piece in pieces:
                conn.sendall(piece)
                gevent.sleep(0.001 if len(pieces) > 1 else 0)
            conn.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionResetError):
            while data := conn.recv(65536):
                answer += data
    return DATE.sub(b"Date: ", answer)


@pytest.fixture(name="servers", scope="module")
def make_servers():
    """Yield the addresses of a server and one with gevent's parser only."""
    with contextlib.ExitStack() as stack:
        addresses = []
        for handler in (http_server.CallHandler, GeventHandler):
            address = (test_http_bounds.ADDRESS, test_http_bounds.free_port())
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(http_server, "CallHandler", handler)
                http_server.serve(
                    deployment.Endpoint(*address),
                    stack,
                    echo,
                    recorders.MemoryRecorder(),
                    64,
                )
            addresses.append(address)
        yield addresses


class GeventHandler(http_server.CallHandler):
    """Leaves all requests to gevent's parser."""

    def __init__(self, *args, **kwargs):
        """Take no request for a usual one."""
        super().__init__(*args, **kwargs)
        self._is_usual = False


@pytest.mark.parametrize("name", STREAMS)
def test_answers_are_those_of_gevents_parser(servers, name):
    """Guards against requests that only one of the two parsers refuses."""
    data = STREAMS[name]
    cuts = (1, 20, len(post()) - 4, len(post()) - 2, len(post()) + 3)
    for cut in (0, *cuts):
        pieces = [piece for piece in (data[:cut], data[cut:]) if piece]
        got, expected = (ask(address, pieces) for address in servers)
        assert got == expected, cut
    if len(data) < 300:
        pieces = [data[i : i + 1] for i in range(len(data))]
        got, expected = (ask(address, pieces) for address in servers)
        assert got == expected


def test_usual_requests_need_no_environment():
    """Guards against heartbeats that take the slow way after all."""
    head = plain_call.first_head(post())
    assert (head.path, head.length) == ("/v1/x", 4)


@hypothesis.settings(
    max_examples=300 + SEEDS * 1000,
    deadline=None,
    derandomize=not SEEDS,
    database=None,
)
@hypothesis.given(
    st.integers(0, len(post())),
    st.integers(0, 3),
    st.one_of(
        st.binary(max_size=3),
        st.sampled_from([b"\r\n", b"\n", b"\r", b" ", b":", b"\t", b"%"]),
    ),
)
def test_altered_requests_are_answered_the_same(servers, place, size, new):
    """Guards against a malformed request that is taken for a usual one."""
    data = post()[:place] + new + post()[place + size :] + post()
    got, expected = (ask(address, [data]) for address in servers)
    assert got == expected


BODY = json.dumps(test_platform_wire.HEARTBEAT).encode()
FIELD = b'"sequence": 4'


def outcome(decoder, body):
    """Return the announcement or the error of a heartbeat."""
    try:
        return decoder("i-7f3a91c2", body)
    except decode.DecodeError as exc:
        return str(exc)


@pytest.mark.parametrize(
    "first",
    [
        BODY,
        BODY.replace(FIELD, b'"sequence":4'),
        BODY.replace(FIELD, FIELD + b', "x": {"sequence": 4}'),
        BODY.replace(FIELD, b'"x": {"sequence": 4}, ' + FIELD),
        BODY.replace(FIELD, b'"x": {"sequence": 4}, "seq\\u0075ence": 4'),
        BODY.replace(FIELD, b'"x": "\\", \\"sequence\\": 4", ' + FIELD),
    ],
)
@pytest.mark.parametrize(
    "sequence",
    [
        b"5",
        b"0",
        b"05",
        b"-5",
        b"5.0",
        b"5e3",
        b"",
        b"9" * 18,
        b"9" * 19,
        b"5, 6",
        b'5, "born": 1',
        b"5 ",
        b"true",
        b'"5"',
        "\u0665".encode(),
    ],
)
def test_repeated_heartbeat_is_decoded_as_a_first_one(first, sequence):
    """Guards against a repetition that a full decoding would refuse."""
    for second in (
        first.replace(FIELD, b'"sequence": ' + sequence),
        first.replace(b'"sequence":4', b'"sequence":' + sequence),
        first.replace(b": 4", b": " + sequence),
        first.replace(FIELD, b'"sequence": ' + sequence, 1),
        first[:-1],
    ):
        decoder = heartbeats.HeartbeatDecoder()
        decoder.decode("i-7f3a91c2", first)
        expected = outcome(calls.decode_heartbeat, second)
        assert outcome(decoder.decode, second) == expected


def test_known_heartbeats_are_bounded(monkeypatch):
    """Guards against memory that grows with ids that are made up."""
    monkeypatch.setattr(heartbeats, "MAX_KNOWN", 3)
    decoder = heartbeats.HeartbeatDecoder()
    for number in range(9):
        decoder.decode(f"i-{number}", BODY)
    assert len(decoder._known) == 3
