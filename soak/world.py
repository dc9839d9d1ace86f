"""One run's deployment: VMs, upstreams, callers and an operator."""

import contextlib
import os
import pathlib
import random
import time

import gevent

from soak import callers
from soak import judge as judges
from soak import links as link_lib
from soak import operator
from soak import upstreams
from soak import vms

ENTRIES = 4
CALLERS = 4
USERS = 3
SEEDS = 3
UP_S = 20.0
REQUESTS_A_FLOW = 6


class World:
    """Everything that one run needs; its stack ends it all."""

    def __init__(
        self,
        seed: int,
        net: int,
        folder: pathlib.Path,
        stack: contextlib.ExitStack,
    ) -> None:
        """Make the parts; nothing runs yet.

        :param net: second byte of all addresses
        """
        self.rng = random.Random(seed)
        self._net = net
        self.stack = stack
        self.vms = vms.make(net, folder, ENTRIES)
        self.control = [vm for vm in self.vms if vm.control]
        self.entries = [vm for vm in self.vms if not vm.control]
        self._names = {vm.address: vm.name for vm in self.vms}
        self.judge = judges.Judge(frozenset(vm.name for vm in self.control))
        self.links = link_lib.Links(stack)
        for one in self.vms:
            for other in self.vms:
                if one is not other:
                    both = one.control and other.control
                    self.links.add(one.place, other.place, both)
        self.fabric = callers.Fabric(self.entries)
        self.operator = operator.Operator(self, seed)
        self.upstreams: list[upstreams.Upstream] = []
        self._hosts = 0
        for vm in self.vms:
            stack.callback(vm.kill)

    # What the stand-ins see.

    def passes(self, source: str, target: str) -> bool:
        """Return whether packets between two addresses pass."""
        return self.links.passes(source, target)

    def control_addresses(self) -> list[str]:
        """Return the control VMs in any order."""
        names = [vm.address for vm in self.control]
        return self.rng.sample(names, len(names))

    def name_of(self, address: str) -> str:
        """Return the VM that has an address."""
        return self._names.get(address, "")

    def out_since(self, data_centre: str) -> float:
        """Return when taking it out was acknowledged, infinity if not."""
        return self.operator.held.out.get(data_centre, float("inf"))

    def routes(self) -> list[callers.Route]:
        """Return routes that are in force for long."""
        return list(operator.STEADY)

    def services_of(self, route: callers.Route) -> frozenset[str]:
        """Return all services that a route has ever named."""
        return frozenset({route.service})

    def holder(self, key: tuple[bytes, int]) -> tuple[str, bool]:
        """Return the upstream that a flow is open at, and if it lives."""
        for one in self.upstreams:
            if one.holds(key):
                return one.id, one.alive
        return "", False

    # Life of the run.

    def start(self) -> None:
        """Start everything and wait until it serves.

        :raises RuntimeError: when it doesn't come up
        """
        for vm in self.vms:
            vm.start(self.seeds(), True)
        for service in operator.SERVICES:
            for data_centre in vms.DATA_CENTRES:
                self.add_upstream(service, data_centre)
        if not self.operator.change():
            raise RuntimeError("no configuration was acknowledged")
        until = time.monotonic() + UP_S
        while not all(self.fabric.ask(vm.address) for vm in self.entries):
            if time.monotonic() > until:
                raise RuntimeError("entry VMs don't get ready")
            gevent.sleep(0.2)
        self.spawn(self.fabric.run)
        for number in range(1, CALLERS + 1):
            address = f"127.{self._net}.3.{number}"
            caller = callers.Caller(self, address, number, self.stack)
            for user in range(USERS):
                many = REQUESTS_A_FLOW if user else 1
                self.spawn(caller.use, many)

    def seeds(self) -> list[str]:
        """Return the control VMs that settings name."""
        return [vm.address for vm in self.control[:SEEDS]]

    def spawn(self, call: object, *args: object) -> gevent.Greenlet:
        """Run something until the run ends."""
        task = gevent.spawn(call, *args)
        self.stack.callback(task.kill)
        return task

    def add_upstream(
        self,
        service: str,
        data_centre: str,
        address: str = "",
    ) -> upstreams.Upstream:
        """Start one more upstream.

        :param address: to use again, "" for a new one
        """
        if not address:
            self._hosts += 1
            address = f"127.{self._net}.4.{self._hosts}"
        one = upstreams.Upstream(
            self,
            f"i-{self.rng.getrandbits(40):010x}",
            service,
            address,
            data_centre,
        )
        self.stack.callback(one.crash)
        self.upstreams.append(one)
        one.start()
        return one

    def check_processes(self) -> None:
        """Note processes that ended by themselves; start them again."""
        for vm in self.vms:
            if vm.ended_by_itself:
                now = time.monotonic()
                status = vm.process.returncode
                detail = f"{vm.name} with {status}"
                self.judge.broke(now, "process ended by itself", detail)
                vm.start(self.seeds(), False)


def folder_for(seed: int) -> pathlib.Path:
    """Return an empty folder for a run."""
    root = vms.ROOT / "target" / "soak" / f"seed-{seed}-{os.getpid()}"
    root.mkdir(parents=True)
    return root
