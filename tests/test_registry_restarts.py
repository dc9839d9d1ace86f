"""Knowledge of control VMs that restarted, or that missed an announcement."""

import attrs

from ebonytally.feed import follower
from ebonytally.feed import messages
from ebonytally.feed import silences
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally.registry import registry as registries
from tests import echo_harness

ID = "i-00000001"
READY = records.Record(
    ID, 1000, 5, records.State.READY, "desk", "10.128.0.1", 8080, "north", 2,
    "c1",
)  # fmt: skip
UPDATE = messages.Update(1, 1, 0, 63, False, (), 0, 0, None, ("c1",), True, 1)


def make_registry():
    """Return a registry that knows a ready upstream."""
    registry = registries.Registry(
        "c3", echo_harness.LIMITS, recorders.MemoryRecorder()
    )
    registry.merge(READY, 0.0)
    return registry


def test_drain_is_taken_after_the_notice_of_a_later_move():
    """A drained upstream would get flows for as long as it announces."""
    registry = make_registry()
    registry.on_move("c2", ID, 1000, 12, 1.0)
    drain = attrs.evolve(READY, sequence=11, state=records.State.DRAINING)
    registry.merge(drain, 1.2)
    assert registry.get(ID).record.state == records.State.DRAINING


def test_silence_is_not_taken_after_the_notice_of_a_later_move():
    """A control VM that is cut off would make working upstreams silent."""
    registry = make_registry()
    registry.on_move("c2", ID, 1000, 12, 1.0)
    silence = attrs.evolve(READY, sequence=11, state=records.State.SILENT)
    registry.merge(silence, 1.2)
    assert registry.get(ID).record.state == records.State.READY


def test_all_records_are_asked_of_a_control_vm_that_restarted():
    """With the revision of the old process new upstreams stay unknown."""
    recorder = recorders.MemoryRecorder()
    registry = registries.Registry("e1", echo_harness.LIMITS, recorder)
    follows = follower.Follower(("c1",), registry, recorder)
    polls = []
    for start, revision, partial in ((1, 63, False), (2, 33, True)):
        now = 100.0 + start
        polls += [action.msg for action in follows.tick(now)]
        answer = attrs.evolve(
            UPDATE,
            poll_number=polls[-1].poll_number,
            start=start,
            revision=revision,
            partial=partial,
        )
        follows.handle("c1", answer, now + 0.01)
    polls += [action.msg for action in follows.tick(103.0)]
    assert [poll.revision for poll in polls] == [0, 63, 0]


@attrs.define
class ControlVms:
    """Control VMs of which `d` may restart and `c1` may fall silent."""

    start: int = 1
    heard: frozenset = frozenset({"c1", "d"})

    def is_heard(self, name, now):
        return name in self.heard

    def is_in_touch(self, name):
        return True

    def start_of(self, name):
        return self.start


def test_silence_kept_back_is_dropped_when_its_teller_restarts():
    """Wiped, it would stand by a silence that it doesn't know of."""
    registry = make_registry()
    vms = ControlVms()
    kept = silences.Silences(registry, vms)
    silence = attrs.evolve(
        READY, sequence=6, state=records.State.SILENT, source="d", lost="c1"
    )
    kept.merge("d", silence, 1.0)
    vms.start = 2
    vms.heard = frozenset({"d"})
    kept.tick(2.0)
    assert registry.get(ID).record.state == records.State.READY
