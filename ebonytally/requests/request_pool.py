"""Pool of persistent connections to upstreams."""

import collections
import select
import socket as plain_socket

import attrs
from gevent import socket

CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_S = 10.0
MAX_IDLE_PER_UPSTREAM = 8
_KEEPALIVE_PROBES = 3


@attrs.define(eq=False)
class Connection:
    """One connection to an upstream.

    :param reused: it carried an earlier request
    :param idle_since: when it was released to the pool, monotonic seconds
    """

    sock: socket.socket
    reused: bool = False
    idle_since: float = 0.0

    def close(self) -> None:
        """Close the socket; the upstream treats this as a cancellation."""
        self.sock.close()


class Pool:
    """Idle connections by address and port.

    :param silent_s: seconds without an acknowledgement of data or
        keep-alive probes after which the kernel drops a connection
    """

    def __init__(self, silent_s: float) -> None:
        """Set up an empty pool."""
        self._silent_s = silent_s
        self._idle: dict[
            tuple[str, int],
            collections.deque[Connection],
        ]
        self._idle = collections.defaultdict(collections.deque)

    def acquire(
        self,
        address: str,
        port: int,
        now: float,
        new_only: bool,
    ) -> Connection:
        """Return an idle connection, or a new one.

        :param new_only: don't reuse an idle connection
        :raises OSError: when connecting fails
        """
        idle = self._idle[address, port]
        while idle and not new_only:
            conn = idle.pop()
            is_recent = now - conn.idle_since < MAX_IDLE_S
            if is_recent and not _is_readable(conn.sock):
                conn.reused = True
                return conn
            conn.close()
        return self.connect(address, port)

    def connect(self, address: str, port: int) -> Connection:
        """Return a new connection.

        :raises OSError: when connecting fails
        """
        sock = socket.create_connection((address, port), CONNECT_TIMEOUT_S)
        sock.settimeout(None)
        self._set_socket_options(sock)
        return Connection(sock)

    def release(
        self,
        address: str,
        port: int,
        conn: Connection,
        now: float,
    ) -> None:
        """Return a connection to the pool for a later request."""
        idle = self._idle[address, port]
        conn.idle_since = now
        idle.append(conn)
        if len(idle) > MAX_IDLE_PER_UPSTREAM:
            idle.popleft().close()

    def close_idle(self, address: str, port: int) -> None:
        """Close all idle connections to an upstream."""
        for conn in self._idle.pop((address, port), ()):
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address, port in list(self._idle):
            self.close_idle(address, port)

    def _set_socket_options(self, sock: socket.socket) -> None:
        """Make the kernel detect a path that drops all segments."""
        tcp = plain_socket.IPPROTO_TCP
        sock.setsockopt(tcp, plain_socket.TCP_NODELAY, 1)
        sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, plain_socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(tcp, plain_socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(tcp, plain_socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
        timeout_ms = int(self._silent_s * 1000)
        sock.setsockopt(tcp, plain_socket.TCP_USER_TIMEOUT, timeout_ms)


def _is_readable(sock: socket.socket) -> bool:
    """Return whether an idle connection was closed or has stray data."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
