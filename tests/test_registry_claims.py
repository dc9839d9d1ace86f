"""Which announcements may take the id or the address of an upstream.

Another writer's entry names no upstream to use and changes no other one,
however it reaches a VM.
"""

import itertools
import os

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally.registry import registry as registries
from ebonytally.registry import registry_store
from tests import agreement_fakes as fakes
from tests import echo_harness as harness

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))
STATE = records.State
DATA_CENTRES = frozenset({"north", "south"})
SERVICES = frozenset({"desk", "store"})
UPSTREAM = harness.announcement(1)
# Later than any start of an upstream in these tests.
LATE_BORN_MS = 50_000_000
ODD_FIELDS = ({"service": "agent"}, {"data_centre": "nowhere"})
ODD_IDS = (UPSTREAM.id, "i-000000aa")


def make_registry(local_vm="c1", services=SERVICES):
    """Return an empty registry that knows services and data centres."""
    registry = registries.Registry(
        local_vm, harness.LIMITS, recorders.MemoryRecorder(), DATA_CENTRES
    )
    if services is not None:
        registry.use_services(services)
    return registry


def odd(id_, fields):
    """Return an entry of another writer at the upstream's address."""
    return attrs.evolve(
        UPSTREAM, id=id_, born_ms=LATE_BORN_MS, sequence=9, **fields
    )


def state(registry, id_=UPSTREAM.id):
    """Return the state of an upstream, None if it is unknown."""
    entry = registry.get(id_)
    return entry.record.state if entry is not None else None


def announce_until(registry, until, **change):
    """Announce the upstream each second, and run the timers."""
    for second in range(until + 1):
        later = attrs.evolve(UPSTREAM, sequence=second + 10, **change)
        registry.on_announcement(later, float(second))
        registry.mark_silent_upstreams(frozenset(), float(second))
        registry.expire(float(second))


@pytest.mark.parametrize("fields", ODD_FIELDS)
@pytest.mark.parametrize("id_", ODD_IDS)
def test_odd_announcement_changes_no_upstream(id_, fields):
    """Guards against review case 3: an odd entry that takes an address."""
    registry = make_registry()
    registry.on_announcement(UPSTREAM, 0.0)
    record = registry.get(UPSTREAM.id).record
    registry.on_announcement(odd(id_, fields), 1.0)
    assert registry.get(UPSTREAM.id).record == record
    assert not registry.is_usable(attrs.evolve(record, **fields)), (
        "the entry is odd"
    )


@pytest.mark.parametrize("fields", ODD_FIELDS)
@pytest.mark.parametrize("id_", ODD_IDS)
def test_odd_record_of_another_vm_changes_no_upstream(id_, fields):
    """A control VM that has lost its disk stores an entry of any id."""
    fresh, registry = make_registry("c2"), make_registry()
    registry.on_announcement(UPSTREAM, 0.0)
    entry = fresh.on_announcement(odd(id_, fields), 1.0)
    registry.merge(fresh.to_record(entry, 1.0), 1.0)
    assert state(registry) == STATE.READY
    known = registry.get(UPSTREAM.id)
    assert known.record.service == UPSTREAM.service
    fresh.merge(registry.to_record(known, 1.0), 1.0)
    assert fresh.digest() == registry.digest()


@pytest.mark.parametrize("fields", ODD_FIELDS)
@pytest.mark.parametrize("id_", ODD_IDS)
def test_odd_entry_changes_no_upstream_over_a_restart(id_, fields):
    disk = fakes.Disk()
    registry = make_registry()
    registry.on_announcement(UPSTREAM, 0.0)
    registry.on_announcement(odd(id_, fields), 1.0)
    recorder = recorders.MemoryRecorder()
    store = registry_store.RegistryStore(disk, registry, recorder)
    store.save((), 2.0, 1000.0)
    restarted = make_registry(services=None)
    registry_store.RegistryStore(disk, restarted, recorder).load(0.0, 1001.0)
    restarted.use_services(SERVICES)
    assert state(restarted) == STATE.READY
    announce_until(restarted, 5)
    assert state(restarted) == STATE.READY


@pytest.mark.parametrize("fields", ODD_FIELDS)
@pytest.mark.parametrize("id_", ODD_IDS)
def test_flows_and_new_flows_outlast_an_odd_entry(id_, fields):
    control, entry = harness.make_harness(upstreams=1)
    for registry in (control.registry, entry.registry):
        registry._data_centres = DATA_CENTRES
    _, cookie = entry.open(1)
    control.registry.on_announcement(odd(id_, fields), entry.now)
    entry.run(1.0)
    (out,) = entry.packet(1, cookie=cookie, size=5)
    assert out.id == UPSTREAM.id
    assert entry.open(2)[0] == UPSTREAM.id


def test_odd_entry_before_the_configuration_gives_way_to_the_upstream():
    registry = make_registry(services=None)
    peer = make_registry("c2", services=None)
    registry.on_announcement(UPSTREAM, 0.0)
    entry = registry.on_announcement(odd(UPSTREAM.id, ODD_FIELDS[0]), 0.5)
    peer.merge(registry.to_record(entry, 0.5), 0.5)
    for each in (registry, peer):
        each.use_services(SERVICES)
    again = attrs.evolve(UPSTREAM, sequence=2)
    entry = registry.on_announcement(again, 1.0)
    peer.merge(registry.to_record(entry, 1.0), 1.0)
    for each in (registry, peer):
        assert each.get(UPSTREAM.id).record.service == UPSTREAM.service
        assert state(each) == STATE.READY


def test_upstream_of_a_service_is_used_once_the_service_is_configured():
    """A configuration may reach its upstreams before this VM."""
    control, entry = harness.make_harness(upstreams=1)
    new = harness.announcement(7, service="archive")
    control.registry.on_announcement(new, entry.now)
    entry.run(1.0)
    assert entry.open(1)[0] == UPSTREAM.id
    route = attrs.evolve(
        harness.ROUTE, targets=(harness.model.Target("archive", 1),)
    )
    content = attrs.evolve(
        harness.CONTENT,
        routes=(route,),
        services=(
            *harness.SERVICES,
            harness.model.Service("archive", 2000, 2.0, 0.0),
        ),
    )
    control.apply_configuration(3, content)
    entry.run(1.0)
    assert entry.open(2)[0] == new.id


def test_upstream_that_is_heard_keeps_its_address():
    """Whatever another writer announces there, also as a known service."""
    registry = make_registry()
    registry.on_announcement(UPSTREAM, 0.0)
    other = odd("i-000000aa", {"service": "store"})
    registry.on_announcement(other, 0.5)
    assert state(registry) == STATE.READY
    announce_until(registry, 70)
    assert state(registry) == STATE.READY
    assert state(registry, other.id) is None


def test_silent_upstream_is_gone_once_a_younger_one_has_its_address():
    registry = make_registry()
    registry.on_announcement(UPSTREAM, 0.0)
    younger = odd("i-00000009", {"service": "store"})
    registry.mark_silent_upstreams(frozenset(), 0.5)
    registry.on_announcement(younger, 1.0)
    registry.mark_silent_upstreams(frozenset(), 1.4)
    assert state(registry) == STATE.READY
    registry.mark_silent_upstreams(frozenset(), 1.6)
    assert state(registry) == STATE.GONE
    assert state(registry, younger.id) == STATE.READY


def test_upstream_of_a_peer_is_gone_only_once_it_is_silent():
    """Only its control VM knows whether it still announces itself."""
    peer, registry = make_registry("c2"), make_registry()
    entry = peer.on_announcement(UPSTREAM, 0.0)
    registry.merge(peer.to_record(entry, 0.0), 0.0)
    younger = odd("i-00000009", {"service": "store"})
    registry.on_announcement(younger, 30.0)
    registry.mark_silent_upstreams(frozenset({"c2"}), 30.1)
    assert state(registry) == STATE.READY
    (entry,) = peer.mark_silent_upstreams(frozenset(), 31.0)
    registry.merge(peer.to_record(entry, 31.0), 31.0)
    again = attrs.evolve(younger, sequence=10, slots=4)
    registry.on_announcement(again, 31.5)
    assert state(registry) == STATE.GONE


def test_upstream_with_a_slow_clock_replaces_a_silent_one():
    """Guards against a start time that outranks a running upstream."""
    registry = make_registry()
    registry.on_announcement(attrs.evolve(UPSTREAM, born_ms=9000), 0.0)
    slow = attrs.evolve(UPSTREAM, id="i-00000009", born_ms=8000)
    assert registry.on_announcement(slow, 2.5) is None
    registry.mark_silent_upstreams(frozenset(), 3.1)
    registry.on_announcement(attrs.evolve(slow, sequence=2), 3.3)
    assert state(registry, slow.id) == STATE.READY


def test_deregistration_of_another_start_changes_nothing():
    """Guards against a working upstream that another start's end resets."""
    registry = make_registry()
    registry.on_announcement(UPSTREAM, 0.0)
    for born_ms in (UPSTREAM.born_ms - 1, UPSTREAM.born_ms + 1, LATE_BORN_MS):
        assert registry.on_deregistration(UPSTREAM.id, born_ms, 0.5) is None
    assert state(registry) == STATE.READY


class OddEntries(stateful.RuleBasedStateMachine):
    """Running upstreams are usable everywhere, whatever others announce."""

    def __init__(self):
        super().__init__()
        self.registries = [make_registry(f"c{n}") for n in range(3)]
        self.now = 0.0
        self.sequences = itertools.count(1)
        self.upstreams = [
            harness.announcement(
                number, service=service, data_centre=data_centre
            )
            for number, (service, data_centre) in enumerate(
                itertools.product(sorted(SERVICES), sorted(DATA_CENTRES)), 1
            )
        ]
        self.step(seconds=1)

    @stateful.rule(seconds=st.integers(1, 8))
    def step(self, seconds):
        """Each upstream announces itself to one control VM each second."""
        for _ in range(seconds):
            self.now += 1.0
            for number, upstream in enumerate(self.upstreams):
                again = attrs.evolve(upstream, sequence=next(self.sequences))
                self.registries[number % 3].on_announcement(again, self.now)
            self.exchange()
            for registry in self.registries:
                registry.mark_silent_upstreams(
                    frozenset({"c0", "c1", "c2"}), self.now
                )
                registry.expire(self.now)
            self.exchange()

    def exchange(self):
        """Send all records to all control VMs until nothing changes."""
        has_changed = True
        while has_changed:
            has_changed = False
            for source, target in itertools.permutations(self.registries, 2):
                for entry in source.entries():
                    record = source.to_record(entry, self.now)
                    changed = target.merge(record, self.now)
                    has_changed = has_changed or changed is not None

    @stateful.rule(
        at=st.integers(0, 2),
        like=st.integers(0, 3),
        own_id=st.booleans(),
        born_ms=st.sampled_from([0, 1000, LATE_BORN_MS, 2**62]),
        fields=st.sampled_from(ODD_FIELDS),
        draining=st.booleans(),
    )
    def odd_entry(self, at, like, own_id, born_ms, fields, draining):
        entry = attrs.evolve(
            self.upstreams[like],
            born_ms=born_ms,
            sequence=next(self.sequences),
            draining=draining,
            **fields,
        )
        if own_id:
            entry = attrs.evolve(entry, id=f"i-000000a{like}")
        self.registries[at].on_announcement(entry, self.now)

    @stateful.rule(
        at=st.integers(0, 2),
        like=st.integers(0, 3),
        service=st.sampled_from(sorted(SERVICES)),
    )
    def entry_at_a_taken_address(self, at, like, service):
        entry = attrs.evolve(
            self.upstreams[like],
            id=f"i-000000b{like}",
            service=service,
            born_ms=LATE_BORN_MS,
            sequence=next(self.sequences),
        )
        self.registries[at].on_announcement(entry, self.now)

    @stateful.rule(at=st.integers(0, 2))
    def lose_disk(self, at):
        self.registries[at] = make_registry(f"c{at}")

    @stateful.rule(like=st.integers(0, 3))
    def move(self, like):
        """The upstream restarts under its id at another address."""
        upstream = self.upstreams[like]
        self.upstreams[like] = attrs.evolve(
            upstream,
            address=f"10.129.0.{next(self.sequences) % 250}",
            born_ms=upstream.born_ms + 1000,
        )
        self.step(1)

    @stateful.invariant()
    def running_upstreams_are_usable_everywhere(self):
        self.exchange()
        for registry in self.registries:
            for upstream in self.upstreams:
                record = registry.get(upstream.id).record
                assert record.state == STATE.READY, registry._local_vm
                assert record.service == upstream.service
                assert record.address == upstream.address


TestOddEntries = OddEntries.TestCase
TestOddEntries.settings = hypothesis.settings(
    max_examples=200 + 100 * SEEDS,
    stateful_step_count=20,
    deadline=None,
    derandomize=not SEEDS,
    database=None,
)
