"""Entry VMs' Flows, a log and upstreams on one virtual clock.

Messages and configurations arrive late and out of order. Upstreams record
the packets that they get; `faults` lists each violated guarantee.
"""

import collections
import heapq
import ipaddress
import random
import struct

import attrs

from ebonytally import actions
from ebonytally import commands
from ebonytally import config
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_packet
from ebonytally.flows import flow_placing
from ebonytally.flows import flows
from ebonytally import recorder
from ebonytally import settings
from ebonytally import view
from ebonytally import wire

TICK_S = 0.05
HOP_S = 0.002
RESEND_S = 0.5
OUT_GRACE_S = 3.0
DRAIN_GRACE_S = 2.0
UP = view.UpstreamState.UP
KEY = b"k" * 32
FRAME_OVERHEAD_BYTES = 28
LOG_ENTRY_BYTES = 16

_SLOT_COMMANDS = (commands.SlotsPlacing, commands.SlotsPinned)
_IP = struct.Struct("!BBHHHBBH4s4s")
_TCP = struct.Struct("!HHIIBBHHH")
_UDP = struct.Struct("!HHHH")
SYN = 0x02
ACK = 0x10
FIN = 0x11


def packet(src, sport, service, flags=ACK):
    """Return a caller's packet; `flags` are ignored for UDP."""
    if service.protocol == flow_packet.TCP:
        body = _TCP.pack(sport, service.port, 1, 1, 0x50, flags, 9, 0, 0)
    else:
        body = _UDP.pack(sport, service.port, 8, 0)
    head = _IP.pack(
        0x45, 0, 20 + len(body), 0, 0, 64, service.protocol, 0,
        ipaddress.IPv4Address(src).packed,
        ipaddress.IPv4Address(service.address).packed,
    )  # fmt: skip
    return head + body


def make_settings(name, data_centre, idle_s=60.0, linger_s=4.0):
    """Return settings of one entry VM."""
    return settings.Settings(
        name=name,
        address="10.0.0.1",
        data_centre=data_centre,
        region="r",
        cluster_key="0" * 64,
        data_folder="x",
        seeds=(),
        flows=settings.Flows(idle_s, linger_s),
    )


@attrs.define(eq=False)
class Process:
    """An upstream process, whose state may differ from the log's."""

    service: str
    address: str
    data_centre: str
    limit: int
    is_running: bool = True
    draining_at: float | None = None
    flows: set = attrs.field(factory=set)


@attrs.define(eq=False)
class Caller:
    """One flow as its caller sees it.

    :param upstream: the one that got the flow's first packet
    :param since: when the flow began
    :param is_over: the flow has ended
    :param refused: number of refusals sent to the caller
    """

    src: str
    sport: int
    service: view.Service
    upstream: Process | None = None
    since: float = 0.0
    is_over: bool = False
    sent_at: float = -1e9
    refused: int = 0
    ends_at: float = 1e9


class FlowHarness:
    """Simulated cluster: entry VMs, the leader, upstreams and callers.

    :param delay_s: longest time until a configuration reaches a VM
    :param placing: the leader's check, `flow_placing.placing_commands`
        or a faulty variant
    :param make: class under test, with the interface of `flows.Flows`
    :param measure: count the bytes of messages and log entries
    :ivar view_delays: fixed delays of views by VM; others are random
    :ivar cut_at: when each VM was partitioned, 0 while it is connected
    """

    def __init__(
        self,
        vms,
        services,
        seed=0,
        delay_s=0.3,
        placing=flow_placing.placing_commands,
        make=flows.Flows,
        idle_s=60.0,
        measure=False,
    ):
        self.random = random.Random(seed)
        self._seed = seed
        self.now = 0.0
        self.delay_s = delay_s
        self._placing = placing
        self._make = make
        self._idle_s = idle_s
        self._measure = measure
        self._queue = []
        self._sequence = 0
        self.faults = []
        self.callers = []
        self._call_count = 0
        self.processes = {}
        self.ids = {}
        self.view_delays = {}
        self.out_at = {}
        self.back_at = collections.defaultdict(list)
        self.is_paused = False
        self.control_bytes = collections.Counter()
        self.log_bytes = 0
        self.forwarded_bytes = 0
        self.forwarded = 0
        self.vms = {}
        self.recorders = {}
        self.applied = {}
        self.killed_at = {}
        self.cut_at = {}
        self.placed_tokens = {}
        initial_vms = tuple(
            view.Vm(name, f"10.1.0.{n + 1}", dc, "r", True)
            for n, (name, dc) in enumerate(vms)
        )
        self.log = config.apply(view.View(), commands.Genesis(initial_vms))
        for vm in initial_vms:
            self._start(vm)
        self.run(1.0)
        for service in services:
            self.commit(commands.ServiceSet(service))
        self.run(1.0)

    # Log and entry VMs

    def _start(self, vm):
        cfg = make_settings(vm.name, vm.data_centre, self._idle_s)
        self.recorders[vm.name] = recorder.MemoryRecorder()
        self.vms[vm.name] = self._make(cfg, vm.name, self.recorders[vm.name])
        self.applied[vm.name] = 0
        self.cut_at[vm.name] = 0
        self.killed_at.pop(vm.name, None)
        self._schedule_view(vm.name, 0.0)
        self._update_reachability()

    def commit(self, command):
        """Apply a command and send the new view to the VMs, delayed."""
        self.log = config.apply(self.log, command)
        if isinstance(command, _SLOT_COMMANDS) and self._measure:
            self.log_bytes += len(wire.pack(command)) + LOG_ENTRY_BYTES
        self.broadcast_view()

    def broadcast_view(self):
        """Send the latest view to connected VMs, unless `is_paused` is set."""
        for name in self.vms:
            if self.cut_at[name] == 0 and not self.is_paused:
                self._schedule_view(name, self._view_delay_s(name))

    def _view_delay_s(self, name):
        return self.view_delays.get(name, self.random.random() * self.delay_s)

    def _schedule_view(self, name, delay):
        self._schedule(delay, "view", name, self.vms[name], self.log)

    def _update_reachability(self):
        for name, flows_ in self.vms.items():
            peers = frozenset(
                peer
                for peer in self.vms
                if peer != name and self.cut_at[peer] == self.cut_at[name]
            )
            peers |= frozenset(
                peer
                for peer, killed_at in self.killed_at.items()
                if self.now - killed_at < 1.5 and self.cut_at[name] == 0
            )
            cut_at = self.cut_at[name]
            flows_.on_connectivity_change(
                peers, not cut_at or self.now - cut_at < 1.5, self.now
            )

    def join_vm(self, name, data_centre):
        """Add an entry VM."""
        vm = view.Vm(
            name, f"10.1.1.{len(self.log.vms) + 1}", data_centre, "r", False
        )
        self.log = config.apply(self.log, commands.VmAdded(vm))
        self._start(vm)
        for other in self.vms:
            if self.cut_at[other] == 0:
                self._schedule_view(other, self._view_delay_s(other))

    def _vm(self, name):
        for vm in self.log.vms:
            if vm.name == name:
                return vm
        return None

    def is_repaired(self):
        """Return whether all owners have the records of their groups."""
        if self.killed_at and any(
            vm.name in self.killed_at and vm.state is not view.VmState.DOWN
            for vm in self.log.vms
        ):
            return False
        return all(
            flows_.has_all_records(self.log.owner_epoch)
            for flows_ in self.vms.values()
        )

    def kill_vm(self, name):
        """Stop a VM without notice; it is marked down later."""
        del self.vms[name]
        del self.applied[name]
        self.killed_at[name] = self.now
        self._schedule(1.5, "reach")
        self._schedule(3.1, "down", name, self.now)

    def stop_vm(self, name):
        """Begin a planned stop of a VM."""
        for action in self.vms[name].stop(self.now):
            self.commit(action.command)
        self._schedule(0.1, "stopping", name)

    def restart_vm(self, name):
        """Restart a VM that was killed or stopped."""
        vm = self._vm(name)
        self.killed_at.pop(name, None)
        restarted = attrs.evolve(
            vm, state=view.VmState.UP, incarnation=vm.incarnation + 1
        )
        self.log = config.apply(
            self.log,
            commands.VmMarked(name, restarted.state, restarted.incarnation),
        )
        self._start(restarted)
        for other in self.vms:
            if self.cut_at[other] == 0:
                self._schedule_view(other, self._view_delay_s(other))

    def cut(self, names):
        """Partition these VMs from the leader and from all others."""
        for name in names:
            self.cut_at[name] = self.now
            self._schedule(1.6, "reach")
            self._schedule(3.1, "cut-down", name, self.now)
        self._update_reachability()

    def heal(self):
        """End the partition."""
        for name, cut_at in list(self.cut_at.items()):
            if not cut_at or name not in self.vms:
                continue
            self.cut_at[name] = 0
            vm = self._vm(name)
            if vm.state is view.VmState.DOWN:
                cmd = commands.VmMarked(name, view.VmState.UP, vm.incarnation)
                self.log = config.apply(self.log, cmd)
        for name in self.vms:
            self._schedule_view(name, self._view_delay_s(name))
        self._update_reachability()

    # Upstreams

    def add_upstream(
        self, service, address, data_centre, limit=2000, share=1000
    ):
        """Start an upstream and return its id."""
        process = Process(service, address, data_centre, limit)
        self.processes[address] = process
        number = self.log.next_upstream_id
        up = view.Upstream(
            0, service, address, 5555, 0, data_centre, 2, limit, 1,
            share=share,
        )  # fmt: skip
        self.commit(commands.UpstreamSeen(up))
        self.ids[number] = process
        return number

    def update_upstream(self, id_, state=UP, share=1000):
        """Set an upstream's state, such as draining, or its warm share."""
        if state is view.UpstreamState.DRAINING:
            process = self.ids[id_]
            if process.draining_at is None:
                process.draining_at = self.now
        self.commit(commands.UpstreamMarked(id_, 1, state, share))

    def remove_upstream(self, id_, is_running=False):
        """Remove an upstream; with `is_running` only from the log."""
        process = self.ids[id_]
        process.is_running = is_running
        for caller in list(process.flows):
            caller.is_over = True
        process.flows.clear()
        self.commit(commands.UpstreamGone(id_, 1))

    def take_out(self, name):
        """Take a data centre out of service."""
        self.out_at[name] = self.now
        for process in self.processes.values():
            if process.data_centre == name:
                for caller in process.flows:
                    caller.is_over = True
                process.flows.clear()
        self.commit(commands.DataCentreOut(name))

    def bring_back(self, name):
        """Bring a data centre back."""
        self.out_at.pop(name, None)
        self.back_at[name].append(self.now)
        self.commit(commands.DataCentreBack(name))

    # Callers

    def open_flows(self, service, count=1):
        """Open flows from new callers and return them."""
        new_callers = []
        for _ in range(count):
            number = self._call_count
            self._call_count += 1
            base = 0xC0000000 + (self._seed % 256 << 16)
            src = str(ipaddress.IPv4Address(base + number // 50))
            caller = Caller(src, 10_000 + number % 50, service)
            self.callers.append(caller)
            new_callers.append(caller)
            self.send(caller)
        return new_callers

    def send(self, caller, flags=None):
        """Send one packet of a flow to a random VM."""
        if caller.is_over:
            return
        if flags is None:
            flags = ACK if caller.upstream else SYN
        caller.sent_at = self.now
        data = packet(caller.src, caller.sport, caller.service, flags)
        if not self.vms:
            return
        name = self.random.choice(sorted(self.vms))
        self._schedule(HOP_S, "packet", name, data, caller)

    def end(self, caller):
        """Close a flow."""
        if caller.upstream:
            self.send(caller, FIN)
            caller.upstream.flows.discard(caller)
        caller.is_over = True

    def open(self):
        """Return the established flows that are not over."""
        return [
            caller
            for caller in self.callers
            if caller.upstream and not caller.is_over
        ]

    # Virtual clock

    def _schedule(self, delay, kind, *args):
        self._sequence += 1
        entry = (self.now + delay, self._sequence, kind, args)
        heapq.heappush(self._queue, entry)

    def run(self, seconds, packets_per_s=0.0):
        """Advance the clock; each open flow sends at a mean rate."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self._send_due_packets(packets_per_s)
            step = min(self.now + TICK_S, end)
            while self._queue and self._queue[0][0] <= step:
                due_at, _, kind, args = heapq.heappop(self._queue)
                self.now = max(self.now, due_at)
                getattr(self, "_on_" + kind.replace("-", "_"))(*args)
            self.now = step
            self._tick()

    def _send_due_packets(self, packets_per_s):
        for caller in self.callers:
            if caller.is_over:
                continue
            if caller.upstream is None:
                sends = self.now - caller.sent_at > RESEND_S
            else:
                sends = self.random.random() < packets_per_s * TICK_S
            if sends:
                self.send(caller)
            if caller.ends_at < self.now:
                self.end(caller)

    def _tick(self):
        for name in list(self.vms):
            self._perform(name, self.vms[name].tick(self.now))
        leased_out = frozenset(
            vm.name for vm in self.log.vms if vm.state is view.VmState.DOWN
        )
        for cmd in self._placing(self.log, self.applied, leased_out):
            self.commit(cmd)

    def _perform(self, name, actions_, caller=None):
        for action in actions_:
            if isinstance(action, actions.Send):
                self._count_bytes(name, action.msg)
                delay = HOP_S * (0.2 + 2 * self.random.random())
                args = (name, action.peer, action.msg, caller)
                self._schedule(delay, "message", *args)
            elif isinstance(action, actions.Forward):
                self._on_forwarded_packet(name, action, caller)
            elif isinstance(action, actions.SendToCaller):
                self._on_refusal(caller)
            elif isinstance(action, actions.Propose):
                self._count_bytes(name, action.command)
                self._schedule(HOP_S, "propose", name, action.command)

    def _count_bytes(self, name, msg):
        if not self._measure:
            return
        size = len(wire.encode(KEY, name, msg)) + FRAME_OVERHEAD_BYTES
        if isinstance(msg, flow_messages.PacketHop):
            self.forwarded_bytes += size
        else:
            self.control_bytes[name] += size

    def _on_view(self, name, flows_, new):
        if self.vms.get(name) is not flows_ or self.cut_at[name]:
            return
        self._perform(name, flows_.on_view_change(new, self.now))
        self.applied[name] = max(self.applied[name], new.revision)

    def _on_reach(self):
        self._update_reachability()

    def _on_down(self, name, since):
        if self.killed_at.get(name) != since:
            return
        vm = self._vm(name)
        if vm is not None:
            self.commit(
                commands.VmMarked(name, view.VmState.DOWN, vm.incarnation)
            )

    def _on_cut_down(self, name, since):
        if self.cut_at.get(name) == since and name in self.vms:
            vm = self._vm(name)
            self.commit(
                commands.VmMarked(name, view.VmState.DOWN, vm.incarnation)
            )

    def _on_stopping(self, name):
        flows_ = self.vms.get(name)
        if flows_ is None:
            return
        if not flows_.is_handed_over():
            self._schedule(0.1, "stopping", name)
            return
        del self.vms[name]
        del self.applied[name]
        self._update_reachability()
        vm = self._vm(name)
        self.commit(commands.VmMarked(name, view.VmState.DOWN, vm.incarnation))

    def _on_propose(self, name, command):
        if not self.cut_at.get(name, 1):
            self.commit(command)

    def _on_established(self, caller):
        self.send(caller, ACK)

    def _on_packet(self, name, data, caller):
        flows_ = self.vms.get(name)
        if flows_ is not None:
            self._perform(name, flows_.handle_packet(data, self.now), caller)

    def _on_message(self, sender, name, msg, caller):
        flows_ = self.vms.get(name)
        if flows_ is None or self.cut_at.get(sender, 0) != self.cut_at[name]:
            return
        self._perform(name, flows_.handle(sender, msg, self.now), caller)

    def _on_refusal(self, caller):
        caller.refused += 1
        if caller.upstream is None:
            return
        if not caller.is_over and caller.upstream.is_running:
            self.faults.append(("reset", self.now, caller))
        caller.is_over = True

    def _on_forwarded_packet(self, name, action, caller):
        self.forwarded += 1
        process = self.processes.get(action.address)
        if process is None:
            return
        service = caller.service.name
        if process.service != service:
            self.faults.append(("service", self.now, caller))
            return
        since = self.out_at.get(process.data_centre)
        if since is not None and self.now - since > OUT_GRACE_S:
            self.faults.append(("out", self.now, caller))
        if not process.is_running or caller.is_over:
            return
        if caller.upstream is None:
            self._on_first_packet(caller, process)
        elif caller.upstream is not process:
            self.faults.append(("broken", self.now, caller))
            caller.is_over = True
            caller.upstream.flows.discard(caller)

    def _on_first_packet(self, caller, process):
        caller.upstream = process
        caller.since = self.now
        if process.data_centre in self.out_at:
            caller.is_over = True
            return
        process.flows.add(caller)
        self._schedule(HOP_S, "established", caller)
        draining = process.draining_at
        # One delay until all VMs have the change, one until owners place.
        grace = max(DRAIN_GRACE_S, 2 * self.delay_s + 4 * TICK_S)
        if draining is not None and self.now - draining > grace:
            self.faults.append(("drain", self.now, caller))
        if len(process.flows) > process.limit:
            self.faults.append(("limit", self.now, caller))
