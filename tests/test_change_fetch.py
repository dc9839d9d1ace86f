"""Large configuration changes on links that lose packets, and in series."""

import random

import attrs
import pytest

from ebonytally.configuration import model
from ebonytally.feed import change_fetch
from ebonytally.feed import messages
from tests import echo_harness

ROUTES = 1440


def large_content(seed, count=ROUTES):
    """Return a content with routes whose names hardly compress."""
    rng = random.Random(seed)
    routes = tuple(
        attrs.evolve(
            echo_harness.ROUTE,
            name=f"r-{rng.getrandbits(64):x}",
            address=f"198.18.{n % 200}.{rng.randrange(250)}",
            port=1000 + n,
        )
        for n in range(count)
    )
    return attrs.evolve(
        echo_harness.CONTENT, routes=(echo_harness.ROUTE, *routes)
    )


def part(number, parts=10, base=2, version=5):
    """Return a part of a change that has the part's number as data."""
    return messages.Part(base, version, number, parts, bytes([number]))


def wanted(actions_):
    """Return the numbers of the requested parts."""
    return [action.msg.part for action in actions_]


@pytest.mark.parametrize("loss", [0.01, 0.03, 0.1])
def test_a_large_change_arrives_within_five_seconds_on_lossy_links(loss):
    control, entry = echo_harness.make_harness()
    rng = random.Random(7)
    handle = control.handle

    def lossy(peer, msg, now):
        if rng.random() < loss:
            return []
        replies = handle(peer, msg, now)
        return [reply for reply in replies if rng.random() >= loss]

    control.handle = lossy
    control.apply_configuration(3, large_content(1))
    entry.run(5.0)
    assert entry.follower.view.version == 3
    assert len(entry.follower.view.content.routes) == ROUTES + 1


def test_a_series_of_changes_does_not_stop_a_large_one():
    control, _ = echo_harness.make_harness()
    control.apply_configuration(3, large_content(1))
    parts = 1
    received = 0
    while received < parts:
        replies = control.handle(
            "e1", messages.PartWanted(2, 3, received), 1.0
        )
        assert replies, f"part {received} of {parts} isn't sent"
        parts = replies[0].msg.parts
        received += 1
        content = large_content(1, ROUTES + received)
        control.apply_configuration(3 + received, content)
        if received > 12:
            break
    assert received > 12


def test_an_entry_vm_that_is_behind_is_sent_only_what_differs():
    control, entry = echo_harness.make_harness()
    content = large_content(1)
    for version in range(3, 20):
        # Polled by another entry VM meanwhile, which has none of these.
        control.apply_configuration(version, content)
        control.handle("e2", messages.Poll(1, 0, 0, 0, 0, True), 1.0)
        content = large_content(1, ROUTES + version)
    (reply,) = control.handle("e1", messages.PartWanted(4, 19, 0), 1.0)
    assert (reply.msg.base, reply.msg.parts) == (4, 1)


def test_few_parts_are_in_transit_at_a_time():
    fetch = change_fetch.ChangeFetch("c1", 2, 5, 0.0)
    assert wanted(fetch.requests(0.0)) == [0]
    fetch.add(part(0), 0.01)
    assert wanted(fetch.requests(0.01)) == [1, 2, 3, 4]
    fetch.add(part(3), 0.02)
    assert wanted(fetch.requests(0.02)) == [5]


def test_only_lost_parts_are_requested_again():
    fetch = change_fetch.ChangeFetch("c1", 2, 5, 0.0)
    fetch.requests(0.0)
    assert wanted(fetch.requests(change_fetch.PART_TIMEOUT_S)) == [0]
    fetch.add(part(0, parts=4), 0.3)
    fetch.requests(0.3)
    fetch.add(part(1, parts=4), 0.31)
    fetch.add(part(3, parts=4), 0.31)
    assert wanted(fetch.requests(0.4)) == []
    assert wanted(fetch.requests(0.6)) == [2]
    assert not fetch.is_complete()
    fetch.add(part(2, parts=4), 0.61)
    assert fetch.is_complete()
    assert fetch.data() == bytes([0, 1, 2, 3])


def test_parts_of_other_changes_are_ignored():
    fetch = change_fetch.ChangeFetch("c1", 2, 5, 0.0)
    fetch.requests(0.0)
    fetch.add(part(0, version=6), 0.1)
    fetch.add(part(7, parts=3), 0.1)
    assert wanted(fetch.requests(0.1)) == []
    fetch.add(part(0, base=0, parts=2), 0.1)
    fetch.add(part(1, base=2, parts=2), 0.1)
    assert not fetch.is_complete()
    assert fetch.base == 0


def test_a_silent_control_vm_is_abandoned():
    fetch = change_fetch.ChangeFetch("c1", 2, 5, 0.0)
    fetch.requests(0.0)
    fetch.add(part(0), 0.5)
    assert not fetch.is_abandoned(1.4)
    assert fetch.is_abandoned(0.5 + change_fetch.GIVE_UP_S)


def test_a_packed_large_change_has_the_size_that_the_tests_assume():
    content = large_content(1)
    assert isinstance(content, model.Content)
    control, _ = echo_harness.make_harness()
    control.apply_configuration(3, content)
    (reply,) = control.handle("e1", messages.PartWanted(2, 3, 0), 1.0)
    assert reply.msg.parts >= 20
