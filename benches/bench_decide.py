"""Time and memory of the packet decision, beside modulo hashing."""

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
from tests import flow_bed

PACKETS = 20_000
HELD_FLOWS = 500_000
ENDPOINTS = 2_900
BIG_SLOTS = 65_536
START_S = 100.0
SERVICE = view.Service("s", "10.9.0.1", 80, 6, ("a", "b"), slots=1024)


class Modulo:
    """The baseline: hash modulo the present list of upstreams."""

    def __init__(self, state: view.View) -> None:
        """Take the upstreams of a view."""
        self._services = {
            flow_packet.key(one.address, one.port, one.protocol): [
                up for up in state.upstreams if up.service == one.name
            ]
            for one in state.services
        }

    def packet(self, data: bytes, now: float) -> list[actions.Action]:
        """Decide about a packet."""
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


def _state(upstreams: tuple[view.Upstream, ...]) -> view.View:
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
        keeper_epoch=1,
    )


def _moved(state: view.View) -> view.View:
    """Return the view with all slots moving to other upstreams."""
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
    table = flow_table.placing(table, slots, 4, 5)
    return view.View(
        revision=5,
        services=state.services,
        upstreams=_upstreams(2 * len(state.upstreams)),
        vms=state.vms,
        tables=(table,),
        keeper_epoch=1,
    )


def _flows(state: view.View) -> flows.Flows:
    """Return an entry VM that hears all others in its keeper epoch."""
    cfg = flow_bed.make_settings("v1", "b", 900.0, 30.0)
    one = flows.Flows(cfg, "v1", recorder.MemoryRecorder())
    peers = frozenset(vm.name for vm in state.vms) - {"v1"}
    one.reach(peers, True, START_S)
    one.changed(state, START_S)
    for peer in peers:
        report = flow_bed.flow_messages.KeeperReport(1, b"\xff" * 32, ())
        one.handle(peer, report, START_S)
    return one


def _packets(rng: random.Random, count: int, flags: int) -> list[bytes]:
    return [
        flow_bed.packet(
            str(flow_bed.ipaddress.IPv4Address(rng.getrandbits(32))),
            rng.randrange(1024, 65536),
            SERVICE,
            flags,
        )
        for _ in range(count)
    ]


def _timed(one, packets: list[bytes], now: float) -> list[int]:
    """Return nanoseconds of each decision, without the clock's own."""
    clock = time.perf_counter_ns
    own = statistics.median(_clock_cost() for _ in range(1000))
    found = []
    for data in packets:
        begin = clock()
        one.packet(data, now)
        found.append(clock() - begin - int(own))
    return found


def _clock_cost() -> int:
    begin = time.perf_counter_ns()
    return time.perf_counter_ns() - begin


def _put(figures: dict, name: str, times: list[int]) -> None:
    ordered = sorted(times)
    figures[f"{name}_median_ns"] = ordered[len(ordered) // 2]
    figures[f"{name}_p99_ns"] = ordered[len(ordered) * 99 // 100]


def _decisions(rng: random.Random, figures: dict) -> None:
    state = _state(_upstreams(7))
    starts = _packets(rng, PACKETS, flow_bed.SYN)
    middles = [data[:33] + b"\x10" + data[34:] for data in starts]
    modulo = Modulo(state)
    pinned = _flows(state)
    _timed(pinned, starts, START_S)
    _timed(pinned, middles, START_S + 1)
    gc.collect()
    gc.freeze()
    later = START_S + 2
    _timed(modulo, middles, later)
    _put(figures, "modulo", _timed(modulo, middles, later))
    _put(figures, "established", _timed(pinned, middles, later))
    _put(figures, "modulo_again", _timed(modulo, middles, later))
    _put(figures, "new", _timed(_flows(state), starts, START_S))
    moved = _flows(state)
    moved.changed(_moved(state), START_S)
    _put(figures, "moved_new", _timed(moved, starts, START_S))
    _put(figures, "moved_established", _timed(moved, middles, START_S + 1))
    figures["established_to_modulo"] = round(
        figures["established_median_ns"] / figures["modulo_median_ns"], 2
    )


def _memory(rng: random.Random, figures: dict) -> None:
    """Count bytes of a keeper's records and of the direct path."""
    records = flow_records.Records(
        900.0, 30.0, lambda *_: None, lambda *_: True
    )
    records.add_service("s", 1024)
    records.add_service("t", 1024)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for n in range(HELD_FLOWS):
        flow = rng.getrandbits(60)
        records.put(
            "st"[n & 1],
            flow & 1023,
            flow,
            1 + n % 11,
            flow_records.State.OPEN,
            n / 5_000,
        )
    held = tracemalloc.get_traced_memory()[0] - before
    before = tracemalloc.get_traced_memory()[0]
    recent = flow_recent.Recent(300.0)
    cells = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del recent
    figures["record_bytes"] = round(held / HELD_FLOWS, 1)
    figures["recent_bytes"] = round(cells / HELD_FLOWS, 1)
    figures["flow_bytes"] = round((held + cells) / HELD_FLOWS, 1)


def _rebuild(figures: dict) -> None:
    service = flow_bed.attrs.evolve(SERVICE, slots=BIG_SLOTS)
    upstreams = _upstreams(ENDPOINTS)
    table = flow_table.replan(None, service, upstreams, (), 1)
    begin = time.perf_counter()
    changed = flow_table.replan(table, service, upstreams[1:], (), 2)
    figures["replan_s"] = round(time.perf_counter() - begin, 4)
    old = view.View(1, 1, (service,), upstreams, (), (), (table,))
    new = view.View(2, 1, (service,), upstreams[1:], (), (), (changed,))
    known = flow_routes.routes(old, view.View(), {})
    begin = time.perf_counter()
    flow_routes.routes(new, old, known)
    figures["routes_s"] = round(time.perf_counter() - begin, 4)
    figures["rebuild_s"] = round(figures["replan_s"] + figures["routes_s"], 4)


def run(seed: int, json_only: bool) -> dict:
    """Return the figures; prints them one a line unless `json_only`."""
    rng = random.Random(seed)
    figures: dict = {}
    _decisions(rng, figures)
    _memory(rng, figures)
    _rebuild(figures)
    if not json_only:
        for name, figure in figures.items():
            print(f"{name:28} {figure}")
    return figures
