"""Entry role: its sockets and counters."""

import contextlib

import attrs

from ebonytally import actions
from ebonytally import deployment
from ebonytally import entry_role
from ebonytally.feed import messages
from ebonytally import peer_datagrams
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import system_clock
from tests import agreement_fakes as fakes

ENDPOINT = deployment.Endpoint("127.0.0.1", 0)


class NoPackets:
    """A packet port that drops everything."""

    def __init__(self, *args):
        pass

    def send(self, out):
        """Drop packets."""


def test_control_bytes_are_counted_with_the_headers_of_their_datagrams():
    cfg = attrs.evolve(
        fakes.make_settings("127.0.0.1"),
        ports=settings.Ports(peers=0),
        cluster_key=fakes.KEY.hex(),
    )
    deployed = deployment.Deployment(
        name="e1",
        role=deployment.Role.ENTRY,
        cfg=cfg,
        seeds=(),
        first_start=True,
        data_centres=frozenset(("north",)),
        packet_endpoint=ENDPOINT,
        readiness_endpoint=ENDPOINT,
        orders_endpoint=None,
        announce_interval_s=1.0,
        flow_ttl_s=60.0,
        cold_slack=5.0,
        stop_timeout_s=3.0,
        max_connections=512,
    )
    recorder = recorders.MemoryRecorder()
    poll = messages.Poll(1, 0, 0, 0, 0, True)
    with contextlib.ExitStack() as stack:
        role = entry_role.EntryRole(
            deployed,
            stack,
            recorder,
            system_clock.SystemClock(),
            1,
            NoPackets,
            lambda *args: None,
        )
        frame = role._peers.encode(poll)
        role._perform([actions.Send("127.0.0.1", poll)])
    assert (
        recorder.counts["control_bytes_sent"]
        == len(frame) + peer_datagrams.OVERHEAD_BYTES
    )
