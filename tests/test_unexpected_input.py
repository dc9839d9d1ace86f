"""Malformed messages and failing handlers end no task of a process."""

import contextlib
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
from ebonytally.platform import packet_port
from ebonytally.platform import packet_wire
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally import settings
from ebonytally import wire
from tests import agreement_fakes as fakes

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
