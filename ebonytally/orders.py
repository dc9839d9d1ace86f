"""Operators' orders at a control VM: carried out, or redirected."""

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

# Operators' clients stop waiting for an answer after 1 s.
ANSWER_TIMEOUT_S = 0.9


class OrderStatus(enum.StrEnum):
    """Result of an order at this control VM."""

    DONE = "done"
    INVALID = "invalid"
    ELSEWHERE = "elsewhere"
    UNAVAILABLE = "unavailable"


@attrs.frozen
class Answer:
    """Answer to an order.

    :param status: whether the order was carried out, or why it was not
    :param detail: why the order is invalid or not possible now
    :param leader: address of the leader, when `status` is ELSEWHERE
    :param document: configuration that was read, as it was received
    """

    status: OrderStatus
    detail: str = ""
    leader: str = ""
    document: bytes = b""


class Orders:
    """Carries out orders; each call blocks until its order has ended."""

    def __init__(
        self,
        node: control_node.ControlNode,
        data_centres: frozenset[str],
        clock: ports.Clock,
        perform: Callable[[list[actions.Action]], None],
        recorder: recorders.Recorder,
    ) -> None:
        """Set up without pending orders.

        :param perform: callback that carries out the node's actions
        """
        self._node = node
        self._local_vm = node.local_vm
        self._data_centres = data_centres
        self._clock = clock
        self._perform = perform
        self._recorder = recorder
        self._pending: dict[str, gevent_event.AsyncResult] = {}

    def on_decided(self, end: actions.ProposalResult) -> None:
        """Pass the result of a proposal or read to the waiting order."""
        pending = self._pending.pop(end.token, None)
        if pending is not None:
            pending.set(end)

    def replace(
        self,
        version: int,
        content: model.Content,
        document: bytes,
    ) -> Answer:
        """Replace the configuration unless a higher version is stored."""
        fault = checks.first_error(content)
        if version < 1:
            fault = f"version must be at least 1, got {version}"
        if fault:
            return self._log(
                "configuration", Answer(OrderStatus.INVALID, fault)
            )
        command = model.configuration(version, content, document)
        answer = self._propose(command)
        return self._log("configuration", answer, version=version)

    def set_data_centre(self, name: str, out: bool) -> Answer:
        """Take a data centre out of service, or back into service."""
        if name not in self._data_centres:
            known = ", ".join(sorted(self._data_centres))
            detail = f"there is no data centre {name!r}; known are {known}"
            answer = Answer(OrderStatus.INVALID, detail)
        else:
            answer = self._propose(machines.DataCentreSet(name, out))
        return self._log("data_centre", answer, name=name, out=out)

    def read(self) -> Answer:
        """Return the latest committed configuration (linearizable read)."""
        start_read = self._node.read
        answer = self._run(start_read)
        current = self._node.machine.state.configuration
        if answer.status == OrderStatus.DONE:
            if current is None:
                detail = "no configuration has been stored yet"
                answer = Answer(OrderStatus.UNAVAILABLE, detail)
            else:
                answer = Answer(
                    OrderStatus.DONE, document=current.original_document()
                )
        version = current.version if current is not None else 0
        return self._log("read", answer, version=version)

    def count_malformed(self, order: str, detail: str, source: str) -> None:
        """Log and count an order or announcement that failed to decode."""
        self._recorder.log_event(
            events.Event.OPERATOR_REQUEST_REFUSED,
            peer=source,
            reason=order,
            detail=detail,
        )
        self._recorder.count("orders_unreadable")

    def _propose(self, command: object) -> Answer:
        propose = self._node.propose
        return self._run(lambda token, now: propose(token, command, now))

    def _run(
        self,
        start: Callable[[str, float], list[actions.Action]],
    ) -> Answer:
        """Start a proposal or read, if this VM leads, and await its result.

        :param start: takes token and time, returns the node's actions
        """
        leader = self._node.leader
        if not leader:
            return Answer(OrderStatus.UNAVAILABLE, "no leader is known here")
        if leader != self._local_vm:
            return Answer(
                OrderStatus.ELSEWHERE, "this VM is not the leader", leader
            )
        started_at = self._clock.now()
        token = self._node.token()
        pending = self._pending[token] = gevent_event.AsyncResult()
        try:
            self._perform(start(token, started_at))
            result = pending.get(timeout=ANSWER_TIMEOUT_S)
        except gevent.Timeout:
            detail = f"no majority answered within {ANSWER_TIMEOUT_S:g} s"
            return Answer(OrderStatus.UNAVAILABLE, detail)
        finally:
            self._pending.pop(token, None)
        self._recorder.record_duration("order", self._clock.now() - started_at)
        if not result.is_committed:
            return Answer(OrderStatus.UNAVAILABLE, result.reason)
        return Answer(OrderStatus.DONE)

    def _log(self, order: str, answer: Answer, **fields: object) -> Answer:
        """Log the answer to an order and return it."""
        self._recorder.log_event(
            events.Event.ORDER_ANSWERED,
            order=order,
            end=answer.status.value,
            detail=answer.detail,
            leader=answer.leader,
            term=self._node.agreement.term,
            **fields,
        )
        return answer
