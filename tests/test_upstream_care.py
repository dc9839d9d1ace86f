"""Tests of upstream management: warm-up, health, drain, slot grants."""

import copy
import functools

import pytest

from ebonytally import commands
from ebonytally import ports
from ebonytally import reasons
from ebonytally import settings
from ebonytally.upstreams import upstream_health
from ebonytally.upstreams import warmup
from ebonytally import view
from tests import upstream_fakes as fakes

Kind = ports.AttemptEnd
# Requests after which a stand-in upstream is no longer at its coldest.
COLD_REQUESTS = 10
UPSTREAMS = (("10.1.0.1", "dc-1"), ("10.1.0.2", "dc-2"), ("10.1.0.3", "dc-2"))


def announce_all(cluster, incarnation=1):
    """Announce all upstreams."""
    for address, data_centre in UPSTREAMS:
        cluster.announce(address, data_centre, incarnation=incarnation)


@functools.cache
def make_warm_cluster():
    """Return a cluster whose three upstreams are warm and idle."""
    cluster = fakes.Cluster()
    announce_all(cluster)
    cluster.commit_all()
    cluster.deliver_all()
    for _ in range(24):
        cluster.run_load(1.0)
        announce_all(cluster)
        cluster.commit_all()
    cluster.finish_all()
    advance_idle(cluster, 1.0)
    return cluster


@pytest.fixture
def cluster():
    """Return a copy of the warm cluster."""
    return copy.deepcopy(make_warm_cluster())


def advance_idle(cluster, seconds, announcing=True):
    """Advance the time without requests.

    :param announcing: the upstreams announce themselves meanwhile
    """
    for _ in range(round(seconds / 0.1)):
        cluster.advance(0.1)
        cluster.deliver_all(2)
        if announcing:
            announce_all(cluster)


def starts_since(cluster, since):
    """Return how many attempts each upstream got since a time."""
    return {
        upstream: sum(at > since for at in fake_upstream.starts)
        for upstream, fake_upstream in cluster.fake_upstreams.items()
    }


def test_all_slots_are_used_and_follow_demand(cluster):
    assert [cluster.warm_share(upstream) for upstream in (1, 2, 3)] == [
        1000
    ] * 3
    cluster.run_load(2.0)
    assert sum(cluster.in_progress(upstream) for upstream in (1, 2, 3)) == 6
    cluster.finish_all()
    for _ in range(40):
        cluster.request("vm-5")
        cluster.deliver_all(2)
        cluster.advance(0.02)
    assert sum(attempt.vm == "vm-5" for attempt in cluster.running) == 6
    assert cluster.violations == []


def test_view_gets_warm_shares_in_few_steps(cluster):
    shares = []
    for view_ in cluster.views:
        for upstream in view_.upstreams:
            if upstream.id == 1 and upstream.share not in shares[-1:]:
                shares.append(upstream.share)
    assert shares == [100, 250, 500, 1000]


def test_new_incarnation_is_cold_despite_good_health_pages(cluster):
    now = cluster.now
    cluster.announce("10.1.0.1", "dc-1", incarnation=2)
    cluster.deliver_all(2)
    for manager in cluster.managers.values():
        manager.on_health_page(1, True, cluster.now)
    cluster.run_load(0.5)
    assert starts_since(cluster, now)[1] == 0
    cluster.commit_all()
    cluster.run_load(1.0)
    (new,) = [
        upstream.id
        for upstream in cluster.view.upstreams
        if upstream.incarnation == 2
    ]
    assert cluster.warm_share(new) < 250
    assert cluster.violations == []


def test_replayed_announcements_are_refused(cluster):
    cluster.announce("10.1.0.1", "dc-1", incarnation=2)
    cluster.announce("10.1.0.1", "dc-1", incarnation=2, state="draining")
    replayed = reasons.Refusal.ANNOUNCEMENT_REPLAYED
    for incarnation in (1, 2):
        verdicts = cluster.announce(
            "10.1.0.1", "dc-1", incarnation=incarnation
        )
        assert {verdict.reason for verdict in verdicts} == {replayed}
    verdicts = cluster.announce("10.1.0.1", "dc-1", incarnation=3)
    assert {verdict.reason for verdict in verdicts} == {None}


def test_lost_connection_makes_a_warm_upstream_cold_for_all_vms(cluster):
    cluster.run_load(0.5)
    (attempt, *_) = [other for other in cluster.running if other.upstream == 1]
    cluster.finish(attempt, Kind.LOST)
    cluster.deliver_all(2)
    now = cluster.now
    cluster.run_load(0.2)
    assert cluster.warm_share(1) < 120
    assert starts_since(cluster, now)[1] == 0


def test_share_is_restored_only_if_the_incarnation_announces_itself():
    cfg = settings.Upstreams()
    for heard, share in ((False, 125), (True, 1000)):
        warm = warmup.Warmup(cfg, 2, 1000)
        warm.on_connection_lost(10.0)
        assert warm.attempt_limit(10.0) == 0
        for number in range(6):
            if heard:
                warm.on_announcement(11.0)
            warm.on_answers(1, 0.05, 11.0 + number)
        assert warm.share == share


def test_consecutive_slow_answers_make_an_upstream_cold():
    warm = warmup.Warmup(settings.Upstreams(), 2, 1000)
    warm.on_slow_answers(1, 0.5, 1.0)
    warm.on_answers(1, 0.05, 1.1)
    assert warm.share == 1000
    for number in range(3):
        warm.on_slow_answers(1, 0.5, 2.0 + number)
    assert warm.share == 100


def test_cold_upstream_gets_no_more_than_its_cold_share():
    """An upstream may handle only a tenth during its first requests."""
    cfg = settings.Upstreams()
    warm = warmup.Warmup(cfg, slots=2, share=cfg.cold_share)
    now = 0.0
    for _ in range(COLD_REQUESTS):
        now += 10.0
        warm.on_answers(1, 0.1, now)
        assert warm.share / warmup.PAUSE_MARGIN <= cfg.cold_share


def test_share_grows_with_answers_and_not_with_time():
    warm = warmup.Warmup(settings.Upstreams(), 2, 100)
    assert warm.attempt_limit(0.0) == warm.attempt_limit(1000.0) == 1
    warm.on_answers(1, 0.1, 1000.0)
    assert warm.attempt_limit(1000.3) == 0
    assert warm.attempt_limit(1000.6) == 1
    warm.on_shed(1001.0)
    assert warm.share == 104


def test_upstream_without_request_port_warms_up_with_time():
    cluster = fakes.Cluster()
    cluster.announce("10.1.0.1", "dc-1", request_port=0)
    cluster.commit_all()
    for _ in range(64):
        cluster.advance(0.5)
        cluster.announce("10.1.0.1", "dc-1", request_port=0)
        cluster.commit_all()
    (upstream,) = cluster.view.upstreams
    assert upstream.share == 1000


def test_draining_upstream_gets_no_new_requests_and_is_removed(cluster):
    cluster.run_load(0.5)
    (attempt, *_) = [other for other in cluster.running if other.upstream == 2]
    cluster.announce("10.1.0.2", "dc-2", state="draining", drain_s=1.0)
    cluster.deliver_all(1)
    now = cluster.now
    cluster.run_load(3.0)
    assert starts_since(cluster, now)[2] == 0
    if attempt in cluster.running:
        cluster.finish(attempt, Kind.ANSWERED)
    gone = commands.UpstreamGone(2, 1)
    assert gone in cluster.proposed


def test_upstream_is_removed_only_if_no_vm_of_its_data_centre_hears_it(
    cluster,
):
    cluster.proposed.clear()
    now = cluster.now
    while cluster.now < now + 6.0:
        upstream = cluster.managers["vm-1"]._registry.find(
            ("desk", "10.1.0.1", 7000)
        )
        cluster.cut.add("vm-2")
        cluster.announce("10.1.0.1", "dc-1")
        cluster.cut.clear()
        cluster.advance(0.2)
        cluster.advance(0.2)
        cluster.deliver_all(2)
    assert upstream is not None
    assert commands.UpstreamGone(1, 1) not in cluster.proposed
    assert commands.UpstreamGone(2, 1) in cluster.proposed


def test_cut_off_vms_use_only_their_own_data_centre(cluster):
    cluster.cut = {"vm-1", "vm-2"}
    cluster.advance(fakes.LEASE_S + 0.1)
    now = cluster.now
    for _ in range(20):
        for name in ("vm-1", "vm-2"):
            cluster.request(name)
        for index in reversed(range(len(cluster.net))):
            sender, peer, msg = cluster.net[index]
            del cluster.net[index]
            if {sender, peer} <= cluster.cut:
                manager = cluster.managers[peer]
                cluster.perform(peer, manager.handle(sender, msg, cluster.now))
        cluster.advance(0.05)
    assert starts_since(cluster, now) == {1: 1, 2: 0, 3: 0}


def test_vm_without_lease_uses_no_other_data_centre(cluster):
    cluster.leased["vm-5"] = False
    cluster.reach("vm-5")
    for _ in range(20):
        cluster.request("vm-5")
        cluster.deliver_all(2)
        cluster.advance(0.02)
    assert [
        attempt for attempt in cluster.running if attempt.vm == "vm-5"
    ] == []


def test_remote_grantor_waits_for_leases_and_grants_half(cluster):
    for name in ("vm-1", "vm-2"):
        cluster.kill(name)
        cluster.commit(commands.VmMarked(name, view.VmState.DOWN, 0))
    cluster.commit_all()
    now = cluster.now
    cluster.run_load(fakes.LEASE_S + fakes.LOAN_S)
    assert starts_since(cluster, now)[1] == 0
    cluster.run_load(5.0)
    assert starts_since(cluster, now)[1] > 0
    assert cluster.in_progress(1) <= 1
    assert cluster.violations == []


def test_grantor_changes_at_once_when_all_vms_are_heard(cluster):
    (grantor,) = {
        cluster.managers["vm-1"]._holder.grantor_of(1),
    }
    state = view.VmState.STOPPING
    cluster.commit(commands.VmMarked(grantor, state, 0))
    cluster.commit_all()
    now = cluster.now
    cluster.run_load(0.5)
    assert starts_since(cluster, now)[1] > 0
    assert cluster.violations == []


def test_upstreams_of_an_evacuated_data_centre_come_back_cold(cluster):
    cluster.commit(commands.DataCentreOut("dc-2"))
    cluster.commit_all()
    now = cluster.now
    cluster.run_load(1.0)
    assert starts_since(cluster, now) == {
        1: starts_since(cluster, now)[1],
        2: 0,
        3: 0,
    }
    cluster.commit_all()
    cluster.commit(commands.DataCentreBack("dc-2"))
    cluster.commit_all()
    now = cluster.now
    cluster.run_load(1.0)
    assert 0 < starts_since(cluster, now)[2] <= 4
    assert cluster.warm_share(2) < 250


def record_outcomes(health, upstream, is_ok, now=10.0, count=20):
    """Record outcomes of one upstream of seven."""
    peers = frozenset(range(1, 8))
    for _ in range(count):
        health.on_outcome(upstream, is_ok, peers, now)


def test_ejection_is_limited_to_a_share_of_the_service():
    health = upstream_health.Health(settings.Upstreams())
    for upstream in range(1, 8):
        record_outcomes(health, upstream, is_ok=False)
    ejected = [
        upstream
        for upstream in range(1, 8)
        if health.is_ejected(upstream, 10.1)
    ]
    assert ejected == [1, 2]
    assert not health.is_ejected(1, 15.1)


def test_own_outcomes_take_precedence_over_health_pages():
    peers = frozenset(range(1, 8))
    health = upstream_health.Health(settings.Upstreams())
    record_outcomes(health, 1, is_ok=True)
    for _ in range(9):
        health.on_health_page(1, False, peers, 11.0)
        health.on_health_page(2, False, peers, 11.0)
    assert not health.is_ejected(1, 11.1)
    assert health.is_ejected(2, 11.1)
    record_outcomes(health, 3, is_ok=False)
    health.on_health_page(3, True, peers, 11.0)
    assert health.is_ejected(3, 11.1)


def test_ejection_affects_only_the_vm_that_ejects(cluster):
    manager = cluster.managers["vm-5"]
    failed = ports.AttemptResult(Kind.ANSWERED, 0.1, 500)
    for _ in range(100):
        attempt = cluster.request("vm-5")
        if attempt and attempt.upstream == 1:
            cluster.running.remove(attempt)
            cluster.perform(
                "vm-5", manager.release_slot(1, failed, cluster.now)
            )
        cluster.advance(0.05)
        cluster.deliver_all(2)
    cluster.finish_all()
    assert manager._recorder.counts["upstream_ejected"] == 1
    now = cluster.now
    cluster.run_load(1.0)
    own_attempts = [
        attempt for attempt in cluster.running if attempt.vm == "vm-5"
    ]
    assert all(attempt.upstream != 1 for attempt in own_attempts)
    assert starts_since(cluster, now)[1] > 0


def fill_all_slots(cluster, name):
    """Give all slots of all upstreams to one VM; return its attempts."""
    cluster.finish_all()
    for _ in range(40):
        cluster.request(name)
        cluster.deliver_all(2)
        cluster.advance(0.02)
    return [attempt for attempt in cluster.running if attempt.vm == name]


def test_slots_of_a_lost_vm_are_kept_until_its_attempts_end(cluster):
    attempts = fill_all_slots(cluster, "vm-5")
    assert len(attempts) == 6
    for attempt in attempts:
        attempt.began = float("inf")
        attempt.deadline = cluster.now + fakes.LOAN_S + 0.3
    cluster.cut = {"vm-5"}
    now = cluster.now
    cluster.run_load(fakes.LOAN_S + 0.2)
    assert sum(starts_since(cluster, now).values()) == 0
    for attempt in attempts:
        attempt.began = now
    cluster.run_load(2.0)
    assert min(starts_since(cluster, now).values()) > 0
    assert cluster.violations == []


def test_late_and_old_reports_are_ignored(cluster):
    grantor_name = cluster.managers["vm-5"]._holder.grantor_of(1)
    reports = []
    deliver = cluster.deliver

    def spy(index, keep=False):
        sender, peer, msg = cluster.net[index]
        if (sender, peer) == ("vm-5", grantor_name) and hasattr(msg, "uses"):
            reports.append(msg)
        deliver(index, keep)

    cluster.deliver = spy
    fill_all_slots(cluster, "vm-5")
    grantor = cluster.managers[grantor_name]._grantor
    bound = grantor.endpoints[1].entries["vm-5"].bound
    for msg in reversed(reports[:-1]):
        grantor.handle_report("vm-5", msg, cluster.now)
    assert grantor.endpoints[1].entries["vm-5"].bound == bound == 2
    last_report = reports[-1]
    cluster.kill("vm-5")
    cluster.start("vm-5")
    cluster.request("vm-5")
    cluster.deliver_all(3)
    boot = grantor._holders["vm-5"].boot
    grantor.handle_report("vm-5", last_report, cluster.now)
    assert grantor._holders["vm-5"].boot == boot != last_report.boot
