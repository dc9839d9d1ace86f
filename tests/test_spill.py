"""Load that leaves a data centre: balance, gradual change, failures."""

import itertools
import json
import math
import random
import statistics

import attrs
import pytest

from ebonytally.echo import placing
from ebonytally import entry_node
from ebonytally.load import messages
from ebonytally.load import settings
from ebonytally.load import spill
from ebonytally import recorder as recorders
from tests import echo_harness
from tests import spill_site
from tests import test_control_node as control_tests

SITE = {"north": 10, "south": 10, "east": 10, "west": 10}
QUIET = {"south": 250.0, "east": 250.0, "west": 250.0}
SHORT = {"north": 750.0, **QUIET}


def make_site(demand=SHORT, upstreams=SITE, **options):
    """Return a site with a demand that has not begun."""
    site = spill_site.Site(upstreams, **options)
    site.demand = dict(demand)
    return site


def run_and_sample(site, seconds):
    """Run; return the time and the share of north at each tick."""
    samples = []
    site.run(seconds, lambda: samples.append((site.now, site.share("north"))))
    return samples


def largest_step(samples):
    """Return the largest change of the share within 0.5 s."""
    shares = [share for _, share in samples]
    return max(abs(b - a) for a, b in zip(shares, shares[10:], strict=False))


def mean_wait_s(site, home, since):
    """Return the mean wait of a data centre's callers."""
    return statistics.mean(site.waits(home, since)[0])


def assert_no_more(before, after):
    """Check two counts: not even two standard errors above `before`."""
    assert after <= before + 2.0 * math.sqrt(before + after)


def reasons(site, home="north"):
    """Return the reasons at which the first VM's load began or ended."""
    return [
        (fields["leaves"], fields["reason"])
        for event, fields in site.vms[home][0].recorder.events
        if event.name == "SPILL_TURNED"
    ]


def test_callers_of_a_short_data_centre_wait_like_others():
    # Failure: demand of 1.5 times home's room waits at home.
    before, after = (make_site(with_spill=on) for on in (False, True))
    for site in (before, after):
        site.run(12.0)
    assert mean_wait_s(before, "north", 5.0) > 0.04
    elsewhere = [mean_wait_s(after, home, 5.0) for home in QUIET]
    assert mean_wait_s(after, "north", 5.0) <= max(elsewhere) + 0.003
    used = after.utilisation(5.0)
    mean = statistics.mean(used.values())
    assert max(used.values()) <= 1.1 * mean
    assert all(after.left(home, 5.0) < 0.01 for home in QUIET)
    assert reasons(after) == [(True, "home_short")]


@pytest.mark.parametrize("part", [0.4, 0.65])
def test_nothing_leaves_below_the_threshold(part):
    # Failure: load crosses data centres although home has room.
    site = make_site({"north": part * 500.0, **QUIET})
    site.run(8.0)
    assert site.left("north", 3.0) < 0.01
    assert reasons(site) == []


@pytest.mark.parametrize("demand", [350.0, 355.0, 370.0])
def test_the_event_is_rare_near_the_threshold(demand):
    # Failure: the log fills up because figures vary by chance.
    site = make_site({"north": demand, **QUIET}, vms=2)
    tell = site.figures.tell
    rng = random.Random(1)

    def tell_roughly(demand, now):
        north = rng.gauss(demand["north"], 0.05 * demand["north"])
        tell({**demand, "north": north}, now)

    site.figures.tell = tell_roughly
    site.run(30.0)
    # At most one begin and one end in so short a time.
    assert len(reasons(site)) <= 2


def test_a_small_data_centre_behaves_as_before_at_ordinary_load():
    # Failure: one upstream at home is used although others are free.
    upstreams = {"north": 1, "south": 10}
    demand = {"north": 30.0, "south": 100.0}
    before, after = (
        make_site(demand, upstreams, with_spill=on) for on in (False, True)
    )
    for site in (before, after):
        site.run(8.0)
    assert before.done == after.done


def test_no_data_centre_pushes_its_overload_on_when_all_are_short():
    # Failure: callers of a data centre with less demand lose their room.
    site = make_site(
        {"north": 1000.0, "south": 490.0}, {"north": 10, "south": 10}
    )
    site.run(8.0)
    assert site.left("north", 4.0) < 0.01
    assert site.left("south", 4.0) < 0.01


@pytest.mark.parametrize(
    ("demand", "others", "silent"), [(400.0, 425.0, 5), (390.0, 400.0, 0)]
)
def test_flows_kept_at_home_leave_before_figures_show(demand, others, silent):
    # Failure: half of home's upstreams fall silent, or a burst arrives,
    # while other data centres have room.
    refused = []
    for on in (False, True):
        site = make_site(
            {"north": demand, **dict.fromkeys(QUIET, others)}, with_spill=on
        )
        site.run(6.0)
        site.silent.update(list(site.upstreams)[:silent])
        site.demand["north"] = demand if silent else 750.0
        site.run(4.0)
        refused.append(site.waits("north", 6.0)[1])
    assert_no_more(*refused)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_shares_settle_within_three_seconds_and_return_without_a_jump(seed):
    # Failure: shares swing with figures that are one second old.
    site = make_site({"north": 250.0, **QUIET}, seed=seed)
    site.run(4.0)
    site.demand["north"] = 750.0
    rise = run_and_sample(site, 9.0)
    final = rise[-1][1]
    settled = [share for at, share in rise if at > 7.0]
    assert max(settled) - min(settled) < 0.05 * final
    assert max(share for _, share in rise) < 1.05 * final
    site.demand["north"] = 250.0
    fall = run_and_sample(site, 6.0)
    assert largest_step(rise + fall) < 0.35
    assert all(share < 0.05 * final for at, share in fall if at > 16.0)
    assert all(share < 0.01 for at, share in fall if at > 17.0)
    assert reasons(site)[-1] == (False, "home_has_room")


def test_shares_follow_a_wave_without_swinging():
    # Failure: a delay in the figures makes a rising demand oscillate.
    site = make_site({"north": 500.0, **QUIET})
    shares = []
    for step in range(60):
        site.demand["north"] = 500.0 + 5.0 * step
        site.run(0.2)
        shares.append(site.share("north"))
    assert all(b > a - 0.01 for a, b in itertools.pairwise(shares[15:]))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_wave_out_of_phase_is_served_although_figures_lag_behind(seed):
    # Failure: home or a receiver is full before the figures show it. Others
    # always have room, so the shares mustn't cost a single refusal.
    refused = []
    for on in (False, True):
        site = make_site(dict.fromkeys(SITE, 0.0), with_spill=on, seed=seed)
        for _ in range(250):
            for place, home in enumerate(SITE):
                phase = 2 * math.pi * (site.now / 17 + place / 4)
                site.demand[home] = 375.0 * (1 + 0.55 * math.sin(phase))
            site.run(0.1)
        refused.append(sum(site.waits(home, 8.0)[1] for home in SITE))
    assert_no_more(*refused)
    assert max(mean_wait_s(site, home, 8.0) for home in SITE) < 0.032


def test_shares_are_in_the_order_of_names():
    # Failure: draws differ between processes by the hash of strings.
    names = [f"dc-{number:02}" for number in range(20)]
    decision = spill.Decision(
        spill.Reason.HOME_SHORT, 1.0, dict.fromkeys(reversed(names), 0.01)
    )
    state = spill._State(decision)
    state.step(1.0, 1.0)
    assert list(state.shares) == names


def test_entry_vms_do_not_act_in_step():
    # Failure: all entry VMs change their shares at the same moment.
    site = make_site(vms=12)
    changed_at = {}

    def note():
        for number, vm in enumerate(site.vms["north"]):
            shares = vm.spill.remote_shares(spill_site.DESK, 2, site.now)
            changed_at.setdefault((number, sum(shares.values())), site.now)

    site.run(4.0, note)
    moves = [at for (_, share), at in changed_at.items() if share]
    assert max(moves.count(at) for at in set(moves)) <= 8


def test_a_cut_link_returns_its_share_home_at_once():
    # Failure: the way to one data centre is cut.
    site = make_site()
    site.run(5.0)
    site.cut.add("south")
    site.run(0.5)
    for vm in site.vms["north"]:
        shares = vm.spill.remote_shares(spill_site.DESK, 2, site.now)
        assert "south" not in shares
        home_share = vm.spill.home_share(spill_site.DESK, 2, site.now)
        assert home_share + sum(shares.values()) == pytest.approx(1, abs=0.05)
    site.run(10.0)
    assert site.share("north") > 0.4


def test_silent_upstreams_at_home_do_not_end_the_shares():
    # Failure: two upstreams at home are down and not yet known as silent.
    site = make_site()
    site.run(5.0)
    home = [id_ for id_, up in site.upstreams.items() if up.home == "north"]
    for vm in site.vms["north"]:
        for id_ in home[:2]:
            vm.ways.on_silence(id_, site.now)
    site.run(1.0)
    assert site.share("north") > 0.45


def test_a_retry_leaves_the_data_centre_that_did_not_answer():
    # Failure: an opening is sent again over a link that has just been cut.
    site = make_site()
    site.run(5.0)
    vm = site.vms["north"][0]
    south = [id_ for id_, up in site.upstreams.items() if up.home == "south"]
    for _ in range(200):
        chosen = vm.placing.choose(spill_site.DESK, 2, (south[0],), site.now)
        assert chosen.data_centre != "south"


def test_an_evacuated_data_centre_gets_nothing():
    # Failure: one data centre is taken out of service.
    site = make_site()
    site.run(5.0)
    site.set_view(out=frozenset({"south"}), out_revision=1)
    site.run(0.1)
    assert not any(
        "south" in vm.spill.remote_shares(spill_site.DESK, 2, site.now)
        for vm in site.vms["north"]
    )
    began = site.now
    site.run(5.0)
    assert "south" not in {to for at, _, to, _ in site.done if at > began}


def test_callers_of_an_evacuated_data_centre_go_where_room_is():
    # Failure: home is taken out of service, others are unequally loaded.
    demand = {"north": 250.0, "south": 350.0, "east": 100.0, "west": 100.0}
    site = make_site(demand)
    site.set_view(out=frozenset({"north"}), out_revision=1)
    site.run(8.0)
    used = site.utilisation(4.0)
    assert used["south"] < 0.8
    assert site.waits("north", 4.0)[1] == 0
    assert reasons(site) == [(True, "none_at_home")]
    json.dumps(site.vms["north"][0].recorder.events[-1][1], allow_nan=False)


def test_a_service_only_elsewhere_is_served():
    # Failure: home has no upstream of the service, with and without figures.
    site = make_site({"north": 100.0, "south": 0.0}, {"south": 10})
    site.vms["north"] = [spill_site.EntryVm(site, "north", 7, True)]
    site.run(4.0)
    assert site.left("north", 0.0) == 1.0
    assert site.waits("north", 0.0)[1] == 0


def test_lost_figures_fade_into_the_choice_as_before():
    # Failure: no control VM answers, so that figures get old.
    site = make_site()
    site.run(6.0)
    site.figures.lost = True
    fade = run_and_sample(site, 8.0)
    assert largest_step(fade) < 0.3
    vm = site.vms["north"][0]
    assert vm.spill.remote_shares(spill_site.DESK, 2, site.now) == {}
    assert vm.spill.home_share(spill_site.DESK, 2, site.now) == 0.0
    assert reasons(site)[-1] == (False, "no_figures")


def test_a_data_centre_whose_demand_is_missing_does_not_look_idle():
    # Failure: the reports of one data centre are lost for a moment.
    site = make_site()
    site.run(6.0)
    before = site.share("north")
    tell = site.figures.tell
    partial = {name: SHORT[name] for name in ("north", "east", "west")}
    site.figures.tell = lambda demand, now: tell(partial, now)
    site.run(3.0)
    assert site.share("north") == pytest.approx(before, abs=0.02)


def test_home_missing_from_figures_is_like_missing_figures():
    # Failure: home's own report is lost for a second.
    lowest = []
    for is_partial in (False, True):
        site = make_site()
        site.figures.delay_s = 0.0
        site.run(6.0)
        tell = site.figures.tell
        site.figures.lost = not is_partial
        if is_partial:
            site.figures.tell = lambda demand, now, tell=tell: tell(QUIET, now)
        samples = run_and_sample(site, 1.0)
        site.figures.lost = False
        site.figures.tell = tell
        samples += run_and_sample(site, 3.0)
        lowest.append(min(share for _, share in samples))
    assert lowest[1] == pytest.approx(lowest[0], abs=0.02)
    assert samples[-1][1] == pytest.approx(0.5, abs=0.02)


def test_an_entry_vm_that_has_just_started_joins_gradually():
    # Failure: an entry VM restarts while load leaves.
    site = make_site()
    site.run(6.0)
    vm = spill_site.EntryVm(site, "north", 99, True)
    site.vms["north"].append(vm)
    shares = []

    def note():
        shares.append(
            sum(vm.spill.remote_shares(spill_site.DESK, 2, site.now).values())
        )

    assert vm.spill.remote_shares(spill_site.DESK, 2, site.now) == {}
    site.run(3.0, note)
    assert shares[0] < 0.3
    assert shares[-1] == pytest.approx(site.share("north"), abs=0.03)


def test_nothing_leaves_while_the_way_costs_more_than_the_queue():
    # Failure: a data centre is reached only over a long way.
    site = make_site({"north": 450.0, **QUIET})
    site.way_s = 0.4
    site.run(10.0)
    assert site.left("north", 6.0) < 0.05
    assert site.vms["north"][0].spill.decision(spill_site.DESK).reason == (
        spill.Reason.WAY
    )


def test_a_route_whose_timeout_the_way_exceeds_stays_at_home():
    # Failure: callers get their answer from elsewhere after the timeout.
    route = attrs.evolve(
        echo_harness.ROUTE, target_latency_s=0.1, timeout_s=0.2
    )
    site = make_site(routes=(route,))
    site.way_s = 0.3
    site.run(8.0)
    assert site.share("north") == 0.0
    # The way isn't known before the first flows went there.
    assert reasons(site)[-1:] in ([], [(False, "home_short")])


@pytest.mark.parametrize(
    ("others", "reason"), [(425.0, "below_mean"), (600.0, "none_elsewhere")]
)
def test_reason_tells_a_data_centre_below_the_mean_from_full_ones(
    others, reason
):
    # Failure: an operator adds upstreams although others have room.
    site = make_site({"north": 400.0, **dict.fromkeys(QUIET, others)})
    site.run(3.0)
    decision = site.vms["north"][0].spill.decision(spill_site.DESK)
    assert decision.reason == reason


def test_late_answers_elsewhere_are_for_what_exceeds_home_s_room():
    # Failure: the limit counts for each of three receivers, not in total.
    route = attrs.evolve(
        echo_harness.ROUTE, target_latency_s=0.1, timeout_s=5.0
    )
    site = make_site(routes=(route,))
    site.way_s = 0.1
    site.run(8.0)
    shares = site.vms["north"][0].spill.remote_shares("desk", 2, site.now)
    assert list(shares.values()) == pytest.approx([1 / 9] * 3, abs=0.01)


def test_the_lowest_priority_leaves_first():
    # Failure: requests of a high priority lose time on the way.
    high = attrs.evolve(
        echo_harness.ROUTE, name="r-2", address="198.18.0.2", priority=1
    )
    site = make_site(
        {"north": 600.0, **QUIET}, routes=(echo_harness.ROUTE, high)
    )
    site.run(6.0)
    assert site.share("north", priority=2) > 0.6
    assert site.share("north", priority=1) < 0.05


def test_names_that_the_registry_forgot_are_forgotten():
    # Failure: tables grow with every name of a service or data centre.
    site = make_site()
    vm = site.vms["north"][0]
    for number in range(5):
        change = {"service": f"s-{number}", "data_centre": f"dc-{number}"}
        record = attrs.evolve(echo_harness.announcement(999), **change)
        site.registry.on_announcement(
            attrs.evolve(record, born_ms=2000 + number), site.now
        )
        vm.ways.on_opened(record.id, 0.008, site.now)
        site.run(1.0)
    # Shares of services without upstreams fade first.
    site.run(8.0)
    assert len(vm.ways._ways) <= 5
    assert len(vm.spill._latest_demand) <= 2


@pytest.mark.parametrize("is_enabled", [True, False])
def test_an_entry_node_sends_load_away_unless_switched_off(is_enabled):
    # Failure: the real capacity or shared load isn't connected, or the
    # setting has no effect. The figures say 10 times the room of north.
    base = control_tests.make_deployment("e1", ("c1",), False)
    node = entry_node.EntryNode(
        attrs.evolve(
            base,
            cfg=attrs.evolve(base.cfg, data_centre="north"),
            load=settings.Load(spill=is_enabled),
        ),
        recorders.MemoryRecorder(),
        1,
    )
    control = echo_harness.ControlVm("c1")
    control.apply_configuration(2)
    for number in range(1, 21):
        home = "north" if number <= 2 else "south"
        record = echo_harness.announcement(number, data_centre=home)
        control.registry.on_announcement(record, 0.0)
    north = {f"i-{number:08x}" for number in (1, 2)}
    demand = messages.ServiceDemand("desk", (100000.0, 100.0))

    def perform(out, now):
        for action in out:
            msg = action.msg
            if isinstance(msg, messages.LoadReport):
                summary = messages.LoadSummary(
                    msg.sent_ms, 0.0, ("north", "south"), (demand,)
                )
                perform(node.handle("c1", summary, now), now)
                continue
            for reply in control.handle("e1", msg, now):
                perform(node.handle("c1", reply.msg, now), now)

    def send(caller, now, **change):
        (sent,), out = node.handle_packet(
            echo_harness.packet(caller, **change), now
        )
        perform(out, now)
        return sent

    flows, chosen = {}, []
    for step in range(300):
        now = 0.02 * step
        perform(node.tick(now)[1], now)
        if not node.is_ready():
            continue
        sent = send(step, now, is_opening=True)
        flows[step] = sent.cookie
        chosen.append(sent.id)
        for age, change in (
            (1, {"size": 40}),
            (3, {"ack": 2000}),
            (4, {"ack": 2000, "is_end": True}),
        ):
            if step - age in flows:
                send(step - age, now, cookie=flows[step - age], **change)
    left = sum(id_ not in north for id_ in chosen[-100:])
    assert left > 70 if is_enabled else left < 5


def test_switched_off_it_decides_nothing():
    # Failure: the setting has no effect.
    site = make_site(with_spill=False)
    site.run(3.0)
    assert site.share("north") == 0.0
    assert reasons(site) == []


def test_a_choice_by_shares_examines_few_of_many_upstreams():
    # Failure: each choice or decision costs time at large fleets.
    site = make_site(
        {"north": 54000.0, "south": 18000.0}, dict.fromkeys(SITE, 725), vms=1
    )
    vm = site.vms["north"][0]
    measured = []
    speed = spill_site.Speeds.speed
    capacity = spill_site.Speeds()
    capacity.speed = lambda id_, now: (
        measured.append(now) or speed(capacity, id_, now)
    )
    vm.spill._rooms._capacity = capacity
    examined = []
    load = vm.placing.load
    vm.placing.load = lambda id_: examined.append(id_) or load(id_)
    for _ in range(200):
        site.now += 0.05
        site.figures.tell(site.demand, site.now)
        vm.spill.tick(site.now)
        vm.placing.choose(spill_site.DESK, 2, (), site.now)
    assert site.share("north") > 0.4
    assert len(examined) / 200 <= 2 * 2 * placing.MAX_EXAMINED
    assert len(measured) <= 11 * 2900
