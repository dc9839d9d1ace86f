"""gRPC between VMs on native threads, bridged to the gevent hub.

gRPC's gevent mode deadlocks under load with client and server in one
process, so gRPC keeps its native threads. Frames reach the hub through a
deque and an async watcher; nothing here blocks the hub.
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
MAX_TIMEOUTS = 2
MAX_QUEUED_VALUES = 4096

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


class HubQueue:
    """Queue from gRPC's threads to a callback in the gevent hub."""

    def __init__(self, on_value: Callable[[object], None]) -> None:
        """Set up the queue; must be called in the hub's thread.

        :param on_value: called in the hub for each value
        """
        self._on_value = on_value
        self._values: collections.deque = collections.deque()
        self._watcher = gevent.get_hub().loop.async_()
        self._watcher.start(self._on_wake_up)

    def put(self, value: object) -> bool:
        """Add a value, from any thread; return False if the queue is full."""
        if len(self._values) >= MAX_QUEUED_VALUES:
            return False
        self._values.append(value)
        self._watcher.send()
        return True

    def _on_wake_up(self) -> None:
        if self._values:
            gevent.spawn(self._drain)

    def _drain(self) -> None:
        while self._values:
            self._on_value(self._values.popleft())

    def close(self) -> None:
        """Stop and close the watcher."""
        self._watcher.stop()
        self._watcher.close()


def serve(
    stack: contextlib.ExitStack,
    address: str,
    on_frame: Callable[[bytes], None],
) -> None:
    """Start a gRPC server that receives frames.

    :param stack: closes the server
    :param address: ``ip:port`` to listen on
    :param on_frame: called in the hub for each frame
    :raises RuntimeError: when the address can't be bound
    """
    queue = HubQueue(on_frame)
    stack.callback(queue.close)

    def deliver(frame: bytes, context: grpc.ServicerContext) -> bytes:
        if not queue.put(frame):
            detail = f"queue is full: {MAX_QUEUED_VALUES} frames"
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, detail)
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
class _PeerChannel:
    """The gRPC channel to one peer.

    :param call: sends one frame
    :param in_flight: calls without a result
    :param timeouts: calls that timed out since the last success
    """

    channel: grpc.Channel
    call: grpc.UnaryUnaryMultiCallable
    in_flight: int = 0
    timeouts: int = 0


@attrs.frozen
class _CallResult:
    """Result of one call, passed from gRPC's threads to the hub."""

    address: str
    peer: _PeerChannel
    code: grpc.StatusCode


class Client:
    """Sends frames to peers; replaces a channel on which calls time out."""

    def __init__(
        self,
        stack: contextlib.ExitStack,
        on_failure: Callable[[str], None],
    ) -> None:
        """Set up without channels.

        :param stack: closes the channels
        :param on_failure: called with the address of each lost frame
        """
        self._on_failure = on_failure
        self._peer_channels: dict[str, _PeerChannel] = {}
        self._results = HubQueue(self._on_call_end)
        stack.callback(self._close)

    def send(self, address: str, frame: bytes) -> None:
        """Send a frame to ``ip:port``, best effort."""
        peer = self._peer_channels.get(address)
        if peer is None:
            peer = self._open(address)
        if peer.in_flight >= MAX_IN_FLIGHT:
            self._on_failure(address)
            return
        peer.in_flight += 1
        fut = peer.call.future(frame, timeout=CALL_TIMEOUT_S)
        fut.add_done_callback(
            lambda fut: self._results.put(
                _CallResult(address, peer, fut.code())
            )
        )

    def _open(self, address: str) -> _PeerChannel:
        channel = grpc.insecure_channel(address, options=_OPTIONS)
        peer = _PeerChannel(channel, channel.unary_unary(METHOD))
        self._peer_channels[address] = peer
        return peer

    def _on_call_end(self, result: _CallResult) -> None:
        """Count the result; close a channel after `MAX_TIMEOUTS`."""
        peer = result.peer
        peer.in_flight -= 1
        if result.code == grpc.StatusCode.OK:
            peer.timeouts = 0
            return
        self._on_failure(result.address)
        if result.code != grpc.StatusCode.DEADLINE_EXCEEDED:
            return
        peer.timeouts += 1
        if peer.timeouts < MAX_TIMEOUTS:
            return
        if self._peer_channels.get(result.address) is peer:
            del self._peer_channels[result.address]
            peer.channel.close()

    def _close(self) -> None:
        for peer in self._peer_channels.values():
            peer.channel.close()
        self._results.close()
