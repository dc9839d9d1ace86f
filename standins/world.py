"""Runs real nodes under virtual time, with fakes at their interfaces.

The same seed gives the same trace. This module only fakes the environment:
every decision is made by the code that the daemon runs.
"""

from collections.abc import Callable
import heapq
import itertools
import json
import random

import attrs

from ebonytally import actions
from ebonytally import errors
from ebonytally import node as nodes
from ebonytally import node_store
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally.upstreams import upstream_announce
from standins import deployment
from standins import judge as judges
from standins import packets
from standins import reports
from standins import world_disk
from standins import world_net
from standins import world_requests
from standins import world_upstreams

TICK_S = 0.05
ANNOUNCE_INTERVAL_S = 1.0
START_WALL_S = 1_800_000_000.0
PACKET_PORT = 7501
REQUEST_PORT = 7502
OUT_LIMIT_S = 3.0


@attrs.define
class Vm:
    """An entry VM of the scenario.

    :param node: None while its daemon does not run
    :param starts: number of starts so far; a call scheduled for an earlier
        start is dropped
    :param frozen_until: it does nothing before this time
    :param revision: latest view revision that it had with a lease
    :param config_revision: latest configuration revision that it had
    """

    cfg: settings.Settings
    disk: world_disk.MemoryDisk
    recorder: recorders.MemoryRecorder
    node: nodes.Node | None = None
    starts: int = 0
    frozen_until: float = 0.0
    revision: int = 0
    config_revision: int = 0


class World:
    """Five entry VMs, their upstreams, callers and operators.

    `violations` has a line for each guarantee that was violated.
    """

    def __init__(self, customer: str, seed: int) -> None:
        """Start all VMs and upstreams at time 0."""
        self.customer = deployment.CUSTOMERS[customer]
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.trace: list[str] = []
        self.violations: list[str] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.vms = self._make_vms()
        self.net = world_net.Net(
            {vm.cfg.name: vm.cfg.data_centre for vm in self.vms.values()},
            self.customer.between_s,
            seed + 1,
            self.schedule,
        )
        self.upstreams = self._make_upstreams()
        self.judge = judges.Judge(
            {
                upstream.name: upstream.data_centre
                for upstream in self.upstreams.values()
            },
            {
                name: f"{self.address(name)}:443"
                for name in self.customer.endpoints
            },
        )
        self.requests = world_requests.Requests(self)
        self._out_since: dict[str, float] = {}
        for name in sorted(self.vms):
            self.start_vm(name)
        for upstream in self.upstreams.values():
            self._announce_for_ever(upstream)

    # Set-up.

    def _make_vms(self) -> dict[str, Vm]:
        folder = deployment.ROOT / "examples" / self.customer.name
        vms = {}
        for path in sorted(folder.glob("*.json")):
            raw = json.loads(path.read_text(encoding="utf-8"))
            seeds = tuple(settings.Seed(**seed) for seed in raw["seeds"])
            cfg = settings.Settings(
                name=raw["name"],
                address=raw["address"],
                data_centre=raw["data_centre"],
                region=raw["region"],
                cluster_key=world_net.KEY.hex(),
                data_folder="",
                seeds=seeds,
                control=raw["control"],
            )
            disk = world_disk.MemoryDisk()
            vms[cfg.name] = Vm(cfg, disk, recorders.MemoryRecorder())
        return vms

    def _make_upstreams(self) -> dict[str, world_upstreams.Upstream]:
        centres = self.centres()
        upstreams: dict[str, world_upstreams.Upstream] = {}
        for service, count in self.customer.endpoints.items():
            for index in range(count):
                number = len(upstreams)
                name = f"{service}-{index + 1}"
                upstreams[name] = world_upstreams.Upstream(
                    name,
                    service,
                    centres[number % len(centres)],
                    f"127.{self.customer.net}.1.{number + 1}",
                    1,
                    random.Random(self.seed * 1000 + number),
                )
        return upstreams

    def centres(self) -> list[str]:
        """Return the names of the data centres, sorted."""
        return sorted({vm.cfg.data_centre for vm in self.vms.values()})

    def address(self, service: str) -> str:
        """Return the address that callers of a service use."""
        index = list(self.customer.endpoints).index(service)
        return f"10.{self.customer.net}.0.{index + 1}"

    # Virtual time.

    def schedule(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        at = self.now + delay_s
        heapq.heappush(self._events, (at, next(self._order), call))

    def run_until(self, at: float) -> None:
        """Run the events up to a time."""
        while self._events and self._events[0][0] <= at:
            when, _, call = heapq.heappop(self._events)
            self.now = when
            call()
        self.now = at

    def run_while(self, unmet: Callable[[], bool], limit_s: float) -> bool:
        """Run events until a condition is met.

        :param unmet: returns whether the condition is still not met
        :return: False if it was not met within `limit_s`
        """
        end = self.now + limit_s
        while unmet():
            if self.now >= end:
                return False
            self.run_until(min(end, self.now + TICK_S))
        return True

    def add_trace(self, line: str) -> None:
        """Add a line with the current time to the trace."""
        self.trace.append(f"{self.now:9.3f} {line}")

    def add_violation(self, line: str) -> None:
        """Record a violated guarantee, once for equal lines."""
        self.add_trace(f"VIOLATED {line}")
        if line not in self.violations:
            self.violations.append(line)

    # Entry VMs.

    def start_vm(self, name: str) -> None:
        """Start the daemon of a VM on what its disk holds."""
        vm = self.vms[name]
        vm.starts += 1
        incarnation = node_store.next_incarnation(vm.disk, self.wall())
        vm.node = nodes.Node(
            vm.cfg,
            vm.disk,
            incarnation,
            vm.recorder,
            self.seed * 100 + vm.starts * 7 + len(name),
            self.now,
        )
        self.add_trace(f"start {name}")
        self.perform(vm, vm.node.start(self.now))
        self._tick_for_ever(vm, vm.starts)

    def _tick_for_ever(self, vm: Vm, starts: int) -> None:
        if vm.node is None or vm.starts != starts:
            return
        self.run_on(vm, lambda: vm.node.tick(self.now))
        self.schedule(TICK_S, lambda: self._tick_for_ever(vm, starts))

    def crash_vm(self, name: str) -> None:
        """End a VM at once and lose what it had not synced to disk."""
        vm = self.vms[name]
        vm.node = None
        vm.disk.crash()
        self.requests.on_vm_lost(name)
        self.add_trace(f"lose {name}")

    def stop_vm(self, name: str) -> None:
        """Shut a VM down gracefully; it ends once it is idle."""
        vm = self.vms[name]
        self.run_on(vm, lambda: vm.node.stop(self.now))
        self.add_trace(f"stop {name}")
        self.schedule(0.5, lambda: self._end_when_idle(vm, vm.starts))

    def _end_when_idle(self, vm: Vm, starts: int) -> None:
        if vm.node is None or vm.starts != starts:
            return
        if not vm.node.can_stop(self.now):
            self.schedule(TICK_S, lambda: self._end_when_idle(vm, starts))
            return
        if self.requests.count_pending(vm.cfg.name):
            self.add_violation(f"stop of {vm.cfg.name} cut a request")
        self.crash_vm(vm.cfg.name)

    def run_on(
        self,
        vm: Vm,
        call: Callable[[], list[actions.Action]],
    ) -> None:
        """Call a node and carry out its actions.

        If the VM is frozen, the call waits until it no longer is.
        """
        if vm.node is None:
            return
        if self.now < vm.frozen_until:
            starts = vm.starts
            delay = vm.frozen_until - self.now
            self.schedule(
                delay, lambda: self._run_after_freeze(vm, starts, call)
            )
            return
        try:
            actions_ = call()
        except errors.StorageError as exc:
            self.add_trace(f"{vm.cfg.name} {exc}")
            return
        self.perform(vm, vm.node.perform_internal(actions_, self.now))
        self._check_revision(vm)

    def _run_after_freeze(
        self,
        vm: Vm,
        starts: int,
        call: Callable[[], list[actions.Action]],
    ) -> None:
        if vm.starts == starts:
            self.run_on(vm, call)

    def _check_revision(self, vm: Vm) -> None:
        if vm.node is None:
            return
        present = vm.node.current_view
        name = vm.cfg.name
        if present.config_revision < vm.config_revision:
            older = f"configuration {present.config_revision}"
            self.add_violation(f"{name} went back to {older}")
        vm.config_revision = present.config_revision
        if not vm.node.dissemination.is_leased(self.now):
            return
        if present.revision < vm.revision:
            older = f"revision {present.revision}"
            self.add_violation(f"{name} went back to {older}")
        if present.revision != vm.revision:
            self.add_trace(f"{name} revision {present.revision}")
        vm.revision = present.revision

    def wall(self) -> float:
        """Return the wall-clock time, seconds since 1970."""
        return START_WALL_S + self.now

    def running(self) -> list[Vm]:
        """Return the VMs whose daemon runs."""
        return [vm for vm in self.vms.values() if vm.node is not None]

    # Actions.

    def perform(self, vm: Vm, actions_: list[actions.Action]) -> None:
        """Carry out the actions of a node."""
        for action in actions_:
            if isinstance(action, actions.Send):
                self._send(vm, action)
            elif isinstance(action, actions.Forward):
                self._deliver_packet(vm, action)
            elif isinstance(action, actions.SendToCaller):
                self._return_to_caller(action)
            elif isinstance(action, (actions.Propose, actions.ProposalResult)):
                more_actions = vm.node.perform_internal([action], self.now)
                self.perform(vm, more_actions)
            else:
                self.requests.perform(vm, action)

    def _send(self, vm: Vm, action: actions.Send) -> None:
        if action.peer in self.vms:
            self.net.send(
                vm.cfg.name,
                action.peer,
                action.msg,
                self._deliver_message,
            )

    def _deliver_message(self, src: str, dst: str, msg: object) -> None:
        vm = self.vms[dst]
        self.run_on(vm, lambda: vm.node.handle(src, msg, self.now))

    # Upstreams and packets.

    def upstream_at(self, address: str) -> world_upstreams.Upstream:
        """Return the upstream that has an address."""
        return next(
            upstream
            for upstream in self.upstreams.values()
            if upstream.address == address
        )

    def _announce_for_ever(self, upstream: world_upstreams.Upstream) -> None:
        if upstream.state != "gone":
            self.announce(upstream)
        self.schedule(
            ANNOUNCE_INTERVAL_S, lambda: self._announce_for_ever(upstream)
        )

    def announce(self, upstream: world_upstreams.Upstream) -> None:
        """Announce an upstream to the VMs of its data centre."""
        announcement = upstream_announce.Announcement(
            service=upstream.service,
            address=upstream.address,
            port=PACKET_PORT,
            data_centre=upstream.data_centre,
            incarnation=upstream.incarnation,
            request_port=REQUEST_PORT,
            slots=upstream.slots,
            state=upstream_announce.State(upstream.state),
        )
        for vm in self.vms.values():
            if vm.cfg.data_centre == upstream.data_centre:
                self._announce_to(vm, announcement)

    def _announce_to(
        self,
        vm: Vm,
        announcement: upstream_announce.Announcement,
    ) -> None:
        def announce_to_node() -> list[actions.Action]:
            _, actions_ = vm.node.upstreams.on_announcement(
                announcement, announcement.address, self.now
            )
            return actions_

        self.run_on(vm, announce_to_node)

    def _deliver_packet(self, vm: Vm, action: actions.Forward) -> None:
        upstream = self.upstream_at(action.address)
        if not self.net.is_connected(vm.cfg.data_centre, upstream.data_centre):
            return
        self.check_not_taken_out(upstream.data_centre, "packet")
        if upstream.state == "gone":
            return
        packet = packets.parse(action.packet)
        report = reports.Report(
            "packet",
            upstream.name,
            upstream.service,
            packet.flow,
            packet.seq,
            f"{packet.dst}:{packet.port}",
        )
        self._judge_packet(report)

    def _judge_packet(self, report: reports.Report) -> None:
        self.judge.on_report(report, self.now)
        flow = self.judge.flows.get(report.flow)
        if flow is not None and flow.is_broken:
            self.add_violation(
                f"flow {flow.number} of {flow.first_upstream} "
                f"reached {report.upstream}"
            )
        if self.judge.counts["wrong_service"]:
            self.add_violation(
                f"{report.upstream} of {report.service} got {report.dst}"
            )

    def _return_to_caller(self, action: actions.SendToCaller) -> None:
        packet = packets.parse(action.packet)
        if packet is not None and packet.flags & packets.RST:
            self.requests.on_reset(packet.dst, packet.port)

    def check_not_taken_out(self, centre: str, kind: str) -> None:
        """Check that nothing is sent into a data centre taken out.

        :param kind: what is sent now, packet or request
        """
        since = self._out_since.get(centre)
        if since is not None and self.now - since > OUT_LIMIT_S:
            late = self.now - since
            self.add_violation(
                f"{kind} into {centre} {late:.1f} s after out, "
                f"allowed {OUT_LIMIT_S:g} s"
            )

    def set_out(self, centre: str, out: bool) -> None:
        """Record that a data centre is taken out or brought back."""
        if out:
            self._out_since[centre] = self.now
            self.judge.on_take_out(centre, self.now)
        else:
            self._out_since.pop(centre, None)

    def last_arrival_at(self, centre: str) -> float:
        """Return when a packet or run last reached a data centre."""
        return self.judge.last_arrival_at.get(centre, float("-inf"))
