"""gRPC between entry VMs on its own threads, bridged to the hub.

gRPC's gevent mode deadlocks under load with client and server in one
process, so gRPC keeps its native threads. Frames cross to the hub through a
deque and one async watcher; nothing here blocks the hub.
"""

import collections
from collections.abc import Callable
from concurrent import futures
import contextlib

import attrs
import gevent
import grpc

from ebonytally import wire

METHOD = "/ebonytally.Peer/Deliver"
SERVER_THREADS = 4
MAX_CALL_BYTES = wire.MAX_FRAME_BYTES + 1024
CALL_TIMEOUT_S = 2.0
MAX_IN_FLIGHT = 256
SILENT_CALLS = 2
MAX_INBOX = 4096

_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_CALL_BYTES),
    ("grpc.max_send_message_length", MAX_CALL_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
)


class Inbox:
    """Hands values from gRPC's threads to a callback in the hub."""

    def __init__(self, take: Callable[[object], None]) -> None:
        """Call `take` in the hub for each value; must be made there."""
        self._take = take
        self._values: collections.deque = collections.deque()
        self._watcher = gevent.get_hub().loop.async_()
        self._watcher.start(self._wake)

    def put(self, value: object) -> bool:
        """Add a value from any thread; False when the inbox is full."""
        if len(self._values) >= MAX_INBOX:
            return False
        self._values.append(value)
        self._watcher.send()
        return True

    def _wake(self) -> None:
        if self._values:
            gevent.spawn(self._drain)

    def _drain(self) -> None:
        while self._values:
            self._take(self._values.popleft())

    def close(self) -> None:
        """Stop the watcher."""
        self._watcher.stop()
        self._watcher.close()


def serve(
    stack: contextlib.ExitStack,
    address: str,
    take: Callable[[bytes], None],
) -> None:
    """Listen for frames and hand them to `take` in the hub.

    :param stack: closes the server
    :param address: ``ip:port``
    :raises RuntimeError: when the address can't be bound
    """
    inbox = Inbox(take)
    stack.callback(inbox.close)

    def deliver(frame: bytes, context: grpc.ServicerContext) -> bytes:
        if not inbox.put(frame):
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "inbox full")
        return b""

    handler = grpc.method_handlers_generic_handler(
        "ebonytally.Peer",
        {"Deliver": grpc.unary_unary_rpc_method_handler(deliver)},
    )
    pool = futures.ThreadPoolExecutor(SERVER_THREADS)
    server = grpc.server(pool, handlers=(handler,), options=_OPTIONS)
    server.add_insecure_port(address)
    server.start()
    stack.callback(server.stop, 0.5)


@attrs.define
class _Line:
    """The channel to one peer."""

    channel: grpc.Channel
    call: grpc.UnaryUnaryMultiCallable
    in_flight: int = 0
    silent: int = 0


@attrs.frozen
class _Ended:
    address: str
    line: _Line
    code: grpc.StatusCode


class Client:
    """Sends frames to peers; a silent connection is replaced."""

    def __init__(
        self,
        stack: contextlib.ExitStack,
        failed: Callable[[str], None],
    ) -> None:
        """Report the address of each frame that was lost to `failed`."""
        self._failed = failed
        self._lines: dict[str, _Line] = {}
        self._inbox = Inbox(self._ended)
        stack.callback(self._close)

    def send(self, address: str, frame: bytes) -> None:
        """Send a frame to ``ip:port``, best effort."""
        line = self._lines.get(address)
        if line is None:
            line = self._open(address)
        if line.in_flight >= MAX_IN_FLIGHT:
            self._failed(address)
            return
        line.in_flight += 1
        fut = line.call.future(frame, timeout=CALL_TIMEOUT_S)
        fut.add_done_callback(
            lambda fut: self._inbox.put(_Ended(address, line, fut.code()))
        )

    def _open(self, address: str) -> _Line:
        channel = grpc.insecure_channel(address, options=_OPTIONS)
        line = _Line(channel, channel.unary_unary(METHOD))
        self._lines[address] = line
        return line

    def _ended(self, end: _Ended) -> None:
        line = end.line
        line.in_flight -= 1
        if end.code == grpc.StatusCode.OK:
            line.silent = 0
            return
        self._failed(end.address)
        if end.code != grpc.StatusCode.DEADLINE_EXCEEDED:
            return
        line.silent += 1
        if line.silent < SILENT_CALLS:
            return
        if self._lines.get(end.address) is line:
            del self._lines[end.address]
            line.channel.close()

    def _close(self) -> None:
        for line in self._lines.values():
            line.channel.close()
        self._inbox.close()
