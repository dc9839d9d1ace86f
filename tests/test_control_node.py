"""Control VMs together: first votes, replacement, orders, reads."""

import attrs

from ebonytally import actions
from ebonytally.agreement import control_runner
from ebonytally.configuration import machine as machines
from ebonytally.configuration import model
from ebonytally import control_node
from ebonytally import deployment
from ebonytally import recorder as recorders
from ebonytally.register import records
from ebonytally import settings
from ebonytally import wire
from tests import agreement_fakes as fakes
from tests import echo_bed as beds

STEP_S = 0.02
WALL = 1.7e9


def told(name, seeds, first):
    """Return what a control VM is told."""
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
        packets=None,
        readiness=None,
        orders=None,
        announce_s=1.0,
        flow_ttl_s=60.0,
        cold_slack=5.0,
        stop_s=3.0,
    )


class Cluster:
    """Control nodes joined by a network in virtual time."""

    def __init__(self, names, seeds):
        self.seeds = seeds
        self.now = 0.0
        self.starts = 0
        self.nodes = {}
        self.disks = {}
        self.cut = set()
        self.asleep = set()
        self.decided = {}
        self.recorder = recorders.MemoryRecorder()
        for name in names:
            self.start(name, first=True)

    def start(self, name, first=False, wiped=False):
        """Start a control VM, with an empty disk if `wiped`."""
        if wiped or name not in self.disks:
            self.disks[name] = fakes.Disk()
        self.starts += 1
        self.nodes[name] = control_node.ControlNode(
            told(name, self.seeds, first),
            self.disks[name],
            self.starts,
            self.recorder,
            control_runner.Inline(),
            self.now,
            WALL + self.now,
        )

    def stop(self, name):
        """End a control VM at once."""
        del self.nodes[name]
        self.disks[name].crash()

    def do(self, sender, out):
        """Deliver messages at once, unless a cut is between."""
        for action in out:
            if isinstance(action, actions.Decided):
                self.decided[action.token] = action
                continue
            peer = action.peer
            if peer not in self.nodes or peer in self.asleep:
                continue
            if (sender in self.cut) != (peer in self.cut):
                continue
            msg = wire.decode(fakes.KEY, self.frame(sender, action.msg))[1]
            kind = wire.kind_of(msg)
            out = self.nodes[peer].message(sender, msg, kind, self.now)
            self.do(peer, out)

    def frame(self, sender, msg):
        """Return a message as it goes over the wire."""
        return wire.encode(fakes.KEY, sender, msg)

    def run(self, seconds):
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for name in sorted(self.nodes):
                if name not in self.asleep:
                    wall = WALL + self.now
                    self.do(name, self.nodes[name].tick(self.now, wall))

    @property
    def leader(self):
        """Return the node that leads, None for none."""
        for name, node in self.nodes.items():
            if name in self.asleep or name in self.cut:
                continue
            if node.agreement.is_leader:
                return node
        return None

    def order(self, node, command):
        """Propose at a node; return whether it was applied in a second."""
        token = node.token()
        self.do(node.me, node.propose(token, command, self.now))
        self.run(1.0)
        end = self.decided.get(token)
        return end is not None and end.ok

    def read(self, node):
        """Read at a node; return the version, None when refused."""
        token = node.token()
        self.do(node.me, node.read(token, self.now))
        self.run(1.0)
        end = self.decided.get(token)
        if end is None or not end.ok:
            return None
        return node.machine.state.version


def put(version):
    """Return a command that replaces the configuration."""
    return model.configuration(version, beds.CONTENT, b"{}")


def started():
    """Return four control VMs of which the seeds name three."""
    cluster = Cluster("abcd", ("a", "b", "c"))
    cluster.run(6.0)
    assert cluster.leader is not None
    return cluster


def voting(cluster):
    """Return who has a vote, as the leader sees it."""
    return {v.name for v in cluster.leader.agreement.voters if v.voting}


def test_three_seeds_give_the_first_votes_and_the_fourth_joins():
    cluster = started()
    assert voting(cluster) == set("abcd")


def test_without_a_seed_nobody_forms_a_second_system():
    cluster = Cluster("abcd", ("a", "b", "c"))
    cluster.cut = {"a"}
    cluster.run(8.0)
    assert all(not n.agreement.is_leader for n in cluster.nodes.values())


def test_a_wiped_control_vm_votes_again_within_four_seconds():
    cluster = started()
    assert cluster.order(cluster.leader, put(3))
    for name in "abcd":
        cluster.stop(name)
        cluster.run(0.5)
        cluster.start(name, wiped=True)
        cluster.run(4.0)
        assert voting(cluster) == set("abcd")
        assert cluster.read(cluster.leader) == 3


def test_an_empty_control_vm_at_another_address_takes_the_place():
    cluster = started()
    assert cluster.order(cluster.leader, put(3))
    cluster.stop("a")
    cluster.run(1.0)
    cluster.start("e", wiped=True)
    cluster.run(12.0)
    assert voting(cluster) == set("bcde")
    cluster.stop("b")
    cluster.run(4.0)
    assert cluster.read(cluster.leader) == 3


def test_all_killed_at_once_keep_what_was_acknowledged():
    cluster = started()
    out = machines.DataCentreSet("north", True)
    assert cluster.order(cluster.leader, put(8))
    assert cluster.order(cluster.leader, out)
    for name in "abcd":
        cluster.stop(name)
    for name in "abcd":
        cluster.start(name)
    cluster.run(5.0)
    assert cluster.read(cluster.leader) == 8
    assert cluster.leader.machine.state.out == ("north",)


def test_a_leader_that_wakes_reads_nothing_old():
    cluster = started()
    assert cluster.order(cluster.leader, put(3))
    old = cluster.leader
    cluster.asleep = {old.me}
    cluster.run(5.0)
    assert cluster.order(cluster.leader, put(4))
    cluster.asleep = set()
    assert old.agreement.is_leader
    assert cluster.read(old) is None


def test_halves_refuse_changes_and_go_on_after_the_heal():
    cluster = started()
    leader = cluster.leader
    other = next(name for name in "abcd" if name != leader.me)
    cluster.cut = {leader.me, other}
    cluster.run(0.1)
    assert not cluster.order(leader, put(5))
    assert cluster.read(leader) is None
    cluster.run(3.0)
    cluster.cut = set()
    cluster.run(4.0)
    assert cluster.order(cluster.leader, put(6))
    assert cluster.read(cluster.leader) == 6


def test_an_announcement_at_one_reaches_all():
    cluster = started()
    node = cluster.nodes["d"]
    said = beds.announcement(1)
    cluster.do("d", node.announced(said, cluster.now))
    cluster.run(0.2)
    for other in cluster.nodes.values():
        assert other.register.get(said.id) is not None


def test_a_seed_that_lost_its_disk_never_stands_alone():
    cluster = started()
    for name in "bcd":
        cluster.stop(name)
    cluster.stop("a")
    cluster.start("a", wiped=True)
    cluster.run(10.0)
    assert cluster.leader is None


def test_all_killed_at_once_know_the_upstreams_again_at_once():
    """ajd-balancer, trouble-1: the first to announce got all new flows."""
    cluster = started()
    for number in range(1, 12):
        said = beds.announcement(number)
        cluster.do("d", cluster.nodes["d"].announced(said, cluster.now))
    left = cluster.nodes["d"].left(beds.announcement(1).id, 0, cluster.now)
    cluster.do("d", left)
    cluster.run(1.2)
    for name in "abcd":
        cluster.stop(name)
    cluster.now += 1.0
    for name in "abcd":
        cluster.start(name)
    for node in cluster.nodes.values():
        states = [one.record.state for one in node.register.entries()]
        assert states.count(records.State.READY) == 10
        assert states.count(records.State.GONE) == 1


def test_an_old_register_offers_no_upstream():
    cluster = started()
    said = beds.announcement(1)
    cluster.do("d", cluster.nodes["d"].announced(said, cluster.now))
    cluster.run(1.2)
    cluster.stop("d")
    cluster.now += 60.0
    cluster.start("d")
    entry = cluster.nodes["d"].register.get(said.id)
    assert entry.record.state == records.State.SILENT


def test_a_register_that_cannot_be_read_is_learned_anew():
    cluster = started()
    cluster.stop("d")
    cluster.disks["d"].replace("register", b"garbage")
    cluster.start("d")
    assert len(cluster.nodes["d"].register) == 0
    assert any(
        event.name == "REGISTER_NOT_KEPT"
        for event, _ in cluster.recorder.events
    )
