"""Tests of both HTTP adapters on loopback, over a scripted upstream."""

import contextlib
import socket as plain_socket
import time

import attrs
import gevent
from gevent import event
from gevent import server
from gevent import socket
import pytest

from ebonytally import actions
from ebonytally import ports
from ebonytally.requests import request_client
from ebonytally.requests import request_http
from ebonytally.requests import requests
from ebonytally import settings
from tests import test_request_dispatch as dispatch_tests

DEADLINE_S = 5.0


def _free_port() -> int:
    with plain_socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Last(bytes):
    """Bytes after which the upstream closes the connection."""


class Upstream:
    """Answers each request by what `script(head, body)` returns for it.

    None leaves the connection open without an answer.
    """

    def __init__(self, script) -> None:
        self.script = script
        self.heads: list[str] = []
        self.connections = 0
        self.closed = event.Event()
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.port = self._server.server_port

    def _serve(self, conn, address) -> None:
        self.connections += 1
        file = conn.makefile("rb")
        with contextlib.suppress(OSError):
            while head := self._head(file):
                length = dict(_headers(head)).get("content-length", "0")
                body = file.read(int(length))
                self.heads.append(head)
                answer = self.script(head, body)
                if answer is not None:
                    conn.sendall(answer)
                if isinstance(answer, Last):
                    break
        self.closed.set()
        conn.close()

    def _head(self, file) -> str:
        lines = []
        while (line := file.readline()) not in (b"\r\n", b""):
            lines.append(line.decode())
        return "".join(lines)

    def close(self) -> None:
        self._server.stop()


def _headers(head: str):
    for line in head.splitlines()[1:]:
        name, _, value = line.partition(": ")
        yield name.lower(), value


def _reply(head: str, body: bytes, status="200 OK", extra="") -> bytes:
    sent = dict(_headers(head))
    lines = (
        f"HTTP/1.1 {status}\r\nRequest-Id: {sent['request-id']}\r\n"
        f"Attempt: {sent['attempt']}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return lines.encode() + body


class Glue:
    """The port of the adapters over a real slice, as a daemon has it."""

    def __init__(self, upstreams, **numbers) -> None:
        self.stack = contextlib.ExitStack()
        cfg = settings.Settings(
            name="vm-1",
            address="127.0.0.1",
            data_centre="dc-1",
            region="west",
            cluster_key="ab" * 32,
            data_folder="",
            seeds=(),
            ports=settings.Ports(requests=_free_port()),
            requests=settings.Requests(**numbers),
        )
        self.bed = dispatch_tests.Bed(slots=len(upstreams), cfg=cfg)
        self.slots = self.bed.slots
        self.slots.ports = {
            number: upstream.port
            for number, upstream in enumerate(upstreams, 1)
        }
        self.requests: requests.Requests = self.bed.requests
        self.results: list[ports.AttemptResult] = []
        self.server = request_http.RequestServer(cfg, self, self.stack)
        self.server.start()
        self.address = (cfg.address, cfg.ports.requests)

    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    def max_request_bytes(self, service) -> int:
        return self.requests.max_request_bytes(service)

    def request(self, head) -> None:
        self._perform(self.requests.request(head, self.now()))

    def cancelled(self, req) -> bool:
        self._perform(self.requests.cancelled(req, self.now()))
        return self.requests.holds(req)

    def attempt_done(self, attempt, result) -> None:
        self.results.append(result)
        self._perform(self.requests.attempt_done(attempt, result, self.now()))

    def passing(self, attempt) -> bool:
        return self.requests.passing(attempt)

    def silent(self, attempt) -> bool:
        return self.requests.silent(attempt, self.now())

    def refused(self, reason) -> None:
        self.bed.recorder.refused(reason)

    def _perform(self, actions_) -> None:
        for action in actions_:
            self.server.perform(action)


@attrs.define
class Reply:
    """What a caller got; `whole` is False when it was cut."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True


def _read_reply(file) -> Reply:
    status = int(file.readline().split()[1])
    headers = {}
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode().strip().partition(": ")
        headers[name.lower()] = value
    reply = Reply(status, headers, b"")
    length = int(headers.get("content-length", 0))
    with contextlib.suppress(OSError):
        reply.body = file.read(length)
    reply.whole = len(reply.body) == length
    return reply


class Caller:
    """One caller's connection."""

    def __init__(self, glue: Glue) -> None:
        self.sock = socket.create_connection(glue.address, DEADLINE_S)
        self.file = self.sock.makefile("rb")

    def send(self, method="GET", body=b"", extra="", target="/a?b=%20c"):
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: desk:7404\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.sock.sendall(head.encode() + body)

    def ask(self, *args, **kwargs) -> Reply:
        self.send(*args, **kwargs)
        return _read_reply(self.file)


@pytest.fixture
def setting():
    """Return a function that starts upstreams and an entry VM."""
    with contextlib.ExitStack() as stack, gevent.Timeout(DEADLINE_S * 2):

        def start(*scripts, **numbers):
            upstreams = [Upstream(script) for script in scripts]
            glue = Glue(upstreams, **numbers)
            for upstream in upstreams:
                stack.callback(upstream.close)
            stack.callback(glue.stack.close)
            return glue, upstreams

        yield start


@pytest.mark.parametrize(
    ("left_s", "text"),
    [(1.9996, "1.999"), (2.0, "2.000"), (0.0004, "0.000"), (-1.0, "0.000")],
)
def test_an_upstream_is_never_told_more_time_than_is_left(left_s, text):
    assert request_client.timeout_text(left_s, 0.0) == text


def test_request_and_answer_pass_whole(setting):
    glue, (upstream,) = setting(lambda head, body: _reply(head, body * 2))
    caller = Caller(glue)
    extra = "X-Own: 1\r\nRequest-Timeout: 2\r\nAttempt: 77\r\n"
    for _ in range(2):
        reply = caller.ask("PUT", b"cut", extra)
        assert (reply.status, reply.body) == (200, b"cutcut")
        assert reply.headers["outcome"] == "answered"
    head = dict(_headers(upstream.heads[0]))
    assert upstream.heads[0].startswith("PUT /a?b=%20c HTTP/1.1\r\n")
    assert (head["host"], head["x-own"]) == ("desk:7404", "1")
    assert head["attempt"] == "1"
    assert 1.5 < float(head["request-timeout"]) < 2.0
    assert upstream.connections == 1


def test_failure_after_running_is_passed_on(setting):
    glue, _ = setting(lambda head, body: _reply(head, b"oh", "500 Oops"))
    reply = Caller(glue).ask("POST", b"x")
    assert (reply.status, reply.body) == (500, b"oh")
    assert reply.headers["outcome"] == "failed-after-running"


def test_upstream_that_sheds_is_not_run(setting):
    extra = "Outcome: not-run\r\n"
    glue, _ = setting(lambda head, body: _reply(head, b"", "503 No", extra))
    reply = Caller(glue).ask("POST", b"x")
    assert reply.status == 503
    assert reply.headers["outcome"] == "not-run"
    assert reply.headers["outcome-reason"] == "request_upstream_shed"
    assert "retry-after" in reply.headers


def test_bare_503_of_an_upstream_counts_as_run(setting):
    glue, _ = setting(lambda head, body: _reply(head, b"", "503 No"))
    reply = Caller(glue).ask("POST", b"x")
    assert reply.headers["outcome"] == "failed-after-running"


def test_no_connection_is_not_run(setting):
    glue, (upstream,) = setting(lambda head, body: Last())
    upstream.close()
    reply = Caller(glue).ask("POST", b"x")
    assert reply.headers["outcome"] == "not-run"


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: x\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nAttempt: 99\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_anything_but_the_whole_own_answer_is_unknown(setting, answer):
    glue, _ = setting(lambda head, body: Last(answer))
    reply = Caller(glue).ask("POST", b"x")
    assert reply.status == 502
    assert reply.headers["outcome"] == "unknown"


def test_second_answer_never_reaches_the_next_caller(setting):
    def script(head, body):
        return _reply(head, b"mine") + _reply(head, b"late")

    glue, (upstream,) = setting(script)
    caller = Caller(glue)
    assert [caller.ask().body for _ in range(3)] == [b"mine"] * 3
    assert upstream.connections == 3


def test_unechoed_connection_is_not_used_again(setting):
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    glue, (upstream,) = setting(lambda head, body: answer)
    caller = Caller(glue)
    assert [caller.ask().body for _ in range(2)] == [b"ok"] * 2
    assert upstream.connections == 2


def test_long_answer_streams_whole(setting):
    long = b"0123456789abcdef" * 65536
    glue, _ = setting(lambda head, body: _reply(head, long))
    reply = Caller(glue).ask()
    assert reply.body == long
    assert glue.requests.idle


def test_long_answer_that_breaks_is_cut_for_the_caller_too(setting):
    long = b"0123456789abcdef" * 65536

    def script(head, body):
        return Last(_reply(head, long)[:-500_000])

    glue, _ = setting(script)
    assert not Caller(glue).ask().whole


def test_caller_that_goes_away_cancels_at_the_upstream(setting):
    glue, (upstream,) = setting(lambda head, body: None)
    caller = Caller(glue)
    caller.send()
    while not upstream.heads:
        gevent.sleep(0.005)
    caller.file.close()
    caller.sock.close()
    assert upstream.closed.wait(2.0)
    while not glue.requests.idle:
        gevent.sleep(0.005)
    assert glue.results[-1].kind is ports.AttemptKind.CANCELLED


def test_deadline_ends_an_attempt(setting):
    glue, _ = setting(lambda head, body: None)
    reply = Caller(glue).ask("POST", b"x", "Request-Timeout: 0.1\r\n")
    assert reply.status == 504
    assert reply.headers["outcome"] == "unknown"


def test_silent_connection_is_replaced_and_the_request_answered(setting):
    seen = []

    def script(head, body):
        seen.append(head)
        return None if len(seen) == 21 else _reply(head, b"ok")

    glue, (upstream,) = setting(script, silent_s=0.1)
    caller = Caller(glue)
    for _ in range(20):
        assert caller.ask().body == b"ok"
    began = time.monotonic()
    assert caller.ask().body == b"ok"
    assert time.monotonic() - began < 1.0
    assert glue.results[-2].kind is ports.AttemptKind.SILENT
    assert upstream.connections == 2


@pytest.mark.parametrize(
    ("extra", "status"),
    [
        ("Request-Timeout: soon\r\n", 400),
        ("Request-Timeout: -1\r\n", 400),
        ("Content-Length: 5\r\n", 400),
        ("Transfer-Encoding: gzip\r\n", 400),
        ("X: " + "y" * 20_000 + "\r\n", 400),
    ],
)
def test_malformed_request_is_refused(setting, extra, status):
    glue, (upstream,) = setting(lambda head, body: _reply(head, b""))
    assert Caller(glue).ask("POST", extra=extra).status == status
    assert upstream.heads == []


def test_oversized_and_unknown_are_refused(setting):
    glue, _ = setting(lambda head, body: _reply(head, b""))
    caller = Caller(glue)
    caller.sock.sendall(
        b"POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: 9999999\r\n\r\n",
    )
    reply = _read_reply(caller.file)
    assert (reply.status, reply.headers["outcome"]) == (413, "not-run")
    caller = Caller(glue)
    caller.sock.sendall(b"GET / HTTP/1.1\r\nHost: nowhere\r\n\r\n")
    reply = _read_reply(caller.file)
    assert (reply.status, reply.headers["outcome"]) == (404, "not-run")


def test_chunked_request_body(setting):
    glue, _ = setting(lambda head, body: _reply(head, body))
    caller = Caller(glue)
    caller.sock.sendall(
        b"PUT / HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\ncut\r\n0\r\n\r\n",
    )
    assert _read_reply(caller.file).body == b"cut"


def test_cancelled_before_it_began_is_not_sent(setting):
    glue, (upstream,) = setting(lambda head, body: None)
    caller = Caller(glue)
    caller.send()
    while not glue.server._exchanges:
        gevent.sleep(0.0)
    glue.server.perform(actions.Cancel(1))
    reply = _read_reply(caller.file)
    assert reply.headers["outcome"] == "not-run"
    assert upstream.heads == []
