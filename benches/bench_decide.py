"""CPU time and memory of packet decisions, against modulo hashing."""

import gc
import random
import statistics
import time
import tracemalloc

from ebonytally import actions
from ebonytally.flows import flow_packet
from ebonytally.flows import flow_recent
from ebonytally.flows import flow_records
from ebonytally.flows import flow_routes
from ebonytally.flows import flow_table
from ebonytally.flows import flows
from ebonytally import recorder
from ebonytally import view
from tests import flow_harness

PACKETS = 20_000
RECORDED_FLOWS = 500_000
ENDPOINTS = 2_900
REBUILD_SLOTS = 65_536
START_S = 100.0
SERVICE = view.Service("s", "10.9.0.1", 80, 6, ("a", "b"), slots=1024)


class ModuloBaseline:
    """Forwards by flow hash modulo the number of upstreams, statelessly."""

    def __init__(self, state: view.View) -> None:
        """Index the upstreams of a view by service address."""
        self._services = {
            flow_packet.key(service.address, service.port, service.protocol): [
                up for up in state.upstreams if up.service == service.name
            ]
            for service in state.services
        }

    def handle_packet(self, data: bytes, now: float) -> list[actions.Action]:
        """Return the action for a packet, none for other services."""
        parsed = flow_packet.parse(data)
        if type(parsed) is not flow_packet.Parsed:
            return []
        upstreams = self._services.get(parsed.service)
        if not upstreams:
            return []
        up = upstreams[parsed.flow % len(upstreams)]
        return [actions.Forward(up.id, up.address, up.port, data)]


def _upstreams(count: int) -> tuple[view.Upstream, ...]:
    return tuple(
        view.Upstream(
            id_, "s", f"10.2.{id_ >> 8}.{id_ & 255}", 5555, 0,
            "ab"[id_ & 1], 2, 200_000, 1,
        )
        for id_ in range(1, count + 1)
    )  # fmt: skip


def _view(upstreams: tuple[view.Upstream, ...]) -> view.View:
    table = flow_table.replan(None, SERVICE, upstreams, (), 2)
    vms = tuple(
        view.Vm(f"v{n}", f"10.1.0.{n}", "ab"[n & 1], "r", True)
        for n in range(1, 6)
    )
    return view.View(
        revision=2,
        services=(SERVICE,),
        upstreams=upstreams,
        vms=vms,
        tables=(table,),
        owner_epoch=1,
    )


def _view_with_moving_slots(state: view.View) -> view.View:
    """Return the view in which all slots move to new upstreams."""
    table = state.tables[0]
    slots = range(len(table.bases))
    for revision in (3, 4):
        table = flow_table.replan(
            table,
            SERVICE,
            _upstreams(2 * len(state.upstreams))[len(state.upstreams) :],
            (),
            revision,
        )
    table = flow_table.with_placing(table, slots, 4, 5)
    return view.View(
        revision=5,
        services=state.services,
        upstreams=_upstreams(2 * len(state.upstreams)),
        vms=state.vms,
        tables=(table,),
        owner_epoch=1,
    )


def _synced_flows(state: view.View) -> flows.Flows:
    """Return the Flows of an entry VM after a completed handover."""
    cfg = flow_harness.make_settings("v1", "b", 900.0, 30.0)
    entry_vm = flows.Flows(cfg, "v1", recorder.MemoryRecorder())
    peers = frozenset(vm.name for vm in state.vms) - {"v1"}
    entry_vm.on_connectivity_change(peers, True, START_S)
    entry_vm.on_view_change(state, START_S)
    for peer in peers:
        report = flow_harness.flow_messages.KeeperReport(1, b"\xff" * 32, ())
        entry_vm.handle(peer, report, START_S)
    return entry_vm


def _packets(rng: random.Random, count: int, flags: int) -> list[bytes]:
    return [
        flow_harness.packet(
            str(flow_harness.ipaddress.IPv4Address(rng.getrandbits(32))),
            rng.randrange(1024, 65536),
            SERVICE,
            flags,
        )
        for _ in range(count)
    ]


def _decision_times_ns(decider, packets: list[bytes], now: float) -> list[int]:
    """Return the time of each decision, less the cost of the clock."""
    clock = time.perf_counter_ns
    overhead_ns = statistics.median(_clock_cost_ns() for _ in range(1000))
    times_ns = []
    for data in packets:
        began = clock()
        decider.handle_packet(data, now)
        times_ns.append(clock() - began - int(overhead_ns))
    return times_ns


def _clock_cost_ns() -> int:
    began = time.perf_counter_ns()
    return time.perf_counter_ns() - began


def _add_percentiles(figures: dict, name: str, times_ns: list[int]) -> None:
    ordered = sorted(times_ns)
    figures[f"{name}_median_ns"] = ordered[len(ordered) // 2]
    figures[f"{name}_p99_ns"] = ordered[len(ordered) * 99 // 100]


def _decisions(rng: random.Random, figures: dict) -> None:
    state = _view(_upstreams(7))
    syn_packets = _packets(rng, PACKETS, flow_harness.SYN)
    # Byte 33 contains the TCP flags: ACK in place of SYN.
    ack_packets = [data[:33] + b"\x10" + data[34:] for data in syn_packets]
    modulo = ModuloBaseline(state)
    entry_vm = _synced_flows(state)
    _decision_times_ns(entry_vm, syn_packets, START_S)
    _decision_times_ns(entry_vm, ack_packets, START_S + 1)
    gc.collect()
    gc.freeze()
    now = START_S + 2
    _decision_times_ns(modulo, ack_packets, now)
    _add_percentiles(
        figures, "modulo", _decision_times_ns(modulo, ack_packets, now)
    )
    _add_percentiles(
        figures, "established", _decision_times_ns(entry_vm, ack_packets, now)
    )
    _add_percentiles(
        figures, "modulo_again", _decision_times_ns(modulo, ack_packets, now)
    )
    _add_percentiles(
        figures,
        "new",
        _decision_times_ns(_synced_flows(state), syn_packets, START_S),
    )
    after_move = _synced_flows(state)
    after_move.on_view_change(_view_with_moving_slots(state), START_S)
    _add_percentiles(
        figures,
        "moved_new",
        _decision_times_ns(after_move, syn_packets, START_S),
    )
    _add_percentiles(
        figures,
        "moved_established",
        _decision_times_ns(after_move, ack_packets, START_S + 1),
    )
    figures["established_to_modulo"] = round(
        figures["established_median_ns"] / figures["modulo_median_ns"], 2
    )


def _memory(rng: random.Random, figures: dict) -> None:
    """Measure the bytes per flow of records and of the `RecentFlows` cache."""
    records = flow_records.Records(
        900.0, 30.0, lambda *_: None, lambda *_: True
    )
    records.add_service("s", 1024)
    records.add_service("t", 1024)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for n in range(RECORDED_FLOWS):
        flow = rng.getrandbits(60)
        records.put(
            "st"[n & 1],
            flow & 1023,
            flow,
            1 + n % 11,
            flow_records.State.OPEN,
            n / 5_000,
        )
    records_bytes = tracemalloc.get_traced_memory()[0] - before
    before = tracemalloc.get_traced_memory()[0]
    recent = flow_recent.RecentFlows(300.0)
    recent_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del recent
    figures["record_bytes"] = round(records_bytes / RECORDED_FLOWS, 1)
    figures["recent_bytes"] = round(recent_bytes / RECORDED_FLOWS, 1)
    figures["flow_bytes"] = round(
        (records_bytes + recent_bytes) / RECORDED_FLOWS, 1
    )


def _rebuild(figures: dict) -> None:
    service = flow_harness.attrs.evolve(SERVICE, slots=REBUILD_SLOTS)
    upstreams = _upstreams(ENDPOINTS)
    table = flow_table.replan(None, service, upstreams, (), 1)
    began = time.perf_counter()
    new_table = flow_table.replan(table, service, upstreams[1:], (), 2)
    figures["replan_s"] = round(time.perf_counter() - began, 4)
    old = view.View(1, 1, (service,), upstreams, (), (), (table,))
    new = view.View(2, 1, (service,), upstreams[1:], (), (), (new_table,))
    old_routes = flow_routes.routes(old, view.View(), {})
    began = time.perf_counter()
    flow_routes.routes(new, old, old_routes)
    figures["routes_s"] = round(time.perf_counter() - began, 4)
    figures["rebuild_s"] = round(figures["replan_s"] + figures["routes_s"], 4)


def run(seed: int, json_only: bool) -> dict:
    """Return the figures; print one a line unless `json_only`."""
    rng = random.Random(seed)
    figures: dict = {}
    _decisions(rng, figures)
    _memory(rng, figures)
    _rebuild(figures)
    if not json_only:
        for name, figure in figures.items():
            print(f"{name:28} {figure}")
    return figures
