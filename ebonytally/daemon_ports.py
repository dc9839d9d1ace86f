"""The node as the HTTP adapters see it."""

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
    """A `request_exchange.RequestPort` over a node."""

    def __init__(
        self,
        node: nodes.Node,
        clock: ports.Clock,
        perform: Perform,
        recorder: recorders.Recorder,
    ) -> None:
        """Pass calls on with the present time."""
        self._node = node
        self._clock = clock
        self._perform = perform
        self._recorder = recorder
        self.now = clock.now
        self.wall = clock.wall

    def max_request_bytes(self, service: str) -> int:
        """Return the largest body of a service, 0 if it is unknown."""
        return self._node.requests.max_request_bytes(service)

    def request(self, head: request_head.RequestHead) -> None:
        """Hand in a caller's request."""
        self._perform(self._node.requests.request(head, self.now()))

    def cancelled(self, req: int) -> bool:
        """Say that the caller went away; True if it is answered yet."""
        self._perform(self._node.requests.cancelled(req, self.now()))
        return self._node.requests.known(req)

    def attempt_done(
        self,
        attempt: int,
        result: ports.AttemptResult,
    ) -> None:
        """Say how an attempt went."""
        now = self.now()
        self._perform(self._node.requests.attempt_done(attempt, result, now))

    def passing(self, attempt: int) -> bool:
        """Ask whether an answer may begin to go to the caller."""
        return self._node.requests.passing(attempt)

    def silent(self, attempt: int) -> bool:
        """Ask whether to give up an attempt without progress."""
        return self._node.requests.silent(attempt, self.now())

    def refused(self, reason: reasons.Refusal) -> None:
        """Count a refusal that needed no decision."""
        self._recorder.refused(reason)


class Intents:
    """An `intent_http.IntentPort` over a node."""

    def __init__(
        self,
        node: nodes.Node,
        clock: ports.Clock,
        perform: Perform,
    ) -> None:
        """Pass calls on with the present time."""
        self._node = node
        self._clock = clock
        self._perform = perform

    def ask(self, req: int, request: intent_requests.Request) -> None:
        """Hand a request to the intents slice."""
        out = self._node.intents.ask(
            req,
            request,
            self.facts().load,
            self._clock.now(),
            self._clock.wall(),
        )
        self._perform(out)

    def view(self) -> view.View:
        """Return the view that this VM runs."""
        return self._node.present

    def facts(self) -> status.NodeFacts:
        """Return what this VM knows beyond the view."""
        return self._node.facts(self._clock.now(), self._clock.wall())
