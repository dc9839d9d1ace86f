"""Links between VMs: each message passes a proxy that can harm it.

Each VM has ports of its own and sends to others at these, so that the
proxy finds one listener for each direction of each pair.
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

    :param cut: nothing passes, nobody is told
    :param delay_s: what passes comes later by this
    """

    cut: bool = False
    delay_s: float = 0.0


@attrs.define
class _Connection:
    """A connection through the proxy.

    :param silent: something between the ends has lost track of it
    """

    near: socket.socket
    far: socket.socket
    silent: bool = False

    def close(self) -> None:
        self.near.close()
        self.far.close()


@attrs.frozen
class Place:
    """A VM on the network.

    :param port: of its datagrams; the next one takes connections
    """

    address: str
    port: int


class Links:
    """All directions between VMs, by (from, to) address."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        """Start without any."""
        self._stack = stack
        self._links: dict[tuple[str, str], Link] = {}
        self._open: dict[tuple[str, str], list[_Connection]] = {}
        self._out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(self._out.close)

    def add(self, source: Place, target: Place, streams: bool) -> None:
        """Listen for what one VM sends to another.

        :param streams: they open connections to each other as well
        """
        key = (source.address, target.address)
        self._links[key] = Link()
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((target.address, source.port))
        self._stack.callback(sock.close)
        task = gevent.spawn(self._datagrams, sock, key, target)
        self._stack.callback(task.kill)
        if not streams:
            return

        def take(conn: socket.socket, _: object) -> None:
            self._stream(conn, key, target)

        listener = server.StreamServer(
            (target.address, source.port + 1),
            take,
        )
        listener.start()
        self._stack.callback(listener.stop, timeout=0.1)

    def passes(self, source: str, target: str) -> bool:
        """Return whether packets between two addresses pass now."""
        link = self._links.get((source, target))
        return link is None or not link.cut

    def between(self, ones: set[str], others: set[str]) -> list[Link]:
        """Return the links from some addresses to others."""
        return [
            self._links.setdefault((one, other), Link())
            for one in sorted(ones)
            for other in sorted(others)
            if one != other
        ]

    def reset(self, ones: set[str]) -> None:
        """Reset all connections from or to some addresses."""
        for conn in self._connections(ones):
            conn.close()

    def silence(self, ones: set[str]) -> None:
        """Let open connections of some addresses go silent for good."""
        for conn in self._connections(ones):
            conn.silent = True

    def _connections(self, ones: set[str]) -> list[_Connection]:
        return [
            conn
            for key, conns in self._open.items()
            if ones & set(key)
            for conn in conns
        ]

    def _datagrams(
        self,
        sock: socket.socket,
        key: tuple[str, str],
        target: Place,
    ) -> None:
        link = self._links[key]
        while True:
            data, _ = sock.recvfrom(READ_BYTES)
            if link.cut:
                continue
            to = (target.address, target.port)
            if link.delay_s:
                gevent.spawn_later(link.delay_s, self._out.sendto, data, to)
            else:
                self._out.sendto(data, to)

    def _stream(
        self,
        conn: socket.socket,
        key: tuple[str, str],
        target: Place,
    ) -> None:
        link = self._links[key]
        back = self._links.get(key[::-1], link)
        if link.cut or back.cut:
            # Nobody is told: the caller's own timeout ends it.
            gevent.sleep(10.0)
            conn.close()
            return
        try:
            far = socket.create_connection(
                (target.address, target.port + 1), timeout=1.0
            )
        except OSError:
            conn.close()
            return
        far.settimeout(None)
        through = _Connection(conn, far)
        self._open.setdefault(key, []).append(through)
        copies = [
            gevent.spawn(_copy, conn, far, link, through),
            gevent.spawn(_copy, far, conn, back, through),
        ]
        gevent.wait(copies, count=1)
        through.close()
        gevent.killall(copies)
        self._open[key].remove(through)


def _copy(
    source: socket.socket,
    target: socket.socket,
    link: Link,
    through: _Connection,
) -> None:
    """Copy bytes until either end closes; hold them during a cut."""
    with contextlib.suppress(OSError):
        while data := source.recv(READ_BYTES):
            while link.cut or through.silent:
                gevent.sleep(0.05)
            if link.delay_s:
                gevent.sleep(link.delay_s)
            target.sendall(data)
