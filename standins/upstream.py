"""Upstream stand-in, a process that announces itself to entry VMs.

It receives IP packets in UDP and answers requests over HTTP. It has few
slots, sheds requests beyond them, starts cold and drains on SIGTERM. Its
health and load pages can be set to report that all is well in any state.
"""

import hashlib
import json
import random
import signal
import sys
import time

import attrs
import gevent
from gevent import pywsgi
from gevent import socket
from geventhttpclient import HTTPClient

from standins import packets
from standins import reports

ANNOUNCE_INTERVAL_S = 1.0
COLD_RUNS = 10
COLD_LOAD_WINDOW_S = 2.0
COLD_TIME_FACTOR = 2.0
DRAIN_S = 5.0
HTTP_TIMEOUT_S = 2.0


@attrs.frozen
class UpstreamSettings:
    """Settings of a stand-in, stored as JSON.

    :param announce: entry VMs to announce to, ``ip:port`` each
    :param judge: address for reports, ``ip:port``
    :param slots: number of requests that may run at once
    :param service_s: mean run time of a request when warm, seconds
    :param delay_s: one-way delay from the entry VMs, seconds
    :param lie: health and load pages report idle and warm in any state
    """

    name: str
    service: str
    address: str
    port: int
    request_port: int
    data_centre: str
    announce: tuple[str, ...]
    judge: str
    slots: int = 2
    connections: int = 2000
    service_s: float = 0.1
    delay_s: float = 0.0
    seed: int = 0
    lie: bool = False


class Upstream:
    """A running stand-in."""

    def __init__(self, settings: UpstreamSettings) -> None:
        """Set up a cold upstream with a new incarnation."""
        self.settings = settings
        self.reporter = reports.Reporter(
            settings.judge,
            settings.name,
            settings.service,
        )
        self.random = random.Random(settings.seed)
        self.incarnation = int(time.time() * 1000)
        self.running = 0
        self.completed = 0
        self.run_starts: list[float] = []
        self.state = "up"
        self.is_cold_overload_reported = False

    @property
    def is_cold(self) -> bool:
        """Return whether fewer than `COLD_RUNS` requests completed."""
        return self.completed < COLD_RUNS

    def is_overloaded_cold(self, now: float) -> bool:
        """Return whether it is cold and above a tenth of full load."""
        if not self.is_cold:
            return False
        recent_starts = [
            at for at in self.run_starts if now - at < COLD_LOAD_WINDOW_S
        ]
        self.run_starts = recent_starts
        full_load = (
            self.settings.slots / self.settings.service_s * COLD_LOAD_WINDOW_S
        )
        return len(recent_starts) > max(1.0, full_load / 10)

    # Packets.

    def serve_packets(self) -> None:
        """Receive packets for ever and report each to the judge."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((self.settings.address, self.settings.port))
        while True:
            data, _ = sock.recvfrom(65536)
            packet = packets.parse(data)
            if packet is None:
                continue
            self.reporter.send(
                "packet",
                flow=packet.flow,
                seq=packet.seq,
                dst=f"{packet.dst}:{packet.port}",
            )

    # Requests.

    def application(self, environ: dict, start_response) -> list[bytes]:
        """Answer a request, as a WSGI application."""
        path = environ["PATH_INFO"]
        if path in ("/health", "/load"):
            return self._serve_status_page(start_response)
        gevent.sleep(self.settings.delay_s)
        body = environ["wsgi.input"].read()
        mark = environ.get("HTTP_CALLER_MARK", "")
        now = time.monotonic()
        if self.running >= self.settings.slots or self.state != "up":
            kind = "shed" if self.state != "up" else "over"
            self.reporter.send(kind, request=mark)
            headers = [("Outcome", "not-run"), ("Content-Length", "0")]
            start_response("503 Service Unavailable", headers)
            return [b""]
        self.run_starts.append(now)
        if self.is_overloaded_cold(now) and not self.is_cold_overload_reported:
            self.is_cold_overload_reported = True
            self.reporter.send("fell", request=mark)
        self.reporter.send("run", request=mark)
        self.running += 1
        try:
            gevent.sleep(self._draw_run_s())
        finally:
            self.running -= 1
        self.completed += 1
        self.reporter.send("done", request=mark)
        return self._answer(environ, start_response, mark, body)

    def _draw_run_s(self) -> float:
        mean = self.settings.service_s
        if self.is_cold:
            mean *= COLD_TIME_FACTOR
        return mean * self.random.uniform(0.5, 1.5)

    def _serve_status_page(self, start_response) -> list[bytes]:
        load = 0 if self.settings.lie else self.running
        page = {"state": self.state, "running": load}
        page["warm"] = self.settings.lie or not self.is_cold
        data = json.dumps(page).encode()
        headers = [("Content-Length", str(len(data)))]
        start_response("200 OK", headers)
        return [data]

    def _answer(
        self,
        environ: dict,
        start_response,
        mark: str,
        body: bytes,
    ) -> list[bytes]:
        answer = {
            "mark": mark,
            "service": self.settings.service,
            "upstream": self.settings.name,
            "digest": hashlib.sha256(body).hexdigest(),
        }
        data = json.dumps(answer).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        for name in ("Request-Id", "Attempt"):
            value = environ.get("HTTP_" + name.upper().replace("-", "_"))
            if value:
                headers.append((name, value))
        start_response("200 OK", headers)
        return [data]

    # Announcements.

    def announce(self, target: str) -> None:
        """Announce this upstream to one entry VM, as JSON over HTTP.

        A failure is only logged: the next announcement repeats it.
        """
        host, port = target.rsplit(":", 1)
        body = {
            "service": self.settings.service,
            "address": self.settings.address,
            "port": self.settings.port,
            "request_port": self.settings.request_port,
            "data_centre": self.settings.data_centre,
            "slots": self.settings.slots,
            "connections": self.settings.connections,
            "incarnation": self.incarnation,
            "state": self.state,
        }
        client = HTTPClient(
            host,
            port=int(port),
            connection_timeout=HTTP_TIMEOUT_S,
            network_timeout=HTTP_TIMEOUT_S,
        )
        try:
            answer = client.post(
                "/v1/announcements",
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
            )
            answer.read()
        except Exception as exc:
            print(
                f"{self.settings.name}: "
                f"announcement to {target} failed: {exc}",
                file=sys.stderr,
            )
        finally:
            client.close()

    def announce_for_ever(self, target: str) -> None:
        """Repeat the announcement to one entry VM."""
        while True:
            self.announce(target)
            gevent.sleep(ANNOUNCE_INTERVAL_S)

    def drain(self) -> None:
        """Announce draining, let running requests finish, then exit."""
        self.state = "draining"
        for target in self.settings.announce:
            self.announce(target)
        deadline = time.monotonic() + DRAIN_S
        while self.running and time.monotonic() < deadline:
            gevent.sleep(0.05)
        self.state = "leaving"
        for target in self.settings.announce:
            self.announce(target)
        sys.exit(0)


def main(path: str) -> None:
    """Run a stand-in.

    :param path: JSON file with its settings
    """
    with open(path, encoding="utf-8") as file:
        raw = json.load(file)
    raw["announce"] = tuple(raw["announce"])
    upstream = Upstream(UpstreamSettings(**raw))
    gevent.signal_handler(
        signal.SIGTERM,
        lambda: gevent.spawn(upstream.drain),
    )
    server = pywsgi.WSGIServer(
        (upstream.settings.address, upstream.settings.request_port),
        upstream.application,
        log=None,
    )
    server.start()
    gevent.spawn(upstream.serve_packets)
    for target in upstream.settings.announce:
        gevent.spawn(upstream.announce_for_ever, target)
    gevent.wait()


if __name__ == "__main__":
    main(sys.argv[1])
