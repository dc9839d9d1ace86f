"""Flows by cookie: where packets go, and what is refused."""

import collections

import attrs

from ebonytally.configuration import model
from ebonytally.echo import cookies
from ebonytally.echo import packets
from tests import echo_bed as beds


def test_two_entry_vms_with_views_of_different_age_send_a_flow_alike():
    control, old = beds.bed(upstreams=2)
    young = beds.EntryVm("e2", [control], seed=9)
    young.run(1.0)
    flows = {caller: young.open(caller) for caller in range(50)}
    old.dark = {"c1"}
    control.register.announced(beds.announcement(3), young.now)
    control.register.announced(
        beds.announcement(1, sequence=2, draining=True), young.now
    )
    control.put(3)
    young.run(1.0)
    for caller, (id_, cookie) in flows.items():
        for entry in (old, young):
            (out,) = entry.packet(caller, cookie=cookie, size=10)
            assert (out.id, out.cookie) == (id_, None)


def test_packet_of_an_upstream_not_heard_of_waits_for_the_news():
    control, entry = beds.bed()
    entry.dark = {"c1"}
    control.register.announced(beds.announcement(9), entry.now)
    record = control.register.get("i-00000009").record
    cookie = cookies.cookie_of(record)
    assert entry.packet(5, cookie=cookie) == []
    assert entry.forwarder.lacks
    entry.dark = set()
    entry.do(entry.follower.ask_now(entry.now + 0.2))
    (out,) = entry.packet(5, cookie=cookie)
    assert out.id == record.id


def test_flows_of_a_silent_upstream_go_on_and_new_ones_go_elsewhere():
    control, entry = beds.bed(upstreams=2)
    id_, cookie = entry.open(1)
    entry_of = control.register.get(id_)
    entry_of.heard_at = -10.0
    control.register.fallen_silent(frozenset(), entry.now - 1.0)
    entry.run(1.0)
    (out,) = entry.packet(1, cookie=cookie, size=5)
    assert out.id == id_
    assert {entry.open(caller)[0] for caller in range(10, 30)} != {id_}
    assert id_ not in {entry.open(caller)[0] for caller in range(30, 60)}


def test_flow_of_an_upstream_that_has_left_is_reset():
    control, entry = beds.bed()
    id_, cookie = entry.open(1)
    control.register.left(id_, 0, entry.now)
    entry.run(1.0)
    (out,) = entry.packet(1, cookie=cookie, size=5)
    assert isinstance(out, packets.Reset)


def test_draining_and_taken_out_upstreams_keep_flows_and_get_no_new_ones():
    control, entry = beds.bed(upstreams=2)
    other = beds.announcement(3, data_centre="south")
    control.register.announced(other, entry.now)
    entry.run(1.0)
    flows = {caller: entry.open(caller) for caller in range(30)}
    control.machine.apply(beds.machines.DataCentreSet("south", True))
    drained = beds.announcement(1, sequence=2, draining=True)
    control.register.announced(drained, entry.now)
    entry.run(1.0)
    for caller, (id_, cookie) in flows.items():
        (out,) = entry.packet(caller, cookie=cookie)
        assert out.id == id_
    new = {entry.open(caller)[0] for caller in range(100, 130)}
    assert new == {"i-00000002"}


def test_unknown_route_is_reset_only_by_an_entry_vm_whose_view_is_fresh():
    control, entry = beds.bed()
    elsewhere = {"place": b"\xc6\x12\x00\x09\x01\xbb", "opening": True}
    (out,) = entry.packet(1, **elsewhere)
    assert isinstance(out, packets.Reset)
    entry.dark = {"c1"}
    entry.run(3.0)
    assert entry.packet(2, **elsewhere) == []
    assert entry.refused() == ["no_route", "no_route"]


def test_service_without_upstream_is_refused_at_once():
    control, entry = beds.bed(upstreams=1, draining=True)
    (out,) = entry.packet(1, opening=True)
    assert isinstance(out, packets.Reset)
    assert entry.refused() == ["no_upstream"]


def test_silent_upstream_is_passed_over_within_a_tenth_of_a_second():
    _, entry = beds.bed(upstreams=3)
    dead = entry.packet(1, opening=True)[0].id
    entry.run(0.1)
    (again,) = entry.sent
    assert again.id != dead
    assert again.cookie
    placed = [entry.packet(c, opening=True)[0].id for c in range(50, 60)]
    assert dead not in placed


def test_copy_of_an_opening_packet_goes_to_another_upstream():
    _, entry = beds.bed(upstreams=3)
    first = entry.packet(1, opening=True)[0].id
    entry.now += 0.2
    (copy,) = entry.packet(1, opening=True)
    assert copy.id != first


def test_a_flow_that_opened_is_not_offered_to_others():
    _, entry = beds.bed(upstreams=3)
    entry.open(1)
    entry.run(2.0)
    assert entry.sent == []


def test_new_flows_go_where_the_fewest_requests_are_under_way():
    _, entry = beds.bed(upstreams=2)
    id_, cookie = entry.open(1)
    entry.packet(1, cookie=cookie, size=100)
    assert {entry.open(c)[0] for c in range(10, 14)} != {id_}
    placed = collections.Counter()
    for caller in range(100, 110):
        other, cookie = entry.open(caller)
        entry.packet(caller, cookie=cookie, size=100)
        placed[other] += 1
    assert max(placed.values()) - min(placed.values()) <= 2


def test_an_answer_ends_the_load_of_its_request():
    _, entry = beds.bed(upstreams=1)
    id_, cookie = entry.open(1)
    load = entry.placing.load(id_)
    entry.packet(1, cookie=cookie, size=100, ack=7)
    assert load.busy == 1
    entry.packet(1, cookie=cookie, ack=1207)
    assert load.busy == 0
    entry.packet(1, cookie=cookie, ends=True, ack=1207)
    assert load.flows == 0


def test_cold_upstream_gets_a_few_flows_a_second_from_all_entry_vms():
    control, _ = beds.bed(upstreams=1)
    cold = beds.announcement(2, cold_for_s=30.0)
    control.register.announced(cold, 1.0)
    for seed in range(10):
        entries = [
            beds.EntryVm(f"e{n}", [control], n + seed) for n in range(4)
        ]
        for entry in entries:
            entry.run(1.0)
            entry.follower.view = attrs.evolve(
                entry.follower.view, entry_vms=4
            )
        taken = []
        for step in range(200):
            for entry in entries:
                entry.now += 0.02
                out = entry.packet(1000 + step, opening=True)
                if out[0].id == cold.id:
                    taken.append(step * 0.02)
        assert taken
        for at in taken:
            assert sum(at <= other < at + 1.0 for other in taken) <= 5


def test_weights_share_new_flows_among_services():
    targets = (model.Target("desk", 90), model.Target("store", 10))
    route = attrs.evolve(beds.ROUTE, targets=targets)
    control, entry = beds.bed(upstreams=1)
    control.register.announced(
        beds.announcement(2, service="store"), entry.now
    )
    control.put(3, attrs.evolve(beds.CONTENT, routes=(route,)))
    entry.run(1.0)
    placed = collections.Counter(
        entry.packet(caller, opening=True)[0].id for caller in range(1000)
    )
    assert 60 <= placed["i-00000002"] <= 150


def test_upstreams_that_share_a_cookie_never_take_each_others_flows(
    monkeypatch,
):
    monkeypatch.setattr(cookies, "cookie_of", lambda record: 77)
    _, entry = beds.bed(upstreams=2)
    placed = {entry.packet(c, opening=True)[0].id for c in range(20)}
    assert len(placed) == 1
    (out,) = entry.packet(1, cookie=77)
    assert {out.id} == placed


def test_entry_vm_that_lacks_the_configuration_resets_nothing():
    """llenni-cut scale-1, seed 752189262509: an open flow was reset."""
    control, _ = beds.bed()
    entry = beds.EntryVm("e2", [control])
    handle = control.handle

    def without_parts(peer, msg, now):
        return [] if hasattr(msg, "part") else handle(peer, msg, now)

    control.handle = without_parts
    entry.run(0.5)
    assert len(entry.register) == 3
    cookie = cookies.cookie_of(control.register.get("i-00000001").record)
    assert entry.packet(1, cookie=cookie, size=5) == []
    control.handle = handle
    entry.run(0.5)
    (out,) = entry.packet(1, cookie=cookie, size=5)
    assert out.id == "i-00000001"
    control.put(4)
    control.handle = without_parts
    entry.run(0.5)
    assert entry.packet(2, place=b"\xc6\x12\x00\x09\x01\xbb") == []


def test_load_of_a_forgotten_upstream_is_dropped_once_its_flows_are():
    control, entry = beds.bed(upstreams=1)
    id_, cookie = entry.open(1)
    entry.register.left(id_, 0, entry.now)
    entry.run(61.0)
    entry.register.expire(entry.now)
    assert entry.register.get(id_) is None
    entry.run(2.0)
    entry.placing.load("i-other").opening += 1
    entry.run(2.0)
    kept = entry.placing.load("i-other")
    assert kept.opening == 1
    assert id_ not in entry.placing._loads


def test_an_opening_that_nobody_answers_is_logged_once_an_upstream():
    """Its caller may be gone, refused by an upstream that has ended."""
    control, entry = beds.bed(upstreams=5)
    before = len(entry.recorder.events)
    entry.packet(1, opening=True)
    entry.run(1.4)
    silent = [
        fields["upstream"]
        for event, fields in entry.recorder.events[before:]
        if event.name == "UPSTREAM_SILENT"
    ]
    assert len(silent) == len(set(silent)) == 2


def silences(entry, upstreams):
    """Return how often each upstream was blamed, most first."""
    ids = [f"i-{number:08x}" for number in range(1, upstreams + 1)]
    found = [entry.placing.load(id_).silences for id_ in ids]
    return sorted(found, reverse=True)


def test_a_caller_that_is_gone_counts_against_the_first_upstream_alone():
    """An upstream that has ended refuses at once; its caller goes."""
    control, entry = beds.bed(upstreams=4)
    entry.packet(1, opening=True)
    entry.run(1.4)
    assert silences(entry, 4) == [1, 0, 0, 0]


def test_a_caller_that_still_waits_counts_against_the_second_too():
    control, entry = beds.bed(upstreams=2)
    entry.packet(1, opening=True)
    entry.run(0.07)
    entry.run(0.13)
    entry.packet(1, opening=True)
    entry.run(1.0)
    assert silences(entry, 2) == [1, 1]
