"""Callers of an entry VM, on links that lose packets."""

import heapq
import itertools
import random

from ebonytally.echo import packets
from tests import echo_harness

ONE_WAY_S = 0.004
TICK_S = 0.02
# Copies of an opening packet; callers give up an attempt after 1.4 s.
COPIES_S = (0.0, 0.2, 0.6)


class Callers:
    """Callers that open one flow each, with one packet of data.

    `silent` has the ids of upstreams that answer nothing; `sent` the time
    and upstream of each opening packet that was forwarded; `refused` the
    number of resets.
    """

    def __init__(self, entry, seed, loss=0.0, flows_per_s=8.0):
        self.entry = entry
        self.silent = set()
        self.began_at = {}
        self.opened_at = {}
        self.upstream = {}
        self.sent = []
        self.refused = 0
        self._loss = loss
        self._flows_per_s = flows_per_s
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events = []

    def run(self, seconds, on_tick=lambda: None):
        """Open flows for so long; wait until the last one has ended."""
        at = self.entry.now
        until = at + seconds
        while True:
            at += self._rng.expovariate(self._flows_per_s)
            if at >= until:
                break
            caller = len(self.began_at) + 1
            self.began_at[caller] = at
            for copy_s in COPIES_S:
                self._schedule(at + copy_s, self._send_opening, caller)
        while self._events or self.entry.now < until:
            self.entry.now += TICK_S
            while self._events and self._events[0][0] <= self.entry.now:
                now, _, call, args = heapq.heappop(self._events)
                call(now, *args)
            self.entry.capacity.tick(self.entry.now)
            for out in self.entry.forwarder.tick(self.entry.now):
                self._deliver(self.entry.now, out)
            self.entry.deliver(self.entry.follower.tick(self.entry.now))
            on_tick()

    def _schedule(self, at, call, *args):
        event = (at, next(self._numbers), call, args)
        heapq.heappush(self._events, event)

    def _is_lost(self):
        return self._rng.random() < self._loss

    def _send_opening(self, now, caller):
        if caller in self.opened_at or self._is_lost():
            return
        packet = echo_harness.packet(caller, is_opening=True)
        for out in self.entry.forwarder.handle_packet(packet, now):
            self._deliver(now, out)

    def _deliver(self, now, out):
        """Deliver an opening packet, and the upstream's answer."""
        if isinstance(out, packets.Reset):
            self.refused += 1
            return
        self.sent.append((now, out.id))
        caller = int.from_bytes(out.packet.key[:6], "big")
        if out.id in self.silent or self._is_lost() or self._is_lost():
            return
        at = now + 2 * ONE_WAY_S
        self._schedule(at, self._on_answer, caller, out.id, out.cookie)

    def _on_answer(self, now, caller, id_, cookie):
        if caller in self.opened_at:
            return
        self.opened_at[caller] = now
        self.upstream[caller] = id_
        for copy_s in (0.0, 0.2):
            self._schedule(now + copy_s, self._send_data, caller, cookie)

    def _send_data(self, now, caller, cookie):
        if not self._is_lost():
            packet = echo_harness.packet(caller, cookie=cookie, size=1)
            self.entry.forwarder.handle_packet(packet, now)
