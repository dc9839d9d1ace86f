"""Orders of operators at a control VM: carried out, or sent elsewhere."""

from collections.abc import Callable
import enum

import attrs
import gevent
from gevent import event as gevent_event

from ebonytally import actions
from ebonytally.configuration import checks
from ebonytally.configuration import machine as machines
from ebonytally.configuration import model
from ebonytally import control_node
from ebonytally import events
from ebonytally import ports
from ebonytally import recorder as recorders

# Whoever gave the order moves on after a second.
ANSWER_S = 0.9


class End(enum.StrEnum):
    """How an order ended here."""

    DONE = "done"
    INVALID = "invalid"
    ELSEWHERE = "elsewhere"
    UNAVAILABLE = "unavailable"


@attrs.frozen
class Answer:
    """The end of an order.

    :param detail: why it is invalid or not possible now
    :param leader: address of the VM to turn to
    :param document: configuration that was read
    """

    end: End
    detail: str = ""
    leader: str = ""
    document: bytes = b""


class Orders:
    """Takes one order each call and waits for its end."""

    def __init__(
        self,
        node: control_node.ControlNode,
        data_centres: frozenset[str],
        clock: ports.Clock,
        perform: Callable[[list[actions.Action]], None],
        recorder: recorders.Recorder,
    ) -> None:
        """Start with none waiting.

        :param perform: carries out the node's actions
        """
        self._node = node
        self._me = node.me
        self._data_centres = data_centres
        self._clock = clock
        self._perform = perform
        self._recorder = recorder
        self._waiting: dict[str, gevent_event.AsyncResult] = {}

    def decided(self, end: actions.Decided) -> None:
        """Take the end of a proposal or a read."""
        waiting = self._waiting.pop(end.token, None)
        if waiting is not None:
            waiting.set(end)

    def replace(
        self,
        version: int,
        content: model.Content,
        document: bytes,
    ) -> Answer:
        """Replace the configuration unless a higher version is held."""
        fault = checks.fault(content)
        if version < 1:
            fault = "the version must be above 0"
        if fault:
            return self._log("configuration", Answer(End.INVALID, fault))
        command = model.configuration(version, content, document)
        answer = self._propose(command)
        return self._log("configuration", answer, version=version)

    def set_data_centre(self, name: str, out: bool) -> Answer:
        """Take a data centre out, or back."""
        if name not in self._data_centres:
            detail = f"data centre {name!r} is unknown"
            answer = Answer(End.INVALID, detail)
        else:
            answer = self._propose(machines.DataCentreSet(name, out))
        return self._log("data_centre", answer, name=name, out=out)

    def read(self) -> Answer:
        """Return the newest configuration there is."""
        start = self._node.read
        answer = self._wait(start)
        held = self._node.machine.state.configuration
        if answer.end == End.DONE:
            if held is None:
                answer = Answer(End.UNAVAILABLE, "no configuration yet")
            else:
                answer = Answer(End.DONE, document=held.original())
        version = held.version if held is not None else 0
        return self._log("read", answer, version=version)

    def refused(self, order: str, detail: str, source: str) -> None:
        """Note an order or announcement that couldn't be read."""
        self._recorder.event(
            events.Event.OPERATOR_REQUEST_REFUSED,
            peer=source,
            reason=order,
            detail=detail,
        )
        self._recorder.counted("orders_unreadable")

    def _propose(self, command: object) -> Answer:
        propose = self._node.propose
        return self._wait(lambda token, now: propose(token, command, now))

    def _wait(
        self,
        start: Callable[[str, float], list[actions.Action]],
    ) -> Answer:
        leader = self._node.leader
        if not leader:
            return Answer(End.UNAVAILABLE, "no leader is known")
        if leader != self._me:
            return Answer(End.ELSEWHERE, "another VM leads", leader)
        began = self._clock.now()
        token = self._node.token()
        waiting = self._waiting[token] = gevent_event.AsyncResult()
        try:
            self._perform(start(token, began))
            end = waiting.get(timeout=ANSWER_S)
        except gevent.Timeout:
            return Answer(End.UNAVAILABLE, "no majority answered in time")
        finally:
            self._waiting.pop(token, None)
        self._recorder.measured("order", self._clock.now() - began)
        if not end.ok:
            return Answer(End.UNAVAILABLE, end.reason)
        return Answer(End.DONE)

    def _log(self, order: str, answer: Answer, **about: object) -> Answer:
        self._recorder.event(
            events.Event.ORDER_ANSWERED,
            order=order,
            end=answer.end.value,
            detail=answer.detail,
            leader=answer.leader,
            term=self._node.agreement.term,
            **about,
        )
        return answer
