"""HTTP server and client on loopback, with scripted upstreams."""

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
from ebonytally.requests import request_dispatcher
from ebonytally.requests import request_http
from ebonytally import settings
from tests import test_request_dispatch as dispatch_tests

DEADLINE_S = 5.0


def _free_port() -> int:
    with plain_socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class FinalReply(bytes):
    """Answer after which the upstream closes the connection."""


class Upstream:
    """Upstream that answers a request with what `script` returns.

    :param script: called with head and body; returns the bytes of an
        answer, or None to leave the request unanswered
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
                if isinstance(answer, FinalReply):
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


def _upstream_reply(
    head: str, body: bytes, status="200 OK", extra=""
) -> bytes:
    sent_headers = dict(_headers(head))
    lines = (
        f"HTTP/1.1 {status}\r\nRequest-Id: {sent_headers['request-id']}\r\n"
        f"Attempt: {sent_headers['attempt']}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return lines.encode() + body


class EntryVm:
    """`RequestPort` over a real `RequestDispatcher`, as in the daemon."""

    def __init__(self, upstreams, **request_settings) -> None:
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
            requests=settings.Requests(**request_settings),
        )
        self.harness = dispatch_tests.Harness(slots=len(upstreams), cfg=cfg)
        self.slots = self.harness.slots
        self.slots.ports = {
            number: upstream.port
            for number, upstream in enumerate(upstreams, 1)
        }
        self.requests: request_dispatcher.RequestDispatcher = (
            self.harness.requests
        )
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

    def handle_request(self, head) -> None:
        self._perform(self.requests.handle_request(head, self.now()))

    def on_caller_gone(self, req) -> bool:
        self._perform(self.requests.on_caller_gone(req, self.now()))
        return self.requests.is_open(req)

    def on_attempt_end(self, attempt, result) -> None:
        self.results.append(result)
        self._perform(
            self.requests.on_attempt_end(attempt, result, self.now())
        )

    def start_response(self, attempt) -> bool:
        return self.requests.start_response(attempt)

    def should_abandon(self, attempt) -> bool:
        return self.requests.should_abandon(attempt, self.now())

    def on_refused(self, reason) -> None:
        self.harness.recorder.count_refusal(reason)

    def _perform(self, actions_) -> None:
        for action in actions_:
            self.server.perform(action)


@attrs.define
class CallerReply:
    """Answer as received; `whole` is False if its body was cut short."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True


def _read_reply(file) -> CallerReply:
    status = int(file.readline().split()[1])
    headers = {}
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode().strip().partition(": ")
        headers[name.lower()] = value
    reply = CallerReply(status, headers, b"")
    length = int(headers.get("content-length", 0))
    with contextlib.suppress(OSError):
        reply.body = file.read(length)
    reply.whole = len(reply.body) == length
    return reply


class Caller:
    """Connection of one caller to the entry VM."""

    def __init__(self, entry_vm: EntryVm) -> None:
        self.sock = socket.create_connection(entry_vm.address, DEADLINE_S)
        self.file = self.sock.makefile("rb")

    def send(self, method="GET", body=b"", extra="", target="/a?b=%20c"):
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: desk:7404\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.sock.sendall(head.encode() + body)

    def ask(self, *args, **kwargs) -> CallerReply:
        self.send(*args, **kwargs)
        return _read_reply(self.file)


@pytest.fixture
def start_entry_vm():
    """Return a function that starts upstreams and an entry VM."""
    with contextlib.ExitStack() as stack, gevent.Timeout(DEADLINE_S * 2):

        def start(*scripts, **request_settings):
            upstreams = [Upstream(script) for script in scripts]
            entry_vm = EntryVm(upstreams, **request_settings)
            for upstream in upstreams:
                stack.callback(upstream.close)
            stack.callback(entry_vm.stack.close)
            return entry_vm, upstreams

        yield start


@pytest.mark.parametrize(
    ("left_s", "text"),
    [(1.9996, "1.999"), (2.0, "2.000"), (0.0004, "0.000"), (-1.0, "0.000")],
)
def test_request_timeout_header_is_rounded_down(left_s, text):
    assert request_client.timeout_text(left_s, 0.0) == text


def test_request_and_answer_are_forwarded_unchanged(start_entry_vm):
    entry_vm, (upstream,) = start_entry_vm(
        lambda head, body: _upstream_reply(head, body * 2)
    )
    caller = Caller(entry_vm)
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


def test_failure_after_running_is_forwarded(start_entry_vm):
    entry_vm, _ = start_entry_vm(
        lambda head, body: _upstream_reply(head, b"oh", "500 Oops")
    )
    reply = Caller(entry_vm).ask("POST", b"x")
    assert (reply.status, reply.body) == (500, b"oh")
    assert reply.headers["outcome"] == "failed-after-running"


def test_upstream_that_sheds_is_not_run(start_entry_vm):
    extra = "Outcome: not-run\r\n"
    entry_vm, _ = start_entry_vm(
        lambda head, body: _upstream_reply(head, b"", "503 No", extra)
    )
    reply = Caller(entry_vm).ask("POST", b"x")
    assert reply.status == 503
    assert reply.headers["outcome"] == "not-run"
    assert reply.headers["outcome-reason"] == "request_upstream_shed"
    assert "retry-after" in reply.headers


def test_bare_503_of_an_upstream_counts_as_run(start_entry_vm):
    entry_vm, _ = start_entry_vm(
        lambda head, body: _upstream_reply(head, b"", "503 No")
    )
    reply = Caller(entry_vm).ask("POST", b"x")
    assert reply.headers["outcome"] == "failed-after-running"


def test_no_connection_is_not_run(start_entry_vm):
    entry_vm, (upstream,) = start_entry_vm(lambda head, body: FinalReply())
    upstream.close()
    reply = Caller(entry_vm).ask("POST", b"x")
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
def test_incomplete_or_foreign_answer_is_unknown(start_entry_vm, answer):
    entry_vm, _ = start_entry_vm(lambda head, body: FinalReply(answer))
    reply = Caller(entry_vm).ask("POST", b"x")
    assert reply.status == 502
    assert reply.headers["outcome"] == "unknown"


def test_second_answer_never_reaches_the_next_caller(start_entry_vm):
    def script(head, body):
        return _upstream_reply(head, b"mine") + _upstream_reply(head, b"late")

    entry_vm, (upstream,) = start_entry_vm(script)
    caller = Caller(entry_vm)
    assert [caller.ask().body for _ in range(3)] == [b"mine"] * 3
    assert upstream.connections == 3


def test_late_copy_on_a_connection_in_use_never_reaches_the_next_caller(
    start_entry_vm,
):
    """The copy arrives after the next request was sent."""
    earlier = []

    def script(head, body):
        answer = _upstream_reply(head, f"answer {len(earlier)}".encode())
        late = earlier[-1] if earlier else b""
        earlier.append(answer)
        return late + answer

    entry_vm, _ = start_entry_vm(script, script)
    caller = Caller(entry_vm)
    assert caller.ask().body == b"answer 0"
    reply = caller.ask()
    assert reply.status in (200, 502)
    assert reply.body != b"answer 0"


def test_connection_without_echoed_ids_is_not_reused(start_entry_vm):
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    entry_vm, (upstream,) = start_entry_vm(lambda head, body: answer)
    caller = Caller(entry_vm)
    assert [caller.ask().body for _ in range(2)] == [b"ok"] * 2
    assert upstream.connections == 2


def test_long_answer_is_streamed_in_full(start_entry_vm):
    long = b"0123456789abcdef" * 65536
    entry_vm, _ = start_entry_vm(
        lambda head, body: _upstream_reply(head, long)
    )
    reply = Caller(entry_vm).ask()
    assert reply.body == long
    assert entry_vm.requests.is_idle


def test_broken_long_answer_is_cut_for_the_caller(start_entry_vm):
    long = b"0123456789abcdef" * 65536

    def script(head, body):
        return FinalReply(_upstream_reply(head, long)[:-500_000])

    entry_vm, _ = start_entry_vm(script)
    assert not Caller(entry_vm).ask().whole


def test_caller_disconnect_cancels_the_attempt(start_entry_vm):
    entry_vm, (upstream,) = start_entry_vm(lambda head, body: None)
    caller = Caller(entry_vm)
    caller.send()
    while not upstream.heads:
        gevent.sleep(0.005)
    caller.file.close()
    caller.sock.close()
    assert upstream.closed.wait(2.0)
    while not entry_vm.requests.is_idle:
        gevent.sleep(0.005)
    assert entry_vm.results[-1].kind is ports.AttemptEnd.CANCELLED


def test_deadline_ends_an_attempt(start_entry_vm):
    entry_vm, _ = start_entry_vm(lambda head, body: None)
    reply = Caller(entry_vm).ask("POST", b"x", "Request-Timeout: 0.1\r\n")
    assert reply.status == 504
    assert reply.headers["outcome"] == "unknown"


def test_silent_connection_is_replaced_and_the_request_answered(
    start_entry_vm,
):
    heads = []

    def script(head, body):
        heads.append(head)
        return None if len(heads) == 21 else _upstream_reply(head, b"ok")

    entry_vm, (upstream,) = start_entry_vm(script, silent_s=0.1)
    caller = Caller(entry_vm)
    for _ in range(20):
        assert caller.ask().body == b"ok"
    started_at = time.monotonic()
    assert caller.ask().body == b"ok"
    assert time.monotonic() - started_at < 1.0
    assert entry_vm.results[-2].kind is ports.AttemptEnd.SILENT
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
def test_malformed_request_is_refused(start_entry_vm, extra, status):
    entry_vm, (upstream,) = start_entry_vm(
        lambda head, body: _upstream_reply(head, b"")
    )
    assert Caller(entry_vm).ask("POST", extra=extra).status == status
    assert upstream.heads == []


def test_oversized_body_and_unknown_service_are_refused(start_entry_vm):
    entry_vm, _ = start_entry_vm(lambda head, body: _upstream_reply(head, b""))
    caller = Caller(entry_vm)
    caller.sock.sendall(
        b"POST / HTTP/1.1\r\nHost: desk\r\nContent-Length: 9999999\r\n\r\n",
    )
    reply = _read_reply(caller.file)
    assert (reply.status, reply.headers["outcome"]) == (413, "not-run")
    caller = Caller(entry_vm)
    caller.sock.sendall(b"GET / HTTP/1.1\r\nHost: nowhere\r\n\r\n")
    reply = _read_reply(caller.file)
    assert (reply.status, reply.headers["outcome"]) == (404, "not-run")


def test_chunked_request_body(start_entry_vm):
    entry_vm, _ = start_entry_vm(
        lambda head, body: _upstream_reply(head, body)
    )
    caller = Caller(entry_vm)
    caller.sock.sendall(
        b"PUT / HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\ncut\r\n0\r\n\r\n",
    )
    assert _read_reply(caller.file).body == b"cut"


def test_attempt_cancelled_before_start_is_not_sent(start_entry_vm):
    entry_vm, (upstream,) = start_entry_vm(lambda head, body: None)
    caller = Caller(entry_vm)
    caller.send()
    while not entry_vm.server._exchanges:
        gevent.sleep(0.0)
    entry_vm.server.perform(actions.Cancel(1))
    reply = _read_reply(caller.file)
    assert reply.headers["outcome"] == "not-run"
    assert upstream.heads == []
