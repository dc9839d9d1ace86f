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
import pytest

from ebonytally import deployment
from ebonytally import events
from ebonytally import peer_datagrams
from ebonytally import peers
from ebonytally.platform import calls
from ebonytally.platform import decode as decode_lib
from ebonytally.platform import http_calls
from ebonytally.platform import http_server
from ebonytally.platform import packet_port
from ebonytally.platform import packet_wire
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally import settings
from ebonytally import wire
from tests import agreement_fakes as fakes
from tests import echo_harness
from tests import test_control_node as control_tests
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
        http_server.serve(endpoint, stack, handler.handle, recorder, 8)
        conn = socket.create_connection(
            (endpoint.address, endpoint.port), timeout=2.0
        )
        stack.callback(conn.close)
        conn.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert conn.recv(4096).startswith(b"HTTP/1.1 500 ")
    assert failed_steps(recorder) == ["call"]


def nested(depth):
    """Return a heartbeat with a value nested so deeply."""
    text = json.dumps({**test_platform_wire.HEARTBEAT, "zone": 0})
    value = "[" * depth + "]" * depth
    return text.replace('"zone": 0', f'"zone": {value}').encode()


def with_field(**change):
    """Return a heartbeat with some fields changed."""
    return json.dumps({**test_platform_wire.HEARTBEAT, **change}).encode()


ODD_BODIES = {
    "nested 50": nested(50),
    "nested 900": nested(900),
    "nested 300,000": nested(300_000),
    "number of 4,000 digits": with_field(sequence=0).replace(
        b'"sequence": 0', b'"sequence": ' + b"9" * 4000
    ),
    "number of 500,000 digits": with_field(sequence=0).replace(
        b'"sequence": 0', b'"sequence": ' + b"9" * 500_000
    ),
    "exponent": with_field(born=0).replace(b'"born": 0', b'"born": 1e999'),
    "port": with_field(address="10.128.0.9:70000"),
    "long text": with_field(concurrency="x" * 900_000),
    "long state": with_field(state="x" * 900_000),
    "bytes": bytes(range(256)),
    "not an object": b'"service address zone"',
}


# Upstreams read no longer answer to an announcement.
MAX_ANSWER_BYTES = 4096
# Keeps a server that doesn't answer from blocking the test.
ANSWER_TIMEOUT_S = 5.0


class Announcements:
    """Keeps the announcements that a server accepts."""

    def __init__(self):
        self.accepted = []

    def on_announcement(self, announcement):
        """Keep an announcement."""
        self.accepted.append(announcement)

    def on_deregistration(self, id_, born_ms):
        """Keep a deregistration."""
        self.accepted.append((id_, born_ms))

    def count_malformed(self, order, detail, source):
        """Ignore a malformed call."""


def post(endpoint, path, body):
    """Return status line and body of the answer to one call."""
    with contextlib.ExitStack() as stack:
        conn = socket.create_connection(
            (endpoint.address, endpoint.port), timeout=ANSWER_TIMEOUT_S
        )
        stack.callback(conn.close)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        conn.sendall(head.encode() + body)
        answer = b""
        while data := conn.recv(65536):
            answer += data
    return answer.split(b"\r\n", 1)[0], answer.partition(b"\r\n\r\n")[2]


@pytest.mark.parametrize("verb", ["Heartbeat", "Deregister"])
def test_odd_entry_is_refused_and_the_next_ones_are_taken(verb):
    """Guards against one odd entry that ends the processes reading it."""
    endpoint = deployment.Endpoint("127.0.0.1", test_http_bounds.free_port())
    deployed = attrs.evolve(
        control_tests.make_deployment("c1", (), False),
        orders_endpoint=endpoint,
    )
    recorder = recorders.MemoryRecorder()
    upstreams = Announcements()
    path = f"/v1/Instances.{verb}/i-7f3a91c2"
    with contextlib.ExitStack() as stack:
        http_calls.OrdersServer(
            deployed, stack, upstreams, upstreams, recorder
        )
        for name, body in ODD_BODIES.items():
            if verb == "Deregister":
                body = body.replace(b'"sequence"', b'"born"')
            status, answer = post(endpoint, path, body)
            if status.startswith(b"HTTP/1.1 200"):
                assert verb == "Deregister", name
                assert upstreams.accepted.pop()[1] == 1700000000000, name
            assert upstreams.accepted == [], name
            assert len(answer) <= MAX_ANSWER_BYTES, name
            status, _ = post(endpoint, path, with_field())
            assert status == b"HTTP/1.1 200 OK", name
            assert len(upstreams.accepted) == 1, name
            upstreams.accepted.clear()
    assert failed_steps(recorder) == []


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
