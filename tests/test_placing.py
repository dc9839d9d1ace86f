"""Choice of upstreams in fleets of any size: cost, balance and failures."""

import collections
import heapq
import itertools
import random

import pytest

from ebonytally.echo import placing
from tests import echo_harness


def home_ids(entry):
    """Return the ids of the upstreams in the entry VM's data centre."""
    return {
        known.record.id
        for known in entry.registry.entries()
        if known.record.data_centre == "north"
    }


@pytest.mark.parametrize("upstreams", [234, 2900])
def test_a_flow_examines_few_upstreams_however_many_there_are(upstreams):
    _, entry = echo_harness.make_fleet_harness(upstreams)
    entry.open(1)
    examined = 0
    load = entry.placing.load

    def counting_load(id_):
        nonlocal examined
        examined += 1
        return load(id_)

    entry.placing.load = counting_load
    for caller in range(2, 102):
        entry.open(caller)
    # Each is looked at twice, to leave out the backed off and to compare;
    # an opening adds a few look-ups of its own.
    assert examined / 100 <= 2 * 2 * placing.MAX_EXAMINED + 8


def test_flows_are_balanced_over_many_upstreams_at_home():
    _, entry = echo_harness.make_fleet_harness(2900)
    flows = collections.Counter(
        entry.open(caller)[0] for caller in range(1, 2 * 725 + 1)
    )
    assert set(flows) <= home_ids(entry)
    assert max(flows.values()) <= 4
    assert len(flows) >= 0.8 * 725


def test_the_only_working_upstreams_of_many_are_found():
    _, entry = echo_harness.make_fleet_harness(400)
    working = {"i-00000007", "i-0000012d"}
    for known in entry.registry.entries():
        if known.record.id not in working:
            load = entry.placing.load(known.record.id)
            load.backed_off_until = entry.now + 5.0
    assert {entry.open(caller)[0] for caller in range(1, 60)} == working


def test_a_data_centre_out_gets_no_flow_of_many():
    control, entry = echo_harness.make_fleet_harness(400)
    control.machine.apply(echo_harness.machines.DataCentreSet("north", True))
    entry.run(1.0)
    home = home_ids(entry)
    chosen = {entry.open(caller)[0] for caller in range(1, 300)}
    assert not chosen & home
    assert len(chosen) > 100


class LossyCallers:
    """Callers of one entry VM whose packets are lost at random.

    They send copies of an unanswered opening packet after 0.2 s and 0.6 s
    and give up after 1.4 s.
    """

    one_way_s = 0.004
    flows_per_s = 8.0

    def __init__(self, entry, loss, seed):
        self.entry = entry
        self.loss = loss
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.events = []
        self.opened_at = {}
        self.began_at = {}
        self.upstream = {}
        self.backed_off = []

    def run(self, seconds):
        """Open flows for so long, and wait until the last has ended."""
        start = self.entry.now
        at = start
        for caller in range(1, int(seconds * self.flows_per_s)):
            at += self.rng.expovariate(self.flows_per_s)
            self.began_at[caller] = at
            for copy_s in (0.0, 0.2, 0.6):
                self.schedule(at + copy_s, self.send_opening, caller)
        while self.entry.now < at + 2.0:
            self.entry.now += 0.02
            while self.events and self.events[0][0] <= self.entry.now:
                now, _, call, args = heapq.heappop(self.events)
                call(now, *args)
            for out in self.entry.forwarder.tick(self.entry.now):
                self.deliver(self.entry.now, out)
            self.entry.deliver(self.entry.follower.tick(self.entry.now))
            self.backed_off.append(self.backed_off_share())

    def schedule(self, at, call, *args):
        heapq.heappush(self.events, (at, next(self.numbers), call, args))

    def is_lost(self):
        return self.rng.random() < self.loss

    def send_opening(self, now, caller):
        if caller in self.opened_at or self.is_lost():
            return
        packet = echo_harness.packet(caller, is_opening=True)
        for out in self.entry.forwarder.handle_packet(packet, now):
            self.deliver(now, out)

    def deliver(self, now, out):
        """Deliver an opening packet, and the upstream's answer."""
        caller = int.from_bytes(out.packet.key[:6], "big")
        if self.is_lost() or self.is_lost():
            return
        at = now + 2 * self.one_way_s
        self.schedule(at, self.on_answer, caller, out.id, out.cookie)

    def on_answer(self, now, caller, id_, cookie):
        if caller in self.opened_at:
            return
        self.opened_at[caller] = now
        self.upstream[caller] = id_
        for copy_s in (0.0, 0.2):
            self.schedule(now + copy_s, self.send_data, caller, cookie)

    def send_data(self, now, caller, cookie):
        if not self.is_lost():
            packet = echo_harness.packet(caller, cookie=cookie, size=1)
            self.entry.forwarder.handle_packet(packet, now)

    def backed_off_share(self):
        """Return the share of home upstreams that are avoided now."""
        home = home_ids(self.entry)
        now = self.entry.now
        return sum(
            self.entry.placing.load(id_).backed_off_until > now for id_ in home
        ) / len(home)


@pytest.mark.parametrize(
    ("loss", "opened_share", "avoided_share"),
    [(0.01, 0.999, 0.05), (0.03, 0.999, 0.1), (0.1, 0.99, 0.3)],
)
def test_lost_packets_make_few_good_upstreams_avoided(
    loss, opened_share, avoided_share
):
    _, entry = echo_harness.make_fleet_harness(117)
    callers = LossyCallers(entry, loss, 5)
    callers.run(60.0)
    total = len(callers.began_at)
    assert len(callers.opened_at) >= opened_share * total
    late = [
        caller
        for caller, at in callers.opened_at.items()
        if at - callers.began_at[caller] > 0.25
    ]
    assert len(late) <= 1.5 * loss * total
    mean = sum(callers.backed_off) / len(callers.backed_off)
    assert mean <= avoided_share
    at_home = home_ids(entry)
    home_flows = [id_ for id_ in callers.upstream.values() if id_ in at_home]
    assert len(home_flows) >= (1 - 5 * loss) * total
