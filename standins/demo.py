"""The main job: the whole deployment on loopback, driven and judged.

Five entry VMs over four data centres and eleven upstreams run as plain
processes; callers open flows and send requests; a data centre is taken out
and brought back through the intent API. Exit status 0 only if every promise
held.
"""

import argparse
import contextlib
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time

import attrs
import gevent
from gevent import socket

from standins import bad_input
from standins import callers
from standins import deployment
from standins import judge as judges
from standins import operator
from standins import reports

LOAD = 0.4
FLOWS = 1500
OPEN_PER_S = 300
TALK_PER_S = 900
CHURN_PER_S = 20
STEP_S = 0.02
START_LIMIT_S = 40.0
WARM_LIMIT_S = 60.0
POLL_S = 0.02
OUT_AT = 0.3
BACK_AT = 0.65
MIN_SECONDS = 10
MAX_SECONDS = 300


class DemoError(Exception):
    """The deployment didn't get as far as being driven."""


class Demo:
    """One run of the demo."""

    def __init__(
        self,
        args: argparse.Namespace,
        folder: pathlib.Path,
    ) -> None:
        """Plan the run below `folder`; nothing is started."""
        self._args = args
        self._random = random.Random(args.seed)
        customer = deployment.CUSTOMERS[args.customer]
        self._deployment = deployment.Deployment(
            customer,
            folder,
            deployment.program(args.binary),
            args.seed,
        )
        self._services = self._deployment.services(LOAD)
        self._judge = judges.Judge(
            {plan.name: plan.data_centre for plan in self._deployment.plans},
            {one.name: f"{one.address}:{one.port}" for one in self._services},
        )
        daemons = self._deployment.daemons
        self._flows = callers.FlowCallers(
            self._services,
            self._judge,
            args.seed + 1,
        )
        self._requests = callers.RequestCallers(
            self._services,
            self._judge,
            [(daemon.address, 7404) for daemon in daemons],
            args.seed + 2,
            customer.caller_s,
        )
        self._operators = [
            operator.Operator(daemon.address, deployment.TOKEN)
            for daemon in daemons
        ]
        self._phase = "starting"
        self._in_force_s = 0.0
        self._began = time.monotonic()
        self._control_bytes = 0.0

    def run(self) -> tuple[judges.Figures, list[str]]:
        """Run everything; return the figures and broken promises."""
        self._listen()
        gevent.spawn(self._progress)
        try:
            return self._run()
        finally:
            self._deployment.stop()

    def _run(self) -> tuple[judges.Figures, list[str]]:
        for daemon in self._deployment.daemons:
            self._deployment.start_daemon(daemon)
        self._wait_for_leader()
        self._create_services()
        for plan in self._deployment.plans:
            self._deployment.start_upstream(plan)
        self._wait_for_upstreams()
        self._drive()
        figures = self._judge.figures(
            time.monotonic(),
            round(self._in_force_s, 3),
            self._deployment.rss_max_bytes(),
            self._control_bytes,
        )
        limit = self._judge.imbalance_limit
        broken = judges.broken_promises(figures, limit)
        broken += [
            f"{name} ended by itself" for name in self._deployment.dead()
        ]
        broken += self._bad_input_faults
        return figures, broken

    # Start.

    def _listen(self) -> None:
        host, port = self._deployment.judge_address.rsplit(":", 1)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 23)
        sock.bind((host, int(port)))

        def receive() -> None:
            while True:
                data, _ = sock.recvfrom(65536)
                report = reports.read(data)
                self._judge.take(report, time.monotonic())

        gevent.spawn(receive)
        host, port = self._deployment.fabric_address.rsplit(":", 1)
        self._flows.fabric = callers.Fabric(
            (host, int(port)),
            [(one.address, 7401) for one in self._deployment.daemons],
            self._args.seed + 3,
            self._flows.returned,
        )

    def _wait_for_leader(self) -> None:
        self._phase = "waiting for the control VMs"
        self._wait(self._all_leased, START_LIMIT_S, "no lease everywhere")

    def _all_leased(self) -> bool:
        for one in self._operators:
            said = one.get("/v1/status")
            if said.get("cut_off", True) or not said.get("leader"):
                return False
            if said["down"] or not said["changes_possible"]:
                return False
        return True

    def _wait(self, ready, limit_s: float, what: str) -> None:
        deadline = time.monotonic() + limit_s
        while True:
            dead = self._deployment.dead()
            if dead:
                raise DemoError(f"{', '.join(dead)} ended by itself")
            with contextlib.suppress(OSError, ValueError):
                if ready():
                    return
            if time.monotonic() > deadline:
                raise DemoError(f"{what} within {limit_s:g} s")
            gevent.sleep(0.2)

    def _create_services(self) -> None:
        self._phase = "creating the services"
        centres = self._deployment.centres()
        for service in self._services:
            intent = {
                "kind": "create_service",
                "name": service.name,
                "address": service.address,
                "port": service.port,
                "data_centres": centres,
            }
            self._intend(f"create-{service.name}", intent)

    def _intend(self, name: str, intent: dict) -> float:
        """State, read and confirm a plan; return when it was confirmed."""
        one = self._random.choice(self._operators)
        plan = one.state(f"state-{name}", intent)
        again = self._random.choice(self._operators)
        if again.state(f"state-{name}", intent)["id"] != plan["id"]:
            raise DemoError(f"{name}: resent, it got another plan")
        self._say("\n".join(plan["text"]))
        at = time.monotonic()
        other = self._random.choice(self._operators)
        other.confirm(f"confirm-{name}", plan["id"])
        other.confirm(f"confirm-{name}", plan["id"])
        return at

    def _wait_for_upstreams(self) -> None:
        self._phase = "waiting for the upstreams"
        self._wait(self._all_announced, START_LIMIT_S, "upstreams missing")

    def _all_announced(self) -> bool:
        for one in self._operators:
            for service in one.get("/v1/status")["services"]:
                wanted = self._deployment.customer.endpoints[service["name"]]
                if service["upstreams"] < wanted:
                    return False
        return True

    # Drive.

    def _drive(self) -> None:
        self._phase = "warming up"
        for service in self._services:
            gevent.spawn(self._requests.run, service)
        with contextlib.suppress(DemoError):
            self._wait(self._all_warm, WARM_LIMIT_S, "upstreams still cold")
        seconds = self._args.seconds
        start = time.monotonic()
        before = self._control_total()
        self._phase = "opening flows"
        self._until(start + OUT_AT * seconds, FLOWS)
        self._measure_balance()
        centre = self._random.choice(self._deployment.centres())
        self._phase = f"taking {centre} out"
        self._take_out(centre)
        self._until(start + BACK_AT * seconds, FLOWS)
        self._phase = f"bringing {centre} back"
        self._judge.back = True
        intent = {"kind": "data_centre_back", "data_centre": centre}
        self._intend("back", intent)
        self._until(start + seconds, FLOWS)
        self._phase = "bad input"
        self._bad_input_faults = bad_input.check(
            self._deployment,
            self._services[0],
        )
        self._phase = "finishing"
        spent = time.monotonic() - start
        after = self._control_total()
        self._control_bytes = max(
            (after[name] - before[name]) / spent for name in after
        )
        if self._args.keep:
            bad_input.save_metrics(self._deployment)
        self._requests.stopping = True
        while self._requests.in_hand:
            gevent.sleep(0.05)

    def _all_warm(self) -> bool:
        said = self._operators[0].get("/v1/status")
        return all(service["cold"] == 0 for service in said["services"])

    def _take_out(self, centre: str) -> None:
        intent = {"kind": "data_centre_out", "data_centre": centre}
        watchers = [
            gevent.spawn(self._watch_in_force, one, centre)
            for one in self._operators
        ]
        at = self._intend("out", intent)
        self._judge.taken_out(centre, at)
        talker = gevent.spawn(self._until, at + 3.0, FLOWS)
        gevent.joinall(watchers, timeout=5.0)
        times = [one.value for one in watchers]
        if None in times:
            raise DemoError(f"{centre} out isn't in force everywhere")
        self._in_force_s = max(times) - at
        talker.join()

    def _watch_in_force(self, one: operator.Operator, centre: str) -> float:
        while True:
            with contextlib.suppress(OSError, ValueError):
                if centre in one.get("/v1/status")["out"]:
                    return time.monotonic()
            gevent.sleep(POLL_S)

    def _until(self, end: float, flows: int) -> None:
        """Keep flows talking until `end`, opening up to `flows`."""
        while time.monotonic() < end:
            step = STEP_S
            for _ in range(round(OPEN_PER_S * step)):
                if self._flows.live() < flows:
                    self._flows.open(time.monotonic())
            self._flows.talk(round(TALK_PER_S * step), time.monotonic())
            if self._flows.live() >= flows:
                wanted = CHURN_PER_S * step
                count = int(wanted + self._random.random())
                self._flows.close(count, time.monotonic())
            gevent.sleep(step)

    def _measure_balance(self) -> None:
        names: dict[str, list[str]] = {}
        for plan in self._deployment.plans:
            names.setdefault(plan.service, []).append(plan.name)
        self._judge.measure_imbalance(names)

    def _control_total(self) -> dict[str, float]:
        """Return control bytes sent so far, by entry VM."""
        return {
            daemon.name: bad_input.counted(
                daemon.address,
                "control_bytes_sent",
            )
            for daemon in self._deployment.daemons
        }

    # Progress.

    def _say(self, text: str) -> None:
        if not self._args.json:
            print(text, file=sys.stderr, flush=True)

    def _progress(self) -> None:
        while True:
            gevent.sleep(2.0)
            spent = time.monotonic() - self._began
            answered = sum(
                "answered" in req.outcomes
                for req in self._judge.requests.values()
            )
            print(
                f"{spent:5.0f} s  {self._phase}: "
                f"{self._flows.live()} flows, "
                f"{answered}/{len(self._judge.requests)} requests answered",
                file=sys.stderr,
                flush=True,
            )


def _arguments(argv: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="scripts/demo",
        description="Run the whole deployment on loopback and judge it.",
    )
    parser.add_argument(
        "--customer",
        choices=sorted(deployment.CUSTOMERS),
        default="llenni-tywyll",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--binary", default="", help="built program to run")
    parser.add_argument("--keep", default="", help="folder for logs")
    args = parser.parse_args(argv)
    if not MIN_SECONDS <= args.seconds <= MAX_SECONDS:
        parser.error(f"--seconds must be {MIN_SECONDS} to {MAX_SECONDS}")
    return args


def main(argv: list[str]) -> int:
    """Run the demo; return the exit status."""
    args = _arguments(argv)
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(args.keep or tempfile.mkdtemp())
        folder.mkdir(parents=True, exist_ok=True)
        if not args.keep:
            stack.callback(shutil.rmtree, folder, ignore_errors=True)
        try:
            figures, broken = Demo(args, folder).run()
        except (DemoError, operator.RefusedError) as exc:
            print(f"demo: {exc}", file=sys.stderr)
            return 1
    _print(figures, broken, args.json)
    return 1 if broken else 0


def _print(
    figures: judges.Figures,
    broken: list[str],
    as_json: bool,
) -> None:
    for line in broken:
        print(f"broken promise: {line}", file=sys.stderr)
    if as_json:
        print(json.dumps({**attrs.asdict(figures), "broken": broken}))
        return
    for name, value in attrs.asdict(figures).items():
        print(f"{name:28} {value}")
    print("every promise held" if not broken else "a promise was broken")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
