"""Processor time of an upstream's heartbeat at a control VM.

Real sockets on the loopback interface: a client process keeps connections
open and sends heartbeats in turn; the server's processor time is measured.
"""

import contextlib
import gc
import json
import random
import signal
import socket
import subprocess
import sys
import time
from typing import TextIO

import attrs
import gevent

from ebonytally import deployment
from ebonytally import orders
from ebonytally.platform import http_calls
from ebonytally.platform import node_settings
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally.registry import registry as registries
from tests import test_control_node

CONNECTIONS = 500
# Descriptors of the smallest control VM.
MAX_FDS = 4096
# Interval between the heartbeats of one upstream.
INTERVAL_S = 1.2
DURATION_S = 12.0
# The connections are opened, and the registry filled, before the measurement.
WARM_UP_S = 3.0
ADDRESS = "127.0.0.1"


class Upstreams:
    """Registry that receives the announcements."""

    def __init__(self) -> None:
        """Set up an empty registry."""
        self.registry = registries.Registry(
            "c1", registries.Limits(3.6, 60.0), recorders.MemoryRecorder()
        )
        self.announcements = 0

    def on_announcement(self, announcement: records.Announcement) -> None:
        """Register an upstream."""
        self.announcements += 1
        self.registry.on_announcement(announcement, time.monotonic())

    def on_deregistration(self, id_: str, born_ms: int) -> None:
        """Ignore a deregistration."""


class Orders(orders.Orders):
    """Operators' orders, none of which are called."""

    def __init__(self) -> None:
        """Set up without a node."""


def run(seed: int, as_json: bool) -> dict:
    """Measure the heartbeats of `CONNECTIONS` upstreams.

    :param seed: order of the upstreams
    :param as_json: print no table
    """
    upstreams = Upstreams()
    with contextlib.ExitStack() as stack:
        deployed = test_control_node.make_deployment("c1", (), False)
        port = _free_port()
        http_calls.OrdersServer(
            attrs.evolve(
                deployed,
                orders_endpoint=deployment.Endpoint(ADDRESS, port),
                max_connections=node_settings.max_connections(MAX_FDS),
            ),
            stack,
            Orders(),
            upstreams,
            recorders.MemoryRecorder(),
        )
        # As at the start of a control VM.
        gc.freeze()
        client = stack.enter_context(
            subprocess.Popen(
                [sys.executable, "-m", __name__, str(port), str(seed)],
                stdout=subprocess.PIPE,
            )
        )
        stack.callback(client.kill)
        gevent.sleep(WARM_UP_S)
        announcements = upstreams.announcements
        started_at = time.monotonic()
        started_cpu = time.process_time()
        gevent.sleep(DURATION_S)
        cpu_s = time.process_time() - started_cpu
        elapsed_s = time.monotonic() - started_at
        announcements = upstreams.announcements - announcements
        client.terminate()
        output, _ = client.communicate()
    figures = {
        "connections": CONNECTIONS,
        "heartbeats_per_s": round(announcements / elapsed_s, 1),
        "cpu_us_per_heartbeat": round(cpu_s / announcements * 1e6, 1),
        "cpu_share_percent": round(cpu_s / elapsed_s * 100, 1),
        **json.loads(output),
    }
    if not as_json:
        for name, value in figures.items():
            print(f"{name:>24} {value}")
    return figures


def _free_port() -> int:
    with contextlib.closing(socket.socket()) as sock:
        sock.bind((ADDRESS, 0))
        return sock.getsockname()[1]


class Client:
    """Upstreams with a connection each."""

    def __init__(self, port: int, order: random.Random) -> None:
        """Open the connections."""
        self._port = port
        self._conns = [self._connect() for _ in range(CONNECTIONS)]
        self._indexes = list(range(CONNECTIONS))
        order.shuffle(self._indexes)
        self.reopened = 0
        self.slowest_s = 0.0

    def send_all(self, sequence: int, begin: float) -> None:
        """Send each upstream's heartbeat, spread over `INTERVAL_S`.

        :param begin: monotonic seconds
        """
        for position, index in enumerate(self._indexes):
            due = begin + INTERVAL_S * position / CONNECTIONS
            time.sleep(max(0.0, due - time.monotonic()))
            sent_at = time.monotonic()
            self._send(index, _request(index, sequence))
            answered_after_s = time.monotonic() - sent_at
            self.slowest_s = max(self.slowest_s, answered_after_s)

    def _send(self, index: int, request: bytes) -> None:
        """Send a request, on a new connection if the old one is closed."""
        while True:
            conn = self._conns[index]
            with contextlib.suppress(OSError):
                conn.sendall(request)
                if _is_answered(conn):
                    return
            conn.close()
            self.reopened += 1
            self._conns[index] = self._connect()

    def _connect(self) -> socket.socket:
        return socket.create_connection((ADDRESS, self._port), timeout=5.0)


def _is_answered(conn: socket.socket) -> bool:
    """Read an answer to its end; return False if the connection ends."""
    answer = b""
    while not answer.endswith(b"}"):
        data = conn.recv(4096)
        if not data:
            return False
        answer += data
    return answer.startswith(b"HTTP/1.1 200 ")


def _request(index: int, sequence: int) -> bytes:
    """Return an upstream's heartbeat of some 250 bytes as a HTTP request."""
    body = json.dumps(
        {
            "service": "huvo11a",
            "address": f"10.{index // 250}.1.{index % 250 + 1}:8080",
            "zone": "north",
            "version": "v1",
            "concurrency": 2,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": sequence,
            "born": 1700000000000,
        }
    )
    return (
        f"POST /v1/Instances.Heartbeat/i-{index:08x} HTTP/1.1\r\n"
        f"Host: 10.1.0.12:8166\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def send_heartbeats(port: int, seed: int, output: TextIO) -> None:
    """Send heartbeats until SIGTERM, then write the client's figures."""
    client = Client(port, random.Random(seed))

    def stop(*_: object) -> None:
        figures = {
            "connections_reopened": client.reopened,
            "slowest_answer_ms": round(client.slowest_s * 1000, 1),
        }
        output.write(json.dumps(figures))
        output.flush()
        sys.exit(0)

    signal.signal(signal.SIGTERM, stop)
    begin = time.monotonic()
    sequence = 0
    while True:
        sequence += 1
        client.send_all(sequence, begin)
        begin = max(begin + INTERVAL_S, time.monotonic())


if __name__ == "__main__":
    send_heartbeats(int(sys.argv[1]), int(sys.argv[2]), sys.stdout)
