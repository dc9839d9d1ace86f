"""Connections to upstreams, kept open between requests."""

import collections
import select
import socket as plain_socket

import attrs
from gevent import socket

CONNECT_TIMEOUT_S = 0.5
IDLE_S = 10.0
MAX_IDLE = 8
_KEEPALIVE_PROBES = 3


@attrs.define(eq=False)
class Connection:
    """One connection to an upstream.

    :param reused: it carried an earlier request
    :param idle_since: when it went back to the pool, seconds
    """

    sock: socket.socket
    reused: bool = False
    idle_since: float = 0.0

    def close(self) -> None:
        """Close it; the upstream takes that as a cancellation."""
        self.sock.close()


class Pool:
    """Idle connections by address and port.

    :param silent_s: seconds without a sign of the peer's kernel after
        which a connection counts as silent
    """

    def __init__(self, silent_s: float) -> None:
        """Start without connections."""
        self._silent_s = silent_s
        self._idle: dict[
            tuple[str, int],
            collections.deque[Connection],
        ]
        self._idle = collections.defaultdict(collections.deque)

    def take(
        self,
        address: str,
        port: int,
        now: float,
        fresh: bool,
    ) -> Connection:
        """Return an idle connection, or a new one.

        :param fresh: only a new one will do
        :raises OSError: when no connection can be made
        """
        idle = self._idle[address, port]
        while idle and not fresh:
            conn = idle.pop()
            young = now - conn.idle_since < IDLE_S
            if young and not _readable(conn.sock):
                conn.reused = True
                return conn
            conn.close()
        return self.connect(address, port)

    def connect(self, address: str, port: int) -> Connection:
        """Return a new connection.

        :raises OSError: when it can't be made
        """
        sock = socket.create_connection((address, port), CONNECT_TIMEOUT_S)
        sock.settimeout(None)
        self._watch(sock)
        return Connection(sock)

    def give_back(
        self,
        address: str,
        port: int,
        conn: Connection,
        now: float,
    ) -> None:
        """Keep a connection for a later request."""
        idle = self._idle[address, port]
        conn.idle_since = now
        idle.append(conn)
        if len(idle) > MAX_IDLE:
            idle.popleft().close()

    def drop(self, address: str, port: int) -> None:
        """Close all idle connections to an upstream."""
        for conn in self._idle.pop((address, port), ()):
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address, port in list(self._idle):
            self.drop(address, port)

    def _watch(self, sock: socket.socket) -> None:
        """Let the kernel notice a path that swallows segments."""
        tcp = plain_socket.IPPROTO_TCP
        sock.setsockopt(tcp, plain_socket.TCP_NODELAY, 1)
        sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, plain_socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(tcp, plain_socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(tcp, plain_socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
        timeout_ms = int(self._silent_s * 1000)
        sock.setsockopt(tcp, plain_socket.TCP_USER_TIMEOUT, timeout_ms)


def _readable(sock: socket.socket) -> bool:
    """Tell whether an idle connection was closed or got stray bytes."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
