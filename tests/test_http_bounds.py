"""HTTP connections are closed when idle or slow, or when many are open."""

import contextlib

import gevent
from gevent import socket

from ebonytally import deployment
from ebonytally import http_bounds
from ebonytally.platform import http_server
from ebonytally.platform import node_settings
from ebonytally import recorder as recorders

ADDRESS = "127.0.0.1"


def free_port():
    """Return a TCP port that is free at the moment."""
    with contextlib.closing(socket.socket()) as sock:
        sock.bind((ADDRESS, 0))
        return sock.getsockname()[1]


def test_connection_is_closed_without_error_output_at_its_time_limit(
    monkeypatch,
    capfd,
):
    monkeypatch.setattr(http_bounds.BoundedHandler, "max_request_s", 0.2)
    endpoint = deployment.Endpoint(ADDRESS, free_port())
    with contextlib.ExitStack() as stack:
        http_server.serve(
            endpoint,
            stack,
            lambda call: ("200 OK", [], b"x"),
            recorders.MemoryRecorder(),
            8,
        )
        conn = socket.create_connection(
            (endpoint.address, endpoint.port), timeout=2.0
        )
        stack.callback(conn.close)
        conn.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert conn.recv(4096).startswith(b"HTTP/1.1 200")
        assert conn.recv(4096) == b""
    assert "Traceback" not in capfd.readouterr().err


def test_idle_connections_keep_no_other_caller_out():
    """More upstreams announce themselves than connections are allowed."""
    endpoint = deployment.Endpoint(ADDRESS, free_port())
    address = (endpoint.address, endpoint.port)
    answered = 0
    with contextlib.ExitStack() as stack:
        http_server.serve(
            endpoint,
            stack,
            lambda call: ("200 OK", [], b"x"),
            recorders.MemoryRecorder(),
            4,
        )
        for _ in range(12):
            conn = socket.create_connection(address, timeout=1.0)
            stack.callback(conn.close)
            conn.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            answered += conn.recv(4096).startswith(b"HTTP/1.1 200")
    assert answered == 12


@contextlib.contextmanager
def serving(max_connections):
    """Serve on a free port; yield a function that opens a connection."""
    endpoint = deployment.Endpoint(ADDRESS, free_port())
    with contextlib.ExitStack() as stack:
        http_server.serve(
            endpoint,
            stack,
            lambda call: ("200 OK", [], call.read(100 * 1024 * 1024)),
            recorders.MemoryRecorder(),
            max_connections,
        )

        def connect():
            conn = socket.create_connection(
                (endpoint.address, endpoint.port), timeout=5.0
            )
            stack.callback(conn.close)
            return conn

        yield connect


def call(conn):
    """Return whether a call on an open connection is answered."""
    try:
        conn.sendall(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbeat")
        answer = b""
        while not answer.endswith(b"beat"):
            data = conn.recv(4096)
            if not data:
                return False
            answer += data
    except OSError:
        return False
    return answer.startswith(b"HTTP/1.1 200 ")


def test_many_connections_are_kept_open():
    """Guards against a new connection for each heartbeat of 500 upstreams."""
    with serving(node_settings.max_connections(4096)) as connect:
        conns = [connect() for _ in range(1000)]
        for _ in range(2):
            assert all(call(conn) for conn in conns)


def test_connection_in_use_outlives_the_time_limit(monkeypatch):
    """Guards against connections of live upstreams closed by their age."""
    monkeypatch.setattr(http_bounds.BoundedHandler, "max_request_s", 0.3)
    with serving(8) as connect:
        conn = connect()
        for _ in range(6):
            assert call(conn)
            gevent.sleep(0.1)


def test_slow_sender_is_cut_off(monkeypatch, capfd):
    """Guards against a place taken by a request that never ends."""
    monkeypatch.setattr(http_bounds.BoundedHandler, "max_request_s", 0.3)
    with serving(8) as connect:
        head = b"POST / HTTP/1.1\r\nContent-Length: 400\r\n\r\n"
        for sent_at_once in (1, len(head)):
            conn = connect()
            conn.sendall(head[:sent_at_once])
            with gevent.Timeout(2.0), contextlib.suppress(OSError):
                while True:
                    conn.sendall(b"x")
                    gevent.sleep(0.05)
            assert conn.recv(4096) == b""
    assert "Traceback" not in capfd.readouterr().err


def test_client_that_reads_no_answer_is_cut_off(monkeypatch):
    """Guards against a place taken by an answer that can't be sent."""
    monkeypatch.setattr(http_bounds.BoundedHandler, "max_request_s", 0.3)
    with serving(1) as connect:
        conn = connect()
        size = 64 * 1024 * 1024
        head = f"POST / HTTP/1.1\r\nContent-Length: {size}\r\n\r\n"
        conn.sendall(head.encode())
        with contextlib.suppress(OSError):
            conn.sendall(bytes(size))
        gevent.sleep(0.5)
        assert call(connect())
