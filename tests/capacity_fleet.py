"""Entry VMs and upstreams with slots and queues, in virtual time."""

import collections
import functools
import heapq
import itertools
import random

import attrs

from ebonytally.echo import packets
from tests import echo_harness

ONE_WAY_S = 0.004
TICK_S = 0.02
TIMEOUT_S = 2.4
WORK_S = 0.04
MAX_QUEUED = 8
ERROR_BYTES = 150


@attrs.define
class Upstream:
    """An upstream with two slots.

    :param fault: what happens instead of a good answer: "error", "silent"
        or "reject"
    :param fault_share: share of requests to which it happens
    """

    speed: float = 1.0
    fault: str = ""
    fault_share: float = 0.0
    busy: int = 0
    queue: collections.deque = attrs.field(factory=collections.deque)


class Fleet:
    """Callers that send one request on each flow, at a Poisson rate.

    `chosen` has time and upstream of each request.
    """

    def __init__(self, upstreams, per_s, entry_vms=1, shared=None):
        self.control = echo_harness.ControlVm("c1")
        self.control.apply_configuration(2)
        self.control.followers = entry_vms
        self.entries = []
        self.upstreams = {}
        for number in range(1, upstreams + 1):
            self.announce(number)
        for number in range(1, entry_vms + 1):
            name = f"e{number}"
            entry = echo_harness.EntryVm(
                name, [self.control], seed=number, shared=shared
            )
            entry.run(1.0)
            self.entries.append(entry)
        self.now = 1.0
        self.per_s = per_s
        self.slow_share = 0.0
        self.paused_until = 0.0
        self.chosen = []
        self._waiting = set()
        self._rng = random.Random(1)
        self._numbers = itertools.count(1)
        self._events = []

    def announce(self, number, **change):
        """Announce an upstream, which is a good one from now on."""
        announcement = echo_harness.announcement(number, **change)
        self.control.registry.on_announcement(announcement, 0.0)
        self.upstreams[announcement.id] = Upstream()

    def run(self, seconds):
        """Send requests for so long."""
        until = self.now + seconds
        self._at(self.now, self._arrive, until)
        self._at(self.now, self._tick, until)
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            for entry in self.entries:
                entry.now = self.now
            call(*args)
        self.now = until

    def shares(self, seconds):
        """Return the upstreams' shares of the latest requests."""
        counts = collections.Counter(
            id_ for at, id_ in self.chosen if at > self.now - seconds
        )
        total = sum(counts.values())
        return {id_: counts[id_] / total for id_ in self.upstreams}

    def _at(self, at, call, *args):
        heapq.heappush(self._events, (at, next(self._numbers), call, args))

    def _tick(self, until):
        if self.now >= self.paused_until:
            for entry in self.entries:
                entry.capacity.tick(self.now)
                for out in entry.forwarder.tick(self.now):
                    self._deliver(entry, out)
                entry.deliver(entry.follower.tick(self.now))
        if self.now < until:
            self._at(self.now + TICK_S, self._tick, until)

    def _arrive(self, until):
        entry = self._rng.choice(self.entries)
        caller = next(self._numbers)
        self._waiting.add(caller)
        self._send(entry, caller, is_opening=True)
        at = self.now + self._rng.expovariate(self.per_s)
        if at < until:
            self._at(at, self._arrive, until)

    def _send(self, entry, caller, **change):
        """Send a caller's packet, which waits if the entry VM is paused."""
        if self.now < self.paused_until:
            later = functools.partial(self._send, entry, caller, **change)
            self._at(self.paused_until, later)
            return
        packet = echo_harness.packet(caller, **change)
        for out in entry.forwarder.handle_packet(packet, self.now):
            self._deliver(entry, out)

    def _deliver(self, entry, out):
        if isinstance(out, packets.Reset):
            return
        caller = int.from_bytes(out.packet.key[:6], "big")
        if out.packet.is_opening:
            args = (entry, caller, out.cookie)
            self._at(self.now + 2 * ONE_WAY_S, self._ask, *args)
        elif out.packet.size:
            self._serve(entry, caller, out.id, out.cookie or out.packet.cookie)

    def _ask(self, entry, caller, cookie):
        if caller in self._waiting:
            self._send(entry, caller, cookie=cookie, ack=1, size=500)
            args = (entry, caller, cookie, 0)
            self._at(self.now + TIMEOUT_S, self._end, *args)

    def _serve(self, entry, caller, id_, cookie):
        self.chosen.append((self.now, id_))
        upstream = self.upstreams[id_]
        fault = ""
        if self._rng.random() < upstream.fault_share:
            fault = upstream.fault
        job = (entry, caller, cookie, fault)
        if fault == "silent":
            return
        if fault == "reject" or len(upstream.queue) >= MAX_QUEUED:
            self._answer(entry, caller, cookie, ERROR_BYTES)
        elif upstream.busy >= 2:
            upstream.queue.append(job)
        else:
            self._work(upstream, job)

    def _work(self, upstream, job):
        upstream.busy += 1
        work_s = WORK_S * self._rng.uniform(0.7, 1.3) / upstream.speed
        if self._rng.random() < self.slow_share:
            work_s *= 7
        self._at(self.now + work_s, self._finish, upstream, job)

    def _finish(self, upstream, job):
        upstream.busy -= 1
        size = ERROR_BYTES
        if not job[3]:
            size = round(self._rng.lognormvariate(8.0, 0.6))
        self._answer(*job[:3], size)
        if upstream.queue:
            self._work(upstream, upstream.queue.popleft())

    def _answer(self, entry, caller, cookie, size):
        at = self.now + 2 * ONE_WAY_S
        self._at(at, self._acknowledge, entry, caller, cookie, size)
        self._at(at + 0.002, self._end, entry, caller, cookie, size)

    def _acknowledge(self, entry, caller, cookie, size):
        if caller in self._waiting:
            first = min(size, 2400)
            self._send(entry, caller, cookie=cookie, ack=1 + first)

    def _end(self, entry, caller, cookie, size):
        if caller in self._waiting:
            self._waiting.remove(caller)
            self._send(entry, caller, cookie=cookie, ack=1 + size, is_end=True)
