"""Forwarding by cookies: chosen upstreams, resets and refusals."""

import collections

import attrs

from ebonytally.configuration import model
from ebonytally.echo import cookies
from ebonytally.echo import packets
from tests import echo_harness as harness


def test_entry_vms_with_different_views_send_a_flow_to_the_same_upstream():
    control, outdated_vm = harness.make_harness(upstreams=2)
    fresh_vm = harness.EntryVm("e2", [control], seed=9)
    fresh_vm.run(1.0)
    flows = {caller: fresh_vm.open(caller) for caller in range(50)}
    outdated_vm.unreachable = {"c1"}
    control.registry.on_announcement(harness.announcement(3), fresh_vm.now)
    control.registry.on_announcement(
        harness.announcement(1, sequence=2, draining=True), fresh_vm.now
    )
    control.apply_configuration(3)
    fresh_vm.run(1.0)
    for caller, (id_, cookie) in flows.items():
        for entry in (outdated_vm, fresh_vm):
            (out,) = entry.packet(caller, cookie=cookie, size=10)
            assert (out.id, out.cookie) == (id_, None)


def test_packet_with_an_unknown_cookie_is_dropped_until_the_next_update():
    control, entry = harness.make_harness()
    entry.unreachable = {"c1"}
    control.registry.on_announcement(harness.announcement(9), entry.now)
    record = control.registry.get("i-00000009").record
    cookie = cookies.cookie_of(record)
    assert entry.packet(5, cookie=cookie) == []
    assert entry.forwarder.needs_update
    entry.unreachable = set()
    entry.deliver(entry.follower.poll_now(entry.now + 0.2))
    (out,) = entry.packet(5, cookie=cookie)
    assert out.id == record.id


def test_silent_upstream_keeps_its_flows_and_gets_no_new_ones():
    control, entry = harness.make_harness(upstreams=2)
    id_, cookie = entry.open(1)
    silent_entry = control.registry.get(id_)
    silent_entry.heard_at = -10.0
    control.registry.mark_silent_upstreams(frozenset(), entry.now - 1.0)
    entry.run(1.0)
    (out,) = entry.packet(1, cookie=cookie, size=5)
    assert out.id == id_
    assert {entry.open(caller)[0] for caller in range(10, 30)} != {id_}
    assert id_ not in {entry.open(caller)[0] for caller in range(30, 60)}


def test_flow_of_a_removed_upstream_is_reset():
    control, entry = harness.make_harness()
    id_, cookie = entry.open(1)
    control.registry.on_deregistration(id_, 0, entry.now)
    entry.run(1.0)
    (out,) = entry.packet(1, cookie=cookie, size=5)
    assert isinstance(out, packets.Reset)


def test_draining_and_taken_out_upstreams_keep_flows_and_get_no_new_ones():
    control, entry = harness.make_harness(upstreams=2)
    other = harness.announcement(3, data_centre="south")
    control.registry.on_announcement(other, entry.now)
    entry.run(1.0)
    flows = {caller: entry.open(caller) for caller in range(30)}
    control.machine.apply(harness.machines.DataCentreSet("south", True))
    drained = harness.announcement(1, sequence=2, draining=True)
    control.registry.on_announcement(drained, entry.now)
    entry.run(1.0)
    for caller, (id_, cookie) in flows.items():
        (out,) = entry.packet(caller, cookie=cookie)
        assert out.id == id_
    new = {entry.open(caller)[0] for caller in range(100, 130)}
    assert new == {"i-00000002"}


def test_unknown_route_is_reset_only_with_a_fresh_configuration():
    control, entry = harness.make_harness()
    unknown_route = {
        "service_address": b"\xc6\x12\x00\x09\x01\xbb",
        "is_opening": True,
    }
    (out,) = entry.packet(1, **unknown_route)
    assert isinstance(out, packets.Reset)
    entry.unreachable = {"c1"}
    entry.run(3.0)
    assert entry.packet(2, **unknown_route) == []
    assert entry.refused() == ["no_route", "no_route"]


def test_service_without_upstream_is_refused_at_once():
    control, entry = harness.make_harness(upstreams=1, draining=True)
    (out,) = entry.packet(1, is_opening=True)
    assert isinstance(out, packets.Reset)
    assert entry.refused() == ["no_upstream"]


def test_unanswered_opening_is_retried_elsewhere_within_100_ms():
    _, entry = harness.make_harness(upstreams=3)
    silent = entry.packet(1, is_opening=True)[0].id
    entry.run(0.1)
    (again,) = entry.sent
    assert again.id != silent
    assert again.cookie
    chosen = [entry.packet(c, is_opening=True)[0].id for c in range(50, 60)]
    assert silent not in chosen


def test_retransmitted_opening_packet_goes_to_another_upstream():
    _, entry = harness.make_harness(upstreams=3)
    first = entry.packet(1, is_opening=True)[0].id
    entry.now += 0.2
    (retry,) = entry.packet(1, is_opening=True)
    assert retry.id != first


def test_open_flow_is_not_retried_at_other_upstreams():
    _, entry = harness.make_harness(upstreams=3)
    entry.open(1)
    entry.run(2.0)
    assert entry.sent == []


def test_new_flows_go_to_the_upstream_with_the_fewest_running_requests():
    _, entry = harness.make_harness(upstreams=2)
    id_, cookie = entry.open(1)
    entry.packet(1, cookie=cookie, size=100)
    assert {entry.open(c)[0] for c in range(10, 14)} != {id_}
    chosen = collections.Counter()
    for caller in range(100, 110):
        other, cookie = entry.open(caller)
        entry.packet(caller, cookie=cookie, size=100)
        chosen[other] += 1
    assert max(chosen.values()) - min(chosen.values()) <= 2


def test_answer_ends_the_load_of_its_request():
    _, entry = harness.make_harness(upstreams=1)
    id_, cookie = entry.open(1)
    load = entry.placing.load(id_)
    entry.packet(1, cookie=cookie, size=100, ack=7)
    assert load.busy == 1
    entry.packet(1, cookie=cookie, ack=1207)
    assert load.busy == 0
    entry.packet(1, cookie=cookie, is_end=True, ack=1207)
    assert load.flows == 0


def test_rate_of_a_cold_upstream_holds_for_all_entry_vms_together():
    control, _ = harness.make_harness(upstreams=1)
    cold = harness.announcement(2, cold_for_s=30.0)
    control.registry.on_announcement(cold, 1.0)
    for seed in range(10):
        entries = [
            harness.EntryVm(f"e{n}", [control], n + seed) for n in range(4)
        ]
        for entry in entries:
            entry.run(1.0)
            entry.follower.view = attrs.evolve(
                entry.follower.view, entry_vms=4
            )
        flow_times = []
        for step in range(200):
            for entry in entries:
                entry.now += 0.02
                out = entry.packet(1000 + step, is_opening=True)
                if out[0].id == cold.id:
                    flow_times.append(step * 0.02)
        assert flow_times
        for at in flow_times:
            assert sum(at <= other < at + 1.0 for other in flow_times) <= 5


def test_new_flows_are_divided_among_services_by_weight():
    targets = (model.Target("desk", 90), model.Target("store", 10))
    route = attrs.evolve(harness.ROUTE, targets=targets)
    control, entry = harness.make_harness(upstreams=1)
    control.registry.on_announcement(
        harness.announcement(2, service="store"), entry.now
    )
    control.apply_configuration(
        3, attrs.evolve(harness.CONTENT, routes=(route,))
    )
    entry.run(1.0)
    chosen = collections.Counter(
        entry.packet(caller, is_opening=True)[0].id for caller in range(1000)
    )
    assert 60 <= chosen["i-00000002"] <= 150


def test_only_one_of_two_upstreams_with_equal_cookies_gets_flows(
    monkeypatch,
):
    monkeypatch.setattr(cookies, "cookie_of", lambda record: 77)
    _, entry = harness.make_harness(upstreams=2)
    chosen = {entry.packet(c, is_opening=True)[0].id for c in range(20)}
    assert len(chosen) == 1
    (out,) = entry.packet(1, cookie=77)
    assert {out.id} == chosen


def test_entry_vm_without_the_configuration_resets_nothing():
    """An entry VM with the registry but no configuration drops packets.

    It used to reset open flows (seed 752189262509).
    """
    control, _ = harness.make_harness()
    entry = harness.EntryVm("e2", [control])
    handle = control.handle

    def without_parts(peer, msg, now):
        return [] if hasattr(msg, "part") else handle(peer, msg, now)

    control.handle = without_parts
    entry.run(0.5)
    assert len(entry.registry) == 3
    cookie = cookies.cookie_of(control.registry.get("i-00000001").record)
    assert entry.packet(1, cookie=cookie, size=5) == []
    control.handle = handle
    entry.run(0.5)
    (out,) = entry.packet(1, cookie=cookie, size=5)
    assert out.id == "i-00000001"
    control.apply_configuration(4)
    control.handle = without_parts
    entry.run(0.5)
    assert entry.packet(2, service_address=b"\xc6\x12\x00\x09\x01\xbb") == []


def test_load_of_a_removed_upstream_is_dropped_after_its_flows():
    control, entry = harness.make_harness(upstreams=1)
    id_, cookie = entry.open(1)
    entry.registry.on_deregistration(id_, 0, entry.now)
    entry.run(61.0)
    entry.registry.expire(entry.now)
    assert entry.registry.get(id_) is None
    entry.run(2.0)
    entry.placing.load("i-other").opening += 1
    entry.run(2.0)
    kept = entry.placing.load("i-other")
    assert kept.opening == 1
    assert id_ not in entry.placing._loads


def test_unanswered_opening_is_logged_once_for_each_upstream():
    """The caller may be gone after a refusal that entry VMs don't see."""
    control, entry = harness.make_harness(upstreams=5)
    before = len(entry.recorder.events)
    entry.packet(1, is_opening=True)
    entry.run(1.4)
    silent = [
        fields["upstream"]
        for event, fields in entry.recorder.events[before:]
        if event.name == "UPSTREAM_SILENT"
    ]
    assert len(silent) == len(set(silent)) == 2


def silences(entry, upstreams):
    """Return the silences counted at each upstream, highest first."""
    ids = [f"i-{number:08x}" for number in range(1, upstreams + 1)]
    counts = [entry.placing.load(id_).silences for id_ in ids]
    return sorted(counts, reverse=True)


def test_silence_without_retransmission_counts_at_the_first_upstream_only():
    """A stopped upstream refuses at once, so its caller is gone."""
    control, entry = harness.make_harness(upstreams=4)
    entry.packet(1, is_opening=True)
    entry.run(1.4)
    assert silences(entry, 4) == [1, 0, 0, 0]


def test_silence_with_a_retransmission_counts_at_the_second_upstream_too():
    control, entry = harness.make_harness(upstreams=2)
    entry.packet(1, is_opening=True)
    entry.run(0.07)
    entry.run(0.13)
    entry.packet(1, is_opening=True)
    entry.run(1.0)
    assert silences(entry, 2) == [1, 1]


def test_a_pause_of_the_entry_vm_counts_as_no_silence_of_upstreams():
    """The answers to its openings wait in its socket."""
    _, entry = harness.make_harness(upstreams=3)
    first = entry.packet(1, is_opening=True)[0].id
    entry.now += 1.0
    (copy,) = entry.packet(1, is_opening=True)
    assert copy.id == first
    entry.run(0.04)
    assert entry.sent == []
    assert silences(entry, 3) == [0, 0, 0]
