"""Entry VMs and a lossy network for tests of the upstreams slice."""

import random

import attrs

from ebonytally import actions
from ebonytally import config
from ebonytally import ports
from ebonytally import recorder
from ebonytally import settings
from ebonytally.upstreams import upstream_announce as announce
from ebonytally.upstreams import upstreams
from ebonytally import view

SERVICE = view.Service("desk", "10.0.0.1", 80, 6, ("dc-1", "dc-2"))
HOMES = ("dc-1", "dc-1", "dc-2", "dc-2", "dc-3")
TOOK_S = 0.1
COLD = 0.1
WARM_AFTER = 100
LEASE_S = settings.Control().lease_s
LOAN_S = settings.Upstreams().loan_s
K = ports.AttemptKind


@attrs.define(eq=False)
class Attempt:
    """One attempt that is under way."""

    vm: str
    upstream: int
    began: float
    deadline: float


@attrs.define
class Place:
    """What an upstream's VM saw: starts, and work done since it began."""

    slots: int
    began: float = 0.0
    done: int = 0
    starts: list[float] = attrs.field(factory=list)
    drained: float | None = None

    @property
    def bears(self) -> float:
        """Return the starts a second that it bears now."""
        part = min(1.0, self.done / WARM_AFTER)
        return (COLD + (1 - COLD) * part) * self.slots / TOOK_S

    def faults(self, under_way: int, now: float) -> list[str]:
        """Return which promises the newest start broke."""
        out = []
        if under_way > self.slots:
            out.append(f"{under_way} under way")
        recent = [at for at in self.starts if at > now - 1.0]
        if len(recent) > 1 + self.bears:
            out.append(f"{len(recent)} starts, {self.done} done")
        if self.drained is not None and now > self.drained + 2.0:
            out.append("start after drain")
        return out


class Cluster:
    """Some entry VMs of three data centres, and their upstreams."""

    def __init__(self, vms: int = 5, homes: tuple[str, ...] = HOMES) -> None:
        """Start all VMs in one view without upstreams."""
        self.now = 100.0
        self.boots = 0
        self.homes = {f"vm-{n + 1}": homes[n] for n in range(vms)}
        self.slices: dict[str, upstreams.Upstreams] = {}
        self.shown: dict[str, int] = {}
        self.behind: dict[str, float] = {}
        self.leased: dict[str, bool] = {}
        self.cut: set[str] = set()
        self.net: list[tuple[str, str, object]] = []
        self.running: list[Attempt] = []
        self.places: dict[int, Place] = {}
        self.proposed: list[object] = []
        self.broken: list[str] = []
        members = tuple(
            view.Vm(name, f"127.0.0.{n}", home, "west", True)
            for n, (name, home) in enumerate(self.homes.items(), 1)
        )
        first = view.View(1, 1, (SERVICE,), (), members)
        self.views = [first]
        for name in self.homes:
            self.start(name)

    @property
    def view(self) -> view.View:
        """Return the newest view."""
        return self.views[-1]

    def start(self, name: str) -> None:
        """Start the daemon of a VM, with the newest view."""
        self.boots += 1
        cfg = settings.Settings(
            name=name,
            address="127.0.0.1",
            data_centre=self.homes[name],
            region="west",
            cluster_key="ab" * 32,
            data_folder="data",
            seeds=(),
        )
        slice_ = upstreams.Upstreams(
            cfg, name, recorder.MemoryRecorder(), self.boots
        )
        self.slices[name] = slice_
        self.shown[name] = len(self.views) - 1
        self.leased[name] = True
        self.do(name, slice_.reach(frozenset(), True, self.now))
        self.do(name, slice_.changed(self.view, self.now))

    def stop(self, name: str) -> None:
        """Kill the daemon; its connections and attempts end with it."""
        del self.slices[name]
        self.running = [one for one in self.running if one.vm != name]
        self.net = [msg for msg in self.net if name not in msg[:2]]

    def do(self, name: str, acts: list) -> None:
        """Carry out actions: messages wait in the network."""
        for act in acts:
            if isinstance(act, actions.Send):
                self.net.append((name, act.peer, act.msg))
            elif isinstance(act, actions.Propose):
                new = act.command not in self.proposed
                if new and self.leased[name]:
                    self.proposed.append(act.command)

    def deliver(self, index: int, keep: bool = False) -> None:
        """Deliver one waiting message; a copy may stay under way."""
        sender, peer, msg = self.net[index]
        if not keep:
            del self.net[index]
        if peer in self.slices and not {sender, peer} & self.cut:
            slice_ = self.slices[peer]
            self.do(peer, slice_.handle(sender, msg, self.now))

    def settle(self, rounds: int = 20) -> None:
        """Deliver everything in order."""
        for _ in range(rounds):
            for _ in range(len(self.net)):
                self.deliver(0)

    def commit(self, command: object) -> None:
        """Apply a command; VMs are shown the view later."""
        new = config.apply(self.view, command)
        for one in new.upstreams:
            self.places.setdefault(one.id, Place(one.slots, self.now))
        self.views.append(new)

    def commit_all(self) -> None:
        """Commit what was proposed and show it everywhere."""
        while self.proposed:
            self.commit(self.proposed.pop(0))
        for name in self.slices:
            self.show(name)

    def show(self, name: str) -> None:
        """Show a VM the newest view."""
        self.shown[name] = len(self.views) - 1
        self.behind.pop(name, None)
        if not self.leased[name]:
            self.leased[name] = True
            self.reach(name)
        slice_ = self.slices[name]
        self.do(name, slice_.changed(self.view, self.now))

    def reach(self, name: str) -> None:
        """Tell a VM whether its lease holds."""
        slice_ = self.slices[name]
        leased = self.leased[name]
        self.do(name, slice_.reach(frozenset(), leased, self.now))

    def pass_time(self, seconds: float) -> None:
        """Let time pass; leases of VMs that are behind end."""
        self.now += seconds
        for name, slice_ in self.slices.items():
            if self.shown[name] < len(self.views) - 1 or name in self.cut:
                since = self.behind.setdefault(name, self.now - seconds)
                if self.now - since >= LEASE_S and self.leased[name]:
                    self.leased[name] = False
                    self.reach(name)
            self.do(name, slice_.tick(self.now))
        for one in list(self.running):
            if self.now >= one.deadline:
                self.finish(one, K.TIMED_OUT)

    def take(
        self, name: str, timeout_s: float = 10 * TOOK_S
    ) -> Attempt | None:
        """Let a request arrive at a VM: start it, or have it wait."""
        slice_ = self.slices[name]
        until = self.now + timeout_s
        got = slice_.take("desk", frozenset(), self.now, until)
        waiting = 0 if got else 1
        self.do(name, slice_.want("desk", waiting, self.now))
        if got is None:
            return None
        one = Attempt(name, got.id, self.now, until)
        self.running.append(one)
        place = self.places[got.id]
        place.starts.append(self.now)
        self.broken += place.faults(self.under_way(got.id), self.now)
        return one

    def idle(self) -> None:
        """End all attempts; nobody waits any more."""
        for one in list(self.running):
            self.finish(one, K.ANSWERED)
        for name, slice_ in self.slices.items():
            self.do(name, slice_.want("desk", 0, self.now))

    def finish(self, one: Attempt, kind: ports.AttemptKind) -> None:
        """End an attempt."""
        self.running.remove(one)
        if kind is K.ANSWERED:
            self.places[one.upstream].done += 1
        status = 200 if kind is K.ANSWERED else 0
        result = ports.AttemptResult(kind, self.now - one.began, status)
        slice_ = self.slices[one.vm]
        self.do(one.vm, slice_.give_back(one.upstream, result, self.now))

    def say(self, address: str, home: str, **changes) -> list:
        """Let an upstream announce itself to the VMs of its own place."""
        said = announce.Announcement(
            service="desk",
            address=address,
            port=7000,
            request_port=changes.pop("request_port", 8000),
            data_centre=home,
            incarnation=changes.pop("incarnation", 1),
            state=announce.State(changes.pop("state", "up")),
            **changes,
        )
        verdicts = []
        for name, slice_ in list(self.slices.items()):
            if self.homes[name] == home and name not in self.cut:
                verdict, acts = slice_.announce(said, address, self.now)
                verdicts.append(verdict)
                self.do(name, acts)
        return verdicts

    def under_way(self, upstream: int) -> int:
        """Return the attempts under way at an upstream."""
        return sum(one.upstream == upstream for one in self.running)

    def warm(self, upstream: int) -> int:
        """Return the warm share that its lender gives it."""
        for slice_ in self.slices.values():
            endpoint = slice_._broker.endpoints.get(upstream)
            if endpoint:
                return endpoint.warm.share
        return 0

    def mangle(self, rng: random.Random) -> None:
        """Deliver some messages out of order, twice, late or never."""
        waiting = self.net
        self.net = []
        rng.shuffle(waiting)
        late = []
        for one in waiting:
            fate = rng.random()
            if fate < 0.3:
                late.append(one)
            elif fate > 0.45:
                self.net = [one]
                self.deliver(0)
                waiting += self.net
                self.net = []
                if fate > 0.85:
                    late.append(one)
        self.net = late

    def work(
        self,
        seconds: float,
        waiting: int = 2,
        rng: random.Random | None = None,
    ) -> None:
        """Let all VMs have more work than they can start, for a while.

        :param rng: some VMs have no work and messages suffer, if given
        """
        until = self.now + seconds
        while self.now < until:
            for one in list(self.running):
                if self.now - one.began >= TOOK_S:
                    self.finish(one, K.ANSWERED)
            for name in list(self.slices):
                if rng and rng.random() < 0.7:
                    continue
                for _ in range(waiting):
                    self.take(name)
            if rng:
                self.mangle(rng)
            else:
                self.settle(2)
            self.pass_time(0.02)
