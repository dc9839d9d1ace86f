"""Entry role: its sockets and counters."""

import contextlib
import io
import json

import attrs
from geventhttpclient import HTTPClient

from ebonytally import actions
from ebonytally import deployment
from ebonytally.echo import explain_query
from ebonytally import entry_node
from ebonytally import entry_role
from ebonytally.feed import messages
from ebonytally import live_recorder
from ebonytally.load import messages as load_messages
from ebonytally import peer_datagrams
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import system_clock
from tests import agreement_fakes as fakes
from tests import echo_harness

ENDPOINT = deployment.Endpoint("127.0.0.1", 0)
# Requests in 100 s of north, whose upstreams have room for less, and south.
DEMAND = (40_000, 1_000)
QUERY = "caller=100.65.0.4:1034&route=198.18.0.1:443"


class NoPackets:
    """A packet port that drops everything."""

    def __init__(self, *args):
        pass

    def send(self, out):
        """Drop packets."""


def make_deployment():
    """Return the settings of an entry VM in north, with any free ports."""
    cfg = attrs.evolve(
        fakes.make_settings("127.0.0.1"),
        data_centre="north",
        ports=settings.Ports(peers=0),
        cluster_key=fakes.KEY.hex(),
    )
    return deployment.Deployment(
        name="e1",
        role=deployment.Role.ENTRY,
        cfg=cfg,
        seeds=("c1",),
        first_start=True,
        data_centres=frozenset(("north", "south")),
        packet_endpoint=ENDPOINT,
        readiness_endpoint=ENDPOINT,
        orders_endpoint=None,
        announce_interval_s=1.0,
        flow_ttl_s=60.0,
        cold_slack=5.0,
        stop_timeout_s=3.0,
        link_bytes_s=2e5,
        max_connections=512,
    )


@contextlib.contextmanager
def open_role(recorder):
    """Return an entry role with its socket for control VMs."""
    with contextlib.ExitStack() as stack:
        yield entry_role.EntryRole(
            make_deployment(),
            stack,
            recorder,
            system_clock.SystemClock(),
            1,
            NoPackets,
            lambda *args: None,
        )


def test_control_bytes_are_counted_with_the_headers_of_their_datagrams():
    recorder = recorders.MemoryRecorder()
    poll = messages.Poll(1, 0, 0, 0, 0, True)
    with open_role(recorder) as role:
        frame = role._peers.encode(poll)
        role._perform([actions.Send("127.0.0.1", poll)])
    assert (
        recorder.counts["control_bytes_sent"]
        == len(frame) + peer_datagrams.OVERHEAD_BYTES
    )


def run_node(is_explained):
    """Return a node after 200 flows, the upstreams chosen, those told."""
    control = echo_harness.ControlVm("c1")
    control.apply_configuration(2)
    for number in range(1, 31):
        cold_for_s = 9.0 * (number % 3 == 0)
        announcement = echo_harness.announcement(
            number,
            cold_for_s=cold_for_s,
            data_centre="south" if number > 8 else "north",
        )
        control.registry.on_announcement(announcement, 0.0)
    node = entry_node.EntryNode(
        make_deployment(), recorders.MemoryRecorder(), 1
    )
    node.decisions.capacity.service_time_s = lambda service, now: 0.04
    chosen, told = [], []
    for number in range(300):
        now = 1.0 + 0.02 * number
        pending = node.tick(now)[1]
        while pending:
            msg = pending.pop().msg
            if isinstance(msg, load_messages.LoadReport):
                demand = (load_messages.ServiceDemand("desk", DEMAND, 1),)
                summary = load_messages.LoadSummary(
                    msg.sent_ms, 500.0, ("north", "south"), demand
                )
                node.handle("c1", summary, now)
                continue
            for reply in control.handle("e1", msg, now):
                pending += node.handle("c1", reply.msg, now)
        if number < 100:
            continue
        for _ in range(2 * is_explained):
            last = explain_query.answer(node.explainer, QUERY, now)[1]
            node.gauges.link_pressure(now)
            node.gauges.upstreams(now)
        if is_explained:
            told.append(last["chosen"])
        packet = echo_harness.packet(number, is_opening=True)
        (out,), _ = node.handle_packet(packet, now)
        chosen.append(out.id)
        packet = echo_harness.packet(number, cookie=out.cookie, size=100)
        node.handle_packet(packet, now)
    return node, chosen, told


def test_explanations_and_gauges_change_no_choice_of_a_node():
    # Failure: reading the composed decisions changes them.
    _, without, _ = run_node(False)
    node, chosen, told = run_node(True)
    assert chosen == without == told
    gauges = node.gauges
    pressure = gauges.link_pressure(6.98)
    assert set(pressure) == {("lowest",), ("middle",), ("highest",)}
    assert pressure["lowest",] > 0.0
    assert sum(gauges.upstreams(7.0).values()) == 30
    demand = {("desk", "north"): 400.0, ("desk", "south"): 10.0}
    assert gauges.demand_per_s(7.0) == demand
    (leaving,) = gauges.leaving_share(7.0).items()
    assert leaving[0] == ("desk", "south")
    assert 0.1 < leaving[1] < 0.9
    _, body = explain_query.answer(node.explainer, QUERY, 7.0)
    assert body["leaving"]["reason"] == "home_short"
    assert 0.0 < body["leaving"]["shares"]["south"] < 0.9
    assert 0.5 <= body["figures_age_s"] < 2.0


def test_the_metrics_port_has_the_gauges_and_explains():
    # Failure: the role has them, but its port doesn't.
    with contextlib.ExitStack() as stack:
        cfg = attrs.evolve(make_deployment().cfg, address="127.0.0.1")
        cfg = attrs.evolve(cfg, ports=settings.Ports(metrics=0))
        recorder = live_recorder.LiveRecorder(cfg, stack, io.StringIO(), 60.0)
        role = stack.enter_context(open_role(recorder))
        recorder.monitoring = role.monitoring
        recorder.serve(stack)
        client = HTTPClient(*recorder.server.address, network_timeout=5)
        text = client.get("/metrics").read().decode()
        response = client.get(f"/explain?{QUERY}")
        assert response.status_code == 503
        assert json.loads(response.read())["reason"] == "no_view"
        assert client.post("/explain").status_code == 404
        client.close()
    assert 'ebonytally_link_pressure{level="lowest"} 0.0' in text
    assert 'ebonytally_upstreams{condition="slow"} 0.0' in text
