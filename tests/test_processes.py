"""Entry and control roles as real processes on loopback."""

import contextlib
import json
import signal
import time

import pytest

from ebonytally.cli import cli
from soak import callers
from soak import judge as judges
from soak import links
from soak import operator
from soak import upstreams
from soak import vms

MAX_START_S = 2.0
STOP_TIMEOUT_S = 6.0
START_TIMEOUT_S = 10.0
CONFIG_PATH = "/v1/Config.Get"


class World:
    """Control VMs, one per data centre, and an entry VM, without proxies."""

    def __init__(self, folder, stack):
        vms_ = vms.make_vms(vms.reserve_network(stack), folder, 1)
        self.judge = judges.Judge(frozenset())
        self.vms = vms_
        for vm in vms_:
            # No proxy is between them, so all use the same port.
            vm.endpoint = links.Endpoint(vm.address, vms.FIRST_PORT)
        self.control = vms_[: len(vms.DATA_CENTRES)]
        self.entry = vms_[-1]

    def control_addresses(self):
        """Return the addresses of the control VMs."""
        return [vm.address for vm in self.control]

    def start(self, vm, first=False):
        """Start a VM with the first three control VMs as seeds."""
        vm.start(self.control_addresses()[:3], first)


@pytest.fixture
def world(tmp_path):
    """Yield a world whose processes are killed after the test."""
    with contextlib.ExitStack() as stack:
        world = World(tmp_path, stack)
        for vm in world.vms:
            stack.callback(vm.kill)
        yield world


def wait_until(condition, timeout_s):
    """Wait for a condition; return the seconds waited."""
    started_at = time.monotonic()
    while not condition():
        assert time.monotonic() - started_at < timeout_s
        time.sleep(0.02)
    return time.monotonic() - started_at


def is_answering(vm):
    """Return whether a control VM answers HTTP requests."""
    return (
        upstreams.send_request(vm.address, CONFIG_PATH, method="GET")
        is not None
    )


def test_a_control_vm_answers_within_two_seconds_of_its_start(world):
    vm = world.control[0]
    world.start(vm, first=True)
    assert wait_until(lambda: is_answering(vm), START_TIMEOUT_S) < MAX_START_S
    response = upstreams.send_request(vm.address, CONFIG_PATH, method="GET")
    assert response.status == 503


def test_roles_serve_reload_and_stop_on_signals(world):
    for vm in world.vms:
        world.start(vm, first=True)
    fabric = callers.Fabric([world.entry])
    assert not fabric.query_readiness(world.entry.address)
    assert operator.Operator(world, 1).change_configuration()
    wait_until(
        lambda: fabric.query_readiness(world.entry.address), START_TIMEOUT_S
    )
    for vm in world.vms:
        vm.signal(signal.SIGHUP)
    time.sleep(0.3)
    assert all(vm.is_running for vm in world.vms)
    for vm in world.vms:
        vm.terminate()
    wait_until(lambda: not fabric.query_readiness(world.entry.address), 1.0)
    wait_until(
        lambda: not any(vm.is_running for vm in world.vms), STOP_TIMEOUT_S
    )
    assert {vm.process.returncode for vm in world.vms} == {0}


def test_a_running_entry_vm_explains_by_command(world, capsys):
    # Failure: the process opens its metrics port without the role's pages.
    for vm in world.vms:
        world.start(vm, first=True)
    assert operator.Operator(world, 1).change_configuration()
    words = ["explain", "--at", world.entry.address, "--json"]

    def reason(route):
        capsys.readouterr()
        assert cli.run([*words, "100.65.0.4:1034", route]) in (1, 2)
        return json.loads(capsys.readouterr().out).get("reason")

    wait_until(lambda: reason("192.0.2.1:9") == "no_route", START_TIMEOUT_S)
    assert reason("192.0.2.1") == "bad_query"


def test_invalid_settings_end_the_start_with_one_line_of_error(world):
    vm = world.control[0]
    vm.configure([], True)
    path = vm.folder / "node.toml"
    path.write_text(path.read_text().replace('serves = ["control"]', ""))
    vm.launch()
    assert vm.process.wait(START_TIMEOUT_S) == 1
    lines = (vm.folder / "log").read_text().splitlines()
    assert len(lines) == 1
    assert "'serves' is missing" in lines[0]
