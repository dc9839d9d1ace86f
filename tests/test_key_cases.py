"""A keyed request runs at most once in each named case of a loss."""

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

AttemptEnd = ports.AttemptEnd
Outcome = actions.Outcome
SETTLED_S = 6.0


def _settled_cluster(**request_settings) -> key_cluster.Cluster:
    cluster = key_cluster.Cluster(seed=1, **request_settings)
    cluster.advance(SETTLED_S)
    return cluster


def _key(cluster, number=1, ago_s=0.1) -> str:
    return key_cluster.make_key(cluster.now - ago_s, number)


def _owners_of_key(cluster, key: str) -> tuple[str, str]:
    bucket = key_id.bucket(key_id.parse(key).raw)
    return (
        key_placement.current_epoch(cluster.latest)
        .owners_by_bucket()[bucket]
        .names
    )


def _same_bucket(cluster, key: str) -> str:
    """Return another new key in the bucket of `key`."""
    wanted = key_id.bucket(key_id.parse(key).raw)
    for number in range(2, 100_000):
        other = _key(cluster, number)
        if key_id.bucket(key_id.parse(other).raw) == wanted:
            return other
    raise LookupError(key)


def _non_owners(cluster, key: str) -> list[str]:
    owners = _owners_of_key(cluster, key)
    return [name for name in cluster.nodes if name not in owners]


def _last_answer(cluster) -> actions.RequestAnswer:
    return cluster.sent_answers[-1].answer


def _run_request(cluster, name, key, kind=AttemptEnd.ANSWERED) -> None:
    """Send a request to entry VM `name` and end its attempt."""
    cluster.send(name, key)
    cluster.advance(0.3)
    assert len(cluster.attempts) == 1
    cluster.finish(next(iter(cluster.attempts)), kind)
    cluster.advance(0.3)


def test_first_outcome_is_repeated_by_every_entry_vm():
    cluster = _settled_cluster()
    key = _key(cluster)
    _run_request(cluster, "vm-1", key)
    for name in cluster.names:
        cluster.send(name, key)
        cluster.advance(0.3)
        assert _last_answer(cluster).outcome is Outcome.ANSWERED
        assert _last_answer(cluster).body == key.encode()
    assert cluster.runs[key] == 1


def test_concurrent_copies_are_answered_still_running():
    cluster = _settled_cluster()
    key = _key(cluster)
    for name in cluster.names:
        cluster.send(name, key)
    cluster.advance(0.3)
    assert cluster.runs[key] == 1
    outcomes = [
        sent_answer.answer.outcome for sent_answer in cluster.sent_answers
    ]
    assert outcomes == [Outcome.STILL_RUNNING] * 3


def test_reused_key_with_other_content_is_refused():
    cluster = _settled_cluster()
    key = _key(cluster)
    _run_request(cluster, "vm-1", key)
    cluster.send("vm-2", key, content=b"other")
    cluster.advance(0.3)
    assert _last_answer(cluster).status == 422
    assert _last_answer(cluster).reason == reasons.Refusal.KEY_CONTENT_DIFFERS


def test_lost_answer_is_unknown_when_resent_elsewhere():
    cluster = _settled_cluster()
    key = _key(cluster)
    _run_request(cluster, "vm-1", key, AttemptEnd.LOST)
    cluster.send("vm-2", key)
    cluster.advance(0.3)
    assert _last_answer(cluster).outcome is Outcome.OUTCOME_UNKNOWN


def test_request_not_run_may_run_when_resent():
    cluster = _settled_cluster()
    key = _key(cluster)
    _run_request(cluster, "vm-1", key, AttemptEnd.NOT_SENT)
    assert _last_answer(cluster).outcome is Outcome.NOT_RUN
    _run_request(cluster, "vm-2", key)
    assert _last_answer(cluster).outcome is Outcome.ANSWERED
    assert cluster.runs[key] == 1


def test_refused_copy_gets_the_outcome_of_one_that_ran():
    cluster = _settled_cluster()
    key = _key(cluster)
    _run_request(cluster, "vm-1", key)
    cluster.nodes["vm-2"].requests.stop(cluster.now)
    cluster.send("vm-2", key)
    cluster.advance(0.3)
    assert _last_answer(cluster).outcome is Outcome.ANSWERED


def test_stopping_vm_refuses_a_first_copy_as_not_run():
    cluster = _settled_cluster()
    cluster.nodes["vm-2"].requests.stop(cluster.now)
    cluster.send("vm-2", _key(cluster))
    cluster.advance(0.3)
    assert _last_answer(cluster).outcome is Outcome.NOT_RUN
    assert _last_answer(cluster).reason == reasons.Refusal.REQUEST_STOPPING


def test_entry_vm_killed_between_send_and_answer():
    cluster = _settled_cluster()
    key = _key(cluster)
    name, other = _non_owners(cluster, key)
    cluster.send(name, key)
    cluster.advance(0.3)
    cluster.kill(name)
    cluster.send(other, key)
    cluster.advance(0.3)
    assert _last_answer(cluster).outcome is Outcome.STILL_RUNNING
    cluster.advance(3.0)
    cluster.send(other, key)
    cluster.advance(0.5)
    assert _last_answer(cluster).outcome is Outcome.OUTCOME_UNKNOWN
    assert cluster.runs[key] == 1


@pytest.mark.parametrize("lost", [0, 1])
def test_owner_lost_and_replaced(lost):
    cluster = _settled_cluster()
    key = _key(cluster)
    _run_request(cluster, _non_owners(cluster, key)[0], key)
    cluster.kill(_owners_of_key(cluster, key)[lost])
    cluster.advance(4.0)
    cluster.send(_non_owners(cluster, key)[0], key)
    cluster.advance(0.5)
    assert _last_answer(cluster).outcome is Outcome.ANSWERED
    assert cluster.runs[key] == 1


def test_owners_lost_one_after_the_other():
    cluster = _settled_cluster()
    key = _key(cluster)
    _run_request(cluster, _non_owners(cluster, key)[0], key)
    for _ in range(2):
        cluster.kill(_owners_of_key(cluster, key)[0])
        cluster.advance(4.0)
    cluster.send(_owners_of_key(cluster, key)[0], key)
    cluster.advance(0.5)
    assert _last_answer(cluster).outcome is Outcome.ANSWERED
    assert cluster.runs[key] == 1


def test_two_vms_lost_at_once_leave_records_at_one_owner():
    cluster = _settled_cluster(count=5)
    key = _key(cluster)
    unsent = _same_bucket(cluster, key)
    first, second = _owners_of_key(cluster, key)
    _run_request(cluster, _non_owners(cluster, key)[0], key)
    cluster.kill(first)
    cluster.kill(_non_owners(cluster, key)[0])
    cluster.advance(3.0)
    cluster.send(second, key)
    cluster.advance(0.5)
    assert _last_answer(cluster).outcome is Outcome.ANSWERED
    assert cluster.runs[key] == 1
    _run_request(cluster, second, unsent)
    assert cluster.runs[unsent] == 1


def test_both_owners_lost_at_once_is_unknown_and_new_keys_run():
    cluster = _settled_cluster(count=5)
    key = _key(cluster)
    _run_request(cluster, _non_owners(cluster, key)[0], key)
    for name in _owners_of_key(cluster, key):
        cluster.kill(name)
    cluster.advance(12.0)
    name = _owners_of_key(cluster, key)[0]
    cluster.send(name, key)
    cluster.advance(0.5)
    assert _last_answer(cluster).outcome is Outcome.OUTCOME_UNKNOWN
    _run_request(cluster, name, _key(cluster, 2))
    assert _last_answer(cluster).outcome is Outcome.ANSWERED
    assert cluster.runs[key] == 1


def test_both_owners_restarted_leave_older_keys_unknown():
    cluster = _settled_cluster()
    key = _key(cluster)
    name = _non_owners(cluster, key)[0]
    _run_request(cluster, name, key)
    for owner in _owners_of_key(cluster, key):
        cluster.kill(owner)
        cluster.start(owner)
    cluster.advance(1.0)
    cluster.send(name, key)
    cluster.advance(1.0)
    assert _last_answer(cluster).outcome is Outcome.OUTCOME_UNKNOWN
    assert cluster.runs[key] == 1


def test_restarted_owner_fetches_records_from_the_other():
    cluster = _settled_cluster()
    key = _key(cluster)
    name = _non_owners(cluster, key)[0]
    _run_request(cluster, name, key)
    first, second = _owners_of_key(cluster, key)
    cluster.kill(first)
    cluster.start(first)
    cluster.advance(2.0)
    cluster.kill(second)
    cluster.advance(4.0)
    cluster.send(name, key)
    cluster.advance(0.5)
    assert _last_answer(cluster).outcome is Outcome.ANSWERED
    assert cluster.runs[key] == 1


def test_partition_runs_a_key_on_one_side_only():
    cluster = _settled_cluster()
    key = _key(cluster)
    first, second = _owners_of_key(cluster, key)
    inside = _non_owners(cluster, key)[0]
    cluster.isolated = {first}
    cluster.send(first, key, timeout_s=1.0)
    cluster.send(inside, key)
    cluster.advance(4.0)
    assert cluster.runs[key] == 1
    (attempt,) = cluster.attempts
    assert attempt[0] == inside
    assert _last_answer(cluster).outcome is Outcome.OUTCOME_UNKNOWN
    assert (
        _last_answer(cluster).reason == reasons.Refusal.KEY_KEEPER_UNREACHABLE
    )


def test_owners_cut_off_together_grant_nothing():
    cluster = _settled_cluster(count=5)
    old = _key(cluster)
    first, second = _owners_of_key(cluster, old)
    cluster.isolated = {first, second}
    cluster.advance(12.0)
    key = _same_bucket(cluster, old)
    cluster.send(first, key, timeout_s=1.0)
    _run_request(cluster, _owners_of_key(cluster, key)[0], key)
    cluster.advance(1.0)
    assert cluster.runs[key] == 1


def test_planned_stop_of_both_owners_hands_over_records():
    cluster = _settled_cluster(count=5)
    key = _key(cluster)
    name = _non_owners(cluster, key)[0]
    _run_request(cluster, name, key)
    owners = _owners_of_key(cluster, key)
    for owner in owners:
        cluster.nodes[owner].requests.stop(cluster.now)
        cluster.mark(owner, view.VmState.STOPPING)
    cluster.advance(0.05)
    idle = [cluster.nodes[owner].requests.is_idle for owner in owners]
    assert not all(idle)
    cluster.advance(3.0)
    for owner in owners:
        assert cluster.nodes[owner].requests.is_idle
        cluster.kill(owner)
    cluster.advance(3.0)
    cluster.send(name, key)
    cluster.advance(0.5)
    assert _last_answer(cluster).outcome is Outcome.ANSWERED
    assert cluster.runs[key] == 1


def test_key_too_old_is_refused_and_never_run():
    cluster = _settled_cluster(key_window_s=5.0)
    key = _key(cluster)
    _run_request(cluster, "vm-1", key)
    cluster.advance(20.0)
    assert cluster.nodes["vm-1"].requests.key_count == 0
    cluster.send("vm-1", key)
    assert _last_answer(cluster).outcome is Outcome.OUTCOME_UNKNOWN
    assert _last_answer(cluster).reason == reasons.Refusal.KEY_TOO_OLD


@pytest.mark.parametrize(
    ("key", "outcome"),
    [
        ("no key", Outcome.NOT_RUN),
        (key_cluster.make_key(SETTLED_S + 60.0, 1), Outcome.NOT_RUN),
        (key_cluster.make_key(SETTLED_S + 2.2, 1), Outcome.OUTCOME_UNKNOWN),
    ],
)
def test_invalid_keys_are_refused_at_once(key, outcome):
    cluster = _settled_cluster()
    cluster.send("vm-1", key)
    assert _last_answer(cluster).outcome is outcome


def test_memory_is_bounded_and_evicted_keys_are_unknown():
    cluster = _settled_cluster(max_keys=20)
    first = _key(cluster)
    _run_request(cluster, "vm-1", first)
    for number in range(2, 200):
        cluster.advance(0.05)
        cluster.send("vm-1", _key(cluster, number, ago_s=0.0))
    cluster.advance(1.0)
    for node in cluster.nodes.values():
        assert node.requests.key_count <= 20
    cluster.send("vm-2", first)
    cluster.advance(0.3)
    assert _last_answer(cluster).outcome is Outcome.OUTCOME_UNKNOWN
    assert cluster.runs[first] == 1


def test_disconnected_caller_gets_its_first_outcome_later():
    cluster = _settled_cluster()
    key = _key(cluster)
    req = cluster.send("vm-1", key)
    cluster.advance(0.3)
    node = cluster.nodes["vm-1"].requests
    assert node.on_caller_gone(req, cluster.now) == []
    (attempt,) = cluster.attempts
    cluster.finish(attempt, AttemptEnd.ANSWERED)
    cluster.advance(0.3)
    cluster.send("vm-2", key)
    cluster.advance(0.3)
    assert _last_answer(cluster).body == key.encode()


def test_key_messages_round_trip():
    record = key_messages.KeyRecord(
        key=b"k" * 16,
        content=b"c",
        claim="vm-1/a/1",
        state=key_messages.KeyState.ANSWERED,
        vm="vm-1",
        incarnation=3,
        age_s=1.5,
        left_s=2.0,
        answer=key_messages.RecordedAnswer(200, (("A", "b"),), b"body", True),
    )
    part = key_messages.SyncPart(1, 2, 0, 4.0, 5, 0, 1, (record,))
    frame = wire.encode(b"x" * 32, "vm-1", part)
    assert wire.decode(b"x" * 32, frame) == ("vm-1", part)
