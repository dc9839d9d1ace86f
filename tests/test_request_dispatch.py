"""Admission, dispatch and retry of requests."""

import attrs
import pytest

from ebonytally import actions
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder
from ebonytally.requests import request_dispatcher
from ebonytally.requests import request_head
from ebonytally import settings
from ebonytally import view

AttemptEnd = ports.AttemptEnd


def _upstream(number: int, port: int) -> view.Upstream:
    return view.Upstream(
        id=number,
        service="desk",
        address="127.0.0.1",
        port=0,
        request_port=port,
        data_centre="dc-1",
        slots=1,
        connections=1,
        incarnation=1,
    )


class FakeSlots:
    """Slot source with one slot for each upstream, in a fixed order."""

    def __init__(self, count: int = 2) -> None:
        self.free = {number: 1 for number in range(1, count + 1)}
        self.ports = {number: 9000 + number for number in self.free}
        self.wanted = 0
        self.returned: list[tuple[int, ports.AttemptEnd]] = []

    def acquire_slot(self, service, exclude, now, deadline=None):
        for number, free in self.free.items():
            if free and number not in exclude:
                self.free[number] = 0
                return _upstream(number, self.ports[number])
        return None

    def set_waiting(self, service, count, now):
        self.wanted = count
        return []

    def release_slot(self, upstream, result, now):
        self.free[upstream] = 1
        self.returned.append((upstream, result.kind))
        return []


class Harness:
    """`RequestDispatcher` of one entry VM with a fake slot source."""

    def __init__(self, slots: int = 2, cfg=None, **service_fields) -> None:
        cfg = cfg or settings.Settings(
            name="vm-1",
            address="127.0.0.1",
            data_centre="dc-1",
            region="west",
            cluster_key="ab" * 32,
            data_folder="",
            seeds=(),
        )
        self.slots = FakeSlots(slots)
        self.recorder = recorder.MemoryRecorder()
        self.requests = request_dispatcher.RequestDispatcher(
            cfg,
            "vm-1",
            self.slots,
            self.recorder,
            1,
        )
        service = view.Service(
            "desk", "10.0.0.1", 80, 6, ("dc-1",), **service_fields
        )
        upstreams = tuple(
            _upstream(*number_and_port)
            for number_and_port in self.slots.ports.items()
        )
        new_view = view.View(1, services=(service,), upstreams=upstreams)
        self.requests.on_view_change(new_view, 0.0)

    def send(self, req, now=0.0, **changes):
        head = request_head.RequestHead(
            req=req,
            service="desk",
            method="GET",
            idempotent=True,
            key="",
            content_digest=b"",
            body_bytes=0,
            deadline=now + 10.0,
            wall=1e9 + now,
        )
        return self.requests.handle_request(attrs.evolve(head, **changes), now)

    def done(self, dispatch, kind, now=0.1, status=0):
        result = ports.AttemptResult(kind, 0.1, status)
        return self.requests.on_attempt_end(dispatch.attempt, result, now)

    def fill_budget(self):
        for number in range(1000, 1020):
            (dispatch,) = self.send(number)
            self.done(dispatch, AttemptEnd.ANSWERED, status=200)


def test_request_is_dispatched_and_answered():
    harness = Harness()
    (dispatch,) = harness.send(1)
    assert dispatch.port == 9001
    (answer,) = harness.done(dispatch, AttemptEnd.ANSWERED, status=200)
    assert answer.outcome is actions.Outcome.ANSWERED
    assert answer.attempt == dispatch.attempt
    assert harness.requests.is_idle


def test_failure_after_running_is_forwarded():
    harness = Harness()
    (dispatch,) = harness.send(1)
    (answer,) = harness.done(dispatch, AttemptEnd.ANSWERED, status=500)
    assert answer.outcome is actions.Outcome.FAILED_AFTER_RUNNING


def test_waiting_request_starts_when_a_slot_is_returned():
    harness = Harness(slots=1)
    (first,) = harness.send(1)
    assert harness.send(2) == []
    assert harness.slots.wanted == 1
    actions_ = harness.done(first, AttemptEnd.ANSWERED, status=200)
    assert [type(action).__name__ for action in actions_] == [
        "RequestAnswer",
        "Dispatch",
    ]


def test_full_queue_refuses_as_not_run():
    harness = Harness(slots=0, max_queue=2)
    assert harness.send(1) == harness.send(2) == []
    (answer,) = harness.send(3)
    assert answer.outcome is actions.Outcome.NOT_RUN
    assert answer.reason == reasons.Refusal.REQUEST_QUEUE_FULL
    assert harness.recorder.counts[reasons.Refusal.REQUEST_QUEUE_FULL] == 1


def test_waiting_request_expires_as_not_run():
    harness = Harness(slots=0)
    harness.send(1)
    (answer,) = harness.requests.tick(10.1)
    assert answer.outcome is actions.Outcome.NOT_RUN
    assert answer.reason == reasons.Refusal.REQUEST_DEADLINE


@pytest.mark.parametrize("kind", [AttemptEnd.NOT_SENT, AttemptEnd.SHED])
def test_request_not_run_is_retried_on_another_upstream(kind):
    harness = Harness()
    harness.fill_budget()
    (first,) = harness.send(1, idempotent=False)
    (second,) = harness.done(first, kind)
    assert second.upstream != first.upstream


@pytest.mark.parametrize(
    "kind", [AttemptEnd.LOST, AttemptEnd.BROKEN, AttemptEnd.TIMED_OUT]
)
def test_lost_non_idempotent_is_unknown_and_not_retried(kind):
    harness = Harness()
    harness.fill_budget()
    (first,) = harness.send(1, idempotent=False)
    (answer,) = harness.done(first, kind)
    assert answer.outcome is actions.Outcome.OUTCOME_UNKNOWN


def test_retry_budget_limits_retries():
    harness = Harness()
    (first,) = harness.send(1)
    (answer,) = harness.done(first, AttemptEnd.SHED)
    assert answer.outcome is actions.Outcome.NOT_RUN
    counts = harness.recorder.counts
    assert counts[reasons.Refusal.REQUEST_RETRY_BUDGET] == 1


def test_started_answer_is_not_retried():
    harness = Harness()
    harness.fill_budget()
    (first,) = harness.send(1)
    assert harness.requests.start_response(first.attempt)
    (answer,) = harness.done(first, AttemptEnd.BROKEN)
    assert answer.outcome is actions.Outcome.OUTCOME_UNKNOWN


def test_disconnect_cancels_the_attempt_and_returns_the_slot():
    harness = Harness(slots=1)
    (first,) = harness.send(1)
    assert harness.send(2) == []
    actions_ = harness.requests.on_caller_gone(1, 0.1)
    assert actions_ == [actions.Cancel(first.attempt)]
    (second,) = harness.done(first, AttemptEnd.CANCELLED)
    assert second.req == 2


def test_stop_refuses_new_and_finishes_open_requests():
    harness = Harness()
    (first,) = harness.send(1)
    harness.requests.stop(0.0)
    (answer,) = harness.send(2)
    assert answer.reason == reasons.Refusal.REQUEST_STOPPING
    (answer,) = harness.done(first, AttemptEnd.ANSWERED, status=200)
    assert answer.status == 200


def test_request_that_may_have_run_is_never_answered_not_run():
    harness = Harness()
    harness.fill_budget()
    (first,) = harness.send(1)
    (second,) = harness.done(first, AttemptEnd.LOST)
    (answer,) = harness.done(second, AttemptEnd.SHED)
    assert answer.outcome is actions.Outcome.OUTCOME_UNKNOWN


def test_retry_that_expires_in_the_queue_is_unknown():
    harness = Harness()
    harness.fill_budget()
    (first,) = harness.send(1)
    harness.slots.free[2] = 0
    assert harness.done(first, AttemptEnd.LOST) == []
    (answer,) = harness.requests.tick(10.1)
    assert answer.outcome is actions.Outcome.OUTCOME_UNKNOWN


def test_no_retry_without_another_upstream():
    harness = Harness(slots=1)
    harness.fill_budget()
    (first,) = harness.send(1)
    (answer,) = harness.done(first, AttemptEnd.SHED)
    assert answer.outcome is actions.Outcome.NOT_RUN


def test_waiting_retry_does_not_block_other_requests():
    harness = Harness()
    harness.fill_budget()
    (first,) = harness.send(1)
    (second,) = harness.send(2)
    assert harness.send(3) == []
    (third,) = harness.done(first, AttemptEnd.SHED)
    assert third.req == 3
