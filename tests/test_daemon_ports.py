"""The daemon's ports: disconnected callers, messages during the start."""

import contextlib
import types

import attrs
import gevent
import pytest

from ebonytally import actions
from ebonytally import daemon
from ebonytally import daemon_ports
from ebonytally.dissemination import failure_detector_messages
from ebonytally import events
from ebonytally import live_recorder
from ebonytally import peers
from ebonytally import recorder
from ebonytally.requests import request_head
from ebonytally import settings
from ebonytally import system_clock
from tests import test_request_dispatch as dispatch_tests


class Port:
    """A request port over a node that has only a `RequestDispatcher`."""

    def __init__(self) -> None:
        self.harness = dispatch_tests.Harness()
        self.performed: list[actions.Action] = []
        self.clock = system_clock.SystemClock()
        self.port = daemon_ports.Requests(
            types.SimpleNamespace(requests=self.harness.requests),
            self.clock,
            self.performed.extend,
            self.harness.recorder,
        )

    def dispatch(self, req):
        """Submit a request and return its dispatch."""
        head = request_head.RequestHead(
            req=req,
            service="desk",
            method="GET",
            idempotent=True,
            key="",
            content_digest=b"",
            body_bytes=0,
            deadline=self.clock.now() + 10.0,
            wall=self.clock.wall(),
        )
        self.port.handle_request(head)
        (dispatch,) = self.performed
        self.performed.clear()
        return dispatch


def test_disconnect_of_a_caller_cancels_its_request():
    port = Port()
    dispatch = port.dispatch(1)
    will_be_answered = port.port.on_caller_gone(1)
    assert port.performed == [actions.Cancel(dispatch.attempt)]
    assert will_be_answered is False


def test_keyed_request_of_a_gone_caller_goes_on():
    port = Port()
    head = request_head.RequestHead(
        req=1,
        service="desk",
        method="POST",
        idempotent=False,
        key="",
        content_digest=b"",
        body_bytes=0,
        deadline=port.clock.now() + 10.0,
        wall=port.clock.wall(),
    )
    port.port.handle_request(head)
    assert port.port.on_caller_gone(1) is False
    assert port.port.on_caller_gone(1) is False


def _settings(folder) -> settings.Settings:
    seeds = tuple(
        settings.Seed(f"vm-{n}", f"127.0.0.{n}", "dc-1", "west", n > 1)
        for n in range(1, 5)
    )
    ports = attrs.asdict(settings.Ports())
    return settings.Settings(
        name="vm-1",
        address="127.0.0.1",
        data_centre="dc-1",
        region="west",
        cluster_key="ab" * 32,
        data_folder=str(folder),
        seeds=seeds,
        ports=settings.Ports(**dict.fromkeys(ports, 0)),
    )


class EarlyPeers:
    """`peers.PeerTransport` that delivers two messages when constructed.

    The first one makes the node apply its view; before, it knows no VM
    and answers nothing.
    """

    sent: list[tuple[str, object]]

    def __init__(self, cfg, stack, on_message, address_of, recorder) -> None:
        on_message("vm-2", failure_detector_messages.Ping(6))
        on_message("vm-2", failure_detector_messages.Ping(7))

    def send(self, peer, msg):
        """Record a message that is sent."""
        self.sent.append((peer, msg))


@pytest.fixture
def memory(monkeypatch):
    """Return the recorder of a daemon that gets messages early."""
    memory_recorder = recorder.MemoryRecorder()
    monkeypatch.setattr(EarlyPeers, "sent", [], raising=False)
    monkeypatch.setattr(peers, "PeerTransport", EarlyPeers)
    monkeypatch.setattr(
        live_recorder, "LiveRecorder", lambda cfg, stack: memory_recorder
    )
    return memory_recorder


def test_message_during_the_start_is_answered(memory, tmp_path):
    with contextlib.ExitStack() as stack:
        daemon.Daemon(_settings(tmp_path), stack)
        gevent.sleep(0.1)
    failed = [
        fields
        for event, fields in memory.events
        if event is events.Event.TASK_FAILED
    ]
    assert not failed
    acks = [
        (peer, msg.seq)
        for peer, msg in EarlyPeers.sent
        if isinstance(msg, failure_detector_messages.Ack)
    ]
    assert acks.count(("vm-2", 7)) == 1
