"""Simulated operator: changes configurations, evacuates data centres."""

import json
import random
import time
from typing import Protocol

import attrs
import gevent

from soak import callers
from soak import judge as judges
from soak import upstreams

ORDER_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.2
SERIES_INTERVAL_S = 0.4
MAX_REDIRECTS = 2
# Callers use so many of the routes added last.
NEWEST_ROUTES = 2
HOST = "198.18.0.1"
FIRST_ADDED_PORT = 9000
SERVICES = ("desk", "store")
# Every configuration contains these routes; callers use no others.
STABLE_ROUTES = (
    callers.Route(HOST, 443, "desk", True),
    callers.Route(HOST, 8443, "desk", False),
    callers.Route(HOST, 8080, "store", True),
)


class World(Protocol):
    """The parts of a run that the operator depends on."""

    judge: judges.Judge

    def control_addresses(self) -> list[str]:
        """Return the control VMs to call, in random order."""


@attrs.define
class Acknowledged:
    """The operator's orders that were acknowledged.

    :param version: highest configuration version
    :param since: when it was acknowledged, in seconds
    :param out: data centres taken out -> when that was acknowledged
    """

    version: int = 0
    since: float = 0.0
    out: dict[str, float] = attrs.field(factory=dict)


class Operator:
    """Sends orders, and checks that reads are not stale."""

    def __init__(self, world: World, seed: int) -> None:
        """Set up before the first order."""
        self._world = world
        self._rng = random.Random(seed)
        self._version = 0
        self._extra_ports: list[int] = []
        # Ports of routes that stay, those acknowledged first.
        self._added_ports: list[int] = []
        self._used_ports: list[int] = []
        self.acknowledged = Acknowledged()

    def change_configuration(self) -> bool:
        """Send a new configuration; return whether it was acknowledged."""
        self._version += self._rng.randint(1, 3)
        port = FIRST_ADDED_PORT + self._version
        choice = self._rng.random()
        if choice < 0.4:
            self._added_ports.append(port)
        elif self._extra_ports and choice < 0.7:
            self._extra_ports.pop()
        else:
            self._extra_ports.append(port)
        added = list(self._added_ports)
        is_done = self._put_configuration(self._version)
        if is_done:
            self._used_ports = max(self._used_ports, added, key=len)
        return is_done

    def newest_routes(self) -> list[callers.Route]:
        """Return the routes acknowledged last that stay."""
        return [
            callers.Route(HOST, port, "desk", True)
            for port in self._used_ports[-NEWEST_ROUTES:]
        ]

    def run_series(self) -> None:
        """Send one configuration after another, for ever."""
        while True:
            self.change_configuration()
            gevent.sleep(SERIES_INTERVAL_S)

    def send_invalid(self) -> None:
        """Send a configuration that every control VM must refuse."""
        self._version += 1
        body = self._document(self._version)
        body["routes"][0]["service"] = "nobody"
        answer = self._call(
            "/v1/Config.Put", json.dumps(body), ORDER_TIMEOUT_S
        )
        if answer is not None and answer.status < 300:
            now = time.monotonic()
            self._world.judge.record_violation(
                now,
                "invalid configuration taken",
                f"version {self._version}, status {answer.status}",
            )

    def take_out(self, data_centre: str) -> bool:
        """Take a data centre out; return whether that was acknowledged."""
        path = f"/v1/Evacuations.Start/{data_centre}"
        done = self._post_order(path)
        if done:
            self.acknowledged.out[data_centre] = time.monotonic()
        return done

    def bring_back(self, data_centre: str) -> bool:
        """Bring a data centre back; return whether that was acknowledged."""
        # The order may take effect before it is acknowledged.
        self.acknowledged.out.pop(data_centre, None)
        return self._post_order(f"/v1/Evacuations.End/{data_centre}")

    def check_read(self) -> None:
        """Check that a configuration read at one control VM is not stale."""
        latest, since = self.acknowledged.version, self.acknowledged.since
        started_at = time.monotonic()
        answer = self._call("/v1/Config.Get", "", 0.0, method="GET")
        if answer is None or answer.status != 200:
            self._world.judge.counts["reads refused"] += 1
            return
        self._world.judge.counts["reads"] += 1
        version = json.loads(answer.body)["version"]
        if version < latest and started_at - since > judges.MAX_APPLY_S:
            detail = f"{version} read, {latest} acknowledged"
            self._world.judge.record_violation(
                started_at, "old configuration read", detail
            )

    def check_final_read(self) -> None:
        """Check that the acknowledged configuration is still in force."""
        answer = self._call(
            "/v1/Config.Get", "", ORDER_TIMEOUT_S, method="GET"
        )
        now = time.monotonic()
        judge = self._world.judge
        if answer is None or answer.status != 200:
            judge.record_violation(
                now,
                "configuration can't be read at the end",
                f"expected status 200, got {answer}",
            )
            return
        version = json.loads(answer.body)["version"]
        if version < self.acknowledged.version:
            detail = f"{version}, {self.acknowledged.version} acknowledged"
            judge.record_violation(
                now, "acknowledged configuration lost", detail
            )

    def _put_configuration(self, version: int) -> bool:
        body = json.dumps(self._document(version))
        answer = self._call("/v1/Config.Put", body, ORDER_TIMEOUT_S)
        now = time.monotonic()
        if answer is None or answer.status >= 300:
            self._on_order_failed(f"configuration {version}", answer, now)
            return False
        self._world.judge.counts["orders"] += 1
        if version > self.acknowledged.version:
            self.acknowledged.version = version
            self.acknowledged.since = now
        return True

    def _post_order(self, path: str) -> bool:
        answer = self._call(path, "", ORDER_TIMEOUT_S)
        if answer is None or answer.status >= 300:
            self._on_order_failed(path, answer, time.monotonic())
            return False
        self._world.judge.counts["orders"] += 1
        return True

    def _on_order_failed(
        self,
        order: str,
        answer: upstreams.HttpAnswer | None,
        now: float,
    ) -> None:
        """Record a refusal as a violation; only count a time-out."""
        if answer is not None and 400 <= answer.status < 500:
            detail = f"{order}: {answer.status} {answer.body[:80]!r}"
            self._world.judge.record_violation(
                now, "proper order refused", detail
            )
        self._world.judge.counts["orders without an end"] += 1

    def _document(self, version: int) -> dict:
        extra_routes = [
            callers.Route(HOST, port, "desk", True)
            for port in (*self._added_ports, *self._extra_ports)
        ]
        return {
            "version": version,
            "routes": [
                {
                    "name": f"r-{route.port}",
                    "host": route.address,
                    "path-prefix": f"/{route.port}/",
                    "type": "safe" if route.idempotent else "unsafe",
                    "timeout-ms": 2500,
                    "service": route.service,
                }
                for route in (*STABLE_ROUTES, *extra_routes)
            ],
            "services": [{"name": name} for name in SERVICES],
            "limits": {"idle-timeout-ms": 15000},
        }

    def _call(
        self,
        path: str,
        body: str,
        timeout_s: float,
        method: str = "POST",
    ) -> upstreams.HttpAnswer | None:
        """Call control VMs in turn until one answers without a 5xx status.

        :param timeout_s: limit for retries; 0 for one attempt
        """
        sent_at = time.monotonic()
        until = sent_at + timeout_s
        is_overdue = False
        while True:
            now = time.monotonic()
            if not is_overdue and self._world.judge.is_order_overdue(
                sent_at, now
            ):
                is_overdue = True
                self._world.judge.record_violation(
                    now,
                    "order not acknowledged",
                    f"{path}, sent {now - sent_at:.1f} s ago",
                )
            answer = None
            for address in self._world.control_addresses():
                answer = self._call_with_redirects(address, path, body, method)
                conclusive = answer is not None and answer.status < 500
                if conclusive or not timeout_s:
                    return answer
            if time.monotonic() >= until:
                return answer
            gevent.sleep(RETRY_INTERVAL_S)

    def _call_with_redirects(
        self,
        address: str,
        path: str,
        body: str,
        method: str,
    ) -> upstreams.HttpAnswer | None:
        """Call a control VM and follow its redirects to the leader."""
        for _ in range(1 + MAX_REDIRECTS):
            answer = upstreams.send_request(address, path, body, method)
            if answer is None or answer.status != 307:
                return answer
            address = answer.location.split("/")[2].split(":")[0]
        return None
