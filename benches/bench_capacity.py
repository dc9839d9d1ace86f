"""Slopes behind docs/CAPACITY.md: state, bytes and processor time.

Each quantity is measured at four sizes or more; a line through them gives
the figure at the size of the target.
"""

from collections.abc import Callable
import resource
import time
import tracemalloc

import attrs
import numpy as np

from ebonytally import commands
from ebonytally import config
from ebonytally.flows import flow_records
from ebonytally import recorder
from ebonytally import settings
from ebonytally.spread import members
from ebonytally.spread import spread
from ebonytally.spread import spread_history
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
CENTRES = 4
REGIONS = 2
SPAN_S = 6.0
DATAGRAM_OVERHEAD_BYTES = 28
KEY = b"k" * 32
# What the target size sets: fewer, longer leases.
LIMITS = settings.Control(heartbeat_s=1.0, lease_s=5.0)


@attrs.frozen
class Fit:
    """A line through measurements.

    :param worst: largest distance of a point from the line, as a share
    """

    slope: float
    start: float
    worst: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.start + self.slope * size


def fit(sizes: tuple[int, ...], values: list[float]) -> Fit:
    """Return the least-squares line through the points."""
    slope, start = np.polyfit(sizes, values, 1)
    line = [start + slope * size for size in sizes]
    worst = max(
        abs(value - at) / max(abs(value), 1e-12)
        for value, at in zip(values, line, strict=True)
    )
    return Fit(float(slope), float(start), float(worst))


def _view(endpoints: int) -> view.View:
    """Return a view with that many endpoints, services and their VMs."""
    state = view.View()
    vms = tuple(_vm(index) for index in range(TARGET_VMS))
    state = config.apply(state, commands.Genesis(vms))
    services = max(1, round(endpoints / ENDPOINTS_PER_SERVICE))
    centres = tuple(sorted({vm.data_centre for vm in vms}))
    made = []
    for index in range(services):
        made.append(
            view.Service(
                f"service-{index}",
                f"10.0.{index // 250}.{index % 250 + 1}",
                443,
                6,
                centres,
                slots=SLOTS,
            )
        )
    for service in made:
        state = config.apply(state, commands.ServiceSet(service))
    for index in range(endpoints):
        state = config.apply(state, _seen(index, services, centres))
    return state


def _seen(
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
    centre = index % (CENTRES * REGIONS)
    return view.Vm(
        f"vm-{index:03}",
        f"10.2.{index // 250}.{index % 250 + 1}",
        f"dc-{centre}",
        f"region-{centre // CENTRES}",
        index < 7,
    )


def _view_figures() -> dict[str, list[float]]:
    """Measure memory, bytes and time of a change by endpoints."""
    out: dict[str, list[float]] = {"memory": [], "packed": [], "apply": []}
    for count in ENDPOINTS:
        tracemalloc.start()
        state = _view(count)
        out["memory"].append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        whole = spread_history.History(state).whole()
        out["packed"].append(len(whole.data))
        one = state.upstreams[0]
        command = commands.UpstreamMarked(
            one.id,
            one.incarnation,
            view.UpstreamState.DRAINING,
            1000,
        )
        out["apply"].append(_seconds(lambda: config.apply(state, command)))  # noqa: B023
    return out


def _seconds(call: Callable[[], object]) -> float:
    """Return the least processor time of some calls."""
    times = []
    for _ in range(5):
        begin = time.process_time()
        call()
        times.append(time.process_time() - begin)
    return min(times)


class _Both:
    """Members and spread of one VM, as the daemon runs them."""

    def __init__(self, index: int, first: view.View, leads: bool) -> None:
        name = first.vms[index].name
        cfg = virtual_net.cfg(name, **attrs.asdict(LIMITS))
        silent = recorder.MemoryRecorder()
        self.spread = spread.Spread(cfg, name, first, silent, index)
        self.members = members.Members(cfg, name, index, silent, index)
        self.members.changed(first, 0.0)
        self.spread.reach(self.members.alive())
        self.leads = leads
        self.bytes = 0

    def _count(self, out: list) -> list:
        for action in out:
            frame = wire.encode(KEY, "vm-000", action.msg)
            self.bytes += len(frame) + DATAGRAM_OVERHEAD_BYTES
        return out

    def handle(self, peer: str, msg: object, now: float) -> list:
        """Take a message."""
        if wire.kind_of(msg) < 10:
            return self._count(self.members.handle(peer, msg, now))
        return self._count(self.spread.handle(peer, msg, now))

    def tick(self, now: float) -> list:
        """Do what is due."""
        self.spread.lead(1 if self.leads else None, now)
        out = self.members.tick(now) + self.spread.tick(now)
        return self._count(out)


def _spread_figures(seed: int) -> dict[str, list[float]]:
    """Measure idle bytes and time for each VM by the number of VMs."""
    out: dict[str, list[float]] = {
        "mean": [],
        "max": [],
        "cpu": [],
        "in_force": [],
    }
    for count in VMS:
        vms = tuple(_vm(index) for index in range(count))
        first = view.View(vms=vms)
        net = virtual_net.Net(seed)
        for index in range(count):
            part = _Both(index, first, leads=index == 0)
            net.parts[vms[index].name] = part
        net.run(3.0)
        before = {name: part.bytes for name, part in net.parts.items()}
        begin = time.process_time()
        net.run(SPAN_S)
        spent = time.process_time() - begin
        rates = [
            (part.bytes - before[name]) / SPAN_S
            for name, part in net.parts.items()
        ]
        out["mean"].append(sum(rates) / count)
        out["max"].append(max(rates))
        out["cpu"].append(spent / SPAN_S / count)
        out["in_force"].append(_in_force_s(net, vms[0].name))
    return out


def _in_force_s(net: virtual_net.Net, leader: str) -> float:
    """Return the time until every VM has applied one more revision."""
    parts = [part.spread for part in net.parts.values()]
    revision = parts[0].present.revision + 1
    command = commands.DataCentreOut("dc-0")
    net.parts[leader].spread.offer(revision, command)
    began = net.now
    while any(part.present.revision < revision for part in parts):
        net.run(0.05)
        if net.now - began > 60.0:
            return float("inf")
    return net.now - began


def _flow_figures() -> list[float]:
    """Measure memory of a keeper's records by flows held."""
    out = []
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
        out.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
    return out


def run(seed: int, json_only: bool) -> dict:
    """Measure all slopes and what they give at the target."""
    by_view = _view_figures()
    by_vms = _spread_figures(seed)
    by_flows = _flow_figures()
    flows_at_keeper = 2 * TARGET_FLOWS / TARGET_VMS
    fits = {
        "view_memory_bytes": (ENDPOINTS, by_view["memory"], TARGET_ENDPOINTS),
        "view_packed_bytes": (ENDPOINTS, by_view["packed"], TARGET_ENDPOINTS),
        "apply_change_s": (ENDPOINTS, by_view["apply"], TARGET_ENDPOINTS),
        "idle_mean_bytes_per_s": (VMS, by_vms["mean"], TARGET_VMS),
        "idle_max_bytes_per_s": (VMS, by_vms["max"], TARGET_VMS),
        "in_force_s": (VMS, by_vms["in_force"], TARGET_VMS),
        "idle_cpu_s_per_s": (VMS, by_vms["cpu"], TARGET_VMS),
        "flow_records_bytes": (FLOWS, by_flows, flows_at_keeper),
    }
    figures: dict[str, object] = {}
    for name, (sizes, values, target) in fits.items():
        line = fit(sizes, values)
        figures[name] = {
            "sizes": list(sizes),
            "values": [round(value, 9) for value in values],
            "slope": line.slope,
            "start": line.start,
            "worst_share": round(line.worst, 3),
            "at_target": line.at(target),
        }
        if not json_only:
            print(f"{name:24} {line.slope:.4g} each + {line.start:.4g}")
    usage = resource.getrusage(resource.RUSAGE_SELF)
    figures["bench_rss_max_bytes"] = usage.ru_maxrss * 1024
    return figures
