"""Demo: run a whole deployment on loopback under load and judge it.

Five entry VMs over four data centres and eleven upstreams run as plain
processes; callers open flows and send requests; a data centre is taken out
and brought back through the intent API. Exit status 0 only if no guarantee
was violated.
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

LOAD_SHARE = 0.4
MAX_OPEN_FLOWS = 1500
FLOW_OPENS_PER_S = 300
FLOW_PACKETS_PER_S = 900
FLOW_CLOSES_PER_S = 20
DRIVE_INTERVAL_S = 0.02
START_TIMEOUT_S = 40.0
WARM_UP_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02
TAKE_OUT_AT_SHARE = 0.3
BRING_BACK_AT_SHARE = 0.65
MIN_DURATION_S = 10
MAX_DURATION_S = 300


class DemoError(Exception):
    """The deployment failed to start or to apply an intent."""


class Demo:
    """One run of the demo."""

    def __init__(
        self,
        args: argparse.Namespace,
        folder: pathlib.Path,
    ) -> None:
        """Write settings and logs below `folder`; start no process."""
        self._args = args
        self._random = random.Random(args.seed)
        customer = deployment.CUSTOMERS[args.customer]
        self._deployment = deployment.Deployment(
            customer,
            folder,
            deployment.program_command(args.binary),
            args.seed,
        )
        self._services = self._deployment.services(LOAD_SHARE)
        self._judge = judges.Judge(
            {
                settings.name: settings.data_centre
                for settings in self._deployment.upstream_settings
            },
            {
                service.name: f"{service.address}:{service.port}"
                for service in self._services
            },
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
        self._started_at = time.monotonic()
        self._control_bytes_per_s = 0.0

    def run(self) -> tuple[judges.Figures, list[str]]:
        """Run the demo.

        :return: the figures, and a line for each violated guarantee
        """
        self._receive_reports()
        gevent.spawn(self._report_progress)
        try:
            return self._run_phases()
        finally:
            self._deployment.stop()

    def _run_phases(self) -> tuple[judges.Figures, list[str]]:
        for daemon in self._deployment.daemons:
            self._deployment.start_daemon(daemon)
        self._wait_for_leader()
        self._create_services()
        for settings in self._deployment.upstream_settings:
            self._deployment.start_upstream(settings)
        self._wait_for_upstreams()
        self._drive()
        figures = self._judge.figures(
            time.monotonic(),
            round(self._in_force_s, 3),
            self._deployment.rss_max_bytes(),
            self._control_bytes_per_s,
        )
        limit = self._judge.imbalance_limit
        broken = judges.violated_guarantees(figures, limit)
        broken += [
            f"process {name} exited unexpectedly"
            for name in self._deployment.exited()
        ]
        broken += self._bad_input_failures
        return figures, broken

    # Start-up.

    def _receive_reports(self) -> None:
        host, port = self._deployment.judge_address.rsplit(":", 1)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 23)
        sock.bind((host, int(port)))

        def receive() -> None:
            while True:
                data, _ = sock.recvfrom(65536)
                report = reports.decode(data)
                self._judge.on_report(report, time.monotonic())

        gevent.spawn(receive)
        host, port = self._deployment.fabric_address.rsplit(":", 1)
        self._flows.fabric = callers.Fabric(
            (host, int(port)),
            [(daemon.address, 7401) for daemon in self._deployment.daemons],
            self._args.seed + 3,
            self._flows.on_packet,
        )

    def _wait_for_leader(self) -> None:
        self._phase = "waiting for the control VMs"
        self._wait_until(
            self._have_all_leases,
            START_TIMEOUT_S,
            "not every entry VM had a lease",
        )

    def _have_all_leases(self) -> bool:
        for client in self._operators:
            status = client.get("/v1/status")
            if status.get("cut_off", True) or not status.get("leader"):
                return False
            if status["down"] or not status["changes_possible"]:
                return False
        return True

    def _wait_until(self, is_ready, timeout_s: float, failure: str) -> None:
        deadline = time.monotonic() + timeout_s
        while True:
            exited = self._deployment.exited()
            if exited:
                raise DemoError(
                    f"processes exited unexpectedly: {', '.join(exited)}"
                )
            with contextlib.suppress(OSError, ValueError):
                if is_ready():
                    return
            if time.monotonic() > deadline:
                raise DemoError(f"{failure} within {timeout_s:g} s")
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
            self._carry_out_intent(f"create-{service.name}", intent)

    def _carry_out_intent(self, name: str, intent: dict) -> float:
        """State an intent and confirm its plan, each twice.

        The second calls must be idempotent.

        :return: time at which the plan was confirmed
        """
        client = self._random.choice(self._operators)
        plan = client.state_intent(f"state-{name}", intent)
        resender = self._random.choice(self._operators)
        if resender.state_intent(f"state-{name}", intent)["id"] != plan["id"]:
            raise DemoError(
                f"intent state-{name}, sent again, "
                f"did not get its plan {plan['id']}"
            )
        self._print_progress("\n".join(plan["text"]))
        at = time.monotonic()
        other = self._random.choice(self._operators)
        other.confirm_plan(f"confirm-{name}", plan["id"])
        other.confirm_plan(f"confirm-{name}", plan["id"])
        return at

    def _wait_for_upstreams(self) -> None:
        self._phase = "waiting for the upstreams"
        self._wait_until(
            self._are_all_announced,
            START_TIMEOUT_S,
            "not every upstream was announced",
        )

    def _are_all_announced(self) -> bool:
        for client in self._operators:
            for service in client.get("/v1/status")["services"]:
                wanted = self._deployment.customer.endpoints[service["name"]]
                if service["upstreams"] < wanted:
                    return False
        return True

    # Load and intents.

    def _drive(self) -> None:
        self._phase = "warming up"
        for service in self._services:
            gevent.spawn(self._requests.run, service)
        with contextlib.suppress(DemoError):
            self._wait_until(
                self._are_all_warm,
                WARM_UP_TIMEOUT_S,
                "not every upstream was warm",
            )
        seconds = self._args.seconds
        start = time.monotonic()
        before = self._control_bytes_by_vm()
        self._phase = "opening flows"
        self._drive_flows_until(
            start + TAKE_OUT_AT_SHARE * seconds, MAX_OPEN_FLOWS
        )
        self._measure_balance()
        centre = self._random.choice(self._deployment.centres())
        self._phase = f"taking {centre} out"
        self._take_out(centre)
        self._drive_flows_until(
            start + BRING_BACK_AT_SHARE * seconds, MAX_OPEN_FLOWS
        )
        self._phase = f"bringing {centre} back"
        self._judge.is_back = True
        intent = {"kind": "data_centre_back", "data_centre": centre}
        self._carry_out_intent("back", intent)
        self._drive_flows_until(start + seconds, MAX_OPEN_FLOWS)
        self._phase = "bad input"
        self._bad_input_failures = bad_input.check(
            self._deployment,
            self._services[0],
        )
        self._phase = "finishing"
        spent = time.monotonic() - start
        after = self._control_bytes_by_vm()
        self._control_bytes_per_s = max(
            (after[name] - before[name]) / spent for name in after
        )
        if self._args.keep:
            bad_input.save_metrics(self._deployment)
        self._requests.stopping = True
        while self._requests.in_flight:
            gevent.sleep(0.05)

    def _are_all_warm(self) -> bool:
        status = self._operators[0].get("/v1/status")
        return all(service["cold"] == 0 for service in status["services"])

    def _take_out(self, centre: str) -> None:
        intent = {"kind": "data_centre_out", "data_centre": centre}
        watchers = [
            gevent.spawn(self._watch_in_force, client, centre)
            for client in self._operators
        ]
        at = self._carry_out_intent("out", intent)
        self._judge.on_take_out(centre, at)
        driver = gevent.spawn(
            self._drive_flows_until, at + 3.0, MAX_OPEN_FLOWS
        )
        gevent.joinall(watchers, timeout=5.0)
        times = [watcher.value for watcher in watchers]
        if None in times:
            raise DemoError(
                f"taking {centre} out was not in force at "
                f"{times.count(None)} of {len(times)} entry VMs"
            )
        self._in_force_s = max(times) - at
        driver.join()

    def _watch_in_force(self, client: operator.Operator, centre: str) -> float:
        while True:
            with contextlib.suppress(OSError, ValueError):
                if centre in client.get("/v1/status")["out"]:
                    return time.monotonic()
            gevent.sleep(POLL_INTERVAL_S)

    def _drive_flows_until(self, end: float, flows: int) -> None:
        """Send flow packets until `end`.

        :param flows: number of flows to open; then flows are closed and
            replaced at a steady rate
        """
        while time.monotonic() < end:
            step = DRIVE_INTERVAL_S
            for _ in range(round(FLOW_OPENS_PER_S * step)):
                if self._flows.count_open() < flows:
                    self._flows.open(time.monotonic())
            self._flows.send_packets(
                round(FLOW_PACKETS_PER_S * step), time.monotonic()
            )
            if self._flows.count_open() >= flows:
                wanted = FLOW_CLOSES_PER_S * step
                count = int(wanted + self._random.random())
                self._flows.close(count, time.monotonic())
            gevent.sleep(step)

    def _measure_balance(self) -> None:
        names: dict[str, list[str]] = {}
        for settings in self._deployment.upstream_settings:
            names.setdefault(settings.service, []).append(settings.name)
        self._judge.measure_imbalance(names)

    def _control_bytes_by_vm(self) -> dict[str, float]:
        """Return the control bytes sent so far by each entry VM."""
        return {
            daemon.name: bad_input.read_counter(
                daemon.address,
                "control_bytes_sent",
            )
            for daemon in self._deployment.daemons
        }

    # Progress output.

    def _print_progress(self, text: str) -> None:
        if not self._args.json:
            print(text, file=sys.stderr, flush=True)

    def _report_progress(self) -> None:
        while True:
            gevent.sleep(2.0)
            spent = time.monotonic() - self._started_at
            answered = sum(
                "answered" in req.outcomes
                for req in self._judge.requests.values()
            )
            print(
                f"{spent:5.0f} s  {self._phase}: "
                f"{self._flows.count_open()} flows, "
                f"{answered}/{len(self._judge.requests)} requests answered",
                file=sys.stderr,
                flush=True,
            )


def _arguments(argv: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="scripts/demo",
        description="Run a whole deployment on loopback and judge it.",
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
    if not MIN_DURATION_S <= args.seconds <= MAX_DURATION_S:
        parser.error(f"--seconds must be {MIN_DURATION_S} to {MAX_DURATION_S}")
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
            print(f"demo failed: {exc}", file=sys.stderr)
            return 1
    _print_figures(figures, broken, args.json)
    return 1 if broken else 0


def _print_figures(
    figures: judges.Figures,
    broken: list[str],
    as_json: bool,
) -> None:
    for line in broken:
        print(f"guarantee violated: {line}", file=sys.stderr)
    if as_json:
        print(json.dumps({**attrs.asdict(figures), "broken": broken}))
        return
    for name, value in attrs.asdict(figures).items():
        print(f"{name:28} {value}")
    print(
        "no guarantee was violated"
        if not broken
        else "a guarantee was violated"
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
