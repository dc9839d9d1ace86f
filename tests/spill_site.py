"""Data centres, entry VMs and upstreams with queues, in virtual time."""

import heapq
import itertools
import random
import statistics
import types

import attrs

from ebonytally.configuration import model
from ebonytally.echo import placing
from ebonytally.feed import follower
from ebonytally.load import priority_mix
from ebonytally.load import rooms
from ebonytally.load import spill
from ebonytally.load import way_cost
from ebonytally import recorder as recorders
from ebonytally.registry import registry as registries
from tests import echo_harness

SERVICE_S = 0.04
SLOTS = 2
QUEUE = 8
DESK = "desk"
TICK_S = 0.05


class Figures:
    """Demand by data centre, as told with a delay; None while lost."""

    def __init__(self):
        self.delay_s = 1.0
        self.lost = False
        self._told = [(-1e9, {})]

    def tell(self, demand, now):
        self._told.append((now, dict(demand)))

    def demand_per_s(self, service, now):
        if self.lost:
            return None
        old = [told for at, told in self._told if at <= now - self.delay_s]
        return old[-1] if old and old[-1] else None

    def suspicions(self, now):
        return {}


class Speeds:
    """Known time of a request; all upstreams have the usual speed."""

    def speed(self, upstream, now):
        return 1.0

    def service_time_s(self, service, now):
        return SERVICE_S


class EntryVm:
    """The parts of an entry VM that choose an upstream."""

    def __init__(self, site, home, seed, with_spill):
        self.home = home
        self.view = types.SimpleNamespace(view=site.view)
        self.recorder = recorders.MemoryRecorder()
        self.ways = way_cost.WayCost(site.registry, home)
        self.mix = priority_mix.PriorityMix(site.registry, self.view)
        self.spill = spill.SpillShares(
            self.view,
            home,
            rooms.Rooms(site.registry, self.view, Speeds()),
            site.figures,
            self.ways,
            self.mix,
            self.recorder,
            seed,
            with_spill,
        )
        self.placing = placing.Placing(
            site.registry, self.view, 5.0, home, seed, spill=self.spill
        )


@attrs.define
class Upstream:
    """Two slots and a queue; `free_at` has the time of each slot."""

    home: str
    free_at: list = attrs.field(factory=lambda: [0.0] * SLOTS)
    waiting: list = attrs.field(factory=list)

    def serve(self, now, work_s):
        """Return the wait, None if the queue is full."""
        self.waiting = [at for at in self.waiting if at > now]
        if len(self.waiting) >= QUEUE:
            return None
        begin = max(now, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, begin + work_s)
        if begin > now:
            self.waiting.append(begin)
        return begin - now


class Site:
    """`upstreams` and `demand` (requests a second) by data centre.

    `way_s` is the round trip between data centres; `cut` the data centres
    whose upstreams don't answer openings from others; `silent` the ids of
    upstreams that answer none.
    """

    def __init__(self, upstreams, vms=4, with_spill=True, seed=1, routes=None):
        self.figures = Figures()
        self.demand = dict.fromkeys(upstreams, 0.0)
        self.now = 0.0
        self.way_s = 0.001
        self.cut = set()
        self.silent = set()
        self.done = []
        self._rng = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()
        self.routes = routes or (echo_harness.ROUTE,)
        content = model.Content(self.routes, echo_harness.SERVICES, 15.0)
        self.view = follower.View(version=2, content=content, entry_vms=vms)
        self.registry = registries.Registry(
            "e", echo_harness.LIMITS, recorders.MemoryRecorder()
        )
        self.upstreams = {}
        numbers = itertools.count(1)
        for home, count in upstreams.items():
            for number in itertools.islice(numbers, count):
                change = {
                    "data_centre": home,
                    "address": f"10.0.{number // 256}.{number % 256}",
                }
                record = echo_harness.announcement(number, **change)
                self.registry.on_announcement(record, 0.0)
                self.upstreams[record.id] = Upstream(home)
        self.vms = {
            home: [
                EntryVm(self, home, seed * 1000 + 10 * place + n, with_spill)
                for n in range(vms)
            ]
            for place, home in enumerate(upstreams)
        }

    def room(self, home):
        """Return the room of a data centre, requests a second."""
        count = sum(up.home == home for up in self.upstreams.values())
        return count * SLOTS / SERVICE_S

    def set_view(self, **change):
        """Change what all entry VMs follow."""
        self.view = attrs.evolve(self.view, **change)
        for vm in itertools.chain(*self.vms.values()):
            vm.view.view = self.view

    def run(self, seconds, on_tick=lambda: None):
        """Open flows of one request each for so long."""
        until = self.now + seconds
        while self.now < until:
            end = self.now + TICK_S
            for home, per_s in self.demand.items():
                self._arrive(home, per_s, end)
            while self._events and self._events[0][0] <= end:
                at, _, call, args = heapq.heappop(self._events)
                call(at, *args)
            self.now = end
            self.figures.tell(self.demand, end)
            for vm in itertools.chain(*self.vms.values()):
                vm.spill.tick(end)
            on_tick()

    def share(self, home, priority=2):
        """Return the mean share that leaves a data centre."""
        return statistics.mean(
            sum(vm.spill.remote_shares(DESK, priority, self.now).values())
            for vm in self.vms[home]
        )

    def utilisation(self, since):
        """Return the load offered to each data centre by its room."""
        used = dict.fromkeys(self.demand, 0)
        for at, _, to, _ in self.done:
            used[to] += at >= since
        return {
            to: count / (self.now - since) / self.room(to)
            for to, count in used.items()
        }

    def waits(self, home, since):
        """Return the waits of a data centre's callers and the refused."""
        mine = [w for at, by, _, w in self.done if by == home and at >= since]
        waits = sorted(wait for wait in mine if wait is not None)
        return waits, len(mine) - len(waits)

    def left(self, home, since):
        """Return the share of a data centre's flows that went elsewhere."""
        to = [to for at, by, to, _ in self.done if by == home and at >= since]
        return sum(name != home for name in to) / max(1, len(to))

    def _call(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._numbers), call, args))

    def _arrive(self, home, per_s, end):
        at = self.now
        while per_s:
            at += self._rng.expovariate(per_s)
            if at >= end:
                return
            vm = self._rng.choice(self.vms[home])
            route = self._rng.choice(self.routes)
            self._call(at, self._open, vm, route, ())

    def _open(self, now, vm, route, tried):
        record = vm.placing.choose(DESK, route.priority, tried, now)
        up = self.upstreams[record.id]
        load = vm.placing.load(record.id)
        load.opening += 1
        is_cut = up.home in self.cut and up.home != vm.home
        if is_cut or record.id in self.silent:
            self._call(
                now + 0.06, self._silent, vm, route, (*tried, record.id)
            )
            return
        way_s = self.way_s if up.home != vm.home else 0.0
        took_s = 0.008 + way_s
        self._call(now + took_s, self._opened, vm, route, record.id, way_s)

    def _silent(self, now, vm, route, tried):
        load = vm.placing.load(tried[-1])
        load.opening -= 1
        load.on_silence(now)
        vm.ways.on_silence(tried[-1], now)
        if len(tried) < 3:
            self._open(now, vm, route, tried)

    def _opened(self, now, vm, route, id_, way_s):
        load = vm.placing.load(id_)
        load.opening -= 1
        load.on_opened(now)
        vm.ways.on_opened(id_, 0.008 + way_s, now)
        load.busy += 1
        up = self.upstreams[id_]
        work_s = self._rng.expovariate(1.0 / SERVICE_S)
        wait = up.serve(now, work_s)
        self.done.append((now, vm.home, up.home, wait))
        took_s = 0.008 + way_s + (0.0 if wait is None else wait + work_s)
        self._call(now + took_s, self._ended, vm, route, id_)

    def _ended(self, now, vm, route, id_):
        vm.placing.load(id_).busy -= 1
        address = echo_harness.forwarder.service_address_of(route)
        vm.mix.on_request_end(id_, address, 100, now)
