"""Tests of elections, proposals and catching up."""

from ebonytally.agreement import agreement_messages as messages
from ebonytally import settings
from ebonytally import wire
from tests import agreement_fakes as fakes

NAMES = ("a", "b", "c")


def _others(name):
    return [other for other in NAMES if other != name]


def test_forwarded_proposal_is_applied_everywhere():
    cluster = fakes.Cluster(NAMES)
    leader = cluster.elect()
    cluster.propose(_others(leader)[0], "t1", "x")
    cluster.run(1.0)
    assert cluster.decided["t1"].is_committed
    assert cluster.decided["t1"].result == 1
    assert all(m.values == ["x"] for m in cluster.machines.values())


def test_without_a_leader_a_proposal_is_refused():
    cluster = fakes.Cluster(NAMES)
    cluster.propose("a", "t1", "x")
    assert cluster.decided["t1"].reason == "no_leader"


def test_same_token_is_applied_once_across_leaders():
    cluster = fakes.Cluster(NAMES)
    first = cluster.elect()
    assert cluster.put("t1", "x").is_committed
    cluster.crash(first)
    second = cluster.elect()
    cluster.decided.clear()
    cluster.propose(second, "t1", "x")
    cluster.run(1.0)
    assert cluster.decided["t1"].result == 1
    assert cluster.machines[second].values == ["x"]


def test_token_twice_in_the_log_is_applied_once():
    cluster = fakes.Cluster(NAMES)
    leader = cluster.elect()
    node = cluster.nodes[leader]
    for _ in range(2):
        put = wire.pack_message(fakes.Put("x"))
        node._state.append_own("t1", put)
    cluster.run(1.0)
    assert all(m.values == ["x"] for m in cluster.machines.values())


def test_crash_of_all_keeps_what_was_accepted():
    cluster = fakes.Cluster(NAMES)
    for number in range(50):
        assert cluster.put(f"t{number}", f"v{number}").is_committed
    for name in NAMES:
        cluster.crash(name)
    for name in NAMES:
        cluster.start(name)
    cluster.elect()
    cluster.run(1.0)
    wanted = [f"v{number}" for number in range(50)]
    assert all(m.values == wanted for m in cluster.machines.values())


def test_silent_vm_catches_up_without_an_election():
    cluster = fakes.Cluster(NAMES)
    leader = cluster.elect()
    slow = _others(leader)[0]
    cluster.isolate(slow)
    for number in range(100):
        assert cluster.put(f"t{number}", f"v{number}").is_committed
    term = cluster.nodes[leader].term
    cluster.cuts.clear()
    wanted = cluster.machines[leader].values
    cluster.run_until(lambda: cluster.machines[slow].values == wanted, 5.0)
    assert cluster.nodes[leader].is_leader
    assert cluster.nodes[leader].term == term


def test_cut_off_leader_stops_reading_before_another_can_lead():
    for seed in range(8):
        cluster = fakes.Cluster(NAMES, seed)
        old = cluster.elect()
        cluster.isolate(old)
        seen = []
        end = cluster.now + 6.0
        while cluster.now < end:
            cluster.step()
            reading = [
                name
                for name in NAMES
                if cluster.nodes[name].may_read(cluster.now)
            ]
            assert len(reading) <= 1
            seen += reading
        assert seen[-1] != old


def test_restarted_voter_doesnt_end_the_lease_early():
    """A vote soon after a restart could elect a second lease holder."""
    cluster = fakes.Cluster(NAMES)
    leader = cluster.elect()
    helper, other = _others(leader)
    cluster.isolate(leader)
    cluster.crash(other)
    cluster.start(other)
    cluster.step()
    node = cluster.nodes[other]
    request = messages.VoteRequest(
        node.generation, node.term + 1, 99, 99, False, False, ""
    )
    acts = node.handle(helper, request, cluster.now)
    assert not acts[0].msg.granted
    later = cluster.now + cluster.limits.election_s
    acts = node.handle(helper, request, later)
    assert acts[0].msg.granted


def test_catching_up_keeps_to_its_byte_budget():
    limits = settings.Control(snapshot_entries=400, catch_up_bytes_s=4096)
    cluster = fakes.Cluster(NAMES, limits=limits)
    leader = cluster.elect()
    slow = _others(leader)[0]
    cluster.isolate(slow)
    for number in range(500):
        assert cluster.put(f"t{number}", f"{number:040d}").is_committed
    cluster.cuts.clear()
    began, sent = cluster.now, cluster.bytes_sent[leader]
    wanted = cluster.machines[leader].values
    cluster.run_until(lambda: cluster.machines[slow].values == wanted)
    spent = cluster.bytes_sent[leader] - sent
    chunk = 32 * 1024
    assert spent < 4096 * (cluster.now - began + 1) + 2 * chunk
