"""Flows during planned changes, and after the loss of entry VMs."""

from ebonytally.flows import flow_handover
from ebonytally.flows import flow_messages
from ebonytally.flows import flow_output
from ebonytally.flows import flow_owners
from ebonytally.flows import flow_packet
from ebonytally.flows import flows
from ebonytally import recorder
from ebonytally import view
from tests import flow_harness

SERVICE = view.Service("s", "10.9.0.1", 80, 6, ("a", "b", "c", "d"), slots=64)
FEED = view.Service("f", "10.9.0.2", 53, 17, ("a", "b"), slots=64)
VMS = [("v1", "a"), ("v2", "b"), ("v3", "c"), ("v4", "d"), ("v5", "a")]
DRAINING = view.UpstreamState.DRAINING


def _make_harness(delay_s=0.5, **kwargs):
    harness = flow_harness.FlowHarness(
        VMS, [SERVICE, FEED], delay_s=delay_s, **kwargs
    )
    for n in range(7):
        harness.add_upstream("s", f"10.2.0.{n + 1}", "abcd"[n % 4])
    for n in range(4):
        harness.add_upstream("f", f"10.3.0.{n + 1}", "ab"[n % 2])
    harness.run(delay_s + 1)
    harness.open_flows(SERVICE, 150)
    harness.open_flows(FEED, 50)
    harness.run(1, 2.0)
    assert len(harness.open()) == 200
    return harness


def _fault_kinds(harness):
    return {kind for kind, *_ in harness.faults}


def test_planned_changes_break_no_flow():
    harness = _make_harness(delay_s=2.0)
    harness.update_upstream(1, DRAINING)
    harness.add_upstream("s", "10.2.1.1", "b")
    harness.run(0.3, 2.0)
    harness.join_vm("v6", "b")
    harness.update_upstream(8, DRAINING)
    harness.open_flows(SERVICE, 50)
    harness.run(0.7, 2.0)
    harness.stop_vm("v2")
    harness.update_upstream(2, share=300)
    harness.open_flows(FEED, 20)
    harness.run(6, 2.0)
    assert "v2" not in harness.vms
    harness.open_flows(SERVICE, 50)
    harness.run(5, 2.0)
    assert _fault_kinds(harness) == set()
    assert len(harness.open()) == 320


def test_planned_stop_waits_until_all_records_are_reported(monkeypatch):
    monkeypatch.setattr(flow_handover, "RECORDS_PER_REPORT", 1)
    harness = _make_harness()
    harness.update_upstream(1, DRAINING)
    harness.update_upstream(8, DRAINING)
    harness.run(4, 2.0)
    stopping = harness.vms["v2"]
    handle = stopping.handle
    left_out = {}
    lost_until = harness.now + 3.0

    def handle_lossy(peer, msg, now):
        is_ask = isinstance(msg, flow_messages.KeeperAsk)
        if is_ask and peer in left_out and now < lost_until:
            return []
        out = handle(peer, msg, now)
        if is_ask and out:
            asked = flow_owners.from_bitmap(msg.groups)
            covered = flow_owners.from_bitmap(out[0].msg.covered)
            left_out[peer] = set(asked) - set(covered)
        return out

    stopping.handle = handle_lossy
    harness.stop_vm("v2")
    while "v2" in harness.vms:
        harness.run(0.1, 2.0)
    assert harness.now >= lost_until
    assert set(left_out) == {"v1", "v3", "v4", "v5"}
    assert not any(left_out.values())
    harness.run(4, 2.0)
    assert _fault_kinds(harness) == set()


def test_two_vm_losses_with_repair_between_break_no_flow():
    harness = _make_harness()
    harness.update_upstream(1, DRAINING)
    harness.update_upstream(8, DRAINING)
    harness.run(3, 2.0)
    harness.open_flows(SERVICE, 60)
    harness.open_flows(FEED, 60)
    harness.run(1, 2.0)
    for name in ("v1", "v3"):
        harness.kill_vm(name)
        harness.add_upstream("s", f"10.2.2.{name[1]}", "c")
        harness.run(3.2, 2.0)
        while not harness.is_repaired():
            harness.run(0.1, 2.0)
    harness.run(4, 2.0)
    assert _fault_kinds(harness) == set()
    assert len(harness.open()) == 320


def test_data_centre_that_is_out_gets_no_packets_and_callers_are_refused():
    harness = _make_harness()
    tcp = [c for c in harness.open() if c.service is SERVICE]
    tcp = [c for c in tcp if c.upstream.data_centre == "b"]
    assert tcp
    harness.take_out("b")
    for caller in tcp:
        caller.is_over = False
    harness.run(4, 2.0)
    assert all(c.refused for c in tcp)
    harness.open_flows(SERVICE, 50)
    harness.run(2, 2.0)
    before = {c: c.upstream for c in harness.open()}
    harness.bring_back("b")
    harness.run(6, 2.0)
    assert _fault_kinds(harness) <= {"reset"}
    assert {c: c.upstream for c in harness.open()} == before


def test_connection_limit_is_never_exceeded():
    harness = flow_harness.FlowHarness(VMS, [SERVICE], delay_s=0.2)
    for n in range(3):
        harness.add_upstream("s", f"10.2.0.{n + 1}", "abc"[n], limit=40)
    harness.run(2)
    harness.open_flows(SERVICE, 300)
    harness.run(3, 1.0)
    assert _fault_kinds(harness) == set()
    assert 60 <= len(harness.open()) <= 120


def test_placing_before_all_vms_are_ready_breaks_flows():
    def ready_at_once(state, applied, leased_out):
        newest = {name: state.revision for name in applied}
        return flow_harness.flow_placing.placing_commands(
            state, newest, leased_out
        )

    for placing, kinds in (
        (ready_at_once, {"broken"}),
        (flow_harness.flow_placing.placing_commands, set()),
    ):
        harness = _make_harness(delay_s=0.05, placing=placing)
        harness.view_delays["v5"] = 1.9
        for n in range(3):
            harness.add_upstream("s", f"10.2.3.{n}", "a")
            harness.run(0.2)
            harness.open_flows(SERVICE, 50)
            harness.run(2, 10.0)
        assert _fault_kinds(harness) == kinds


class FlowsWithoutHandover(flows.Flows):
    """Faulty variant: new owners decide before they have the records."""

    def on_view_change(self, new, now):
        actions_ = super().on_view_change(new, now)
        self._handover._known_groups = [True] * len(
            self._handover._known_groups
        )
        self._handover._awaited = {}
        return actions_


def test_owners_without_handover_break_flows():
    for make, kinds in (
        (FlowsWithoutHandover, {"broken"}),
        (flows.Flows, set()),
    ):
        harness = _make_harness(make=make)
        harness.update_upstream(1, DRAINING)
        harness.run(3)
        harness.open_flows(SERVICE, 200)
        harness.run(1, 2.0)
        harness.stop_vm("v2")
        harness.join_vm("v6", "b")
        harness.run(4, 2.0)
        assert _fault_kinds(harness) == kinds


def test_malformed_and_unroutable_packets_are_counted():
    counter = recorder.MemoryRecorder()
    cfg = flow_harness.make_settings("v1", "a")
    flows_ = flows.Flows(cfg, "v1", counter)
    harness = _make_harness()
    flows_.on_view_change(harness.log, 0.0)
    good = flow_harness.packet("192.0.2.1", 5, SERVICE)
    fragment = good[:6] + b"\x20\x00" + good[8:]
    for data in (
        b"",
        good[:-1],
        good + b"x",
        b"\x60" + good[1:],
        fragment,
        good[:8] + b"\x00" + good[9:],
        good[:9] + b"\x2f" + good[10:],
        flow_harness.packet(SERVICE.address, 5, SERVICE),
        good[:16] + b"\x01\x02\x03\x04" + good[20:],
    ):
        assert flows_.handle_packet(data, 0.0) == []
    assert counter.counts == {
        "packet_truncated": 2,
        "packet_malformed": 2,
        "packet_fragment": 1,
        "packet_ttl": 1,
        "packet_protocol": 1,
        "packet_loop": 1,
        "packet_unknown_address": 1,
    }


def test_number_of_hops_is_bounded():
    harness = _make_harness()
    data = flow_harness.packet("192.0.2.1", 5, SERVICE, flow_harness.SYN)
    for flows_ in harness.vms.values():
        for flags in (0, flow_messages.PLACED):
            hops = flow_output.MAX_HOPS
            hop = flow_messages.pack_hop(hops, flags, 1, 1, data)
            actions_ = flows_.handle("v9", hop, harness.now)
            assert not any(
                isinstance(action, flow_harness.actions.Send)
                for action in actions_
            )


def test_refusal_replies_to_tcp_and_udp_but_not_to_a_reset():
    data = flow_harness.packet("192.0.2.1", 5, SERVICE)
    answer = flow_packet.make_refusal(data)
    parsed = flow_packet.parse(answer)
    assert parsed.phase == flow_packet.END
    assert answer[12:16] == data[16:20]
    udp = flow_packet.make_refusal(flow_harness.packet("192.0.2.1", 5, FEED))
    assert udp[9] == 1
    again = flow_packet.parse(flow_packet.make_refusal(data))
    assert again == parsed
    assert flow_packet.make_refusal(answer) is None
