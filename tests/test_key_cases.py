"""Each named case of losing something while a request must run once."""

import pytest

from ebonytally import actions
from ebonytally import ports
from ebonytally import reasons
from ebonytally.requests import key_id
from ebonytally.requests import key_messages
from ebonytally.requests import key_placement
from ebonytally import view
from ebonytally import wire
from tests import key_cluster

K = ports.AttemptKind
O = actions.Outcome  # noqa: E741
SETTLED_S = 6.0


def _settled(**numbers) -> key_cluster.Cluster:
    cluster = key_cluster.Cluster(seed=1, **numbers)
    cluster.advance(SETTLED_S)
    return cluster


def _key(cluster, number=1, ago_s=0.1) -> str:
    return key_cluster.make_key(cluster.now - ago_s, number)


def _keepers(cluster, key: str) -> tuple[str, str]:
    bucket = key_id.bucket(key_id.parse(key).raw)
    return (
        key_placement.current_epoch(cluster.latest)
        .owners_by_bucket()[bucket]
        .names
    )


def _same_bucket(cluster, key: str) -> str:
    """Return another new key of the same bucket."""
    wanted = key_id.bucket(key_id.parse(key).raw)
    for number in range(2, 100_000):
        other = _key(cluster, number)
        if key_id.bucket(key_id.parse(other).raw) == wanted:
            return other
    raise LookupError(key)


def _others(cluster, key: str) -> list[str]:
    keepers = _keepers(cluster, key)
    return [name for name in cluster.nodes if name not in keepers]


def _last(cluster) -> actions.Answer:
    return cluster.told[-1].answer


def _run(cluster, name, key, kind=K.ANSWERED) -> None:
    """Send a request by way of `name` and let its attempt end."""
    cluster.send(name, key)
    cluster.advance(0.3)
    assert len(cluster.attempts) == 1
    cluster.finish(next(iter(cluster.attempts)), kind)
    cluster.advance(0.3)


def test_first_outcome_is_told_again_by_every_entry_vm():
    cluster = _settled()
    key = _key(cluster)
    _run(cluster, "vm-1", key)
    for name in cluster.names:
        cluster.send(name, key)
        cluster.advance(0.3)
        assert _last(cluster).outcome is O.ANSWERED
        assert _last(cluster).body == key.encode()
    assert cluster.runs[key] == 1


def test_copy_that_crosses_is_told_that_it_is_running():
    cluster = _settled()
    key = _key(cluster)
    for name in cluster.names:
        cluster.send(name, key)
    cluster.advance(0.3)
    assert cluster.runs[key] == 1
    outcomes = [told.answer.outcome for told in cluster.told]
    assert outcomes == [O.STILL_RUNNING] * 3


def test_other_content_is_refused_as_such():
    cluster = _settled()
    key = _key(cluster)
    _run(cluster, "vm-1", key)
    cluster.send("vm-2", key, content=b"other")
    cluster.advance(0.3)
    assert _last(cluster).status == 422
    assert _last(cluster).reason == reasons.Refusal.KEY_CONTENT_DIFFERS


def test_answer_lost_is_unknown_wherever_it_is_resent():
    cluster = _settled()
    key = _key(cluster)
    _run(cluster, "vm-1", key, K.LOST)
    cluster.send("vm-2", key)
    cluster.advance(0.3)
    assert _last(cluster).outcome is O.OUTCOME_UNKNOWN


def test_true_not_run_may_run_when_resent():
    cluster = _settled()
    key = _key(cluster)
    _run(cluster, "vm-1", key, K.NOT_SENT)
    assert _last(cluster).outcome is O.NOT_RUN
    _run(cluster, "vm-2", key)
    assert _last(cluster).outcome is O.ANSWERED
    assert cluster.runs[key] == 1


def test_refused_copy_is_not_called_not_run_when_another_ran():
    cluster = _settled()
    key = _key(cluster)
    _run(cluster, "vm-1", key)
    cluster.nodes["vm-2"].requests.stop(cluster.now)
    cluster.send("vm-2", key)
    cluster.advance(0.3)
    assert _last(cluster).outcome is O.ANSWERED


def test_stopping_vm_refuses_a_first_copy_as_not_run():
    cluster = _settled()
    cluster.nodes["vm-2"].requests.stop(cluster.now)
    cluster.send("vm-2", _key(cluster))
    cluster.advance(0.3)
    assert _last(cluster).outcome is O.NOT_RUN
    assert _last(cluster).reason == reasons.Refusal.REQUEST_STOPPING


def test_entry_vm_killed_between_send_and_answer():
    cluster = _settled()
    key = _key(cluster)
    name, other = _others(cluster, key)
    cluster.send(name, key)
    cluster.advance(0.3)
    cluster.kill(name)
    cluster.send(other, key)
    cluster.advance(0.3)
    assert _last(cluster).outcome is O.STILL_RUNNING
    cluster.advance(3.0)
    cluster.send(other, key)
    cluster.advance(0.5)
    assert _last(cluster).outcome is O.OUTCOME_UNKNOWN
    assert cluster.runs[key] == 1


@pytest.mark.parametrize("lost", [0, 1])
def test_keeper_lost_and_replaced(lost):
    cluster = _settled()
    key = _key(cluster)
    _run(cluster, _others(cluster, key)[0], key)
    cluster.kill(_keepers(cluster, key)[lost])
    cluster.advance(4.0)
    cluster.send(_others(cluster, key)[0], key)
    cluster.advance(0.5)
    assert _last(cluster).outcome is O.ANSWERED
    assert cluster.runs[key] == 1


def test_keepers_lost_one_after_the_other():
    cluster = _settled()
    key = _key(cluster)
    _run(cluster, _others(cluster, key)[0], key)
    for _ in range(2):
        cluster.kill(_keepers(cluster, key)[0])
        cluster.advance(4.0)
    cluster.send(_keepers(cluster, key)[0], key)
    cluster.advance(0.5)
    assert _last(cluster).outcome is O.ANSWERED
    assert cluster.runs[key] == 1


def test_two_vms_lost_at_once_leave_the_other_keeper_knowing():
    cluster = _settled(count=5)
    key = _key(cluster)
    unsent = _same_bucket(cluster, key)
    first, second = _keepers(cluster, key)
    _run(cluster, _others(cluster, key)[0], key)
    cluster.kill(first)
    cluster.kill(_others(cluster, key)[0])
    cluster.advance(3.0)
    cluster.send(second, key)
    cluster.advance(0.5)
    assert _last(cluster).outcome is O.ANSWERED
    assert cluster.runs[key] == 1
    _run(cluster, second, unsent)
    assert cluster.runs[unsent] == 1


def test_both_keepers_lost_at_once_is_unknown_and_new_keys_run():
    cluster = _settled(count=5)
    key = _key(cluster)
    _run(cluster, _others(cluster, key)[0], key)
    for name in _keepers(cluster, key):
        cluster.kill(name)
    cluster.advance(12.0)
    name = _keepers(cluster, key)[0]
    cluster.send(name, key)
    cluster.advance(0.5)
    assert _last(cluster).outcome is O.OUTCOME_UNKNOWN
    _run(cluster, name, _key(cluster, 2))
    assert _last(cluster).outcome is O.ANSWERED
    assert cluster.runs[key] == 1


def test_both_keepers_restarted_vouch_for_nothing_older():
    cluster = _settled()
    key = _key(cluster)
    name = _others(cluster, key)[0]
    _run(cluster, name, key)
    for keeper in _keepers(cluster, key):
        cluster.kill(keeper)
        cluster.start(keeper)
    cluster.advance(1.0)
    cluster.send(name, key)
    cluster.advance(1.0)
    assert _last(cluster).outcome is O.OUTCOME_UNKNOWN
    assert cluster.runs[key] == 1


def test_one_keeper_restarted_learns_from_the_other():
    cluster = _settled()
    key = _key(cluster)
    name = _others(cluster, key)[0]
    _run(cluster, name, key)
    first, second = _keepers(cluster, key)
    cluster.kill(first)
    cluster.start(first)
    cluster.advance(2.0)
    cluster.kill(second)
    cluster.advance(4.0)
    cluster.send(name, key)
    cluster.advance(0.5)
    assert _last(cluster).outcome is O.ANSWERED
    assert cluster.runs[key] == 1


def test_partition_with_both_halves_trying():
    cluster = _settled()
    key = _key(cluster)
    first, second = _keepers(cluster, key)
    inside = _others(cluster, key)[0]
    cluster.cut = {first}
    cluster.send(first, key, timeout_s=1.0)
    cluster.send(inside, key)
    cluster.advance(4.0)
    assert cluster.runs[key] == 1
    (attempt,) = cluster.attempts
    assert attempt[0] == inside
    assert _last(cluster).outcome is O.OUTCOME_UNKNOWN
    assert _last(cluster).reason == reasons.Refusal.KEY_KEEPER_UNREACHABLE


def test_keepers_that_are_cut_off_together_grant_nothing():
    cluster = _settled(count=5)
    old = _key(cluster)
    first, second = _keepers(cluster, old)
    cluster.cut = {first, second}
    cluster.advance(12.0)
    key = _same_bucket(cluster, old)
    cluster.send(first, key, timeout_s=1.0)
    _run(cluster, _keepers(cluster, key)[0], key)
    cluster.advance(1.0)
    assert cluster.runs[key] == 1


def test_planned_stop_of_both_keepers_hands_over():
    cluster = _settled(count=5)
    key = _key(cluster)
    name = _others(cluster, key)[0]
    _run(cluster, name, key)
    keepers = _keepers(cluster, key)
    for keeper in keepers:
        cluster.nodes[keeper].requests.stop(cluster.now)
        cluster.mark(keeper, view.VmState.STOPPING)
    cluster.advance(0.05)
    idle = [cluster.nodes[keeper].requests.idle for keeper in keepers]
    assert not all(idle)
    cluster.advance(3.0)
    for keeper in keepers:
        assert cluster.nodes[keeper].requests.idle
        cluster.kill(keeper)
    cluster.advance(3.0)
    cluster.send(name, key)
    cluster.advance(0.5)
    assert _last(cluster).outcome is O.ANSWERED
    assert cluster.runs[key] == 1


def test_key_too_old_is_refused_and_never_run():
    cluster = _settled(key_window_s=5.0)
    key = _key(cluster)
    _run(cluster, "vm-1", key)
    cluster.advance(20.0)
    assert cluster.nodes["vm-1"].requests.key_count == 0
    cluster.send("vm-1", key)
    assert _last(cluster).outcome is O.OUTCOME_UNKNOWN
    assert _last(cluster).reason == reasons.Refusal.KEY_TOO_OLD


@pytest.mark.parametrize(
    ("key", "outcome"),
    [
        ("no key", O.NOT_RUN),
        (key_cluster.make_key(SETTLED_S + 60.0, 1), O.NOT_RUN),
        (key_cluster.make_key(SETTLED_S + 2.2, 1), O.OUTCOME_UNKNOWN),
    ],
)
def test_keys_that_are_refused_at_once(key, outcome):
    cluster = _settled()
    cluster.send("vm-1", key)
    assert _last(cluster).outcome is outcome


def test_memory_is_bounded_and_what_was_dropped_is_unknown():
    cluster = _settled(max_keys=20)
    first = _key(cluster)
    _run(cluster, "vm-1", first)
    for number in range(2, 200):
        cluster.advance(0.05)
        cluster.send("vm-1", _key(cluster, number, ago_s=0.0))
    cluster.advance(1.0)
    for node in cluster.nodes.values():
        assert node.requests.key_count <= 20
    cluster.send("vm-2", first)
    cluster.advance(0.3)
    assert _last(cluster).outcome is O.OUTCOME_UNKNOWN
    assert cluster.runs[first] == 1


def test_caller_gone_comes_back_for_its_first_outcome():
    cluster = _settled()
    key = _key(cluster)
    req = cluster.send("vm-1", key)
    cluster.advance(0.3)
    node = cluster.nodes["vm-1"].requests
    assert node.cancelled(req, cluster.now) == []
    (attempt,) = cluster.attempts
    cluster.finish(attempt, K.ANSWERED)
    cluster.advance(0.3)
    cluster.send("vm-2", key)
    cluster.advance(0.3)
    assert _last(cluster).body == key.encode()


def test_messages_survive_the_wire():
    record = key_messages.KeyRecord(
        key=b"k" * 16,
        content=b"c",
        claim="vm-1/a/1",
        state=key_messages.KeyState.ANSWERED,
        vm="vm-1",
        incarnation=3,
        age_s=1.5,
        left_s=2.0,
        answer=key_messages.KeptAnswer(200, (("A", "b"),), b"body", True),
    )
    part = key_messages.SyncPart(1, 2, 0, 4.0, 5, 0, 1, (record,))
    frame = wire.encode(b"x" * 32, "vm-1", part)
    assert wire.decode(b"x" * 32, frame) == ("vm-1", part)
