"""Tests of reads that a majority confirms."""

from ebonytally import actions
from ebonytally import reasons
from tests import agreement_fakes as fakes


def read(cluster, name, token):
    """Start a read at a VM."""
    cluster.call(name, lambda node: node.read(token, cluster.now))


def test_read_is_confirmed_in_one_round():
    cluster = fakes.Cluster(("a", "b", "c"))
    cluster.put("t1", "one")
    leader = cluster.elect()
    read(cluster, leader, "r1")
    assert "r1" not in cluster.decided
    cluster.run(0.06)
    assert cluster.decided["r1"] == actions.ProposalResult("r1", True)


def test_follower_refuses_a_read():
    cluster = fakes.Cluster(("a", "b", "c"))
    leader = cluster.elect()
    other = next(name for name in "abc" if name != leader)
    read(cluster, other, "r1")
    assert cluster.decided["r1"].reason == reasons.Refusal.NOT_LEADER


def test_suspended_leader_refuses_a_stale_read():
    """Its clock stood still, so its lease alone would allow the read."""
    cluster = fakes.Cluster(("a", "b", "c"))
    cluster.put("t1", "one")
    leader = cluster.elect()
    suspended = cluster.nodes.pop(leader)
    frozen_at = cluster.now
    cluster.run(6.0)
    cluster.put("t2", "two")
    cluster.nodes[leader] = suspended
    resumed_at = cluster.now
    assert suspended.may_read(frozen_at)
    cluster.run_actions(leader, suspended.read("r1", frozen_at))
    assert "r1" not in cluster.decided
    cluster.now = resumed_at
    for _ in range(20):
        cluster.step()
    end = cluster.decided["r1"]
    assert not end.is_committed
    assert end.reason == reasons.Refusal.NOT_LEADER


def test_leader_without_a_majority_fails_a_read():
    cluster = fakes.Cluster(("a", "b", "c"))
    leader = cluster.elect()
    cluster.isolate(leader)
    read(cluster, leader, "r1")
    cluster.run(1.2)
    assert not cluster.decided["r1"].is_committed


def test_answers_to_earlier_messages_confirm_nothing():
    cluster = fakes.Cluster(("a", "b", "c"), delay_s=0.05)
    leader = cluster.elect()
    cluster.run_until(
        lambda: any(peer == leader for _, _, peer, _ in cluster.queue)
    )
    read(cluster, leader, "r1")
    cluster.cuts |= {(leader, other) for other in "abc"}
    cluster.run(0.5)
    assert "r1" not in cluster.decided


def test_reads_succeed_despite_lost_messages():
    cluster = fakes.Cluster(("a", "b", "c"), seed=3)
    cluster.elect()
    cluster.loss = 0.3
    done = 0
    for number in range(30):
        leader = cluster.leader or cluster.elect()
        read(cluster, leader, f"r{number}")
        cluster.run(0.9)
        done += cluster.decided[f"r{number}"].is_committed
    assert done >= 25
