"""What is done to a deployment from outside, by a seed."""

from collections.abc import Callable
import random
import signal
import time

import attrs
import gevent

from soak import operator
from soak import vms
from soak import world as worlds

# Faults begin within this; then all is left alone and must recover.
FAULTS_S = 12.0
MIN_FAULTS = 5
MAX_FAULTS = 10
MIN_FOR_S = 0.3
MAX_FOR_S = 4.0
# A lost disk is made good by then (catch-up-s of the pages and more).
WIPE_GAP_S = 6.0
# An address is used again after this (addr-reuse-s of the pages).
REUSE_S = 2.0
# A VM that stops in a planned way has this long (grace-s of the pages).
GRACE_S = 6.0
MAX_DELAY_S = 0.4
TORN_BYTES = 60


@attrs.frozen
class Fault:
    """One fault.

    :param at: seconds after the start of traffic
    :param pick: 0 to 1, which of the things that fit
    """

    at: float
    kind: str
    for_s: float
    pick: float


def plan(seed: int) -> list[Fault]:
    """Return the faults and changes of a seed, by time."""
    rng = random.Random(seed)
    faults = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        kind = rng.choice(sorted(KINDS))
        at = rng.uniform(0.0, FAULTS_S)
        for_s = rng.uniform(MIN_FOR_S, MAX_FOR_S)
        faults.append(Fault(at, kind, for_s, rng.random()))
        if rng.random() < 0.3:
            # The same again while the first may still last.
            again = at + rng.uniform(0.1, for_s + 1.0)
            faults.append(Fault(again, kind, for_s, rng.random()))
    return sorted(faults, key=lambda fault: fault.at)


class Faults:
    """Carries a plan out."""

    def __init__(self, world: worlds.World) -> None:
        """Start with nothing done."""
        self._world = world
        self._wiped_at = float("-inf")
        self._down: set[str] = set()

    def run(self, faults: list[Fault]) -> list[gevent.Greenlet]:
        """Begin each fault at its time; return their tasks."""
        return [
            gevent.spawn_later(fault.at, KINDS[fault.kind], self, fault)
            for fault in faults
        ]

    def _pick(self, among: list, fault: Fault) -> object:
        return among[int(fault.pick * len(among))]

    # Processes.

    def _restart(
        self,
        chosen: list[vms.Vm],
        fault: Fault,
        how: Callable[[vms.Vm], None],
    ) -> None:
        """End processes, and start them again after a while."""
        chosen = [vm for vm in chosen if vm.name not in self._down]
        names = {vm.name for vm in chosen}
        self._down |= names
        noted = self._world.judge.disturb(names)
        for vm in chosen:
            how(vm)
        gevent.sleep(fault.for_s)
        for vm in chosen:
            vm.kill()
            vm.start(self._world.seeds(), False)
        self._down -= names
        noted.until = time.monotonic()

    def kill_entry(self, fault: Fault) -> None:
        """Kill an entry VM's process."""
        vm = self._pick(self._world.entries, fault)
        self._restart([vm], fault, vms.Vm.kill)

    def kill_control(self, fault: Fault) -> None:
        """Kill a control VM's process."""
        vm = self._pick(self._world.control, fault)
        self._restart([vm], fault, vms.Vm.kill)

    def kill_all(self, fault: Fault) -> None:
        """Kill all processes at once."""
        self._restart(self._world.vms, fault, vms.Vm.kill)

    def stop_entry(self, fault: Fault) -> None:
        """Stop an entry VM in a planned way while it carries flows."""
        vm = self._pick(self._world.entries, fault)
        if vm.name in self._down:
            return
        self._down.add(vm.name)
        vm.terminate()
        until = time.monotonic() + GRACE_S
        while vm.running and time.monotonic() < until:
            gevent.sleep(0.05)
        if vm.running:
            now = time.monotonic()
            self._world.judge.broke(now, "stop took too long", vm.name)
        vm.kill()
        vm.start(self._world.seeds(), False)
        self._down.discard(vm.name)

    def pause(self, fault: Fault) -> None:
        """Let a process stand still, in its midst."""
        vm = self._pick(self._world.vms, fault)
        if vm.name in self._down:
            return
        self._down.add(vm.name)
        noted = self._world.judge.disturb({vm.name})
        vm.signal(signal.SIGSTOP)
        gevent.sleep(fault.for_s)
        vm.signal(signal.SIGCONT)
        self._down.discard(vm.name)
        noted.until = time.monotonic()

    def reload(self, fault: Fault) -> None:
        """Change a settings file's seeds and say so, or don't."""
        vm = self._pick(self._world.vms, fault)
        seeds = [one.address for one in self._world.control[1:]]
        vm.configure(seeds, False)
        if fault.for_s > 1.0:
            vm.signal(signal.SIGHUP)

    # Disks.

    def wipe(self, fault: Fault) -> None:
        """Let a control VM lose its disk."""
        now = time.monotonic()
        if now - self._wiped_at < WIPE_GAP_S + MAX_FOR_S or self._down:
            return
        self._wiped_at = now

        def lose(vm: vms.Vm) -> None:
            vm.kill()
            vm.wipe()

        vm = self._pick(self._world.control, fault)
        self._restart([vm], fault, lose)

    def tear(self, fault: Fault) -> None:
        """Kill a control VM in the midst of a write."""
        rng = random.Random(fault.pick)
        tail = rng.randbytes(rng.randint(1, TORN_BYTES))
        if rng.random() < 0.5:
            tail = bytes(len(tail))

        def torn(vm: vms.Vm) -> None:
            vm.kill()
            vm.tear(tail)

        vm = self._pick(self._world.control, fault)
        self._restart([vm], fault, torn)

    # Links.

    def _harm(
        self,
        ones: set[str],
        others: set[str],
        fault: Fault,
        both: bool,
        delay_s: float = 0.0,
    ) -> None:
        """Cut or delay the links between addresses for a while."""
        found = self._world.links.between(ones, others)
        if both:
            found += self._world.links.between(others, ones)
        noted = self._world.judge.disturb(self._concerned(ones | others))
        for link in found:
            link.delay_s = delay_s
            link.cut = not delay_s
        gevent.sleep(fault.for_s)
        for link in found:
            link.delay_s = 0.0
            link.cut = False
        noted.until = time.monotonic()

    def _concerned(self, addresses: set[str]) -> set[str]:
        names = {self._world.name_of(one) for one in addresses}
        names |= {
            one.id for one in self._world.upstreams if one.address in addresses
        }
        return names

    def _all(self) -> set[str]:
        return {vm.address for vm in self._world.vms} | {
            one.address for one in self._world.upstreams
        }

    def cut_vm(self, fault: Fault) -> None:
        """Cut a VM off from all VMs and upstreams."""
        vm = self._pick(self._world.vms, fault)
        self._harm({vm.address}, self._all(), fault, both=True)

    def one_way(self, fault: Fault) -> None:
        """Let nothing that a VM sends to other VMs arrive."""
        vm = self._pick(self._world.vms, fault)
        others = {one.address for one in self._world.vms}
        self._harm({vm.address}, others, fault, both=False)

    def cut_data_centre(self, fault: Fault) -> None:
        """Cut a data centre off from the others."""
        name = self._pick(list(vms.DATA_CENTRES), fault)
        inside = {
            one.address
            for one in (*self._world.vms, *self._world.upstreams)
            if one.data_centre == name
        }
        self._harm(inside, self._all() - inside, fault, both=True)

    def halve_core(self, fault: Fault) -> None:
        """Cut the control VMs into halves; all others reach both."""
        half = {vm.address for vm in self._world.control[:2]}
        rest = {vm.address for vm in self._world.control[2:]}
        self._harm(half, rest, fault, both=True)

    def delay(self, fault: Fault) -> None:
        """Delay what a VM and the others send each other."""
        vm = self._pick(self._world.vms, fault)
        others = {one.address for one in self._world.vms}
        delay_s = MAX_DELAY_S * fault.pick + 0.01
        self._harm({vm.address}, others, fault, True, delay_s)

    def reset(self, fault: Fault) -> None:
        """Reset a control VM's connections."""
        vm = self._pick(self._world.control, fault)
        noted = self._world.judge.disturb({vm.name})
        self._world.links.reset({vm.address})
        noted.until = time.monotonic()

    def silence(self, fault: Fault) -> None:
        """Let a control VM's open connections go silent for good."""
        vm = self._pick(self._world.control, fault)
        noted = self._world.judge.disturb({vm.name})
        self._world.links.silence({vm.address})
        noted.until = time.monotonic()

    # Upstreams.

    def _alive(self) -> list:
        return [
            one
            for one in self._world.upstreams
            if one.alive and not one.draining
        ]

    def crash_upstream(self, fault: Fault) -> None:
        """Let an upstream end at once and start again under its id."""
        one = self._pick(self._alive(), fault)
        noted = self._world.judge.disturb({one.id})
        one.crash()
        gevent.sleep(fault.for_s)
        one.start()
        noted.until = time.monotonic()

    def release(self, fault: Fault) -> None:
        """Replace an upstream: the new one starts, the old one leaves."""
        one = self._pick(self._alive(), fault)
        self._world.add_upstream(one.service, one.data_centre)
        one.drain()

    def reuse(self, fault: Fault) -> None:
        """Let an upstream end; its address goes to another service."""
        one = self._pick(self._alive(), fault)
        one.crash()
        others = [name for name in operator.SERVICES if name != one.service]
        gevent.sleep(REUSE_S)
        self._world.add_upstream(others[0], one.data_centre, one.address)
        self._world.add_upstream(one.service, one.data_centre)

    # Operators.

    def storm(self, fault: Fault) -> None:
        """Change the configuration many times."""
        until = time.monotonic() + fault.for_s
        while time.monotonic() < until:
            self._world.operator.change()
            gevent.sleep(0.1)

    def invalid(self, fault: Fault) -> None:
        """Send a configuration that is invalid."""
        self._world.operator.send_invalid()

    def out_and_back(self, fault: Fault) -> None:
        """Take a data centre out and bring it back."""
        name = self._pick(list(vms.DATA_CENTRES), fault)
        if name not in self._world.operator.held.out:
            self._world.operator.take_out(name)
            gevent.sleep(fault.for_s)
            self._world.operator.bring_back(name)


KINDS: dict[str, Callable[[Faults, Fault], None]] = {
    name: call
    for name, call in vars(Faults).items()
    if callable(call) and not name.startswith("_") and name != "run"
}
