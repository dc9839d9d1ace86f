"""The daemon's ports: callers that disconnect."""

import types

from ebonytally import actions
from ebonytally import daemon_ports
from ebonytally.requests import request_head
from ebonytally import system_clock
from tests import test_request_dispatch as dispatch_tests


class Port:
    """A request port over a node that has only a `Requests`."""

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
            content=b"",
            body_bytes=0,
            deadline=self.clock.now() + 10.0,
            wall=self.clock.wall(),
        )
        self.port.request(head)
        (dispatch,) = self.performed
        self.performed.clear()
        return dispatch


def test_disconnect_of_a_caller_cancels_its_request():
    port = Port()
    dispatch = port.dispatch(1)
    will_be_answered = port.port.cancelled(1)
    assert port.performed == [actions.Cancel(dispatch.attempt)]
    assert will_be_answered is False
