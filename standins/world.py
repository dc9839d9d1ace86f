"""Real nodes under virtual time, with small fakes at their interfaces.

The same seed gives the same trace. Only the fakes are here: every decision
is taken by the code that the daemon runs.
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
ANNOUNCE_S = 1.0
WALL_S = 1_800_000_000.0
PORT = 7501
REQUEST_PORT = 7502
OUT_LIMIT_S = 3.0


@attrs.define
class Vm:
    """One entry VM of the scenario.

    :param starts: number of starts so far; calls of earlier ones are void
    :param frozen_until: it does nothing before this time
    :param revision: newest one that it ran with a lease
    :param config_revision: newest configuration that it ran
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
    """Five entry VMs, their upstreams, callers and operators."""

    def __init__(self, customer: str, seed: int) -> None:
        """Start all VMs and upstreams at time 0."""
        self.customer = deployment.CUSTOMERS[customer]
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.trace: list[str] = []
        self.broken: list[str] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.vms = self._make_vms()
        self.net = world_net.Net(
            {vm.cfg.name: vm.cfg.data_centre for vm in self.vms.values()},
            self.customer.between_s,
            seed + 1,
            self.later,
        )
        self.upstreams = self._make_upstreams()
        self.judge = judges.Judge(
            {one.name: one.data_centre for one in self.upstreams.values()},
            {
                name: f"{self.address(name)}:443"
                for name in self.customer.endpoints
            },
        )
        self.requests = world_requests.Requests(self)
        self._out_since: dict[str, float] = {}
        for name in sorted(self.vms):
            self.start(name)
        for one in self.upstreams.values():
            self._announce_for_ever(one)

    # Making.

    def _make_vms(self) -> dict[str, Vm]:
        folder = deployment.ROOT / "examples" / self.customer.name
        out = {}
        for path in sorted(folder.glob("*.json")):
            raw = json.loads(path.read_text(encoding="utf-8"))
            seeds = tuple(settings.Seed(**one) for one in raw["seeds"])
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
            out[cfg.name] = Vm(cfg, disk, recorders.MemoryRecorder())
        return out

    def _make_upstreams(self) -> dict[str, world_upstreams.Upstream]:
        centres = self.centres()
        out: dict[str, world_upstreams.Upstream] = {}
        for service, count in self.customer.endpoints.items():
            for index in range(count):
                number = len(out)
                name = f"{service}-{index + 1}"
                out[name] = world_upstreams.Upstream(
                    name,
                    service,
                    centres[number % len(centres)],
                    f"127.{self.customer.net}.1.{number + 1}",
                    1,
                    random.Random(self.seed * 1000 + number),
                )
        return out

    def centres(self) -> list[str]:
        """Return the names of the data centres, sorted."""
        return sorted({vm.cfg.data_centre for vm in self.vms.values()})

    def address(self, service: str) -> str:
        """Return the address that callers of a service use."""
        index = list(self.customer.endpoints).index(service)
        return f"10.{self.customer.net}.0.{index + 1}"

    # Time.

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Do something after a delay."""
        at = self.now + delay_s
        heapq.heappush(self._events, (at, next(self._order), call))

    def run_until(self, at: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= at:
            when, _, call = heapq.heappop(self._events)
            self.now = when
            call()
        self.now = at

    def run_while(self, unmet: Callable[[], bool], limit_s: float) -> bool:
        """Let time pass until something is met; False at the limit."""
        end = self.now + limit_s
        while unmet():
            if self.now >= end:
                return False
            self.run_until(min(end, self.now + TICK_S))
        return True

    def note(self, line: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{self.now:9.3f} {line}")

    def break_promise(self, line: str) -> None:
        """Note that a promise was broken."""
        self.note(f"BROKEN {line}")
        if line not in self.broken:
            self.broken.append(line)

    # Entry VMs.

    def start(self, name: str) -> None:
        """Start a VM's daemon on its data folder."""
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
        self.note(f"start {name}")
        self.perform(vm, vm.node.start(self.now))
        self._tick_for_ever(vm, vm.starts)

    def _tick_for_ever(self, vm: Vm, starts: int) -> None:
        if vm.node is None or vm.starts != starts:
            return
        self.on(vm, lambda: vm.node.tick(self.now))
        self.later(TICK_S, lambda: self._tick_for_ever(vm, starts))

    def lose(self, name: str) -> None:
        """End a VM at once; what wasn't synced is lost."""
        vm = self.vms[name]
        vm.node = None
        vm.disk.crash()
        self.requests.lost_vm(name)
        self.note(f"lose {name}")

    def stop(self, name: str) -> None:
        """Stop a VM as planned: it ends once it is idle."""
        vm = self.vms[name]
        self.on(vm, lambda: vm.node.stop(self.now))
        self.note(f"stop {name}")
        self.later(0.5, lambda: self._stopped(vm, vm.starts))

    def _stopped(self, vm: Vm, starts: int) -> None:
        if vm.node is None or vm.starts != starts:
            return
        if not vm.node.idle(self.now):
            self.later(TICK_S, lambda: self._stopped(vm, starts))
            return
        if self.requests.held_by(vm.cfg.name):
            self.break_promise(f"stop of {vm.cfg.name} cut a request")
        self.lose(vm.cfg.name)

    def on(
        self,
        vm: Vm,
        call: Callable[[], list[actions.Action]],
    ) -> None:
        """Call a node and carry out its actions, once it isn't frozen."""
        if vm.node is None:
            return
        if self.now < vm.frozen_until:
            starts = vm.starts
            delay = vm.frozen_until - self.now
            self.later(delay, lambda: self._thawed(vm, starts, call))
            return
        try:
            out = call()
        except errors.StorageError as exc:
            self.note(f"{vm.cfg.name} {exc}")
            return
        self.perform(vm, vm.node.settle(out, self.now))
        self._check_revision(vm)

    def _thawed(
        self,
        vm: Vm,
        starts: int,
        call: Callable[[], list[actions.Action]],
    ) -> None:
        if vm.starts == starts:
            self.on(vm, call)

    def _check_revision(self, vm: Vm) -> None:
        if vm.node is None:
            return
        present = vm.node.present
        name = vm.cfg.name
        if present.config_revision < vm.config_revision:
            what = f"configuration {present.config_revision}"
            self.break_promise(f"{name} went back to {what}")
        vm.config_revision = present.config_revision
        if not vm.node.spread.leased(self.now):
            return
        if present.revision < vm.revision:
            what = f"revision {present.revision}"
            self.break_promise(f"{name} went back to {what}")
        if present.revision != vm.revision:
            self.note(f"{name} revision {present.revision}")
        vm.revision = present.revision

    def wall(self) -> float:
        """Return seconds since 1970."""
        return WALL_S + self.now

    def running(self) -> list[Vm]:
        """Return the VMs whose daemon runs."""
        return [vm for vm in self.vms.values() if vm.node is not None]

    # Actions.

    def perform(self, vm: Vm, out: list[actions.Action]) -> None:
        """Carry out what a node wants."""
        for action in out:
            if isinstance(action, actions.Send):
                self._send(vm, action)
            elif isinstance(action, actions.Forward):
                self._forward(vm, action)
            elif isinstance(action, actions.ToCaller):
                self._to_caller(action)
            elif isinstance(action, (actions.Propose, actions.Decided)):
                settled = vm.node.settle([action], self.now)
                self.perform(vm, settled)
            else:
                self.requests.perform(vm, action)

    def _send(self, vm: Vm, action: actions.Send) -> None:
        if action.peer in self.vms:
            self.net.send(
                vm.cfg.name,
                action.peer,
                action.msg,
                self._deliver,
            )

    def _deliver(self, src: str, dst: str, msg: object) -> None:
        vm = self.vms[dst]
        self.on(vm, lambda: vm.node.message(src, msg, self.now))

    # Upstreams and packets.

    def upstream_at(self, address: str) -> world_upstreams.Upstream:
        """Return the upstream at an address."""
        return next(
            one for one in self.upstreams.values() if one.address == address
        )

    def _announce_for_ever(self, one: world_upstreams.Upstream) -> None:
        if one.state != "gone":
            self.announce(one)
        self.later(ANNOUNCE_S, lambda: self._announce_for_ever(one))

    def announce(self, one: world_upstreams.Upstream) -> None:
        """Announce an upstream to the VMs of its data centre."""
        said = upstream_announce.Announcement(
            service=one.service,
            address=one.address,
            port=PORT,
            data_centre=one.data_centre,
            incarnation=one.incarnation,
            request_port=REQUEST_PORT,
            slots=one.slots,
            state=upstream_announce.State(one.state),
        )
        for vm in self.vms.values():
            if vm.cfg.data_centre == one.data_centre:
                self._announced(vm, said)

    def _announced(
        self,
        vm: Vm,
        said: upstream_announce.Announcement,
    ) -> None:
        def take() -> list[actions.Action]:
            _, out = vm.node.upstreams.announce(said, said.address, self.now)
            return out

        self.on(vm, take)

    def _forward(self, vm: Vm, action: actions.Forward) -> None:
        one = self.upstream_at(action.address)
        if not self.net.joined(vm.cfg.data_centre, one.data_centre):
            return
        self.check_out(one.data_centre, "packet")
        if one.state == "gone":
            return
        seen = packets.read(action.packet)
        report = reports.Report(
            "packet",
            one.name,
            one.service,
            seen.flow,
            seen.seq,
            f"{seen.dst}:{seen.port}",
        )
        self._judge_packet(report)

    def _judge_packet(self, report: reports.Report) -> None:
        self.judge.take(report, self.now)
        flow = self.judge.flows.get(report.flow)
        if flow is not None and flow.broken:
            self.break_promise(
                f"flow {flow.number} of {flow.first} reached {report.upstream}"
            )
        if self.judge.counts["wrong_service"]:
            self.break_promise(f"{report.upstream} got {report.dst}")

    def _to_caller(self, action: actions.ToCaller) -> None:
        seen = packets.read(action.packet)
        if seen is not None and seen.flags & packets.RST:
            self.requests.reset(seen.dst, seen.port)

    def check_out(self, centre: str, what: str) -> None:
        """Note a packet or request into a data centre taken out."""
        since = self._out_since.get(centre)
        if since is not None and self.now - since > OUT_LIMIT_S:
            late = self.now - since
            self.break_promise(f"{what} into {centre} {late:.1f} s after out")

    def set_out(self, centre: str, out: bool) -> None:
        """Note that a data centre's departure or return is confirmed."""
        if out:
            self._out_since[centre] = self.now
            self.judge.taken_out(centre, self.now)
        else:
            self._out_since.pop(centre, None)

    def last_into(self, centre: str) -> float:
        """Return when a packet or run last reached a data centre."""
        return self.judge.last_into.get(centre, float("-inf"))
