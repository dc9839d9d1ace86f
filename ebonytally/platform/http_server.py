"""HTTP server for the platform's calls."""

from collections.abc import Callable
import contextlib
import functools
import io
import time

import attrs
from gevent import pool
from gevent import pywsgi
from gevent import socket

from ebonytally import deployment
from ebonytally import http_bounds
from ebonytally.platform import plain_call
from ebonytally import recorder as recorders

# All upstreams connect at once after the control VM that they used is lost.
BACKLOG = 1024
# Of most requests.
MAX_RECEIVED_BYTES = 8192

Reply = tuple[str, list[tuple[str, str]], bytes]


# Not frozen: a frozen class takes three times as long to create.
@attrs.define
class Call:
    """A request to the server.

    :param path: without escapes and query
    :param source: address of the client
    :param read: returns so many bytes of the body, fewer at its end; raises
        OSError when the body is malformed or incomplete
    """

    method: str
    path: str
    source: str
    read: Callable[[int], bytes]


Handle = Callable[[Call], Reply]


class CallHandler(http_bounds.BoundedHandler):
    """Serves requests of the usual form without a WSGI environment.

    From the first unusual request on, the base class serves the connection.
    """

    def __init__(
        self,
        sock: socket.socket,
        address: tuple[str, int],
        server: pywsgi.WSGIServer,
        handle: Handle,
    ) -> None:
        """Set up for a connection.

        :param handle: answers a call and doesn't raise
        """
        super().__init__(sock, address, server)
        self._handle_call = handle
        self._source = address[0]
        # Upstreams mostly repeat the head of their requests.
        self._head: plain_call.Head | None = None
        self._received = b""
        self._is_usual = True

    def serve_request(self) -> bool | tuple | None:
        """Serve the next request; None closes the connection."""
        if not self._is_usual:
            return super().serve_request()
        try:
            received = self._received or self.socket.recv(MAX_RECEIVED_BYTES)
            if not received:
                return None
            head = self._head
            if head is None or not received.startswith(head.raw):
                head = self._head = plain_call.first_head(received)
            if head is not None:
                return self._serve_plain(head, received)
        except OSError:
            return None
        self._is_usual = False
        unread = plain_call.Unread(received, self.rfile.detach())
        self.rfile = io.BufferedReader(unread)
        return super().serve_request()

    def _serve_plain(
        self, head: plain_call.Head, received: bytes
    ) -> bool | None:
        """Answer a request of the usual form.

        :param received: head, perhaps with the body and further requests
        :raises OSError: when the connection is lost
        """
        head_size = len(head.raw)
        size = head_size + head.length
        while len(received) < size:
            more = self.socket.recv(MAX_RECEIVED_BYTES)
            if not more:
                break
            received += more
        self._received = received[size:]
        read = io.BytesIO(received[head_size:size]).read
        if len(received) < size:
            read = _fail_to_read
        reply = self._handle_call(Call("POST", head.path, self._source, read))
        answer = plain_call.encode_answer(*reply, time.time())
        # Cheaper than `sendall`, which asks for the size of the buffer.
        sent = self.socket.send(answer)
        if sent < len(answer):
            self.socket.sendall(answer[sent:])
        return None if self.is_crowded() else True


def _fail_to_read(size: int) -> bytes:
    raise OSError("the connection ended before the body")


def serve(
    endpoint: deployment.Endpoint,
    stack: contextlib.ExitStack,
    handle: Handle,
    recorder: recorders.Recorder,
    max_connections: int,
) -> None:
    """Open a port and answer the calls to it.

    :param stack: closes the port
    :param handle: returns status, headers and body; an unexpected exception
        is logged and answered with 500
    :param max_connections: that may be open at the same time
    :raises OSError: when the port can't be opened
    """

    def handle_guarded(call: Call) -> Reply:
        try:
            return handle(call)
        except Exception:
            recorders.log_failure(recorder, "call", call.source)
            return "500 Internal Server Error", [], b""

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        call = Call(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            environ["REMOTE_ADDR"],
            environ["wsgi.input"].read,
        )
        status, headers, body = handle_guarded(call)
        length = ("Content-Length", str(len(body)))
        start_response(status, [*headers, length])
        return [body]

    server = pywsgi.WSGIServer(
        (endpoint.address, endpoint.port),
        application,
        log=None,
        error_log=None,
        handler_class=functools.partial(CallHandler, handle=handle_guarded),
        spawn=pool.Pool(max_connections),
        backlog=BACKLOG,
    )
    server.start()
    stack.callback(server.stop, timeout=0.2)
