"""Tests of voter changes, lost disks, repair and recovery."""

import pytest

from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import recovery
from ebonytally import commands
from ebonytally import config
from ebonytally import errors
from ebonytally import events
from ebonytally import recorder
from ebonytally import view
from tests import agreement_fakes as fakes

NAMES = ("a", "b", "c")


def _others(cluster, name):
    return [other for other in cluster.nodes if other != name]


def _voting(node):
    return [voter.name for voter in node.voters if voter.voting]


def _want(cluster, names):
    for node in cluster.nodes.values():
        node.set_wanted_voters(names)


def _fill(cluster, start, count):
    for number in range(start, start + count):
        assert cluster.put(f"t{number}", f"v{number}").is_committed


def test_new_vm_is_learner_first_and_old_one_leaves():
    cluster = fakes.Cluster(NAMES)
    _fill(cluster, 0, 60)
    cluster.start("d")
    wanted = ("b", "c", "d")
    seen = set()

    def is_list_changed():
        _want(cluster, wanted)
        for node in cluster.nodes.values():
            seen.add(tuple((v.name, v.voting) for v in node.voters))
        return all(
            _voting(cluster.nodes[name]) == list(wanted) for name in wanted
        )

    cluster.run_until(is_list_changed)
    assert any(("d", False) in voters for voters in seen)
    sizes = {sum(voting for _, voting in voters) for voters in seen}
    assert sizes <= {0, 3, 4}
    assert cluster.machines["d"].values == cluster.machines["b"].values


def test_healthy_voter_stays_while_another_has_lost_its_disk():
    cluster = fakes.Cluster(NAMES)
    _fill(cluster, 0, 3)
    leader = cluster.elect()
    wiped, healthy = _others(cluster, leader)
    cluster.start(wiped, disk=fakes.Disk())
    cluster.run(1.5)
    wanted = tuple(name for name in NAMES if name != healthy)
    _want(cluster, wanted)
    cluster.run(2.0)
    assert healthy in _voting(cluster.nodes[leader])
    cluster.run_until(lambda: _voting(cluster.nodes[leader]) == [*wanted])
    _fill(cluster, 3, 3)


def test_removed_vm_rejoins_under_a_leader_unknown_to_it():
    cluster = fakes.Cluster(NAMES)
    _fill(cluster, 0, 3)
    cluster.crash("c")
    cluster.start("d")

    def voting_are(*names):
        _want(cluster, names)
        nodes = [cluster.nodes[name] for name in names]
        return all(_voting(node) == list(names) for node in nodes)

    cluster.run_until(lambda: voting_are("a", "b", "d"))
    node = cluster.nodes["d"]
    stand = messages.TimeoutNow(node.generation, node.term)
    cluster.run_actions("d", node.handle("a", stand, cluster.now))
    cluster.run(1.0)
    assert cluster.elect() == "d"
    cluster.start("c")
    cluster.run_until(lambda: voting_are("a", "b", "c", "d"))


def test_empty_disk_behind_a_compacted_log_gets_the_snapshot():
    cluster = fakes.Cluster(NAMES)
    _fill(cluster, 0, 100)
    leader = cluster.elect()
    wiped = _others(cluster, leader)[0]
    assert cluster.nodes[leader]._state.storage.first_index > 1
    cluster.start(wiped, disk=fakes.Disk())
    wanted = cluster.machines[leader].values

    def has_caught_up():
        values = cluster.machines[wiped].values
        assert values == wanted[: len(values)]
        return values == wanted

    cluster.run_until(has_caught_up)


def test_vm_with_an_empty_disk_has_no_vote_under_its_old_name():
    cluster = fakes.Cluster(NAMES)
    _fill(cluster, 0, 5)
    leader = cluster.elect()
    wiped, behind = _others(cluster, leader)
    cluster.isolate(behind)
    _fill(cluster, 5, 5)
    # Only `leader` and `wiped` had the last five entries: one is down,
    # the other has lost its disk.
    cluster.crash(leader)
    cluster.cuts.clear()
    cluster.start(wiped, disk=fakes.Disk())
    cluster.run(15.0)
    assert cluster.leader is None
    cluster.start(leader)
    cluster.run_until(lambda: len(_voting(cluster.nodes[leader])) == 3)
    cluster.run(8.0)
    for machine in cluster.machines.values():
        assert machine.values == [f"v{n}" for n in range(10)]


def test_vm_with_a_lost_disk_becomes_a_voter_again():
    cluster = fakes.Cluster(NAMES)
    _fill(cluster, 0, 60)
    leader = cluster.elect()
    wiped, third = _others(cluster, leader)
    old = {v.name: v.identity for v in cluster.nodes[leader].voters}
    cluster.start(wiped, disk=fakes.Disk())

    def has_new_voter():
        voters = cluster.nodes[leader].voters
        replaced = [v for v in voters if v.identity != old[v.name]]
        return replaced and replaced[0].voting

    cluster.run_until(has_new_voter)
    # A second VM is lost right after the repair.
    cluster.crash(third)
    _fill(cluster, 60, 5)
    assert len(cluster.machines[wiped].values) >= 64


def test_disk_lost_at_first_start_forms_no_second_history():
    cluster = fakes.Cluster(NAMES)
    cluster.run_until(lambda: any(n.is_leader for n in cluster.nodes.values()))
    cluster.start("c", disk=fakes.Disk())
    cluster.start("b", disk=fakes.Disk())
    cluster.run(20.0)
    heads = {n.voters for n in cluster.nodes.values() if n.commit_index}
    assert len(heads) <= 1


def test_leader_with_a_full_disk_is_replaced():
    cluster = fakes.Cluster(NAMES)
    _fill(cluster, 0, 5)
    first = cluster.elect()
    cluster.disks[first].full = True
    cluster.propose(first, "full", "x")
    assert cluster.decided["full"].reason == "storage_full"
    cluster.run(3.0)
    second = cluster.elect()
    assert second != first
    _fill(cluster, 5, 5)
    cluster.disks[first].full = False
    cluster.run(3.0)
    values = cluster.machines[second].values
    assert cluster.machines[first].values == values
    assert "x" not in values


def test_planned_stop_transfers_leadership_at_once():
    cluster = fakes.Cluster(NAMES)
    _fill(cluster, 0, 5)
    first = cluster.elect()
    began = cluster.now
    cluster.run_actions(
        first, cluster.nodes[first].transfer_leadership(cluster.now)
    )
    cluster.run_until(lambda: cluster.leader not in (None, first))
    assert cluster.now - began < 0.2


def test_one_surviving_copy_forms_voters_anew():
    cluster = fakes.Cluster(NAMES)
    _fill(cluster, 0, 30)
    for name in NAMES:
        cluster.crash(name)
    rec = recorder.MemoryRecorder()
    formed = recovery.form_voters_anew(cluster.disks["a"], "a", rec)
    assert formed.generation >= recovery.GENERATION_STEP
    assert any("b, c" in line for line in formed.missing)
    assert rec.events[-1][0] == events.Event.VOTERS_FORMED_ANEW
    for name in NAMES:
        cluster.start(name)
    cluster.run(5.0)
    assert cluster.leader == "a"
    assert cluster.nodes["b"].superseded and cluster.nodes["c"].superseded
    _fill(cluster, 30, 5)
    with pytest.raises(errors.StorageError, match="elsewhere"):
        recovery.form_voters_anew(cluster.disks["b"], "b", rec)
    for name in ("b", "c"):
        cluster.crash(name)
        recovery.repair(cluster.disks[name], rec, 5)
        cluster.start(name)

    def all_vote():
        _want(cluster, NAMES)
        return len(_voting(cluster.nodes["a"])) == 3

    cluster.run_until(all_vote)
    cluster.run(2.0)
    wanted = [f"v{n}" for n in range(35)]
    assert all(m.values == wanted for m in cluster.machines.values())


def test_of_two_copies_recovered_by_mistake_one_is_superseded():
    cluster = fakes.Cluster(NAMES)
    _fill(cluster, 0, 5)
    rec = recorder.MemoryRecorder()
    for name in NAMES:
        cluster.crash(name)
    for name in ("a", "b"):
        recovery.form_voters_anew(cluster.disks[name], name, rec)
        cluster.start(name)
    cluster.run(10.0)
    superseded = [n.superseded for n in cluster.nodes.values()]
    assert sorted(superseded) == [False, True]


def test_recovery_reuses_no_revision():
    copy = view.View(revision=100)
    ahead = view.View(revision=105, out=("d1",))
    formed = config.apply(copy, commands.Recovered(2))
    following = config.apply(formed, commands.DataCentreOut("d2"))
    assert following.revision > formed.revision > ahead.revision + 1000
    assert formed.config_revision == formed.revision
