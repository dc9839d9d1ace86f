"""Placing of new flows by cookie, against three baselines.

Five entry VMs before seven upstreams of two slots each, in four data
centres: long flows with pauses and a flow for each request, below and
near full load, and with an upstream that goes dark. The product decides
on packets, as in a daemon; the baselines see the same.
"""

from collections.abc import Callable
import heapq
import random

import attrs

from ebonytally.echo import cookies
from tests import echo_bed

ENTRY_HOMES = ("a", "a", "b", "c", "d")
UPSTREAM_HOMES = ("a", "a", "b", "b", "c", "c", "d")
SLOTS = 2
QUEUE = 8
WORK_S = 0.033
LONG_SHARE = 0.75
LONG_FLOWS = 280
WAY_S = 0.004
COPY_S = 0.2
AIM_S = 0.15
SECONDS = 30.0
TICK_S = 0.02
DARK_FROM_S = 10.0
DARK_UNTIL_S = 16.0
LOADS = (0.43, 0.7, 0.9)


@attrs.define
class Upstream:
    """An upstream that works on its slots and queues a few."""

    dark: bool = False
    busy: int = 0
    queue: list = attrs.field(factory=list)
    served: int = 0


@attrs.define
class Figures:
    """What callers got."""

    took: list[float] = attrs.field(factory=list)
    refused: int = 0
    lost: int = 0


class Product:
    """The product's entry VMs, driven by packets."""

    def __init__(self, seed: int) -> None:
        """Let every entry VM know all upstreams."""
        self._control = echo_bed.ControlVm("c1")
        self._control.put(2)
        for number, home in enumerate(UPSTREAM_HOMES):
            said = echo_bed.announcement(number + 1, data_centre=home)
            self._control.register.announced(said, 0.0)
        self._entries = [
            echo_bed.EntryVm(f"e{n}", [self._control], seed + n, home)
            for n, home in enumerate(ENTRY_HOMES)
        ]
        for entry in self._entries:
            entry.run(1.0)

    def open(self, entry: int, flow: int, now: float) -> int | None:
        """Return the upstream for an opening packet."""
        return self._take(entry, flow, now, opening=True)

    def tick(self, now: float) -> list[tuple[int, int]]:
        """Return flows that are offered to another upstream."""
        again = []
        for entry in self._entries:
            entry.now = 1.0 + now
            for out in entry.forwarder.tick(entry.now):
                flow = int.from_bytes(out.packet.key[:6], "big")
                again.append((flow, int(out.id[2:], 16) - 1))
        return again

    def request(self, entry: int, flow: int, up: int, now: float) -> None:
        """Note a caller's data on an open flow."""
        self._packet(entry, flow, up, now, size=100)

    def answered(self, entry: int, flow: int, up: int, now: float) -> None:
        """Note the acknowledgement of an answer."""
        self._packet(entry, flow, up, now, ack=int(now * 1000) + 1)

    def closed(self, entry: int, flow: int, up: int, now: float) -> None:
        """Note the end of a flow."""
        self._packet(entry, flow, up, now, ends=True)

    def _take(self, entry: int, flow: int, now: float, **about) -> int | None:
        vm = self._entries[entry]
        vm.now = 1.0 + now
        out = vm.packet(flow, **about)
        if not out or not hasattr(out[0], "id"):
            return None
        return int(out[0].id[2:], 16) - 1

    def _packet(self, entry: int, flow: int, up: int, now, **about) -> None:
        record = self._control.register.get(f"i-{up + 1:08x}").record
        cookie = cookies.cookie_of(record)
        self._take(entry, flow, now, cookie=cookie, **about)


class Baseline:
    """Chooses by what one entry VM has sent, or by everything."""

    def __init__(self, choose: Callable, seed: int) -> None:
        """Take a choice from (entry VM's flows by upstream, busy)."""
        self._choose = choose
        self._rng = random.Random(seed)
        self.flows = [[0] * len(UPSTREAM_HOMES) for _ in ENTRY_HOMES]
        self.busy: Callable[[], list[int]] = list

    def open(self, entry: int, flow: int, now: float) -> int | None:
        """Return the upstream for an opening packet."""
        up = self._choose(self._rng, self.flows[entry], self.busy())
        self.flows[entry][up] += 1
        return up

    def tick(self, now: float) -> list[tuple[int, int]]:
        """Return nothing: callers send copies themselves."""
        return []

    def request(self, entry: int, flow: int, up: int, now: float) -> None:
        """Learn nothing."""

    def answered(self, entry: int, flow: int, up: int, now: float) -> None:
        """Learn nothing."""

    def closed(self, entry: int, flow: int, up: int, now: float) -> None:
        """Note the end of a flow."""
        self.flows[entry][up] -= 1


def _at_random(rng: random.Random, flows: list[int], busy: list[int]) -> int:
    return rng.randrange(len(flows))


def _two(rng: random.Random, flows: list[int], busy: list[int]) -> int:
    return min(rng.sample(range(len(flows)), 2), key=lambda up: flows[up])


def _all_knowing(rng: random.Random, flows: list[int], busy: list[int]) -> int:
    return min(range(len(busy)), key=lambda up: (busy[up], rng.random()))


class Play:
    """One policy under one load, in virtual time."""

    def __init__(self, policy, load: float, dark: bool, seed: int) -> None:
        """Prepare the traffic."""
        self._policy = policy
        self._rng = random.Random(seed)
        self._ups = [Upstream() for _ in UPSTREAM_HOMES]
        if isinstance(policy, Baseline):
            policy.busy = lambda: [
                one.busy + len(one.queue) for one in self._ups
            ]
        self._per_s = load * SLOTS * len(self._ups) / WORK_S
        self._events: list = []
        self._count = 0
        self._waiting: dict[int, tuple] = {}
        self.figures = Figures()
        self._dark = dark

    def run(self) -> Figures:
        """Play to the end and return what callers got."""
        pause_s = LONG_FLOWS / (LONG_SHARE * self._per_s)
        for _ in range(LONG_FLOWS):
            self._at(self._rng.random() * pause_s, self._begin, pause_s)
        self._at(0.0, self._fresh)
        self._at(0.0, self._tick)
        if self._dark:
            self._at(DARK_FROM_S, self._set_dark, True)
            self._at(DARK_UNTIL_S, self._set_dark, False)
        while self._events:
            now, _, call, args = heapq.heappop(self._events)
            if now > SECONDS:
                break
            call(now, *args)
        return self.figures

    def _at(self, when: float, call: Callable, *args) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, call, args))

    def _set_dark(self, now: float, dark: bool) -> None:
        self._ups[0].dark = dark

    def _fresh(self, now: float) -> None:
        gap = self._rng.expovariate((1 - LONG_SHARE) * self._per_s)
        self._at(now + gap, self._fresh)
        self._begin(now, None)

    def _begin(self, now: float, pause_s: float | None) -> None:
        self._count += 1
        flow = self._count
        entry = self._rng.randrange(len(ENTRY_HOMES))
        self._waiting[flow] = (entry, pause_s, now)
        self._try(now, flow, self._policy.open(entry, flow, now), 0)

    def _try(self, now: float, flow: int, up: int | None, copies: int) -> None:
        if flow not in self._waiting:
            return
        entry, pause_s, began = self._waiting[flow]
        if up is None:
            self.figures.refused += 1
            del self._waiting[flow]
        elif not self._ups[up].dark:
            del self._waiting[flow]
            args = (flow, entry, up, pause_s, began)
            self._at(now + 2 * WAY_S, self._request, *args)
        elif copies < 2:
            self._at(now + COPY_S, self._copy, flow, entry, copies + 1)
        else:
            self.figures.lost += 1
            del self._waiting[flow]

    def _copy(self, now: float, flow: int, entry: int, copies: int) -> None:
        if flow in self._waiting:
            up = self._policy.open(entry, flow, now)
            if up is not None:
                self._try(now, flow, up, copies)

    def _tick(self, now: float) -> None:
        self._at(now + TICK_S, self._tick)
        for flow, up in self._policy.tick(now):
            self._try(now, flow, up, 2)

    def _request(self, now, flow, entry, up, pause_s, began) -> None:
        self._policy.request(entry, flow, up, now)
        one = self._ups[up]
        job = (flow, entry, up, pause_s, began)
        if one.busy < SLOTS:
            one.busy += 1
            self._work(now, job)
        elif len(one.queue) < QUEUE:
            one.queue.append(job)
        else:
            self.figures.refused += 1
            self._after(now, job)

    def _work(self, now: float, job: tuple) -> None:
        took_s = self._rng.expovariate(1 / WORK_S)
        self._at(now + took_s, self._finish, job)

    def _finish(self, now: float, job: tuple) -> None:
        one = self._ups[job[2]]
        one.served += 1
        self.figures.took.append(now + WAY_S - job[4])
        if one.queue:
            self._work(now, one.queue.pop(0))
        else:
            one.busy -= 1
        self._after(now, job)

    def _after(self, now: float, job: tuple) -> None:
        flow, entry, up, pause_s, _ = job
        self._policy.answered(entry, flow, up, now)
        if pause_s is None:
            self._policy.closed(entry, flow, up, now)
            return
        # A long flow stays where it is until its upstream is dark.
        again = now + self._rng.expovariate(1 / pause_s)
        self._at(again, self._next, flow, entry, up, pause_s)

    def _next(self, now, flow, entry, up, pause_s) -> None:
        if self._ups[up].dark:
            self._policy.closed(entry, flow, up, now)
            self._begin(now, pause_s)
            return
        self._request(now, flow, entry, up, pause_s, now)

    def imbalance(self) -> float:
        """Return the busiest upstream's answers over the mean."""
        served = [one.served for one in self._ups]
        return max(served) * len(served) / sum(served)


def run(seed: int, quiet: bool) -> dict:
    """Return the figures of each policy under each load."""
    figures: dict = {}
    for load in LOADS:
        for dark in (False, True):
            key = f"load_{load}" + ("_dark" if dark else "")
            figures[key] = {}
            for name, make in POLICIES.items():
                play = Play(make(seed), load, dark, seed)
                figures[key][name] = summary(play.run(), play)
                if not quiet:
                    print(f"{key:16} {name:12} {figures[key][name]}")
    return figures


POLICIES = {
    "product": Product,
    "random": lambda seed: Baseline(_at_random, seed),
    "two_choices": lambda seed: Baseline(_two, seed),
    "all_knowing": lambda seed: Baseline(_all_knowing, seed),
}


def summary(figures: Figures, play: Play) -> dict:
    """Return shares of what was asked, and the slowest answers."""
    took = sorted(figures.took)
    asked = len(took) + figures.refused + figures.lost
    in_aim = sum(one <= AIM_S for one in took)
    return {
        "in_aim_share": round(in_aim / asked, 4),
        "late_share": round((len(took) - in_aim) / asked, 4),
        "refused_share": round(figures.refused / asked, 4),
        "lost_share": round(figures.lost / asked, 4),
        "p99_s": round(took[int(0.99 * len(took))], 3),
        "imbalance": round(play.imbalance(), 3),
    }
