"""Scaling of memory, traffic and CPU time, for docs/CAPACITY.md.

Each quantity is measured at four sizes or more and extrapolated to the
target size by a linear fit.
"""

from collections.abc import Callable
import resource
import time
import tracemalloc

import attrs
import numpy as np

from ebonytally import commands
from ebonytally import config
from ebonytally.dissemination import dissemination
from ebonytally.dissemination import failure_detector
from ebonytally.dissemination import view_history
from ebonytally.flows import flow_records
from ebonytally import peer_datagrams
from ebonytally import recorder
from ebonytally import settings
from ebonytally import view
from ebonytally import wire
from tests import virtual_net

ENDPOINTS = (362, 725, 1450, 2900)
VMS = (26, 52, 103, 205, 410)
FLOWS = (60_000, 120_000, 240_000, 480_000)
TARGET_ENDPOINTS = 2900
TARGET_VMS = 410
TARGET_FLOWS = 6_000_000
ENDPOINTS_PER_SERVICE = 3.3
SLOTS = 256
DATA_CENTRES_PER_REGION = 4
REGIONS = 2
IDLE_SPAN_S = 6.0
KEY = b"k" * 32
# Settings for the target size: fewer heartbeats and longer leases.
LIMITS = settings.Control(heartbeat_s=1.0, lease_s=5.0)


@attrs.frozen
class Fit:
    """A linear fit of measurements.

    :param max_error: largest relative distance of a point from the line
    """

    slope: float
    intercept: float
    max_error: float

    def at(self, size: float) -> float:
        """Return the value that the fit predicts for a size."""
        return self.intercept + self.slope * size


def fit(sizes: tuple[int, ...], values: list[float]) -> Fit:
    """Return the least-squares line through the points."""
    slope, intercept = np.polyfit(sizes, values, 1)
    predictions = [intercept + slope * size for size in sizes]
    max_error = max(
        abs(value - predicted) / max(abs(value), 1e-12)
        for value, predicted in zip(values, predictions, strict=True)
    )
    return Fit(float(slope), float(intercept), float(max_error))


def _view(endpoints: int) -> view.View:
    """Return a view of the target VMs with that many endpoints."""
    state = view.View()
    vms = tuple(_vm(index) for index in range(TARGET_VMS))
    state = config.apply(state, commands.Genesis(vms))
    services = max(1, round(endpoints / ENDPOINTS_PER_SERVICE))
    centres = tuple(sorted({vm.data_centre for vm in vms}))
    new_services = []
    for index in range(services):
        new_services.append(
            view.Service(
                f"service-{index}",
                f"10.0.{index // 250}.{index % 250 + 1}",
                443,
                6,
                centres,
                slots=SLOTS,
            )
        )
    for service in new_services:
        state = config.apply(state, commands.ServiceSet(service))
    for index in range(endpoints):
        state = config.apply(state, _upstream_seen(index, services, centres))
    return state


def _upstream_seen(
    index: int,
    services: int,
    centres: tuple[str, ...],
) -> commands.UpstreamSeen:
    return commands.UpstreamSeen(
        view.Upstream(
            0,
            f"service-{index % services}",
            f"10.1.{index // 250}.{index % 250 + 1}",
            7501,
            7502,
            centres[index % len(centres)],
            2,
            2000,
            1,
        )
    )


def _vm(index: int) -> view.Vm:
    centre = index % (DATA_CENTRES_PER_REGION * REGIONS)
    return view.Vm(
        f"vm-{index:03}",
        f"10.2.{index // 250}.{index % 250 + 1}",
        f"dc-{centre}",
        f"region-{centre // DATA_CENTRES_PER_REGION}",
        index < 7,
    )


def _view_figures() -> dict[str, list[float]]:
    """Measure view memory, packed size and CPU time of a change."""
    figures: dict[str, list[float]] = {"memory": [], "packed": [], "apply": []}
    for count in ENDPOINTS:
        tracemalloc.start()
        state = _view(count)
        figures["memory"].append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        packed_view = view_history.History(state).whole_view()
        figures["packed"].append(len(packed_view.data))
        upstream = state.upstreams[0]
        command = commands.UpstreamMarked(
            upstream.id,
            upstream.incarnation,
            view.UpstreamState.DRAINING,
            1000,
        )
        figures["apply"].append(
            _min_cpu_s(lambda: config.apply(state, command))  # noqa: B023
        )
    return figures


def _min_cpu_s(call: Callable[[], object]) -> float:
    """Return the least CPU time of five calls."""
    times = []
    for _ in range(5):
        began_s = time.process_time()
        call()
        times.append(time.process_time() - began_s)
    return min(times)


class _DisseminationNode:
    """Membership and view dissemination of one VM, as in the daemon."""

    def __init__(
        self, index: int, initial: view.View, is_leader: bool
    ) -> None:
        name = initial.vms[index].name
        cfg = virtual_net.cfg(name, **attrs.asdict(LIMITS))
        unused_recorder = recorder.MemoryRecorder()
        self.dissemination = dissemination.Dissemination(
            cfg, name, initial, unused_recorder, index
        )
        self.failure_detector = failure_detector.FailureDetector(
            cfg, name, index, unused_recorder, index
        )
        self.failure_detector.on_view_change(initial, 0.0)
        self.dissemination.set_alive(self.failure_detector.alive())
        self._is_leader = is_leader
        self.bytes_sent = 0

    def _count_bytes(self, actions_: list) -> list:
        for action in actions_:
            frame = wire.encode(KEY, "vm-000", action.msg)
            self.bytes_sent += len(frame) + peer_datagrams.OVERHEAD_BYTES
        return actions_

    def handle(self, peer: str, msg: object, now: float) -> list:
        """Pass a message to membership or to dissemination."""
        # Kinds below 10 are membership messages, the others dissemination.
        if wire.kind_of(msg) < 10:
            return self._count_bytes(
                self.failure_detector.handle(peer, msg, now)
            )
        return self._count_bytes(self.dissemination.handle(peer, msg, now))

    def tick(self, now: float) -> list:
        """Run the timers of membership and dissemination."""
        self.dissemination.set_leading_term(
            1 if self._is_leader else None, now
        )
        actions_ = self.failure_detector.tick(now) + self.dissemination.tick(
            now
        )
        return self._count_bytes(actions_)


def _dissemination_figures(seed: int) -> dict[str, list[float]]:
    """Measure traffic and CPU time per idle VM, and dissemination time."""
    figures: dict[str, list[float]] = {
        "mean": [],
        "max": [],
        "cpu": [],
        "in_force": [],
    }
    for count in VMS:
        vms = tuple(_vm(index) for index in range(count))
        initial = view.View(vms=vms)
        net = virtual_net.Net(seed)
        for index in range(count):
            node = _DisseminationNode(index, initial, is_leader=index == 0)
            net.components[vms[index].name] = node
        net.run(3.0)
        before = {
            name: node.bytes_sent for name, node in net.components.items()
        }
        began_s = time.process_time()
        net.run(IDLE_SPAN_S)
        cpu_s = time.process_time() - began_s
        rates = [
            (node.bytes_sent - before[name]) / IDLE_SPAN_S
            for name, node in net.components.items()
        ]
        figures["mean"].append(sum(rates) / count)
        figures["max"].append(max(rates))
        figures["cpu"].append(cpu_s / IDLE_SPAN_S / count)
        figures["in_force"].append(_dissemination_s(net, vms[0].name))
    return figures


def _dissemination_s(net: virtual_net.Net, leader: str) -> float:
    """Return the time until every VM has applied a new revision.

    :returns: virtual seconds, infinity after 60 s
    """
    replicas = [node.dissemination for node in net.components.values()]
    revision = replicas[0].current_view.revision + 1
    command = commands.DataCentreOut("dc-0")
    net.components[leader].dissemination.on_command_applied(revision, command)
    began_s = net.now
    while any(
        replica.current_view.revision < revision for replica in replicas
    ):
        net.run(0.05)
        if net.now - began_s > 60.0:
            return float("inf")
    return net.now - began_s


def _flow_figures() -> list[float]:
    """Measure the memory of an owner's flow records."""
    memory_bytes = []
    for count in FLOWS:
        tracemalloc.start()
        records = flow_records.Records(
            900.0,
            30.0,
            lambda service, slot, upstream, by: None,
            lambda service, upstream: True,
        )
        records.add_service("s", 1024)
        for index in range(count):
            flow = (index * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
            upstream = index % 50 + 1
            state = flow_records.State.OPEN
            records.put("s", flow % 1024, flow, upstream, state, 0.0)
        memory_bytes.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
    return memory_bytes


def run(seed: int, json_only: bool) -> dict:
    """Measure each quantity and extrapolate it to the target size."""
    by_view = _view_figures()
    by_vms = _dissemination_figures(seed)
    by_flows = _flow_figures()
    flows_per_owner = 2 * TARGET_FLOWS / TARGET_VMS
    fits = {
        "view_memory_bytes": (ENDPOINTS, by_view["memory"], TARGET_ENDPOINTS),
        "view_packed_bytes": (ENDPOINTS, by_view["packed"], TARGET_ENDPOINTS),
        "apply_change_s": (ENDPOINTS, by_view["apply"], TARGET_ENDPOINTS),
        "idle_mean_bytes_per_s": (VMS, by_vms["mean"], TARGET_VMS),
        "idle_max_bytes_per_s": (VMS, by_vms["max"], TARGET_VMS),
        "in_force_s": (VMS, by_vms["in_force"], TARGET_VMS),
        "idle_cpu_s_per_s": (VMS, by_vms["cpu"], TARGET_VMS),
        "flow_records_bytes": (FLOWS, by_flows, flows_per_owner),
    }
    figures: dict[str, object] = {}
    for name, (sizes, values, target) in fits.items():
        fitted = fit(sizes, values)
        figures[name] = {
            "sizes": list(sizes),
            "values": [round(value, 9) for value in values],
            "slope": fitted.slope,
            "start": fitted.intercept,
            "worst_share": round(fitted.max_error, 3),
            "at_target": fitted.at(target),
        }
        if not json_only:
            print(
                f"{name:24} {fitted.slope:.4g} each + {fitted.intercept:.4g}"
            )
    usage = resource.getrusage(resource.RUSAGE_SELF)
    figures["bench_rss_max_bytes"] = usage.ru_maxrss * 1024
    return figures
