"""Links between VMs: a proxy that can cut and delay all messages.

Each VM has its own port range and sends to its own port at the peer's
address, so that the proxy has one listener per direction of each pair.
"""

import contextlib

import attrs
import gevent
from gevent import server
from gevent import socket

READ_BYTES = 65536


@attrs.define
class Link:
    """One direction between two VMs.

    :param cut: all messages are dropped without an error to the sender
    :param delay_s: added to the latency of each message
    """

    cut: bool = False
    delay_s: float = 0.0


@attrs.define
class _Connection:
    """A connection through the proxy.

    :param silent: bytes are withheld, as if a middlebox between the ends
        had lost its connection tracking entry
    """

    source_sock: socket.socket
    target_sock: socket.socket
    silent: bool = False

    def close(self) -> None:
        self.source_sock.close()
        self.target_sock.close()


@attrs.frozen
class Endpoint:
    """Network endpoint of a VM.

    :param port: for datagrams; the next port is for connections
    """

    address: str
    port: int


class Links:
    """All links between VMs, by (source, target) address."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        """Set up without links.

        :param stack: closes the sockets and stops the tasks
        """
        self._stack = stack
        self._links: dict[tuple[str, str], Link] = {}
        self._open_connections: dict[tuple[str, str], list[_Connection]] = {}
        self._send_sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(self._send_sock.close)

    def add(self, source: Endpoint, target: Endpoint, streams: bool) -> None:
        """Start to proxy messages from one VM to another.

        :param streams: whether to proxy connections, besides datagrams
        """
        key = (source.address, target.address)
        self._links[key] = Link()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((target.address, source.port))
        self._stack.callback(sock.close)
        task = gevent.spawn(self._forward_datagrams, sock, key, target)
        self._stack.callback(task.kill)
        if not streams:
            return

        def handle_connection(conn: socket.socket, _: object) -> None:
            self._forward_stream(conn, key, target)

        listener = server.StreamServer(
            (target.address, source.port + 1),
            handle_connection,
        )
        listener.start()
        self._stack.callback(listener.stop, timeout=0.1)

    def can_pass(self, source: str, target: str) -> bool:
        """Return whether the link between two addresses is not cut."""
        link = self._links.get((source, target))
        return link is None or not link.cut

    def between(self, sources: set[str], targets: set[str]) -> list[Link]:
        """Return the links from each source to each target address."""
        return [
            self._links.setdefault((source, target), Link())
            for source in sorted(sources)
            for target in sorted(targets)
            if source != target
        ]

    def reset(self, addresses: set[str]) -> None:
        """Close all connections from or to some addresses."""
        for conn in self._connections_of(addresses):
            conn.close()

    def silence(self, addresses: set[str]) -> None:
        """Withhold all further bytes on open connections of some addresses."""
        for conn in self._connections_of(addresses):
            conn.silent = True

    def _connections_of(self, addresses: set[str]) -> list[_Connection]:
        """Return the open connections that end at some addresses."""
        return [
            conn
            for key, conns in self._open_connections.items()
            if addresses & set(key)
            for conn in conns
        ]

    def _forward_datagrams(
        self,
        sock: socket.socket,
        key: tuple[str, str],
        target: Endpoint,
    ) -> None:
        link = self._links[key]
        while True:
            data, _ = sock.recvfrom(READ_BYTES)
            if link.cut:
                continue
            to = (target.address, target.port)
            if link.delay_s:
                gevent.spawn_later(
                    link.delay_s, self._send_sock.sendto, data, to
                )
            else:
                self._send_sock.sendto(data, to)

    def _forward_stream(
        self,
        conn: socket.socket,
        key: tuple[str, str],
        target: Endpoint,
    ) -> None:
        link = self._links[key]
        reverse_link = self._links.get(key[::-1], link)
        if link.cut or reverse_link.cut:
            # No reset is sent: the connecting VM must time out by itself.
            gevent.sleep(10.0)
            conn.close()
            return
        try:
            target_sock = socket.create_connection(
                (target.address, target.port + 1), timeout=1.0
            )
        except OSError:
            conn.close()
            return
        target_sock.settimeout(None)
        proxied = _Connection(conn, target_sock)
        self._open_connections.setdefault(key, []).append(proxied)
        forwarders = [
            gevent.spawn(_forward_bytes, conn, target_sock, link, proxied),
            gevent.spawn(
                _forward_bytes, target_sock, conn, reverse_link, proxied
            ),
        ]
        gevent.wait(forwarders, count=1)
        proxied.close()
        gevent.killall(forwarders)
        self._open_connections[key].remove(proxied)


def _forward_bytes(
    source: socket.socket,
    target: socket.socket,
    link: Link,
    proxied: _Connection,
) -> None:
    """Forward bytes until either end closes; hold them during a cut."""
    with contextlib.suppress(OSError):
        while data := source.recv(READ_BYTES):
            while link.cut or proxied.silent:
                gevent.sleep(0.05)
            if link.delay_s:
                gevent.sleep(link.delay_s)
            target.sendall(data)
