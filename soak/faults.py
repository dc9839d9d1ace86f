"""Faults injected into a deployment, drawn from a seed."""

from collections.abc import Callable
import random
import signal
import time

import attrs
import gevent

from soak import judge as judges
from soak import odd_entries
from soak import operator
from soak import upstreams
from soak import vms
from soak import world as worlds

# Faults start within this time; then the system must recover.
FAULT_WINDOW_S = 12.0
MIN_FAULTS = 5
MAX_FAULTS = 10
MIN_DURATION_S = 0.3
MAX_DURATION_S = 4.0
# Replicas have caught up after a lost disk: catch-up-s and a margin.
DISK_RECOVERY_S = 6.0
# An address may be reused after this time (addr-reuse-s).
ADDRESS_REUSE_S = 2.0
# Limit for a graceful stop (grace-s).
STOP_GRACE_S = 6.0
MAX_DELAY_S = 0.4
MAX_TORN_BYTES = 60
# Share of the seeds in which disks fill up.
FULL_DISK_SHARE = 0.4
# Share of the seeds with odd entries, and with each of the late kinds.
ODD_ENTRIES_SHARE = 0.7
LATE_KIND_SHARE = 0.4
# Planned stops in turn begin at least this far apart.
ROLL_INTERVAL_S = 1.2


@attrs.frozen
class Fault:
    """A fault to inject.

    :param start_s: seconds after the start of traffic
    :param kind: name of the `Faults` method that injects it
    :param selector: 0 to 1, selects the target among the candidates
    """

    start_s: float
    kind: str
    duration_s: float
    selector: float


def plan(seed: int) -> list[Fault]:
    """Return the faults and changes of a seed, ordered by start."""
    rng = random.Random(seed)
    faults = []
    kinds = sorted(KINDS.keys() - _DISK_KINDS - _LATE_KINDS.keys())
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        kind = rng.choice(kinds)
        start_s = rng.uniform(0.0, FAULT_WINDOW_S)
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        faults.append(Fault(start_s, kind, duration_s, rng.random()))
        if rng.random() < 0.3:
            # Repeat the fault while the first one may still be active.
            repeat_s = start_s + rng.uniform(0.1, duration_s + 1.0)
            faults.append(Fault(repeat_s, kind, duration_s, rng.random()))
    # Drawn last, so that older seeds keep their faults.
    if rng.random() < FULL_DISK_SHARE:
        kind = rng.choice(sorted(_DISK_KINDS))
        start_s = rng.uniform(0.0, FAULT_WINDOW_S)
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        faults.append(Fault(start_s, kind, duration_s, rng.random()))
    for kind, share in _LATE_KINDS.items():
        while rng.random() < share:
            start_s = rng.uniform(0.0, FAULT_WINDOW_S)
            duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
            faults.append(Fault(start_s, kind, duration_s, rng.random()))
    return sorted(faults, key=lambda fault: fault.start_s)


class Faults:
    """Injects the faults of a plan; each public method but `run` is a kind."""

    def __init__(self, world: worlds.World) -> None:
        """Set up without any active fault."""
        self._world = world
        self._wiped_at = float("-inf")
        self._down: set[str] = set()

    def run(self, faults: list[Fault]) -> list[gevent.Greenlet]:
        """Schedule each fault at its start; return the tasks."""
        return [
            gevent.spawn_later(fault.start_s, KINDS[fault.kind], self, fault)
            for fault in faults
        ]

    def _target(self, candidates: list, fault: Fault) -> object:
        """Return the candidate that a fault selects."""
        return candidates[int(fault.selector * len(candidates))]

    # Processes.

    def _restart(
        self,
        targets: list[vms.Vm],
        fault: Fault,
        end_process: Callable[[vms.Vm], None],
    ) -> None:
        """End running processes, and restart them after the fault."""
        targets = [vm for vm in targets if vm.name not in self._down]
        names = {vm.name for vm in targets}
        self._down |= names
        record = self._world.judge.record_fault(names)
        for vm in targets:
            end_process(vm)
        gevent.sleep(fault.duration_s)
        for vm in targets:
            vm.kill()
            vm.start(self._world.seeds(), False)
        self._down -= names
        record.until = time.monotonic()

    def kill_entry(self, fault: Fault) -> None:
        """Kill an entry VM's process."""
        vm = self._target(self._world.entries, fault)
        self._restart([vm], fault, vms.Vm.kill)

    def kill_control(self, fault: Fault) -> None:
        """Kill a control VM's process."""
        vm = self._target(self._world.control, fault)
        self._restart([vm], fault, vms.Vm.kill)

    def kill_all(self, fault: Fault) -> None:
        """Kill all processes at once."""
        self._restart(self._world.vms, fault, vms.Vm.kill)

    def stop_entry(self, fault: Fault) -> None:
        """Stop an entry VM gracefully while it has open flows."""
        self._stop_gracefully(self._target(self._world.entries, fault))

    def roll_entries(self, fault: Fault) -> None:
        """Stop all entry VMs gracefully, one after the other."""
        tasks = []
        for vm in self._world.entries:
            tasks.append(gevent.spawn(self._stop_gracefully, vm))
            gevent.sleep(ROLL_INTERVAL_S)
        for task in tasks:
            task.get()

    def _stop_gracefully(self, vm: vms.Vm) -> None:
        """Stop a VM that runs, check how long that takes, and restart it."""
        if vm.name in self._down:
            return
        self._down.add(vm.name)
        vm.terminate()
        until = time.monotonic() + STOP_GRACE_S
        while vm.is_running and time.monotonic() < until:
            gevent.sleep(0.05)
        if vm.is_running:
            now = time.monotonic()
            self._world.judge.record_violation(
                now,
                "stop took too long",
                f"{vm.name} still runs after {STOP_GRACE_S:g} s",
            )
        vm.kill()
        vm.start(self._world.seeds(), False)
        self._down.discard(vm.name)

    def pause(self, fault: Fault) -> None:
        """Suspend a process for the duration of the fault."""
        vm = self._target(self._world.vms, fault)
        if vm.name in self._down:
            return
        self._down.add(vm.name)
        record = self._world.judge.record_fault({vm.name})
        vm.signal(signal.SIGSTOP)
        gevent.sleep(fault.duration_s)
        vm.signal(signal.SIGCONT)
        self._down.discard(vm.name)
        record.until = time.monotonic()

    def reload(self, fault: Fault) -> None:
        """Change the seeds in a settings file, with or without a SIGHUP."""
        vm = self._target(self._world.vms, fault)
        seeds = [seed.address for seed in self._world.control[1:]]
        vm.configure(seeds, False)
        if fault.duration_s > 1.0:
            vm.signal(signal.SIGHUP)

    # Disks.

    def wipe(self, fault: Fault) -> None:
        """Kill a control VM and delete its disk."""
        now = time.monotonic()
        if (
            now - self._wiped_at < DISK_RECOVERY_S + MAX_DURATION_S
            or self._down
        ):
            return
        self._wiped_at = now

        def lose_disk(vm: vms.Vm) -> None:
            vm.kill()
            vm.wipe()

        vm = self._target(self._world.control, fault)
        self._restart([vm], fault, lose_disk)

    def tear(self, fault: Fault) -> None:
        """Kill a control VM and leave a torn write in its log."""
        rng = random.Random(fault.selector)
        tail = rng.randbytes(rng.randint(1, MAX_TORN_BYTES))
        if rng.random() < 0.5:
            tail = bytes(len(tail))

        def tear_log(vm: vms.Vm) -> None:
            vm.kill()
            vm.tear(tail)

        vm = self._target(self._world.control, fault)
        self._restart([vm], fault, tear_log)

    def full_disk(self, fault: Fault) -> None:
        """Let a control VM's disk be full for the fault's duration."""
        vm = self._target(self._world.control, fault)
        self._fill_disk(vm, fault.duration_s)

    def full_disks_in_turn(self, fault: Fault) -> None:
        """Let each control VM's disk be full, one after another."""
        for vm in self._world.control:
            self._fill_disk(vm, fault.duration_s / 2)

    def _fill_disk(self, vm: vms.Vm, duration_s: float) -> None:
        record = self._world.judge.record_fault({vm.name})
        vm.fill_disk()
        gevent.sleep(duration_s)
        vm.make_room()
        record.until = time.monotonic()

    # Links.

    def _disrupt_links(
        self,
        sources: set[str],
        peers: set[str],
        fault: Fault,
        both_ways: bool,
        delay_s: float = 0.0,
    ) -> None:
        """Cut or delay the links between addresses for the fault's duration.

        :param delay_s: 0 to cut the links
        """
        links = self._world.links.between(sources, peers)
        if both_ways:
            links += self._world.links.between(peers, sources)
        record = self._world.judge.record_fault(
            self._names_at(sources | peers)
        )
        for link in links:
            link.delay_s = delay_s
            link.cut = not delay_s
        gevent.sleep(fault.duration_s)
        for link in links:
            link.delay_s = 0.0
            link.cut = False
        record.until = time.monotonic()

    def _names_at(self, addresses: set[str]) -> set[str]:
        """Return the names of the VMs and upstreams at some addresses."""
        names = {self._world.vm_name(address) for address in addresses}
        names |= {
            upstream.id
            for upstream in self._world.upstreams
            if upstream.address in addresses
        }
        return names

    def _all_addresses(self) -> set[str]:
        """Return the addresses of all VMs and upstreams."""
        return {vm.address for vm in self._world.vms} | {
            upstream.address for upstream in self._world.upstreams
        }

    def cut_vm(self, fault: Fault) -> None:
        """Cut a VM off from all VMs and upstreams."""
        vm = self._target(self._world.vms, fault)
        self._disrupt_links(
            {vm.address}, self._all_addresses(), fault, both_ways=True
        )

    def one_way(self, fault: Fault) -> None:
        """Drop all messages from a VM to other VMs, in this direction only."""
        vm = self._target(self._world.vms, fault)
        others = {peer.address for peer in self._world.vms}
        self._disrupt_links({vm.address}, others, fault, both_ways=False)

    def cut_data_centre(self, fault: Fault) -> None:
        """Cut a data centre off from the others."""
        name = self._target(list(vms.DATA_CENTRES), fault)
        inside = {
            host.address
            for host in (*self._world.vms, *self._world.upstreams)
            if host.data_centre == name
        }
        self._disrupt_links(
            inside, self._all_addresses() - inside, fault, both_ways=True
        )

    def halve_core(self, fault: Fault) -> None:
        """Cut the control VMs into halves; all other hosts reach both."""
        half = {vm.address for vm in self._world.control[:2]}
        other_half = {vm.address for vm in self._world.control[2:]}
        self._disrupt_links(half, other_half, fault, both_ways=True)

    def delay(self, fault: Fault) -> None:
        """Delay messages between a VM and all others."""
        vm = self._target(self._world.vms, fault)
        others = {peer.address for peer in self._world.vms}
        delay_s = MAX_DELAY_S * fault.selector + 0.01
        self._disrupt_links({vm.address}, others, fault, True, delay_s)

    def reset(self, fault: Fault) -> None:
        """Reset a control VM's connections."""
        vm = self._target(self._world.control, fault)
        record = self._world.judge.record_fault({vm.name})
        self._world.links.reset({vm.address})
        record.until = time.monotonic()

    def silence(self, fault: Fault) -> None:
        """Stop all traffic on a control VM's open connections for good."""
        vm = self._target(self._world.control, fault)
        record = self._world.judge.record_fault({vm.name})
        self._world.links.silence({vm.address})
        record.until = time.monotonic()

    # Upstreams.

    def _serving_upstreams(self) -> list[upstreams.Upstream]:
        return [
            upstream
            for upstream in self._world.upstreams
            if upstream.is_running and not upstream.draining
        ]

    def crash_upstream(self, fault: Fault) -> None:
        """Crash an upstream and restart it under the same id."""
        upstream = self._target(self._serving_upstreams(), fault)
        record = self._world.judge.record_fault({upstream.id})
        upstream.crash()
        gevent.sleep(fault.duration_s)
        upstream.start()
        record.until = time.monotonic()

    def move_upstream(self, fault: Fault) -> None:
        """Restart an upstream elsewhere, and reuse its first address."""
        upstream = self._target(self._serving_upstreams(), fault)
        record = self._world.judge.record_fault({upstream.id})
        first_address = upstream.address
        upstream.crash()
        gevent.sleep(fault.duration_s)
        upstream.address = self._world.new_address()
        upstream.start()
        record.until = time.monotonic()
        others = [
            name for name in operator.SERVICES if name != upstream.service
        ]
        # Flows of the restarted upstream are judged again by then.
        gevent.sleep(ADDRESS_REUSE_S + judges.STABLE_AFTER_S)
        self._world.add_upstream(
            others[0], upstream.data_centre, first_address
        )

    def odd_entries(self, fault: Fault) -> None:
        """Send entries that name no upstream to use."""
        upstream = self._target(self._serving_upstreams(), fault)
        rng = random.Random(fault.selector)
        for path, body in odd_entries.make(upstream, rng):
            address = rng.choice(self._world.control).address
            answer = upstreams.send_request(address, path, body)
            if answer is not None:
                self._world.judge.counts["odd entries"] += 1

    def release(self, fault: Fault) -> None:
        """Replace an upstream: start a new one, then drain the old."""
        upstream = self._target(self._serving_upstreams(), fault)
        self._world.add_upstream(upstream.service, upstream.data_centre)
        upstream.drain()

    def reuse(self, fault: Fault) -> None:
        """Crash an upstream and reuse its address for another service."""
        upstream = self._target(self._serving_upstreams(), fault)
        upstream.crash()
        others = [
            name for name in operator.SERVICES if name != upstream.service
        ]
        gevent.sleep(ADDRESS_REUSE_S)
        self._world.add_upstream(
            others[0], upstream.data_centre, upstream.address
        )
        self._world.add_upstream(upstream.service, upstream.data_centre)

    # Operators.

    def storm(self, fault: Fault) -> None:
        """Change the configuration repeatedly for the fault's duration."""
        until = time.monotonic() + fault.duration_s
        while time.monotonic() < until:
            self._world.operator.change_configuration()
            gevent.sleep(0.1)

    def invalid(self, fault: Fault) -> None:
        """Send an invalid configuration."""
        self._world.operator.send_invalid()

    def out_and_back(self, fault: Fault) -> None:
        """Take a data centre out and bring it back."""
        name = self._target(list(vms.DATA_CENTRES), fault)
        if name not in self._world.operator.acknowledged.out:
            self._world.operator.take_out(name)
            gevent.sleep(fault.duration_s)
            self._world.operator.bring_back(name)


KINDS: dict[str, Callable[[Faults, Fault], None]] = {
    name: call
    for name, call in vars(Faults).items()
    if callable(call) and not name.startswith("_") and name != "run"
}
# Drawn after the others, so that older seeds keep their faults.
_LATE_KINDS = {
    "odd_entries": ODD_ENTRIES_SHARE,
    "move_upstream": LATE_KIND_SHARE,
    "roll_entries": LATE_KIND_SHARE,
}
_DISK_KINDS = frozenset({"full_disk", "full_disks_in_turn"})
