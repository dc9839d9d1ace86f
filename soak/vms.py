"""VMs under test: one process each, with its own settings file."""

import contextlib
import os
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import sys
import threading
from typing import IO

import attrs

from soak import links as link_lib

PACKET_PORT = 8172
READY_PORT = 8167
CONTROL_PORT = 8166
FIRST_PORT = 7100
PORTS_PER_VM = 4
# Second bytes of loopback networks; the demo and examples use lower ones.
NETS = range(100, 250)
DATA_CENTRES = ("dc-a", "dc-b", "dc-c", "dc-d")
ANNOUNCE_MS = 600
ROOT = pathlib.Path(__file__).resolve().parent.parent

_SETTINGS = """\
node-name = "{name}"
role = "{role}"
serves = ["{serves}"]
ip = "{address}"
zone = "{data_centre}"
region = "west"
internal-port-range = [{port}, {last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
heartbeat-ms = {announce_ms}
data-dir = "{data}"
[zones]
{zones}
[bind-addrs]
{binds}
[bounds]
grace-s = 6
cold-slack = 5
flow-ttl-s = 60
"""


@attrs.define
class Vm:
    """One VM and its process.

    :param process: None while the VM is down
    :param end_expected: whether the soak stopped or killed the process
    """

    name: str
    endpoint: link_lib.Endpoint
    data_centre: str
    control: bool
    folder: pathlib.Path
    process: subprocess.Popen | None = None
    end_expected: bool = True

    @property
    def address(self) -> str:
        """Return its IP address, which identifies it to other VMs."""
        return self.endpoint.address

    def start(self, seeds: list[str], first: bool) -> None:
        """Start the process.

        :param first: whether the system is bootstrapped by this start
        """
        self.configure(seeds, first)
        self.launch()

    def launch(self) -> None:
        """Start the process with the existing settings file."""
        env = dict(os.environ)
        env["EBONYTALLY_CONFIG"] = str(self.folder / "node.toml")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "ebonytally.platform"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        # A pipe, as a full disk must not stop the log.
        threading.Thread(
            target=_copy_output,
            args=(self.process.stdout, self.folder / "log"),
            daemon=True,
        ).start()
        self.end_expected = False

    def fill_disk(self) -> None:
        """Make each write to a file of the process fail."""
        self._limit_file_size(0)

    def make_room(self) -> None:
        """End `fill_disk`."""
        self._limit_file_size(resource.RLIM_INFINITY)

    def _limit_file_size(self, size: int) -> None:
        if self.is_running:
            limits = (size, resource.RLIM_INFINITY)
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, limits)

    def configure(self, seeds: list[str], first: bool) -> None:
        """Replace the settings file atomically."""
        binds = f'control = "{self.address}:{CONTROL_PORT}"'
        if not self.control:
            binds = (
                f'datagram-addr = "{self.address}:{PACKET_PORT}"\n'
                f'ready = "{self.address}:{READY_PORT}"'
            )
        self.folder.mkdir(parents=True, exist_ok=True)
        text = _SETTINGS.format(
            name=self.name,
            role="control" if self.control else "entry",
            serves="control" if self.control else "front",
            address=self.address,
            data_centre=self.data_centre,
            port=self.endpoint.port,
            last=self.endpoint.port + PORTS_PER_VM - 1,
            seeds=", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in seeds),
            bootstrap=str(first).lower(),
            announce_ms=ANNOUNCE_MS,
            data=self.folder / "data" if self.control else "",
            zones="\n".join(f'{zone} = "west"' for zone in DATA_CENTRES),
            binds=binds,
        )
        new = self.folder / "node.toml.new"
        new.write_text(text)
        new.rename(self.folder / "node.toml")

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.end_expected = True
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()
            self.process = None

    def terminate(self) -> None:
        """Request a graceful stop of the process."""
        self.end_expected = True
        self.signal(signal.SIGTERM)

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def ended_unexpectedly(self) -> bool:
        """Return whether the process ended without being stopped."""
        return not self.end_expected and not self.is_running

    def wipe(self) -> None:
        """Delete all data on the VM's disk."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)

    def tear(self, tail: bytes) -> None:
        """Append bytes to the newest log file, as a torn write leaves them."""
        logs = sorted((self.folder / "data").glob("log-*"))
        if logs:
            with logs[-1].open("ab") as file:
                file.write(tail)


def _copy_output(source: IO[bytes], path: pathlib.Path) -> None:
    """Append what a process writes to a file, until the process ends."""
    with source, path.open("ab") as log:
        shutil.copyfileobj(source, log)


def reserve_network(stack: contextlib.ExitStack) -> int:
    """Reserve a loopback network; return the second byte of its addresses.

    :param stack: releases the network
    :raises RuntimeError: when other runs use all networks
    """
    for net in NETS:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind((f"127.{net}.9.9", FIRST_PORT))
        except OSError:
            sock.close()
            continue
        stack.callback(sock.close)
        return net
    raise RuntimeError(
        f"no loopback network is free: tried 127.{NETS[0]} to 127.{NETS[-1]}"
    )


def make_vms(net: int, folder: pathlib.Path, entries: int) -> list[Vm]:
    """Return one control VM per data centre, and some entry VMs.

    :param net: second byte of all addresses, unique to a run
    """
    made = []
    for number in range(len(DATA_CENTRES) + entries):
        control = number < len(DATA_CENTRES)
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        kind = "control" if control else "entry"
        host = number if control else number - len(DATA_CENTRES)
        address = f"127.{net}.{2 if control else 1}.{host + 1}"
        port = FIRST_PORT + PORTS_PER_VM * number
        name = f"{kind}-{data_centre}-{host + 1}"
        endpoint = link_lib.Endpoint(address, port)
        made.append(Vm(name, endpoint, data_centre, control, folder / name))
    return made
