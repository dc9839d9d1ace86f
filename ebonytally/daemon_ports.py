"""Interfaces of a node for the HTTP adapters; they add the current time."""

from collections.abc import Callable

from ebonytally import actions
from ebonytally.intents import intent_requests
from ebonytally import node as nodes
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally.requests import request_head
from ebonytally import status
from ebonytally import view

Perform = Callable[[list[actions.Action]], None]


class Requests:
    """The `request_exchange.RequestPort` of a node's `RequestDispatcher`."""

    def __init__(
        self,
        node: nodes.Node,
        clock: ports.Clock,
        perform: Perform,
        recorder: recorders.Recorder,
    ) -> None:
        """Set up; the node is called with the time of `clock`.

        :param perform: carries out the actions that the node returns
        """
        self._node = node
        self._clock = clock
        self._perform = perform
        self._recorder = recorder
        self.now = clock.now
        self.wall = clock.wall

    def max_request_bytes(self, service: str) -> int:
        """Return the body limit of a service, 0 for an unknown service."""
        return self._node.requests.max_request_bytes(service)

    def handle_request(self, head: request_head.RequestHead) -> None:
        """Submit a caller's request."""
        self._perform(self._node.requests.handle_request(head, self.now()))

    def on_caller_gone(self, req: int) -> bool:
        """Report that the caller closed its connection.

        :return: True if the request continues and will be answered
        """
        self._perform(self._node.requests.on_caller_gone(req, self.now()))
        return self._node.requests.is_open(req)

    def on_attempt_end(
        self,
        attempt: int,
        result: ports.AttemptResult,
    ) -> None:
        """Report the result of an attempt."""
        now = self.now()
        self._perform(self._node.requests.on_attempt_end(attempt, result, now))

    def start_response(self, attempt: int) -> bool:
        """Return whether an answer may be forwarded to the caller now."""
        return self._node.requests.start_response(attempt)

    def should_abandon(self, attempt: int) -> bool:
        """Return whether to abandon an attempt on a stalled connection."""
        return self._node.requests.should_abandon(attempt, self.now())

    def on_refused(self, reason: reasons.Refusal) -> None:
        """Count a request that was refused before it was submitted."""
        self._recorder.count_refusal(reason)


class Intents:
    """An `intent_http.IntentPort` that calls a node's `Intents`."""

    def __init__(
        self,
        node: nodes.Node,
        clock: ports.Clock,
        perform: Perform,
    ) -> None:
        """Set up; the node is called with the time of `clock`.

        :param perform: carries out the actions that the node returns
        """
        self._node = node
        self._clock = clock
        self._perform = perform

    def submit(self, req: int, request: intent_requests.Request) -> None:
        """Submit an operator's request.

        :param req: number that the reply carries again
        """
        actions_ = self._node.intents.submit(
            req,
            request,
            self.facts().load,
            self._clock.now(),
            self._clock.wall(),
        )
        self._perform(actions_)

    def view(self) -> view.View:
        """Return the configuration view that this VM has applied."""
        return self._node.current_view

    def facts(self) -> status.NodeFacts:
        """Return this VM's state that isn't in the replicated view."""
        return self._node.facts(self._clock.now(), self._clock.wall())
