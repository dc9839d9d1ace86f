"""HTTP connections are closed after a time limit, or when many are open."""

import contextlib

from gevent import socket

from ebonytally import deployment
from ebonytally import http_bounds
from ebonytally.platform import http_server
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
    monkeypatch.setattr(http_bounds.BoundedHandler, "max_connection_s", 0.2)
    endpoint = deployment.Endpoint(ADDRESS, free_port())
    with contextlib.ExitStack() as stack:
        http_server.serve(
            endpoint,
            stack,
            lambda environ: ("200 OK", [], b"x"),
            recorders.MemoryRecorder(),
        )
        conn = socket.create_connection(
            (endpoint.address, endpoint.port), timeout=2.0
        )
        stack.callback(conn.close)
        conn.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert conn.recv(4096).startswith(b"HTTP/1.1 200")
        assert conn.recv(4096) == b""
    assert "Traceback" not in capfd.readouterr().err


def test_idle_connections_keep_no_other_caller_out(monkeypatch):
    """More upstreams announce themselves than connections are allowed."""
    monkeypatch.setattr(http_server, "MAX_CONNECTIONS", 4)
    endpoint = deployment.Endpoint(ADDRESS, free_port())
    address = (endpoint.address, endpoint.port)
    answered = 0
    with contextlib.ExitStack() as stack:
        http_server.serve(
            endpoint,
            stack,
            lambda environ: ("200 OK", [], b"x"),
            recorders.MemoryRecorder(),
        )
        for _ in range(12):
            conn = socket.create_connection(address, timeout=1.0)
            stack.callback(conn.close)
            conn.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            answered += conn.recv(4096).startswith(b"HTTP/1.1 200")
    assert answered == 12
