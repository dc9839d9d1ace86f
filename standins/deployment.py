"""Runs a whole deployment on loopback as plain processes."""

import contextlib
import hashlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import attrs
import gevent
import psutil

from standins import callers
from standins import upstream

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = "demo-operator-token"
SECOND_TOKEN = "second-demo-token"
PACKET_PORT = 7501
REQUEST_PORT = 7502
JUDGE_PORT = 7600
FABRIC_PORT = 7601
STOP_TIMEOUT_S = 15.0


@attrs.frozen
class Customer:
    """A customer's size and delays, see the folder `examples`.

    :param endpoints: number of upstreams by service
    :param between_s: one-way delay between data centres, seconds
    :param caller_s: one-way delay towards callers, seconds
    :param net: second byte of the loopback addresses
    """

    name: str
    endpoints: dict[str, int]
    between_s: float
    caller_s: float
    net: int


CUSTOMERS = {
    "llenni-tywyll": Customer(
        "llenni-tywyll",
        {"cutting-desk": 7, "pattern-store": 4},
        0.0015,
        0.001,
        20,
    ),
    "asistenta-juridica": Customer(
        "asistenta-juridica",
        {"eligibility": 7, "documents": 4},
        0.001,
        0.003,
        30,
    ),
}


@attrs.frozen
class Daemon:
    """An entry VM of the deployment.

    :param path: its settings file
    :param is_control: whether it is a control VM
    """

    name: str
    address: str
    data_centre: str
    path: str
    is_control: bool


class Deployment:
    """Starts and stops the daemons and the upstream stand-ins."""

    def __init__(
        self,
        customer: Customer,
        folder: pathlib.Path,
        command: list[str],
        seed: int,
    ) -> None:
        """Write the daemons' settings below `folder`; start no process.

        :param command: command line that runs ``ebonytally``
        """
        self.customer = customer
        self.folder = folder
        self.command = command
        self._seed = seed
        self._net = _find_free_net(customer.net)
        self.judge_address = f"{self._net}.250:{JUDGE_PORT}"
        self.fabric_address = f"{self._net}.250:{FABRIC_PORT}"
        self.daemons = self._write_settings()
        self.processes: dict[str, subprocess.Popen] = {}
        self.upstream_settings = self._make_upstream_settings()

    def _write_settings(self) -> list[Daemon]:
        source = ROOT / "examples" / self.customer.name
        daemons = []
        for path in sorted(source.glob("*.json")):
            text = path.read_text(encoding="utf-8")
            text = text.replace(f"127.{self.customer.net}.0.", f"{self._net}.")
            raw = json.loads(text)
            raw["fabric"] = self.fabric_address
            raw["operators"] = [
                {"name": "demo", "token_sha256": _sha256_hex(TOKEN)},
                {
                    "name": "demo-two",
                    "token_sha256": _sha256_hex(SECOND_TOKEN),
                },
            ]
            target = self.folder / path.name
            target.write_text(json.dumps(raw), encoding="utf-8")
            daemons.append(
                Daemon(
                    raw["name"],
                    raw["address"],
                    raw["data_centre"],
                    str(target),
                    raw["control"],
                )
            )
        return daemons

    def centres(self) -> list[str]:
        """Return the names of the data centres, sorted."""
        return sorted({daemon.data_centre for daemon in self.daemons})

    def _make_upstream_settings(self) -> list[upstream.UpstreamSettings]:
        centres = self.centres()
        upstreams = []
        for service, count in self.customer.endpoints.items():
            for index in range(count):
                centre = centres[(index + len(upstreams)) % len(centres)]
                upstreams.append(
                    self._settings_of(service, index, centre, len(upstreams))
                )
        return upstreams

    def _settings_of(
        self,
        service: str,
        index: int,
        centre: str,
        number: int,
    ) -> upstream.UpstreamSettings:
        targets = tuple(
            f"{daemon.address}:7406"
            for daemon in self.daemons
            if daemon.data_centre == centre
        )
        return upstream.UpstreamSettings(
            name=f"{service}-{index + 1}",
            service=service,
            address=f"{self._net}.{100 + number}",
            port=PACKET_PORT,
            request_port=REQUEST_PORT,
            data_centre=centre,
            announce=targets,
            judge=self.judge_address,
            delay_s=self.customer.between_s,
            seed=self._seed * 1000 + number,
        )

    def services(self, load: float) -> list[callers.Service]:
        """Return the services with their request rates.

        :param load: share of what all upstreams can serve, 0 to 1
        """
        services = []
        for index, (name, count) in enumerate(self.customer.endpoints.items()):
            settings = next(
                settings
                for settings in self.upstream_settings
                if settings.service == name
            )
            capacity = count * settings.slots / settings.service_s
            address = f"10.{self.customer.net}.0.{index + 1}"
            services.append(
                callers.Service(name, address, 443, load * capacity)
            )
        return services

    # Processes.

    def start_daemon(self, daemon: Daemon) -> None:
        """Start the daemon of an entry VM."""
        self._start_process(daemon.name, [*self.command, "run", daemon.path])

    def start_upstream(self, settings: upstream.UpstreamSettings) -> None:
        """Write the settings of an upstream stand-in and start it."""
        path = self.folder / f"upstream-{settings.name}.json"
        path.write_text(json.dumps(attrs.asdict(settings)), encoding="utf-8")
        module = [sys.executable, "-m", "standins.upstream"]
        self._start_process(settings.name, [*module, str(path)])

    def _start_process(self, name: str, command: list[str]) -> None:
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        with contextlib.closing(log):
            self.processes[name] = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
                env={**os.environ, "SHIV_ROOT": str(self.folder / "unpacked")},
            )

    def rss_max_bytes(self) -> int:
        """Return the largest resident set size among running daemons."""
        sizes = [0]
        for daemon in self.daemons:
            process = self.processes.get(daemon.name)
            if process is None or process.poll() is not None:
                continue
            sizes.append(psutil.Process(process.pid).memory_info().rss)
        return max(sizes)

    def exited(self) -> list[str]:
        """Return the names of processes that are not running any more."""
        return sorted(
            name
            for name, process in self.processes.items()
            if process.poll() is not None
        )

    def stop(self) -> None:
        """Terminate all processes; kill those that outlast the timeout."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            while process.poll() is None and time.monotonic() < deadline:
                gevent.sleep(0.05)
            if process.poll() is None:
                process.kill()
            process.wait()


def _find_free_net(second: int) -> str:
    """Return a prefix 127.x.y that no other deployment uses.

    A deployment holds the judge's port on its own prefix.
    """
    start = os.getpid() % 250
    for offset in range(250):
        net = f"127.{second}.{(start + offset) % 250 + 1}"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind((f"{net}.250", JUDGE_PORT))
            except OSError:
                continue
            return net
    raise OSError(f"no free loopback network in 127.{second}.1 to .250")


def _sha256_hex(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def program_command(binary: str) -> list[str]:
    """Return the command line that runs ``ebonytally``.

    :param binary: built program, "" to run this source tree
    """
    if binary:
        return [sys.executable, os.path.abspath(binary)]
    return [sys.executable, "-m", "ebonytally"]
