"""Entry and control roles as real processes on loopback."""

import contextlib
import signal
import time

import pytest

from soak import callers
from soak import judge as judges
from soak import links
from soak import operator
from soak import upstreams
from soak import vms

ANSWERS_S = 2.0
GRACE_S = 6.0
UP_S = 10.0
CONFIG = "/v1/Config.Get"


class World:
    """Four control VMs and an entry VM, without any proxy between."""

    def __init__(self, folder, stack):
        made = vms.make(vms.claim_net(stack), folder, 1)
        self.judge = judges.Judge(frozenset())
        self.vms = made
        for vm in made:
            # All on the same port: nothing stands between them.
            vm.place = links.Place(vm.address, vms.FIRST_PORT)
        self.control = made[: len(vms.DATA_CENTRES)]
        self.entry = made[-1]

    def control_addresses(self):
        """Return the control VMs to call."""
        return [vm.address for vm in self.control]

    def start(self, vm, first=False):
        """Start a VM that knows three seeds."""
        vm.start(self.control_addresses()[:3], first)


@pytest.fixture
def world(tmp_path):
    """Return a world whose processes end with the test."""
    with contextlib.ExitStack() as stack:
        made = World(tmp_path, stack)
        for vm in made.vms:
            stack.callback(vm.kill)
        yield made


def until(what, seconds):
    """Return how long it took until something held."""
    began = time.monotonic()
    while not what():
        assert time.monotonic() - began < seconds
        time.sleep(0.02)
    return time.monotonic() - began


def answers(vm):
    """Return whether a control VM answers calls."""
    return upstreams.post(vm.address, CONFIG, method="GET") is not None


def test_a_control_vm_answers_within_two_seconds_of_its_start(world):
    one = world.control[0]
    world.start(one, first=True)
    assert until(lambda: answers(one), UP_S) < ANSWERS_S
    answer = upstreams.post(one.address, CONFIG, method="GET")
    assert answer.status == 503


def test_roles_serve_reload_and_stop_as_the_platform_asks(world):
    for vm in world.vms:
        world.start(vm, first=True)
    fabric = callers.Fabric([world.entry])
    assert not fabric.ask(world.entry.address)
    assert operator.Operator(world, 1).change()
    until(lambda: fabric.ask(world.entry.address), UP_S)
    for vm in world.vms:
        vm.signal(signal.SIGHUP)
    time.sleep(0.3)
    assert all(vm.running for vm in world.vms)
    for vm in world.vms:
        vm.terminate()
    until(lambda: not fabric.ask(world.entry.address), 1.0)
    until(lambda: not any(vm.running for vm in world.vms), GRACE_S)
    assert {vm.process.returncode for vm in world.vms} == {0}


def test_invalid_settings_end_a_start_with_one_clear_line(world):
    one = world.control[0]
    one.configure([], True)
    path = one.folder / "node.toml"
    path.write_text(path.read_text().replace('serves = ["control"]', ""))
    one.launch()
    assert one.process.wait(UP_S) == 1
    lines = (one.folder / "log").read_text().splitlines()
    assert len(lines) == 1
    assert "'serves' is missing" in lines[0]
