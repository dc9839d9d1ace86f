"""The deployment of a run: VMs, upstreams, callers and an operator."""

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

# For each unit of a run's size, besides an upstream of each service in
# each data centre.
ENTRIES = 4
CALLERS = 4
USERS_PER_CALLER = 3
SEED_VM_COUNT = 3
START_TIMEOUT_S = 20.0
REQUESTS_PER_FLOW = 6


class World:
    """All parts of a run; closing its stack stops them."""

    def __init__(
        self,
        seed: int,
        net: int,
        folder: pathlib.Path,
        stack: contextlib.ExitStack,
        size: int = 1,
    ) -> None:
        """Create the parts without starting any.

        :param net: second byte of all addresses
        :param size: multiplies entry VMs, upstreams and callers
        """
        self.rng = random.Random(seed)
        self._size = size
        self._net = net
        self.stack = stack
        self.vms = vms.make_vms(net, folder, ENTRIES * size)
        self.control = [vm for vm in self.vms if vm.control]
        self.entries = [vm for vm in self.vms if not vm.control]
        self._names = {vm.address: vm.name for vm in self.vms}
        self.judge = judges.Judge(frozenset(vm.name for vm in self.control))
        self.links = link_lib.Links(stack)
        for vm in self.vms:
            for other in self.vms:
                # Entry VMs send nothing to each other.
                if vm is not other and (vm.control or other.control):
                    streams = vm.control and other.control
                    self.links.add(vm.endpoint, other.endpoint, streams)
        self.fabric = callers.Fabric(self.entries)
        self.operator = operator.Operator(self, seed)
        self.upstreams: list[upstreams.Upstream] = []
        self._hosts = 0
        for vm in self.vms:
            stack.callback(vm.kill)

    # Queries of callers, upstreams and the operator.

    def can_pass(self, source: str, target: str) -> bool:
        """Return whether the link between two addresses is not cut."""
        return self.links.can_pass(source, target)

    def control_addresses(self) -> list[str]:
        """Return the addresses of the control VMs, in random order."""
        addresses = [vm.address for vm in self.control]
        return self.rng.sample(addresses, len(addresses))

    def vm_name(self, address: str) -> str:
        """Return the name of the VM with an address, "" if none has it."""
        return self._names.get(address, "")

    def out_acknowledged_at(self, data_centre: str) -> float:
        """Return when its evacuation was acknowledged, or infinity."""
        return self.operator.acknowledged.out.get(data_centre, float("inf"))

    def routes(self) -> list[callers.Route]:
        """Return routes that no configuration change removes.

        The newest ones may not have reached all entry VMs yet.
        """
        return [*operator.STABLE_ROUTES, *self.operator.newest_routes()]

    def services_of(self, route: callers.Route) -> frozenset[str]:
        """Return all services that a route has ever named."""
        return frozenset({route.service})

    def upstream_of(self, key: tuple[bytes, int]) -> tuple[str, bool]:
        """Return the upstream with an open flow, and whether it runs."""
        for upstream in self.upstreams:
            if upstream.has_flow(key):
                return upstream.id, upstream.is_running
        return "", False

    # Start and supervision.

    def start(self) -> None:
        """Start all parts and wait until the entry VMs are ready.

        :raises RuntimeError: when the deployment does not start in time
        """
        for vm in self.vms:
            vm.start(self.seeds(), True)
        for _ in range(self._size):
            for service in operator.SERVICES:
                for data_centre in vms.DATA_CENTRES:
                    self.add_upstream(service, data_centre)
        if not self.operator.change_configuration():
            raise RuntimeError(
                "first configuration refused or not acknowledged "
                f"within {operator.ORDER_TIMEOUT_S:g} s"
            )
        until = time.monotonic() + START_TIMEOUT_S
        while not all(
            self.fabric.query_readiness(vm.address) for vm in self.entries
        ):
            if time.monotonic() > until:
                raise RuntimeError(
                    f"entry VMs not ready within {START_TIMEOUT_S:g} s"
                )
            gevent.sleep(0.2)
        self.spawn(self.fabric.run)
        for number in range(1, CALLERS * self._size + 1):
            address = f"127.{self._net}.3.{number}"
            caller = callers.Caller(self, address, number, self.stack)
            for user in range(USERS_PER_CALLER):
                requests = REQUESTS_PER_FLOW if user else 1
                self.spawn(caller.run_user, requests)

    def seeds(self) -> list[str]:
        """Return the seed addresses for the settings files."""
        return [vm.address for vm in self.control[:SEED_VM_COUNT]]

    def spawn(self, call: object, *args: object) -> gevent.Greenlet:
        """Run a call in a greenlet that the stack kills."""
        task = gevent.spawn(call, *args)
        self.stack.callback(task.kill)
        return task

    def new_address(self) -> str:
        """Return an address that no upstream has had."""
        self._hosts += 1
        return f"127.{self._net}.4.{self._hosts}"

    def add_upstream(
        self,
        service: str,
        data_centre: str,
        address: str = "",
    ) -> upstreams.Upstream:
        """Start another upstream.

        :param address: address to reuse, "" for a new one
        """
        address = address or self.new_address()
        upstream = upstreams.Upstream(
            self,
            f"i-{self.rng.getrandbits(40):010x}",
            service,
            address,
            data_centre,
        )
        self.stack.callback(upstream.crash)
        self.upstreams.append(upstream)
        upstream.start()
        return upstream

    def check_processes(self) -> None:
        """Record processes that ended unexpectedly, and restart them."""
        for vm in self.vms:
            if vm.ended_unexpectedly:
                now = time.monotonic()
                status = vm.process.returncode
                detail = f"{vm.name}, exit status {status}"
                self.judge.record_violation(
                    now, "process ended by itself", detail
                )
                vm.start(self.seeds(), False)


def folder_for(seed: int) -> pathlib.Path:
    """Create and return an empty folder for a run."""
    root = vms.ROOT / "target" / "soak" / f"seed-{seed}-{os.getpid()}"
    root.mkdir(parents=True)
    return root
