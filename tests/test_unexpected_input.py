"""Malformed messages and failing handlers end no task of a process."""

import contextlib
import json
import os

import attrs
import gevent
from gevent import socket
import hypothesis
from hypothesis import strategies as st
import msgpack

from ebonytally import deployment
from ebonytally import events
from ebonytally import peer_datagrams
from ebonytally import peers
from ebonytally.platform import calls
from ebonytally.platform import decode as decode_lib
from ebonytally.platform import http_server
from ebonytally.platform import packet_port
from ebonytally.platform import packet_wire
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally import settings
from ebonytally import wire
from tests import agreement_fakes as fakes
from tests import echo_harness
from tests import test_http_bounds
from tests import test_platform_wire

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))
KINDS = sorted(wire._CLASS_BY_KIND)
VALUE = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(2**63), 2**64 - 1),
        st.floats(),
        st.text(max_size=8),
        st.binary(max_size=8),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=5),
        st.dictionaries(st.text(max_size=3), inner, max_size=3),
    ),
    max_leaves=12,
)
KIND = st.one_of(st.sampled_from(KINDS), VALUE)


def decode(body):
    """Decode a body under a valid tag; return whether it was accepted."""
    try:
        wire.decode(fakes.KEY, wire._tag(fakes.KEY, body) + body)
    except wire.FrameError:
        return False
    return True


@hypothesis.settings(
    max_examples=300 + SEEDS * 1000,
    deadline=None,
    derandomize=not SEEDS,
    database=None,
)
@hypothesis.given(VALUE, KIND, VALUE, VALUE)
def test_any_structure_is_a_message_or_a_frame_error(
    version, kind, sender, fields
):
    decode(msgpack.packb([version, kind, sender, fields]))
    decode(msgpack.packb([wire.VERSION, kind, "a", fields]))


@hypothesis.settings(
    max_examples=300 + SEEDS * 1000,
    deadline=None,
    derandomize=not SEEDS,
    database=None,
)
@hypothesis.given(st.binary(max_size=80))
def test_any_bytes_are_a_message_or_a_frame_error(body):
    decode(body)


def test_a_kind_that_is_no_number_is_a_frame_error():
    for kind in ({}, {"a": 1}, [1], [{}], None, "600", 1.5):
        assert not decode(msgpack.packb([wire.VERSION, kind, "a", []]))


class FailingHandler:
    """Handler that fails at its first call and records the others."""

    def __init__(self):
        self.calls = []
        self.has_failed = False

    def handle(self, *args):
        """Fail at the first call; return no actions at the others."""
        if not self.has_failed:
            self.has_failed = True
            raise KeyError("unexpected")
        self.calls.append(args)
        return []


def failed_steps(recorder):
    """Return the steps of the failures that were logged."""
    return [
        fields["step"]
        for event, fields in recorder.events
        if event is events.Event.TASK_FAILED
    ]


def test_messages_are_received_after_a_failing_one():
    cfg = fakes.make_settings("a")
    cfg = attrs.evolve(
        cfg, ports=settings.Ports(peers=0), cluster_key=fakes.KEY.hex()
    )
    recorder = recorders.MemoryRecorder()
    handler = FailingHandler()
    with contextlib.ExitStack() as stack:
        transport = peer_datagrams.DatagramTransport(
            cfg, stack, handler.handle, lambda peer: True, recorder
        )
        address = transport._socket.getsockname()
        for number in range(2):
            frame = transport.encode(records.Digest(number, 0, ""))
            transport._socket.sendto(frame, address)
        gevent.sleep(0.2)
    assert handler.calls == [("a", records.Digest(1, 0, ""))]
    assert failed_steps(recorder) == ["frame"]


def test_packets_are_received_after_a_failing_one():
    recorder = recorders.MemoryRecorder()
    handler = FailingHandler()
    with contextlib.ExitStack() as stack:
        port = packet_port.PacketPort(
            deployment.Endpoint("127.0.0.1", 0),
            stack,
            handler.handle,
            recorder,
        )
        caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stack.callback(caller.close)
        for _ in range(2):
            data = bytes(packet_wire.HEADER_BYTES)
            caller.sendto(data, port._socket.getsockname())
        gevent.sleep(0.2)
    assert len(handler.calls) == 1
    assert failed_steps(recorder) == ["packet"]


def test_a_call_that_fails_is_logged_and_answered():
    recorder = recorders.MemoryRecorder()
    handler = FailingHandler()
    endpoint = deployment.Endpoint("127.0.0.1", test_http_bounds.free_port())
    with contextlib.ExitStack() as stack:
        http_server.serve(endpoint, stack, handler.handle, recorder)
        conn = socket.create_connection(
            (endpoint.address, endpoint.port), timeout=2.0
        )
        stack.callback(conn.close)
        conn.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert conn.recv(4096).startswith(b"HTTP/1.1 500 ")
    assert failed_steps(recorder) == ["call"]


ODD_VALUE = st.one_of(
    VALUE.filter(lambda value: not isinstance(value, bytes)),
    st.sampled_from(
        ["\ud800", "x\udfff", "s" * 5000, 2**64, -(2**70), 10**400]
    ),
    st.sampled_from(
        ["10.0.0.\u00b2:80", "010.0.0.1:80", "1.1.1.1:" + "9" * 5000]
    ),
)


@hypothesis.settings(
    max_examples=300 + SEEDS * 1000,
    deadline=None,
    derandomize=not SEEDS,
    database=None,
)
@hypothesis.given(
    st.dictionaries(
        st.sampled_from(sorted(test_platform_wire.HEARTBEAT)),
        ODD_VALUE,
        max_size=3,
    )
)
def test_any_accepted_heartbeat_leaves_the_feed_working(change):
    """An upstream's announcement must not keep others from entry VMs."""
    try:
        body = json.dumps({**test_platform_wire.HEARTBEAT, **change}).encode()
    except TypeError:
        hypothesis.reject()
    control, entry = echo_harness.make_harness(upstreams=1)
    try:
        announcement = calls.decode_heartbeat("i-7f3a91c2", body)
    except decode_lib.DecodeError:
        return
    control.registry.on_announcement(announcement, entry.now)
    later = echo_harness.announcement(5)
    control.registry.on_announcement(later, entry.now)
    handle = control.handle

    def handle_and_encode(peer, msg, now):
        replies = handle(peer, msg, now)
        for reply in replies:
            frame = wire.encode(fakes.KEY, "c1", reply.msg)
            assert len(frame) <= peers.MAX_SMALL_FRAME_BYTES
        return replies

    control.handle = handle_and_encode
    entry.run(0.6)
    assert entry.registry.get(later.id) is not None
