"""Entry VMs, upstreams and a lossy network for tests of upstreams."""

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
DATA_CENTRES = ("dc-1", "dc-1", "dc-2", "dc-2", "dc-3")
ATTEMPT_S = 0.1
COLD_SHARE = 0.1
WARM_AFTER_REQUESTS = 100
LEASE_S = settings.Control().lease_s
LOAN_S = settings.Upstreams().loan_s
Kind = ports.AttemptEnd


@attrs.define(eq=False)
class Attempt:
    """An attempt in progress."""

    vm: str
    upstream: int
    began: float
    deadline: float


@attrs.define
class FakeUpstream:
    """An upstream that is cold at first and checks each attempt."""

    slots: int
    began: float = 0.0
    done: int = 0
    starts: list[float] = attrs.field(factory=list)
    drained_at: float | None = None

    @property
    def start_rate(self) -> float:
        """Return how many starts a second it can handle now."""
        progress = min(1.0, self.done / WARM_AFTER_REQUESTS)
        return (
            (COLD_SHARE + (1 - COLD_SHARE) * progress) * self.slots / ATTEMPT_S
        )

    def violations(self, in_progress: int, now: float) -> list[str]:
        """Return which limits the newest start violated."""
        out = []
        if in_progress > self.slots:
            out.append(f"{in_progress} attempts at {self.slots} slots")
        recent = [at for at in self.starts if at > now - 1.0]
        if len(recent) > 1 + self.start_rate:
            out.append(
                f"{len(recent)} starts in 1 s after {self.done} requests, "
                f"at most {1 + self.start_rate}"
            )
        if self.drained_at is not None and now > self.drained_at + 2.0:
            out.append(
                f"start {now - self.drained_at} s after the drain began, "
                "at most 2 s"
            )
        return out


class Cluster:
    """Entry VMs in three data centres, and their upstreams."""

    def __init__(
        self, vms: int = 5, data_centres: tuple[str, ...] = DATA_CENTRES
    ) -> None:
        """Start all VMs with a view without upstreams."""
        self.now = 100.0
        self.boots = 0
        self.data_centres = {
            f"vm-{n + 1}": data_centres[n] for n in range(vms)
        }
        self.managers: dict[str, upstreams.Upstreams] = {}
        self.view_index: dict[str, int] = {}
        self.behind_since: dict[str, float] = {}
        self.leased: dict[str, bool] = {}
        self.cut: set[str] = set()
        self.net: list[tuple[str, str, object]] = []
        self.running: list[Attempt] = []
        self.fake_upstreams: dict[int, FakeUpstream] = {}
        self.proposed: list[object] = []
        self.violations: list[str] = []
        members = tuple(
            view.Vm(name, f"127.0.0.{n}", data_centre, "west", True)
            for n, (name, data_centre) in enumerate(
                self.data_centres.items(), 1
            )
        )
        first = view.View(1, 1, (SERVICE,), (), members)
        self.views = [first]
        for name in self.data_centres:
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
            data_centre=self.data_centres[name],
            region="west",
            cluster_key="ab" * 32,
            data_folder="data",
            seeds=(),
        )
        manager = upstreams.Upstreams(
            cfg, name, recorder.MemoryRecorder(), self.boots
        )
        self.managers[name] = manager
        self.view_index[name] = len(self.views) - 1
        self.leased[name] = True
        self.perform(
            name, manager.on_connectivity_change(frozenset(), True, self.now)
        )
        self.perform(name, manager.on_view_change(self.view, self.now))

    def kill(self, name: str) -> None:
        """Kill the daemon; its connections and attempts end with it."""
        del self.managers[name]
        self.running = [
            attempt for attempt in self.running if attempt.vm != name
        ]
        self.net = [msg for msg in self.net if name not in msg[:2]]

    def perform(self, name: str, actions_: list) -> None:
        """Queue the messages of actions, collect proposals."""
        for action in actions_:
            if isinstance(action, actions.Send):
                self.net.append((name, action.peer, action.msg))
            elif isinstance(action, actions.Propose):
                new = action.command not in self.proposed
                if new and self.leased[name]:
                    self.proposed.append(action.command)

    def deliver(self, index: int, keep: bool = False) -> None:
        """Deliver one message; a copy may stay in the network."""
        sender, peer, msg = self.net[index]
        if not keep:
            del self.net[index]
        if peer in self.managers and not {sender, peer} & self.cut:
            manager = self.managers[peer]
            self.perform(peer, manager.handle(sender, msg, self.now))

    def deliver_all(self, rounds: int = 20) -> None:
        """Deliver all messages, and those that they cause, in order."""
        for _ in range(rounds):
            for _ in range(len(self.net)):
                self.deliver(0)

    def commit(self, command: object) -> None:
        """Apply a command to the view; VMs get the view by `show`."""
        new = config.apply(self.view, command)
        for upstream in new.upstreams:
            self.fake_upstreams.setdefault(
                upstream.id, FakeUpstream(upstream.slots, self.now)
            )
        self.views.append(new)

    def commit_all(self) -> None:
        """Commit all proposals and give every VM the newest view."""
        while self.proposed:
            self.commit(self.proposed.pop(0))
        for name in self.managers:
            self.show(name)

    def show(self, name: str) -> None:
        """Give a VM the newest view."""
        self.view_index[name] = len(self.views) - 1
        self.behind_since.pop(name, None)
        if not self.leased[name]:
            self.leased[name] = True
            self.reach(name)
        manager = self.managers[name]
        self.perform(name, manager.on_view_change(self.view, self.now))

    def reach(self, name: str) -> None:
        """Tell a VM whether it holds the configuration lease."""
        manager = self.managers[name]
        leased = self.leased[name]
        self.perform(
            name, manager.on_connectivity_change(frozenset(), leased, self.now)
        )

    def advance(self, seconds: float) -> None:
        """Advance the time; VMs with an old view lose their lease."""
        self.now += seconds
        for name, manager in self.managers.items():
            if self.view_index[name] < len(self.views) - 1 or name in self.cut:
                since = self.behind_since.setdefault(name, self.now - seconds)
                if self.now - since >= LEASE_S and self.leased[name]:
                    self.leased[name] = False
                    self.reach(name)
            self.perform(name, manager.tick(self.now))
        for attempt in list(self.running):
            if self.now >= attempt.deadline:
                self.finish(attempt, Kind.TIMED_OUT)

    def request(
        self, name: str, timeout_s: float = 10 * ATTEMPT_S
    ) -> Attempt | None:
        """Send a request to a VM; return its attempt, None if it waits."""
        manager = self.managers[name]
        until = self.now + timeout_s
        upstream = manager.acquire_slot("desk", frozenset(), self.now, until)
        waiting = 0 if upstream else 1
        self.perform(name, manager.set_waiting("desk", waiting, self.now))
        if upstream is None:
            return None
        attempt = Attempt(name, upstream.id, self.now, until)
        self.running.append(attempt)
        fake_upstream = self.fake_upstreams[upstream.id]
        fake_upstream.starts.append(self.now)
        self.violations += fake_upstream.violations(
            self.in_progress(upstream.id), self.now
        )
        return attempt

    def finish_all(self) -> None:
        """End all attempts and withdraw all waiting requests."""
        for attempt in list(self.running):
            self.finish(attempt, Kind.ANSWERED)
        for name, manager in self.managers.items():
            self.perform(name, manager.set_waiting("desk", 0, self.now))

    def finish(self, attempt: Attempt, kind: ports.AttemptEnd) -> None:
        """End an attempt with a result of that kind."""
        self.running.remove(attempt)
        if kind is Kind.ANSWERED:
            self.fake_upstreams[attempt.upstream].done += 1
        status = 200 if kind is Kind.ANSWERED else 0
        result = ports.AttemptResult(kind, self.now - attempt.began, status)
        manager = self.managers[attempt.vm]
        self.perform(
            attempt.vm,
            manager.release_slot(attempt.upstream, result, self.now),
        )

    def announce(self, address: str, data_centre: str, **changes) -> list:
        """Announce an upstream to the reachable VMs of its data centre."""
        announcement = announce.Announcement(
            service="desk",
            address=address,
            port=7000,
            request_port=changes.pop("request_port", 8000),
            data_centre=data_centre,
            incarnation=changes.pop("incarnation", 1),
            state=announce.State(changes.pop("state", "up")),
            **changes,
        )
        verdicts = []
        for name, manager in list(self.managers.items()):
            if self.data_centres[name] == data_centre and name not in self.cut:
                verdict, actions_ = manager.on_announcement(
                    announcement, address, self.now
                )
                verdicts.append(verdict)
                self.perform(name, actions_)
        return verdicts

    def in_progress(self, upstream: int) -> int:
        """Return the number of attempts in progress at an upstream."""
        return sum(attempt.upstream == upstream for attempt in self.running)

    def warm_share(self, upstream: int) -> int:
        """Return an upstream's warm share at its grantor, 0 for none."""
        for manager in self.managers.values():
            endpoint = manager._grantor.endpoints.get(upstream)
            if endpoint:
                return endpoint.warm.share
        return 0

    def deliver_unreliably(self, rng: random.Random) -> None:
        """Deliver messages reordered, duplicated, delayed or not at all."""
        messages = self.net
        self.net = []
        rng.shuffle(messages)
        delayed = []
        for message in messages:
            chance = rng.random()
            if chance < 0.3:
                delayed.append(message)
            elif chance > 0.45:
                self.net = [message]
                self.deliver(0)
                messages += self.net
                self.net = []
                if chance > 0.85:
                    delayed.append(message)
        self.net = delayed

    def run_load(
        self,
        seconds: float,
        waiting: int = 2,
        rng: random.Random | None = None,
    ) -> None:
        """Send all VMs more requests than there are slots, for a while.

        :param waiting: requests that arrive at each VM every 20 ms
        :param rng: if given, some VMs get none and messages get lost
        """
        until = self.now + seconds
        while self.now < until:
            for attempt in list(self.running):
                if self.now - attempt.began >= ATTEMPT_S:
                    self.finish(attempt, Kind.ANSWERED)
            for name in list(self.managers):
                if rng and rng.random() < 0.7:
                    continue
                for _ in range(waiting):
                    self.request(name)
            if rng:
                self.deliver_unreliably(rng)
            else:
                self.deliver_all(2)
            self.advance(0.02)
