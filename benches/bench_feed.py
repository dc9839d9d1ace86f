"""Spread of changes to entry VMs: cost and delay by the size of the fleet.

Polls of control VMs, as implemented, against pushes with slow polls, relays
in each data centre, and an epidemic within each data centre.
"""

import itertools

from benches import feed_model

ENTRY_VMS = (30, 100, 300, 403, 1000)
CONTROL_VMS = 7
DATA_CENTRES = 8
DURATION_S = 40.0
# Changes are made until this time, so that all can be applied by the end.
CHANGES_UNTIL_S = 32.0
CHANGE_INTERVAL_S = 1.25
# As many changes at once as a release or an evacuation makes.
BURST = 3
FAULT_FROM_S = 10.0
FAULT_UNTIL_S = 20.0
LOSS = 0.05
FAULTS = ("calm", "loss", "halves", "frozen_relays")


class Polls:
    """Each entry VM polls its control VM, and the others in turn.

    :ivar primary_s: interval of polls of the nearest control VM
    """

    primary_s = 0.3
    others_s = 0.5

    def start(self, model: feed_model.Model) -> None:
        """Schedule the polls of all entry VMs."""
        for vm in model.entry:
            self.follow_control(model, vm)

    def follow_control(
        self, model: feed_model.Model, vm: feed_model.Vm
    ) -> None:
        """Schedule the polls of one entry VM."""
        names = len(model.control)
        turn = itertools.cycle(model.control)

        def poll_nearest(vm: feed_model.Vm, now: float) -> None:
            model.poll(vm, model.nearest_control(vm), now, names)

        def poll_next(vm: feed_model.Vm, now: float) -> None:
            model.poll(vm, next(turn), now, names)

        model.every(vm, self.primary_s, poll_nearest)
        model.every(vm, self.others_s, poll_next)

    def on_news(
        self, model: feed_model.Model, vm: feed_model.Vm, now: float
    ) -> None:
        """Do nothing: others learn it by their polls."""


class Pushes(Polls):
    """Control VMs push changes to their followers; polls are a check."""

    primary_s = 2.0

    def on_news(
        self, model: feed_model.Model, vm: feed_model.Vm, now: float
    ) -> None:
        """Push a control VM's news to the entry VMs that follow it."""
        if not vm.is_control:
            return
        for follower in model.entry:
            if model.nearest_control(follower) is vm:
                model.push(vm, follower, now)


class Relays(Polls):
    """Two entry VMs of each data centre poll control VMs for the others.

    An entry VM polls two parents, in a tree whose root are the relays.

    :ivar fan_out: children of an entry VM as first parent
    """

    relays = 2
    fan_out = 6
    first_s = 0.3
    second_s = 0.5

    def start(self, model: feed_model.Model) -> None:
        """Schedule the polls of relays, and of their data centres."""
        for centre in range(model.fleet.data_centres):
            members = [vm for vm in model.entry if vm.data_centre == centre]
            for n, vm in enumerate(members):
                if n < self.relays:
                    self.follow_control(model, vm)
                else:
                    self._follow_parents(model, vm, n, members)

    def _follow_parents(
        self,
        model: feed_model.Model,
        vm: feed_model.Vm,
        n: int,
        members: list[feed_model.Vm],
    ) -> None:
        first = (n - self.relays) // self.fan_out
        # Successive levels of the tree have neighbours as second parents.
        second = first + 1 if first % 2 == 0 else first - 1
        for parent, interval_s in (
            (members[first], self.first_s),
            (members[min(second, n - 1)], self.second_s),
        ):

            def poll(vm: feed_model.Vm, now: float, parent=parent) -> None:
                model.poll(vm, parent, now)

            model.every(vm, interval_s, poll)


class Epidemic(Polls):
    """Entry VMs of a data centre pass changes on to random others.

    A few of each data centre poll control VMs. News is pushed to two
    others at once; a poll of a random one repairs what was lost.
    """

    sources = 3
    pushes = 2
    repair_s = 0.5

    def __init__(self) -> None:
        """Set up; the members are known at the start."""
        self._members: dict[int, list[feed_model.Vm]] = {}

    def start(self, model: feed_model.Model) -> None:
        """Schedule the polls of all entry VMs."""
        for vm in model.entry:
            self._members.setdefault(vm.data_centre, []).append(vm)
        for members in self._members.values():
            for vm in members[: self.sources]:
                self.follow_control(model, vm)
            for vm in members:
                model.every(vm, self.repair_s, self._poll_random_of(model))

    def _poll_random_of(self, model: feed_model.Model):
        def poll(vm: feed_model.Vm, now: float) -> None:
            members = self._members[vm.data_centre]
            model.poll(vm, model.rng.choice(members), now)

        return poll

    def on_news(
        self, model: feed_model.Model, vm: feed_model.Vm, now: float
    ) -> None:
        """Push an entry VM's news to random others of its data centre."""
        members = self._members.get(vm.data_centre, [])
        if vm.is_control or len(members) < 2:
            return
        for _ in range(self.pushes):
            model.push(vm, model.rng.choice(members), now)


class SlowEpidemic(Epidemic):
    """An epidemic that relies on pushes; its polls are a check."""

    primary_s = 1.0
    others_s = 1.0
    pushes = 3
    repair_s = 1.0


POLICIES = {
    "polls": Polls,
    "pushes": Pushes,
    "relays": Relays,
    "epidemic": Epidemic,
    "slow_epidemic": SlowEpidemic,
}


def simulate(
    policy: str, entry_vms: int, fault: str, seed: int
) -> dict[str, float]:
    """Return cost and delay of one policy under one fault.

    :param fault: one of `FAULTS`
    """
    loss = LOSS if fault == "loss" else 0.0
    fleet = feed_model.Fleet(entry_vms, CONTROL_VMS, DATA_CENTRES, loss)
    model = feed_model.Model(fleet, POLICIES[policy](), seed)
    model.policy.start(model)
    _schedule_fault(model, fault)
    at = 2.0
    for side in itertools.cycle((0, 1)):
        if at >= CHANGES_UNTIL_S:
            break
        for _ in range(BURST):
            model.at(at, model.change, side)
        at += CHANGE_INTERVAL_S * BURST
    model.run(DURATION_S)
    return _figures(model)


def _schedule_fault(model: feed_model.Model, fault: str) -> None:
    def set_halved(now: float, halved: bool) -> None:
        model.is_halved = halved
        if not halved:
            for vm in model.control:
                for other in model.control:
                    model.merge(vm, tuple(other.known), now)

    def set_relays(now: float, up: bool) -> None:
        # One of each data centre.
        for vm in model.entry[: model.fleet.data_centres]:
            vm.is_up = up
            vm.was_down = True

    calls = {"halves": (set_halved, True), "frozen_relays": (set_relays, 0)}
    if fault in calls:
        call, value = calls[fault]
        model.at(FAULT_FROM_S, call, bool(value))
        model.at(FAULT_UNTIL_S, call, not value)


def _figures(model: feed_model.Model) -> dict[str, float]:
    always_up = [vm for vm in model.entry if not vm.was_down]
    delays = []
    missing = 0
    for key, made_at in model.made_at.items():
        applied = model.applied_at[key]
        for vm in always_up:
            if vm.number in applied:
                delays.append(applied[vm.number] - made_at)
            else:
                missing += 1
    delays.sort()

    def busiest(vms: list[feed_model.Vm]) -> float:
        most = max(vm.sent_bytes + vm.received_bytes for vm in vms)
        return round(most / DURATION_S)

    return {
        "control_bytes_per_s": busiest(model.control),
        "entry_bytes_per_s": busiest(model.entry),
        "delay_p50_s": round(delays[len(delays) // 2], 3),
        "delay_p999_s": round(delays[int(0.999 * len(delays))], 3),
        "delay_max_s": round(delays[-1], 3),
        "not_applied": missing,
    }


def run(seed: int, json_only: bool) -> dict:
    """Return the figures by policy, number of entry VMs and fault."""
    figures: dict = {}
    for policy, entry_vms, fault in itertools.product(
        POLICIES, ENTRY_VMS, FAULTS
    ):
        key = f"{policy}_{entry_vms}_{fault}"
        figures[key] = simulate(policy, entry_vms, fault, seed)
        if not json_only:
            print(f"{key:28} {line_of(figures[key])}")
    return figures


def line_of(figures: dict[str, float]) -> str:
    """Return figures as one line of text."""
    return ", ".join(f"{name} {value}" for name, value in figures.items())
