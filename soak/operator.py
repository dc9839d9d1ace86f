"""The operator: changes configurations and takes data centres out."""

import json
import random
import time
from typing import Protocol

import attrs
import gevent

from soak import callers
from soak import judge as judges
from soak import upstreams

ORDER_S = 20.0
AGAIN_S = 0.2
MAX_TURNS = 2
HOST = "198.18.0.1"
SERVICES = ("desk", "store")
# These stay as they are; callers use them.
STEADY = (
    callers.Route(HOST, 443, "desk", True),
    callers.Route(HOST, 8443, "desk", False),
    callers.Route(HOST, 8080, "store", True),
)


class World(Protocol):
    """What the operator sees around it."""

    judge: judges.Judge

    def control_addresses(self) -> list[str]:
        """Return control VMs to call, in some order."""


@attrs.define
class Held:
    """What was acknowledged.

    :param version: newest configuration
    :param since: seconds, when it was acknowledged
    :param out: data centres out, by the time of the acknowledgement
    """

    version: int = 0
    since: float = 0.0
    out: dict[str, float] = attrs.field(factory=dict)


class Operator:
    """Gives one order after another and reads what is in force."""

    def __init__(self, world: World, seed: int) -> None:
        """Start with nothing ordered."""
        self._world = world
        self._rng = random.Random(seed)
        self._version = 0
        self._extra: list[int] = []
        self.held = Held()

    def change(self) -> bool:
        """Send a new configuration until it is acknowledged."""
        self._version += self._rng.randint(1, 3)
        if self._extra and self._rng.random() < 0.5:
            self._extra.pop()
        else:
            self._extra.append(9000 + self._version)
        return self._put(self._version)

    def send_invalid(self) -> None:
        """Send a configuration that nobody may take."""
        self._version += 1
        body = self._document(self._version)
        body["routes"][0]["service"] = "nobody"
        answer = self._call("/v1/Config.Put", json.dumps(body), ORDER_S)
        if answer is not None and answer.status < 300:
            now = time.monotonic()
            self._world.judge.broke(now, "invalid configuration taken", "")

    def take_out(self, data_centre: str) -> bool:
        """Take a data centre out."""
        path = f"/v1/Evacuations.Start/{data_centre}"
        done = self._ordered(path)
        if done:
            self.held.out[data_centre] = time.monotonic()
        return done

    def bring_back(self, data_centre: str) -> bool:
        """Bring a data centre back."""
        # From the first try on it may be in force.
        self.held.out.pop(data_centre, None)
        return self._ordered(f"/v1/Evacuations.End/{data_centre}")

    def read(self) -> None:
        """Read at one control VM and check that it is not old."""
        before, since = self.held.version, self.held.since
        began = time.monotonic()
        answer = self._call("/v1/Config.Get", "", 0.0, method="GET")
        if answer is None or answer.status != 200:
            self._world.judge.counts["reads refused"] += 1
            return
        self._world.judge.counts["reads"] += 1
        version = json.loads(answer.body)["version"]
        if version < before and began - since > judges.APPLY_S:
            detail = f"{version} read, {before} acknowledged"
            self._world.judge.broke(began, "old configuration read", detail)

    def check_end(self) -> None:
        """Read until an answer comes; it must be the newest."""
        answer = self._call("/v1/Config.Get", "", ORDER_S, method="GET")
        now = time.monotonic()
        judge = self._world.judge
        if answer is None or answer.status != 200:
            judge.broke(now, "configuration can't be read at the end", "")
            return
        version = json.loads(answer.body)["version"]
        if version < self.held.version:
            detail = f"{version}, {self.held.version} acknowledged"
            judge.broke(now, "acknowledged configuration lost", detail)

    def _put(self, version: int) -> bool:
        body = json.dumps(self._document(version))
        answer = self._call("/v1/Config.Put", body, ORDER_S)
        now = time.monotonic()
        if answer is None or answer.status >= 300:
            self._refused(f"configuration {version}", answer, now)
            return False
        self._world.judge.counts["orders"] += 1
        if version > self.held.version:
            self.held.version = version
            self.held.since = now
        return True

    def _ordered(self, path: str) -> bool:
        answer = self._call(path, "", ORDER_S)
        if answer is None or answer.status >= 300:
            self._refused(path, answer, time.monotonic())
            return False
        self._world.judge.counts["orders"] += 1
        return True

    def _refused(
        self,
        order: str,
        answer: upstreams.HttpAnswer | None,
        now: float,
    ) -> None:
        """An order without an end in time is only counted."""
        if answer is not None and 400 <= answer.status < 500:
            detail = f"{order}: {answer.status} {answer.body[:80]!r}"
            self._world.judge.broke(now, "proper order refused", detail)
        self._world.judge.counts["orders without an end"] += 1

    def _document(self, version: int) -> dict:
        extra = [
            callers.Route(HOST, port, "desk", True) for port in self._extra
        ]
        return {
            "version": version,
            "routes": [
                {
                    "name": f"r-{one.port}",
                    "host": one.address,
                    "path-prefix": f"/{one.port}/",
                    "type": "safe" if one.idempotent else "unsafe",
                    "timeout-ms": 2500,
                    "service": one.service,
                }
                for one in (*STEADY, *extra)
            ],
            "services": [{"name": name} for name in SERVICES],
            "limits": {"idle-timeout-ms": 15000},
        }

    def _call(
        self,
        path: str,
        body: str,
        until_s: float,
        method: str = "POST",
    ) -> upstreams.HttpAnswer | None:
        """Call control VMs in turn until one gives a clear answer.

        :param until_s: how long; 0 for one try
        """
        until = time.monotonic() + until_s
        while True:
            answer = None
            for name in self._world.control_addresses():
                answer = self._follow(name, path, body, method)
                clear = answer is not None and answer.status < 500
                if clear or not until_s:
                    return answer
            if time.monotonic() >= until:
                return answer
            gevent.sleep(AGAIN_S)

    def _follow(
        self,
        name: str,
        path: str,
        body: str,
        method: str,
    ) -> upstreams.HttpAnswer | None:
        for _ in range(1 + MAX_TURNS):
            answer = upstreams.post(name, path, body, method)
            if answer is None or answer.status != 307:
                return answer
            name = answer.location.split("/")[2].split(":")[0]
        return None
