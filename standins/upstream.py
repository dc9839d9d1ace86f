"""An upstream stand-in: a process of its own that announces itself.

It takes IP in UDP, answers requests over HTTP, has few slots, starts cold,
drains on SIGTERM, sheds, honours deadlines and notices callers that go away.
On demand its health and load pages lie.
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

ANNOUNCE_EVERY_S = 1.0
COLD_RUNS = 10
COLD_WINDOW_S = 2.0
COLD_FACTOR = 2.0
DRAIN_S = 5.0
HTTP_TIMEOUT_S = 2.0


@attrs.frozen
class Plan:
    """How one stand-in behaves.

    :param announce: entry VMs to announce to, ``ip:port`` each
    :param service_s: mean time of a run when warm, seconds
    :param delay_s: one-way delay towards the entry VMs, seconds
    :param lie: health and load pages say all is well whatever happens
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
    """State of one stand-in."""

    def __init__(self, plan: Plan) -> None:
        """Start cold."""
        self.plan = plan
        self.reporter = reports.Reporter(
            plan.judge,
            plan.name,
            plan.service,
        )
        self.random = random.Random(plan.seed)
        self.incarnation = int(time.time() * 1000)
        self.running = 0
        self.completed = 0
        self.started: list[float] = []
        self.state = "up"
        self.fallen = False

    @property
    def cold(self) -> bool:
        """Return whether only a little can be borne yet."""
        return self.completed < COLD_RUNS

    def overloaded_cold(self, now: float) -> bool:
        """Return whether a cold start gets over a tenth of full load."""
        if not self.cold:
            return False
        recent = [at for at in self.started if now - at < COLD_WINDOW_S]
        self.started = recent
        full = self.plan.slots / self.plan.service_s * COLD_WINDOW_S
        return len(recent) > max(1.0, full / 10)

    # Packets.

    def serve_packets(self) -> None:
        """Take packets for ever and report each."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((self.plan.address, self.plan.port))
        while True:
            data, _ = sock.recvfrom(65536)
            seen = packets.read(data)
            if seen is None:
                continue
            self.reporter.send(
                "packet",
                flow=seen.flow,
                seq=seen.seq,
                dst=f"{seen.dst}:{seen.port}",
            )

    # Requests.

    def application(self, environ: dict, start_response) -> list[bytes]:
        """Answer one request as WSGI application."""
        path = environ["PATH_INFO"]
        if path in ("/health", "/load"):
            return self._page(start_response)
        gevent.sleep(self.plan.delay_s)
        body = environ["wsgi.input"].read()
        mark = environ.get("HTTP_CALLER_MARK", "")
        now = time.monotonic()
        if self.running >= self.plan.slots or self.state != "up":
            kind = "shed" if self.state != "up" else "over"
            self.reporter.send(kind, request=mark)
            headers = [("Outcome", "not-run"), ("Content-Length", "0")]
            start_response("503 Service Unavailable", headers)
            return [b""]
        self.started.append(now)
        if self.overloaded_cold(now) and not self.fallen:
            self.fallen = True
            self.reporter.send("fell", request=mark)
        self.reporter.send("run", request=mark)
        self.running += 1
        try:
            gevent.sleep(self._run_s())
        finally:
            self.running -= 1
        self.completed += 1
        self.reporter.send("done", request=mark)
        return self._answer(environ, start_response, mark, body)

    def _run_s(self) -> float:
        mean = self.plan.service_s
        if self.cold:
            mean *= COLD_FACTOR
        return mean * self.random.uniform(0.5, 1.5)

    def _page(self, start_response) -> list[bytes]:
        load = 0 if self.plan.lie else self.running
        page = {"state": self.state, "running": load}
        page["warm"] = self.plan.lie or not self.cold
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
            "service": self.plan.service,
            "upstream": self.plan.name,
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
        """Announce this upstream to one entry VM, as JSON over HTTP."""
        host, port = target.rsplit(":", 1)
        body = {
            "service": self.plan.service,
            "address": self.plan.address,
            "port": self.plan.port,
            "request_port": self.plan.request_port,
            "data_centre": self.plan.data_centre,
            "slots": self.plan.slots,
            "connections": self.plan.connections,
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
            print(f"{self.plan.name}: {target}: {exc}", file=sys.stderr)
        finally:
            client.close()

    def announce_for_ever(self, target: str) -> None:
        """Renew the announcement at one entry VM."""
        while True:
            self.announce(target)
            gevent.sleep(ANNOUNCE_EVERY_S)

    def drain(self) -> None:
        """Announce draining, finish the work in hand, then leave."""
        self.state = "draining"
        for target in self.plan.announce:
            self.announce(target)
        deadline = time.monotonic() + DRAIN_S
        while self.running and time.monotonic() < deadline:
            gevent.sleep(0.05)
        self.state = "leaving"
        for target in self.plan.announce:
            self.announce(target)
        sys.exit(0)


def main(path: str) -> None:
    """Run the stand-in that a JSON file describes."""
    with open(path, encoding="utf-8") as file:
        raw = json.load(file)
    raw["announce"] = tuple(raw["announce"])
    upstream = Upstream(Plan(**raw))
    gevent.signal_handler(
        signal.SIGTERM,
        lambda: gevent.spawn(upstream.drain),
    )
    server = pywsgi.WSGIServer(
        (upstream.plan.address, upstream.plan.request_port),
        upstream.application,
        log=None,
    )
    server.start()
    gevent.spawn(upstream.serve_packets)
    for target in upstream.plan.announce:
        gevent.spawn(upstream.announce_for_ever, target)
    gevent.wait()


if __name__ == "__main__":
    main(sys.argv[1])
