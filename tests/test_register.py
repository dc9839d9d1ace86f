"""The register of upstreams: the newest word holds, wherever it came."""

import random

import attrs
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st

from ebonytally import actions
from ebonytally import recorder as recorders
from ebonytally.register import exchange
from ebonytally.register import records
from ebonytally.register import register as registers

LIMITS = registers.Limits(silent_s=3.0, keep_s=60.0)
SAID = records.Announcement(
    id="i-7f3a91c2",
    born_ms=1000,
    sequence=1,
    service="desk",
    address="10.128.0.9",
    port=8080,
    data_centre="north",
    slots=2,
    draining=False,
    cold_for_s=0.0,
)
STATE = records.State


def make(me="c1"):
    """Return an empty register."""
    return registers.Register(me, LIMITS, recorders.MemoryRecorder())


def say(register, now, **change):
    """Announce with some fields changed."""
    return register.announced(attrs.evolve(SAID, **change), now)


def state(register, id_=SAID.id):
    """Return the state of an upstream."""
    return register.get(id_).record.state


def test_late_announcement_of_the_same_start_changes_nothing():
    register = make()
    say(register, 0.0, sequence=4)
    say(register, 1.0, sequence=5, draining=True)
    assert say(register, 1.1, sequence=4) is None
    assert state(register) == STATE.DRAINING


def test_what_has_left_comes_back_only_with_a_new_start():
    register = make()
    say(register, 0.0)
    register.left(SAID.id, 1000, 1.0)
    say(register, 1.1, sequence=9)
    assert state(register) == STATE.GONE
    say(register, 2.0, sequence=1, born_ms=2000)
    assert state(register) == STATE.READY


def test_late_word_of_an_earlier_start_is_ignored():
    register = make()
    say(register, 0.0, born_ms=2000, sequence=1)
    assert say(register, 0.1, born_ms=1000, sequence=80) is None
    assert register.left(SAID.id, 1000, 0.2) is None
    assert state(register) == STATE.READY


def test_a_younger_upstream_takes_over_an_address():
    register = make()
    say(register, 0.0)
    say(register, 5.0, id="i-1", born_ms=4000, service="store")
    assert state(register) == STATE.GONE
    assert state(register, "i-1") == STATE.READY


def test_delayed_word_of_an_ended_upstream_loses_its_reused_address():
    register = make()
    say(register, 0.0, id="i-1", born_ms=4000, service="store")
    say(register, 0.5)
    assert state(register) == STATE.GONE
    assert state(register, "i-1") == STATE.READY


def test_silence_is_judged_by_the_control_vm_that_hears_the_upstream():
    register = make()
    say(register, 0.0)
    told = attrs.evolve(
        register.told(register.get(SAID.id), 0.0), id="i-2", source="c2"
    )
    register.told_by(attrs.evolve(told, port=9), 0.0)
    changed = register.fallen_silent(frozenset({"c2"}), 3.5)
    assert [one.record.id for one in changed] == [SAID.id]
    assert state(register, "i-2") == STATE.READY
    changed = register.fallen_silent(frozenset(), 3.5)
    assert [one.record.id for one in changed] == ["i-2"]


def test_a_silent_one_that_speaks_again_is_back():
    register = make()
    say(register, 0.0)
    register.fallen_silent(frozenset(), 3.5)
    assert state(register) == STATE.SILENT
    assert say(register, 4.0, sequence=2) is not None
    assert state(register) == STATE.READY


def test_silence_is_withdrawn_by_whoever_hears_more():
    mine = make("c1")
    other = make("c2")
    say(mine, 0.0)
    other.told_by(mine.told(mine.get(SAID.id), 0.0), 0.0)
    say(mine, 3.0, sequence=3)
    (entry,) = other.fallen_silent(frozenset(), 4.0)
    answer = mine.told_by(other.told(entry, 4.0), 4.0)
    assert answer.record.state == STATE.READY
    other.told_by(mine.told(answer, 4.0), 4.0)
    assert state(other) == STATE.READY


def test_lost_records_are_forgotten_after_the_longest_flow():
    register = make()
    say(register, 0.0)
    register.left(SAID.id, 0, 1.0)
    register.expire(60.0)
    assert len(register) == 1
    register.expire(61.5)
    assert len(register) == 0


class Net:
    """Control VMs that lose a part of their messages."""

    def __init__(self, names, loss, seed):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.cut = set()
        self.registers = {name: make(name) for name in names}
        self.exchanges = {
            name: exchange.Exchange(
                name,
                names[:3],
                self.registers[name],
                recorders.MemoryRecorder(),
            )
            for name in names
        }

    def do(self, sender, out):
        """Deliver actions, some of them."""
        for action in out:
            assert isinstance(action, actions.Send)
            gone = {sender, action.peer} & self.cut
            if gone or self.rng.random() < self.loss:
                continue
            peer = self.exchanges.get(action.peer)
            if peer is not None:
                out = peer.handle(sender, action.msg, self.now)
                self.do(action.peer, out)

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            for name, one in self.exchanges.items():
                self.do(name, one.tick((), 1, "c1", self.now))

    def say(self, name, **change):
        """Announce at a control VM."""
        entry = say(self.registers[name], self.now, **change)
        self.do(name, self.exchanges[name].tell(entry, self.now))


def test_all_control_vms_agree_within_two_seconds_though_messages_are_lost():
    for seed in range(20):
        net = Net(("c1", "c2", "c3", "c4"), 0.3, seed)
        net.run(2.0)
        net.say("c4", sequence=1)
        net.say("c4", sequence=2, draining=True)
        net.run(2.0)
        states = {state(one) for one in net.registers.values()}
        assert states == {STATE.DRAINING}, seed


def test_a_cut_off_control_vm_catches_up_after_the_heal():
    net = Net(("c1", "c2", "c3", "c4"), 0.0, 1)
    net.run(1.0)
    net.say("c1", sequence=1)
    net.cut = {"c2"}
    net.run(2.5)
    net.say("c1", sequence=5, draining=True)
    assert state(net.registers["c2"]) == STATE.READY
    net.run(0.3)
    net.cut = set()
    net.run(1.2)
    assert state(net.registers["c2"]) == STATE.DRAINING


class Merging(stateful.RuleBasedStateMachine):
    """Two registers that hear the same in different order agree."""

    def __init__(self):
        super().__init__()
        self.registers = [make("c1"), make("c2")]
        self.waiting = ([], [])
        self.now = 0.0

    @stateful.rule(
        at=st.integers(0, 1),
        born=st.integers(1, 3),
        sequence=st.integers(1, 6),
        draining=st.booleans(),
    )
    def announce(self, at, born, sequence, draining):
        entry = say(
            self.registers[at],
            self.now,
            born_ms=born,
            sequence=sequence,
            draining=draining,
        )
        self.pass_on(at, entry)

    @stateful.rule(at=st.integers(0, 1), born=st.integers(0, 3))
    def leave(self, at, born):
        entry = self.registers[at].left(SAID.id, born, self.now)
        self.pass_on(at, entry)

    @stateful.rule(at=st.integers(0, 1))
    def silent(self, at):
        self.now += 4.0
        for entry in self.registers[at].fallen_silent(frozenset(), self.now):
            self.pass_on(at, entry)

    @stateful.rule(to=st.integers(0, 1), newest=st.booleans())
    def deliver(self, to, newest):
        if not self.waiting[to]:
            return
        record = self.waiting[to].pop(-1 if newest else 0)
        entry = self.registers[to].told_by(record, self.now)
        if entry is not None and entry.record != record:
            self.pass_on(to, entry)

    def pass_on(self, at, entry):
        if entry is not None:
            told = self.registers[at].told(entry, self.now)
            self.waiting[1 - at].append(told)

    @stateful.invariant()
    def what_has_left_stays_away(self):
        for register in self.registers:
            entry = register.get(SAID.id)
            if entry is None or entry.record.state != STATE.GONE:
                continue
            before = entry.record
            say(register, self.now, born_ms=before.born_ms, sequence=99)
            assert register.get(SAID.id).record == before

    def teardown(self):
        for _ in range(6):
            for at in (0, 1):
                for entry in self.registers[at].entries():
                    self.pass_on(at, entry)
            while any(self.waiting):
                for to in (0, 1):
                    self.deliver(to, False)
        one, other = (register.digest() for register in self.registers)
        assert one == other


TestMerging = Merging.TestCase
TestMerging.settings = hypothesis_settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
