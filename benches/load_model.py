"""Entry VMs and control VMs that share their load, in virtual time.

The product's objects exchange the product's frames; only the network, the
callers and the follower of the feed are models.
"""

import heapq
import itertools
import random
from typing import Any

import attrs

from ebonytally.configuration import model
from ebonytally.feed import changes
from ebonytally.feed import follower
from ebonytally.load import demand
from ebonytally.load import figures
from ebonytally.load import interfaces
from ebonytally.load import load_server
from ebonytally.load import shared_load
from ebonytally import peer_datagrams
from ebonytally import recorder as recorders
from ebonytally import wire

KEY = bytes(32)
TICK_S = 0.02
DELAY_S = 0.0005


@attrs.define
class Follower:
    """Knows a primary control VM, and a configuration with services."""

    primary: str
    view: follower.View


@attrs.frozen
class _Upstream:
    service: str


@attrs.frozen
class _Entry:
    record: _Upstream


class _Registry:
    """Has one upstream for each service, with the service's name as id."""

    def get(self, id_: str) -> _Entry:
        """Return the upstream of a service."""
        return _Entry(_Upstream(id_))


@attrs.define
class Suspicions:
    """A source of suspicions that a test sets."""

    found: tuple[interfaces.Suspicion, ...] = ()

    def suspicions(self, now: float) -> tuple[interfaces.Suspicion, ...]:
        """Return what was set."""
        return self.found


class EntryVm:
    """An entry VM with callers.

    :ivar rate_per_s: requests of its callers, spread over `services`
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        primary: str,
        site: "Site",
        rate_per_s: float,
    ) -> None:
        """Create an entry VM that has not ticked yet."""
        self.rate_per_s = rate_per_s
        self.services = site.services
        self.data_centre = data_centre
        self.recorder = recorders.MemoryRecorder()
        self.follower = Follower(primary, site.view)
        self.meter = demand.DemandMeter(_Registry())
        self.capacity = Suspicions()
        checks = figures.Checks(site.data_centres, self.recorder)
        seed = site.rng.randrange(2**32)
        self.load = shared_load.EntryLoad(
            self.follower,
            self.meter,
            data_centre,
            checks,
            self.recorder,
            seed,
        )
        self.load.use_capacity(self.capacity)
        self._rng = random.Random(seed)
        self._next_at = 0.0

    def request(self, now: float) -> None:
        """Let the requests arrive that are due, at random times."""
        while self.rate_per_s and self._next_at <= now:
            self._next_at = max(self._next_at, now - TICK_S)
            self.meter.on_request(self._rng.choice(self.services), now)
            self._next_at += self._rng.expovariate(self.rate_per_s)

    def tick(self, now: float) -> list:
        """Run the timers."""
        return self.load.tick(now)

    def handle(self, peer: str, msg: object, now: float) -> list:
        """Handle a message."""
        self.load.handle(peer, msg, now)
        return []


class ControlVm:
    """A control VM's part of the shared load."""

    def __init__(self, name: str, site: "Site") -> None:
        """Create a control VM without reports."""
        self.name = name
        self.recorder = recorders.MemoryRecorder()
        checks = figures.Checks(site.data_centres, self.recorder)
        self.server = load_server.LoadServer(checks, site.service_of.get)
        self.server.use_services(frozenset(site.services))
        self._site = site

    def tick(self, now: float) -> list:
        """Run the timers."""
        peers = [
            name
            for name in self._site.control
            if name != self.name and not self._site.is_cut(self.name, name)
        ]
        return self.server.tick(peers, now)

    def handle(self, peer: str, msg: object, now: float) -> list:
        """Handle a message."""
        return self.server.handle(peer, msg, now)


class Site:
    """VMs on a network that may lose, repeat and delay messages.

    :ivar cuts: pairs of VMs without connection
    :ivar stopped: names of VMs that lose what is sent to them
    :ivar paused: names of VMs at which messages wait
    :ivar is_backlog_first: a VM handles what waited before its first tick
        after a pause, instead of after that tick
    :ivar loss: share of messages that are lost
    :ivar repeated: share of messages that arrive again, up to 3 s later
    :ivar sent: bytes with headers by sender and class of message
    :ivar sizes: bytes of each datagram by class of message
    """

    def __init__(
        self,
        control_vms: int,
        entry_vms: int,
        data_centres: tuple[str, ...],
        services: tuple[str, ...],
        rate_per_s: float,
        seed: int = 1,
    ) -> None:
        """Create the VMs; entry VMs follow the control VMs in turn.

        :param rate_per_s: requests at each entry VM
        """
        self.rng = random.Random(seed)
        self.now = 0.0
        self.services = services
        self.service_of: dict[int, str] = {}
        self.data_centres = frozenset(data_centres)
        content = attrs.evolve(
            changes.EMPTY,
            services=tuple(model.Service(s, 2000, 2.0, 0.0) for s in services),
        )
        self.view = follower.View(1, content, entry_vms=entry_vms)
        self.cuts: set[frozenset[str]] = set()
        self.stopped: set[str] = set()
        self.paused: set[str] = set()
        self.is_backlog_first = False
        self.loss = 0.0
        self.repeated = 0.0
        self.sent: dict[str, dict[str, int]] = {}
        self.sizes: dict[str, list[int]] = {}
        self._queue: list[tuple[float, int, str, bytes]] = []
        self._waiting: dict[str, list[bytes]] = {}
        self._order = itertools.count()
        self.control: dict[str, ControlVm] = {}
        for number in range(control_vms):
            self.start_control(f"10.1.0.{number}")
        names = list(self.control)
        self.entry = {
            f"10.2.{number // 250}.{number % 250}": EntryVm(
                "",
                data_centres[number % len(data_centres)],
                names[number % len(names)],
                self,
                rate_per_s,
            )
            for number in range(entry_vms)
        }

    def start_control(self, name: str) -> None:
        """Start a control VM, anew if it runs."""
        self.control[name] = ControlVm(name, self)

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two VMs have no connection."""
        return frozenset((one, other)) in self.cuts

    def run(self, seconds: float) -> None:
        """Advance the time by ticks."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            while self._queue and self._queue[0][0] <= self.now:
                _, _, receiver, frame = heapq.heappop(self._queue)
                self._deliver(receiver, frame)
            for name, vm in (*self.control.items(), *self.entry.items()):
                if name not in self.paused | self.stopped:
                    self._run_vm(name, vm)

    def _run_vm(self, name: str, vm: Any) -> None:
        if isinstance(vm, EntryVm):
            vm.request(self.now)
        if self.is_backlog_first:
            self._deliver_waiting(name)
        self._send(name, vm.tick(self.now))
        self._deliver_waiting(name)

    def _deliver_waiting(self, name: str) -> None:
        for frame in self._waiting.pop(name, ()):
            self._deliver(name, frame)

    def _send(self, sender: str, out: list) -> None:
        for action in out:
            frame = wire.encode(KEY, sender, action.msg)
            size = len(frame) + peer_datagrams.OVERHEAD_BYTES
            kind = type(action.msg).__name__
            self.sizes.setdefault(kind, []).append(size)
            sent = self.sent.setdefault(sender, {})
            sent[kind] = sent.get(kind, 0) + size
            if self.is_cut(sender, action.peer):
                continue
            if self.rng.random() >= self.loss:
                self._push(DELAY_S, action.peer, frame)
            if self.rng.random() < self.repeated:
                self._push(3.0 * self.rng.random(), action.peer, frame)

    def _push(self, delay_s: float, receiver: str, frame: bytes) -> None:
        at = self.now + delay_s
        heapq.heappush(self._queue, (at, next(self._order), receiver, frame))

    def _deliver(self, receiver: str, frame: bytes) -> None:
        if receiver in self.stopped:
            return
        if receiver in self.paused:
            self._waiting.setdefault(receiver, []).append(frame)
            return
        sender, msg = wire.decode(KEY, frame)
        vm = self.control.get(receiver) or self.entry[receiver]
        self._send(receiver, vm.handle(sender, msg, self.now))
