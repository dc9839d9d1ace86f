"""Model of the feed of changes to entry VMs, in virtual time.

Four ways to spread changes from control VMs to entry VMs are compared by the
bytes that the busiest VM sends and by the time until a change is applied
everywhere. A change is an integer revision. Control VMs pass changes on to
each other at once; when they are partitioned in halves, each half has its
own series of changes. Entry VMs reach both halves.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
from typing import Protocol

import attrs

# Bytes of the product's polls and answers with IP and UDP headers, and what
# a control VM's name and a record add to an answer.
POLL_BYTES = 95
ANSWER_BYTES = 96
NAME_BYTES = 11
CHANGE_BYTES = 79
ONE_WAY_S = 0.0014
IN_DATA_CENTRE_S = 0.0002

Revisions = tuple[int, ...]


@attrs.frozen
class Fleet:
    """Size of a deployment and its network.

    :param loss: share of datagrams that are lost
    """

    entry_vms: int
    control_vms: int
    data_centres: int
    loss: float


@attrs.define
class Vm:
    """A VM of the model.

    :param known: newest known revision of each series of changes
    :param is_up: a VM that is down or frozen handles no message
    :param was_down: it has been down or frozen
    """

    number: int
    data_centre: int
    is_control: bool
    known: list[int]
    is_up: bool = True
    was_down: bool = False
    sent_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0


class Policy(Protocol):
    """A way to spread changes."""

    def start(self, model: "Model") -> None:
        """Schedule the periodic work of all VMs."""

    def on_news(self, model: "Model", vm: Vm, now: float) -> None:
        """Handle that a VM has got a newer revision."""


class Model:
    """VMs, their messages and the changes."""

    def __init__(self, fleet: Fleet, policy: Policy, seed: int) -> None:
        """Create the VMs; numbers below `fleet.control_vms` are control."""
        self.fleet = fleet
        self.policy = policy
        self.rng = random.Random(seed)
        total = fleet.control_vms + fleet.entry_vms
        self.vms = [
            Vm(
                n,
                n % fleet.data_centres,
                n < fleet.control_vms,
                [0, 0],
            )
            for n in range(total)
        ]
        self.control = self.vms[: fleet.control_vms]
        self.entry = self.vms[fleet.control_vms :]
        self.is_halved = False
        self.applied_at: dict[tuple[int, int], dict[int, float]] = (
            collections.defaultdict(dict)
        )
        self.made_at: dict[tuple[int, int], float] = {}
        self._events: list = []
        self._order = itertools.count()

    def at(self, when: float, call: Callable, *args: object) -> None:
        """Schedule a call."""
        heapq.heappush(self._events, (when, next(self._order), call, args))

    def every(
        self, vm: Vm, interval_s: float, call: Callable[[Vm, float], None]
    ) -> None:
        """Call a VM's periodic work while it is up, from a random time."""

        def run(now: float) -> None:
            self.at(now + interval_s, run)
            if vm.is_up:
                call(vm, now)

        self.at(self.rng.random() * interval_s, run)

    def run(self, until: float) -> None:
        """Run until a time in seconds."""
        while self._events and self._events[0][0] <= until:
            now, _, call, args = heapq.heappop(self._events)
            call(now, *args)

    def send(
        self,
        sender: Vm,
        receiver: Vm,
        size: int,
        now: float,
        handle: Callable[[float], None],
    ) -> None:
        """Send a datagram, which may be lost."""
        sender.sent_bytes += size
        sender.messages += 1
        if self.rng.random() < self.fleet.loss or not receiver.is_up:
            return
        near = sender.data_centre == receiver.data_centre
        delay_s = IN_DATA_CENTRE_S if near else ONE_WAY_S

        def deliver(at: float) -> None:
            if receiver.is_up:
                receiver.received_bytes += size
                handle(at)

        self.at(now + delay_s, deliver)

    def change(self, now: float, side: int) -> None:
        """Make a change at a control VM of one half."""
        revision = 1 + max(vm.known[side] for vm in self.control)
        self.made_at[side, revision] = now
        for vm in self.control:
            if vm.is_up and self.half_of(vm) in (side, None):
                self.learn(vm, side, revision, now)

    def half_of(self, vm: Vm) -> int | None:
        """Return the half of a control VM, None if they are connected."""
        return vm.number % 2 if self.is_halved else None

    def learn(self, vm: Vm, side: int, revision: int, now: float) -> None:
        """Apply a revision and all before it, if it is newer."""
        if revision <= vm.known[side]:
            return
        for n in range(vm.known[side] + 1, revision + 1):
            self.applied_at[side, n][vm.number] = now
        vm.known[side] = revision
        self.policy.on_news(self, vm, now)

    def merge(self, vm: Vm, known: Revisions, now: float) -> None:
        """Apply what another VM knows."""
        for side, revision in enumerate(known):
            self.learn(vm, side, revision, now)

    def poll(self, vm: Vm, server: Vm, now: float, names: int = 0) -> None:
        """Ask a VM for changes; it answers with those that are new.

        :param names: names of VMs that each answer contains
        """
        asked = tuple(vm.known)

        def answer(at: float) -> None:
            known = tuple(server.known)
            news = sum(
                max(0, new - old)
                for new, old in zip(known, asked, strict=True)
            )
            size = ANSWER_BYTES + names * NAME_BYTES + CHANGE_BYTES * news
            self.send(
                server,
                vm,
                size,
                at,
                lambda then: self.merge(vm, known, then),
            )

        self.send(vm, server, POLL_BYTES, now, answer)

    def nearest_control(self, vm: Vm) -> Vm:
        """Return the control VM that an entry VM mainly follows."""
        up = [peer for peer in self.control if peer.is_up] or self.control
        near = [peer for peer in up if peer.data_centre == vm.data_centre]
        pool = near or up
        return pool[vm.number % len(pool)]

    def push(self, sender: Vm, receiver: Vm, now: float) -> None:
        """Send the newest change without being asked."""
        known = tuple(sender.known)
        self.send(
            sender,
            receiver,
            ANSWER_BYTES + CHANGE_BYTES,
            now,
            lambda at: self.merge(receiver, known, at),
        )
