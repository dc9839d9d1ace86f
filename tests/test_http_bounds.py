"""A connection's life has a bound."""

import contextlib

from gevent import socket

from ebonytally import deployment
from ebonytally import http_bounds
from ebonytally.platform import http_server

ADDRESS = "127.0.0.1"


def free_port():
    """Return a port that nothing uses now."""
    with contextlib.closing(socket.socket()) as sock:
        sock.bind((ADDRESS, 0))
        return sock.getsockname()[1]


def test_a_connection_ends_in_silence_when_its_time_is_over(
    monkeypatch,
    capfd,
):
    monkeypatch.setattr(http_bounds.BoundedHandler, "connection_s", 0.2)
    at = deployment.Endpoint(ADDRESS, free_port())
    with contextlib.ExitStack() as stack:
        http_server.serve(at, stack, lambda environ: ("200 OK", [], b"x"))
        conn = socket.create_connection((at.address, at.port), timeout=2.0)
        stack.callback(conn.close)
        conn.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert conn.recv(4096).startswith(b"HTTP/1.1 200")
        assert conn.recv(4096) == b""
    assert "Traceback" not in capfd.readouterr().err
