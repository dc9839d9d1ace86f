"""Flows through planned changes and the loss of entry VMs."""

from ebonytally.flows import flow_messages
from ebonytally.flows import flow_output
from ebonytally.flows import flow_packet
from ebonytally.flows import flows
from ebonytally import recorder
from ebonytally import view
from tests import flow_bed

SERVICE = view.Service("s", "10.9.0.1", 80, 6, ("a", "b", "c", "d"), slots=64)
FEED = view.Service("f", "10.9.0.2", 53, 17, ("a", "b"), slots=64)
VMS = [("v1", "a"), ("v2", "b"), ("v3", "c"), ("v4", "d"), ("v5", "a")]
DRAINING = view.UpstreamState.DRAINING


def _bed(delay_s=0.5, **kwargs):
    bed = flow_bed.Bed(VMS, [SERVICE, FEED], delay_s=delay_s, **kwargs)
    for n in range(7):
        bed.join("s", f"10.2.0.{n + 1}", "abcd"[n % 4])
    for n in range(4):
        bed.join("f", f"10.3.0.{n + 1}", "ab"[n % 2])
    bed.run(delay_s + 1)
    bed.call(SERVICE, 150)
    bed.call(FEED, 50)
    bed.run(1, 2.0)
    assert len(bed.open()) == 200
    return bed


def _kinds(bed):
    return {kind for kind, *_ in bed.faults}


def test_planned_changes_break_no_flow():
    bed = _bed(delay_s=2.0)
    bed.mark(1, DRAINING)
    bed.join("s", "10.2.1.1", "b")
    bed.run(0.3, 2.0)
    bed.join_vm("v6", "b")
    bed.mark(8, DRAINING)
    bed.call(SERVICE, 50)
    bed.run(0.7, 2.0)
    bed.stop_vm("v2")
    bed.mark(2, share=300)
    bed.call(FEED, 20)
    bed.run(6, 2.0)
    assert "v2" not in bed.vms
    bed.call(SERVICE, 50)
    bed.run(5, 2.0)
    assert _kinds(bed) == set()
    assert len(bed.open()) == 320


def test_loss_of_a_vm_and_of_another_after_the_repair():
    bed = _bed()
    bed.mark(1, DRAINING)
    bed.mark(8, DRAINING)
    bed.run(3, 2.0)
    bed.call(SERVICE, 60)
    bed.call(FEED, 60)
    bed.run(1, 2.0)
    for name in ("v1", "v3"):
        bed.kill_vm(name)
        bed.join("s", f"10.2.2.{name[1]}", "c")
        bed.run(3.2, 2.0)
        while not bed.repaired():
            bed.run(0.1, 2.0)
    bed.run(4, 2.0)
    assert _kinds(bed) == set()
    assert len(bed.open()) == 320


def test_out_data_centre_gets_nothing_and_callers_are_told():
    bed = _bed()
    tcp = [c for c in bed.open() if c.service is SERVICE]
    tcp = [c for c in tcp if c.first.data_centre == "b"]
    assert tcp
    bed.out("b")
    for caller in tcp:
        caller.over = False
    bed.run(4, 2.0)
    assert all(c.refused for c in tcp)
    bed.call(SERVICE, 50)
    bed.run(2, 2.0)
    before = {c: c.first for c in bed.open()}
    bed.back("b")
    bed.run(6, 2.0)
    assert _kinds(bed) <= {"reset"}
    assert {c: c.first for c in bed.open()} == before


def test_limit_is_never_passed():
    bed = flow_bed.Bed(VMS, [SERVICE], delay_s=0.2)
    for n in range(3):
        bed.join("s", f"10.2.0.{n + 1}", "abc"[n], limit=40)
    bed.run(2)
    bed.call(SERVICE, 300)
    bed.run(3, 1.0)
    assert _kinds(bed) == set()
    assert 60 <= len(bed.open()) <= 120


def test_broken_placing_is_caught():
    def hasty(state, applied, leased_out):
        newest = {name: state.revision for name in applied}
        return flow_bed.flow_placing.ready(state, newest, leased_out)

    for placing, kinds in (
        (hasty, {"broken"}),
        (flow_bed.flow_placing.ready, set()),
    ):
        bed = _bed(delay_s=0.05, placing=placing)
        bed.slow["v5"] = 1.9
        for n in range(3):
            bed.join("s", f"10.2.3.{n}", "a")
            bed.run(0.2)
            bed.call(SERVICE, 50)
            bed.run(2, 10.0)
        assert _kinds(bed) == kinds


class ForgetfulFlows(flows.Flows):
    """A broken variant: new keepers decide before they know the flows."""

    def changed(self, new, now):
        found = super().changed(new, now)
        self._handover._known_groups = [True] * len(
            self._handover._known_groups
        )
        self._handover._awaited = {}
        return found


def test_keepers_without_handover_are_caught():
    for make, kinds in (
        (ForgetfulFlows, {"broken"}),
        (flows.Flows, set()),
    ):
        bed = _bed(make=make)
        bed.mark(1, DRAINING)
        bed.run(3)
        bed.call(SERVICE, 200)
        bed.run(1, 2.0)
        bed.stop_vm("v2")
        bed.join_vm("v6", "b")
        bed.run(4, 2.0)
        assert _kinds(bed) == kinds


def test_damaged_and_foreign_packets_are_counted():
    log = recorder.MemoryRecorder()
    cfg = flow_bed.make_settings("v1", "a")
    one = flows.Flows(cfg, "v1", log)
    bed = _bed()
    one.changed(bed.log, 0.0)
    good = flow_bed.packet("192.0.2.1", 5, SERVICE)
    fragment = good[:6] + b"\x20\x00" + good[8:]
    for data in (
        b"",
        good[:-1],
        good + b"x",
        b"\x60" + good[1:],
        fragment,
        good[:8] + b"\x00" + good[9:],
        good[:9] + b"\x2f" + good[10:],
        flow_bed.packet(SERVICE.address, 5, SERVICE),
        good[:16] + b"\x01\x02\x03\x04" + good[20:],
    ):
        assert one.packet(data, 0.0) == []
    assert log.counts == {
        "packet_truncated": 2,
        "packet_malformed": 2,
        "packet_fragment": 1,
        "packet_ttl": 1,
        "packet_protocol": 1,
        "packet_loop": 1,
        "packet_unknown_address": 1,
    }


def test_a_packet_is_handed_on_a_bounded_number_of_times():
    bed = _bed()
    data = flow_bed.packet("192.0.2.1", 5, SERVICE, flow_bed.SYN)
    for one in bed.vms.values():
        for flags in (0, flow_messages.PLACED):
            hops = flow_output.MAX_HOPS
            hop = flow_messages.pack_hop(hops, flags, 1, 1, data)
            found = one.handle("v9", hop, bed.now)
            assert not any(isinstance(a, flow_bed.actions.Send) for a in found)


def test_reset_answers_the_segment():
    data = flow_bed.packet("192.0.2.1", 5, SERVICE)
    answer = flow_packet.make_refusal(data)
    parsed = flow_packet.parse(answer)
    assert parsed.phase == flow_packet.END
    assert answer[12:16] == data[16:20]
    udp = flow_packet.make_refusal(flow_bed.packet("192.0.2.1", 5, FEED))
    assert udp[9] == 1
    again = flow_packet.parse(flow_packet.make_refusal(data))
    assert again == parsed
    assert flow_packet.make_refusal(answer) is None
