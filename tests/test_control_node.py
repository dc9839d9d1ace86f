"""Several control VMs: first voters, replacement, proposals, reads."""

import attrs

from ebonytally import actions
from ebonytally.agreement import control_runner
from ebonytally.configuration import machine as machines
from ebonytally.configuration import model
from ebonytally import control_node
from ebonytally import deployment
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally import settings
from ebonytally import wire
from tests import agreement_fakes as fakes
from tests import echo_harness

STEP_S = 0.02
WALL = 1.7e9


def make_deployment(name, seeds, first):
    """Return the deployment settings of a control VM.

    :param first: whether the whole system starts for the first time
    """
    limits = settings.Control(
        catch_up_bytes_s=4 * 1024 * 1024,
        replaced_after_s=1.0,
        snapshot_entries=40,
    )
    cfg = attrs.evolve(fakes.make_settings(name, limits), control=True)
    return deployment.Deployment(
        name=name,
        role=deployment.Role.CONTROL,
        cfg=cfg,
        seeds=seeds,
        first_start=first,
        data_centres=frozenset({"north", "south"}),
        packet_endpoint=None,
        readiness_endpoint=None,
        orders_endpoint=None,
        announce_interval_s=1.0,
        flow_ttl_s=60.0,
        cold_slack=5.0,
        stop_timeout_s=3.0,
        max_connections=512,
    )


class Cluster:
    """Control nodes on a simulated network in virtual time.

    :ivar cut: names of the VMs partitioned from the others
    :ivar suspended: names of the VMs that neither receive nor tick
    """

    def __init__(self, names, seeds):
        self.seeds = seeds
        self.now = 0.0
        self.starts = 0
        self.nodes = {}
        self.disks = {}
        self.cut = set()
        self.suspended = set()
        self.outcomes = {}
        self.recorder = recorders.MemoryRecorder()
        for name in names:
            self.start(name, first=True)

    def start(self, name, first=False, wiped=False):
        """Start a control VM, with an empty disk if `wiped`."""
        if wiped or name not in self.disks:
            self.disks[name] = fakes.Disk()
        self.starts += 1
        self.nodes[name] = control_node.ControlNode(
            make_deployment(name, self.seeds, first),
            self.disks[name],
            self.starts,
            self.recorder,
            control_runner.InlineRunner(),
            self.now,
            WALL + self.now,
        )

    def stop(self, name):
        """Kill a control VM; its disk keeps what was synced."""
        del self.nodes[name]
        self.disks[name].crash()

    def perform(self, sender, actions_):
        """Perform a VM's actions: deliver messages, record outcomes.

        Messages arrive without delay, except over a partition.
        """
        for action in actions_:
            if isinstance(action, actions.ProposalResult):
                self.outcomes[action.token] = action
                continue
            peer = action.peer
            if peer not in self.nodes or peer in self.suspended:
                continue
            if (sender in self.cut) != (peer in self.cut):
                continue
            msg = wire.decode(fakes.KEY, self.frame(sender, action.msg))[1]
            kind = wire.kind_of(msg)
            replies = self.nodes[peer].handle(sender, msg, kind, self.now)
            self.perform(peer, replies)

    def frame(self, sender, msg):
        """Return a message as a frame on the wire."""
        return wire.encode(fakes.KEY, sender, msg)

    def run(self, seconds):
        """Advance the time; nodes tick every `STEP_S`."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for name in sorted(self.nodes):
                if name not in self.suspended:
                    wall = WALL + self.now
                    self.perform(name, self.nodes[name].tick(self.now, wall))

    @property
    def leader(self):
        """Return the node that leads the log, None if there is none."""
        for name, node in self.nodes.items():
            if name in self.suspended or name in self.cut:
                continue
            if node.agreement.is_leader:
                return node
        return None

    def propose(self, node, command):
        """Propose at a node; return whether it was applied within 1 s."""
        token = node.token()
        self.perform(node.local_vm, node.propose(token, command, self.now))
        self.run(1.0)
        outcome = self.outcomes.get(token)
        return outcome is not None and outcome.is_committed

    def read(self, node):
        """Read at a node; return the version, None if refused."""
        token = node.token()
        self.perform(node.local_vm, node.read(token, self.now))
        self.run(1.0)
        outcome = self.outcomes.get(token)
        if outcome is None or not outcome.is_committed:
            return None
        return node.machine.state.version


def put_command(version):
    """Return a command that replaces the configuration."""
    return model.configuration(version, echo_harness.CONTENT, b"{}")


def started_cluster():
    """Return a cluster of four control VMs, three of them seeds."""
    cluster = Cluster("abcd", ("a", "b", "c"))
    cluster.run(6.0)
    assert cluster.leader is not None
    return cluster


def voter_names(cluster):
    """Return the names of the leader's voting members."""
    return {
        voter.name for voter in cluster.leader.agreement.voters if voter.voting
    }


def test_three_seeds_form_the_log_and_the_fourth_vm_joins():
    cluster = started_cluster()
    assert voter_names(cluster) == set("abcd")


def test_no_leader_is_elected_while_a_seed_is_unreachable():
    cluster = Cluster("abcd", ("a", "b", "c"))
    cluster.cut = {"a"}
    cluster.run(8.0)
    assert all(not node.agreement.is_leader for node in cluster.nodes.values())


def test_a_wiped_control_vm_votes_again_within_four_seconds():
    cluster = started_cluster()
    assert cluster.propose(cluster.leader, put_command(3))
    for name in "abcd":
        cluster.stop(name)
        cluster.run(0.5)
        cluster.start(name, wiped=True)
        cluster.run(4.0)
        assert voter_names(cluster) == set("abcd")
        assert cluster.read(cluster.leader) == 3


def test_an_empty_control_vm_at_a_new_address_replaces_a_lost_voter():
    cluster = started_cluster()
    assert cluster.propose(cluster.leader, put_command(3))
    cluster.stop("a")
    cluster.run(1.0)
    cluster.start("e", wiped=True)
    cluster.run(12.0)
    assert voter_names(cluster) == set("bcde")
    cluster.stop("b")
    cluster.run(4.0)
    assert cluster.read(cluster.leader) == 3


def test_acknowledged_changes_survive_a_kill_of_all_control_vms():
    cluster = started_cluster()
    command = machines.DataCentreSet("north", True)
    assert cluster.propose(cluster.leader, put_command(8))
    assert cluster.propose(cluster.leader, command)
    for name in "abcd":
        cluster.stop(name)
    for name in "abcd":
        cluster.start(name)
    cluster.run(5.0)
    assert cluster.read(cluster.leader) == 8
    assert cluster.leader.machine.state.out == ("north",)


def test_a_suspended_leader_serves_no_stale_read():
    cluster = started_cluster()
    assert cluster.propose(cluster.leader, put_command(3))
    old = cluster.leader
    cluster.suspended = {old.local_vm}
    cluster.run(5.0)
    assert cluster.propose(cluster.leader, put_command(4))
    cluster.suspended = set()
    assert old.agreement.is_leader
    assert cluster.read(old) is None


def test_a_leader_without_a_quorum_refuses_until_the_partition_heals():
    cluster = started_cluster()
    leader = cluster.leader
    other = next(name for name in "abcd" if name != leader.local_vm)
    cluster.cut = {leader.local_vm, other}
    cluster.run(0.1)
    assert not cluster.propose(leader, put_command(5))
    assert cluster.read(leader) is None
    cluster.run(3.0)
    cluster.cut = set()
    cluster.run(4.0)
    assert cluster.propose(cluster.leader, put_command(6))
    assert cluster.read(cluster.leader) == 6


def test_an_announcement_at_one_control_vm_reaches_all():
    cluster = started_cluster()
    node = cluster.nodes["d"]
    announcement = echo_harness.announcement(1)
    cluster.perform("d", node.on_announcement(announcement, cluster.now))
    cluster.run(0.2)
    for other in cluster.nodes.values():
        assert other.registry.get(announcement.id) is not None


def test_a_seed_with_an_empty_disk_never_elects_itself_alone():
    cluster = started_cluster()
    for name in "bcd":
        cluster.stop(name)
    cluster.stop("a")
    cluster.start("a", wiped=True)
    cluster.run(10.0)
    assert cluster.leader is None


def test_the_registry_survives_a_kill_of_all_control_vms():
    """Otherwise the first upstreams to announce would get all new flows."""
    cluster = started_cluster()
    for number in range(1, 12):
        announcement = echo_harness.announcement(number)
        cluster.perform(
            "d", cluster.nodes["d"].on_announcement(announcement, cluster.now)
        )
    actions_ = cluster.nodes["d"].on_deregistration(
        echo_harness.announcement(1).id, 0, cluster.now
    )
    cluster.perform("d", actions_)
    cluster.run(1.2)
    for name in "abcd":
        cluster.stop(name)
    cluster.now += 1.0
    for name in "abcd":
        cluster.start(name)
    for node in cluster.nodes.values():
        states = [entry.record.state for entry in node.registry.entries()]
        assert states.count(records.State.READY) == 10
        assert states.count(records.State.GONE) == 1


def test_upstreams_of_an_outdated_saved_registry_are_silent():
    cluster = started_cluster()
    announcement = echo_harness.announcement(1)
    cluster.perform(
        "d", cluster.nodes["d"].on_announcement(announcement, cluster.now)
    )
    cluster.run(1.2)
    cluster.stop("d")
    cluster.now += 60.0
    cluster.start("d")
    entry = cluster.nodes["d"].registry.get(announcement.id)
    assert entry.record.state == records.State.SILENT


def test_an_unreadable_saved_registry_starts_empty():
    cluster = started_cluster()
    cluster.stop("d")
    cluster.disks["d"].replace("register", b"garbage")
    cluster.start("d")
    assert len(cluster.nodes["d"].registry) == 0
    assert any(
        event.name == "REGISTER_NOT_KEPT"
        for event, _ in cluster.recorder.events
    )


def test_a_late_copy_of_an_order_never_undoes_a_later_one():
    """The old leader kept a copy and proposed it to its successor.

    The operator had repeated the order there and since withdrawn it.
    """
    cluster = started_cluster()
    old = cluster.leader
    out = machines.DataCentreSet("north", True)
    back = machines.DataCentreSet("north", False)
    cluster.cut = {old.local_vm}
    actions_ = old.propose("copy", out, cluster.now)
    cluster.perform(old.local_vm, actions_)
    while cluster.leader is None:
        cluster.run(0.1)
    assert cluster.propose(cluster.leader, out)
    assert cluster.propose(cluster.leader, back)
    cluster.cut = set()
    cluster.run(6.0)
    assert cluster.leader.machine.state.out == ()


def test_an_order_at_a_control_vm_that_does_not_lead_is_refused_at_once():
    cluster = started_cluster()
    follower = next(
        node for node in cluster.nodes.values() if not node.agreement.is_leader
    )
    actions_ = follower.propose("copy", put_command(9), cluster.now)
    (result,) = actions_
    assert not result.is_committed


def test_leadership_is_transferred_at_a_stop_during_a_burst_of_orders():
    """No voter had the whole log at the moment of the signal."""
    cluster = started_cluster()
    leader = cluster.leader
    others = set("abcd") - {leader.local_vm}
    cluster.suspended = others
    actions_ = leader.propose("order", put_command(9), cluster.now)
    cluster.perform(leader.local_vm, actions_)
    cluster.perform(leader.local_vm, leader.stop(cluster.now))
    cluster.suspended = set()
    cluster.run(1.0)
    assert cluster.leader is not None
    assert cluster.leader is not leader
    cluster.run(0.5)
    assert cluster.outcomes["order"].is_committed


def test_the_registry_is_saved_once_a_full_disk_has_room():
    cluster = started_cluster()
    node = cluster.nodes["d"]
    announcement = echo_harness.announcement(1)
    cluster.disks["d"].full = True
    cluster.perform("d", node.on_announcement(announcement, cluster.now))
    cluster.run(1.2)
    cluster.disks["d"].make_room()
    cluster.run(1.2)
    cluster.stop("d")
    cluster.start("d")
    assert cluster.nodes["d"].registry.get(announcement.id) is not None


def test_a_control_vm_that_was_paused_takes_no_upstream_for_silent():
    """The announcements that it missed wait in its sockets."""
    cluster = started_cluster()
    node = cluster.nodes["d"]
    for number in range(1, 4):
        announcement = echo_harness.announcement(number)
        cluster.perform("d", node.on_announcement(announcement, cluster.now))
    cluster.run(0.2)
    cluster.suspended = {"d"}
    cluster.run(3.5)
    cluster.suspended = set()
    cluster.run(0.2)
    states = {entry.record.state for entry in node.registry.entries()}
    assert states == {records.State.READY}
