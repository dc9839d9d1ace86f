"""Tests of admission, dispatch and retry of requests."""

import attrs
import pytest

from ebonytally import actions
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder
from ebonytally.requests import request_head
from ebonytally.requests import requests
from ebonytally import settings
from ebonytally import view

K = ports.AttemptKind


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
    """Slots of two upstreams, one each, in a fixed order."""

    def __init__(self, count: int = 2) -> None:
        self.free = {number: 1 for number in range(1, count + 1)}
        self.ports = {number: 9000 + number for number in self.free}
        self.wanted = 0
        self.back: list[tuple[int, ports.AttemptKind]] = []

    def take(self, service, exclude, now, deadline=None):
        for number, free in self.free.items():
            if free and number not in exclude:
                self.free[number] = 0
                return _upstream(number, self.ports[number])
        return None

    def want(self, service, count, now):
        self.wanted = count
        return []

    def give_back(self, upstream, result, now):
        self.free[upstream] = 1
        self.back.append((upstream, result.kind))
        return []


class Bed:
    """One entry VM's requests over fake slots."""

    def __init__(self, slots: int = 2, cfg=None, **service) -> None:
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
        self.requests = requests.Requests(
            cfg,
            "vm-1",
            self.slots,
            self.recorder,
            1,
        )
        desk = view.Service("desk", "10.0.0.1", 80, 6, ("dc-1",), **service)
        known = tuple(_upstream(*item) for item in self.slots.ports.items())
        new = view.View(1, services=(desk,), upstreams=known)
        self.requests.changed(new, 0.0)

    def send(self, req, now=0.0, **changes):
        head = request_head.RequestHead(
            req=req,
            service="desk",
            method="GET",
            idempotent=True,
            key="",
            content=b"",
            body_bytes=0,
            deadline=now + 10.0,
            wall=1e9 + now,
        )
        return self.requests.request(attrs.evolve(head, **changes), now)

    def done(self, dispatch, kind, now=0.1, status=0):
        result = ports.AttemptResult(kind, 0.1, status)
        return self.requests.attempt_done(dispatch.attempt, result, now)

    def fill_budget(self):
        for number in range(1000, 1020):
            (dispatch,) = self.send(number)
            self.done(dispatch, K.ANSWERED, status=200)


def test_request_is_dispatched_and_answered():
    bed = Bed()
    (dispatch,) = bed.send(1)
    assert dispatch.port == 9001
    (answer,) = bed.done(dispatch, K.ANSWERED, status=200)
    assert answer.outcome is actions.Outcome.ANSWERED
    assert answer.attempt == dispatch.attempt
    assert bed.requests.idle


def test_failure_after_running_is_passed_on_as_such():
    bed = Bed()
    (dispatch,) = bed.send(1)
    (answer,) = bed.done(dispatch, K.ANSWERED, status=500)
    assert answer.outcome is actions.Outcome.FAILED_AFTER_RUNNING


def test_waiting_request_starts_when_a_slot_comes_back():
    bed = Bed(slots=1)
    (first,) = bed.send(1)
    assert bed.send(2) == []
    assert bed.slots.wanted == 1
    actions_ = bed.done(first, K.ANSWERED, status=200)
    assert [type(action).__name__ for action in actions_] == [
        "Answer",
        "Dispatch",
    ]


def test_full_queue_is_an_early_true_not_run():
    bed = Bed(slots=0, max_queue=2)
    assert bed.send(1) == bed.send(2) == []
    (answer,) = bed.send(3)
    assert answer.outcome is actions.Outcome.NOT_RUN
    assert answer.reason == reasons.Refusal.REQUEST_QUEUE_FULL
    assert bed.recorder.counts[reasons.Refusal.REQUEST_QUEUE_FULL] == 1


def test_waiting_request_expires_as_not_run():
    bed = Bed(slots=0)
    bed.send(1)
    (answer,) = bed.requests.tick(10.1)
    assert answer.outcome is actions.Outcome.NOT_RUN
    assert answer.reason == reasons.Refusal.REQUEST_DEADLINE


@pytest.mark.parametrize("kind", [K.NOT_SENT, K.SHED])
def test_never_run_is_tried_on_another_upstream(kind):
    bed = Bed()
    bed.fill_budget()
    (first,) = bed.send(1, idempotent=False)
    (second,) = bed.done(first, kind)
    assert second.upstream != first.upstream


@pytest.mark.parametrize("kind", [K.LOST, K.BROKEN, K.TIMED_OUT])
def test_lost_non_idempotent_is_unknown_and_not_tried_again(kind):
    bed = Bed()
    bed.fill_budget()
    (first,) = bed.send(1, idempotent=False)
    (answer,) = bed.done(first, kind)
    assert answer.outcome is actions.Outcome.OUTCOME_UNKNOWN


def test_retries_end_with_the_budget():
    bed = Bed()
    (first,) = bed.send(1)
    (answer,) = bed.done(first, K.SHED)
    assert answer.outcome is actions.Outcome.NOT_RUN
    counts = bed.recorder.counts
    assert counts[reasons.Refusal.REQUEST_RETRY_BUDGET] == 1


def test_answer_that_began_to_pass_is_not_tried_again():
    bed = Bed()
    bed.fill_budget()
    (first,) = bed.send(1)
    assert bed.requests.passing(first.attempt)
    (answer,) = bed.done(first, K.BROKEN)
    assert answer.outcome is actions.Outcome.OUTCOME_UNKNOWN


def test_caller_gone_cancels_the_attempt_and_the_slot_returns():
    bed = Bed(slots=1)
    (first,) = bed.send(1)
    assert bed.send(2) == []
    actions_ = bed.requests.cancelled(1, 0.1)
    assert actions_ == [actions.Cancel(first.attempt)]
    (second,) = bed.done(first, K.CANCELLED)
    assert second.req == 2


def test_stopping_refuses_new_and_finishes_old():
    bed = Bed()
    (first,) = bed.send(1)
    bed.requests.stop(0.0)
    (answer,) = bed.send(2)
    assert answer.reason == reasons.Refusal.REQUEST_STOPPING
    (answer,) = bed.done(first, K.ANSWERED, status=200)
    assert answer.status == 200


def test_not_run_is_never_told_after_an_attempt_that_may_have_run():
    bed = Bed()
    bed.fill_budget()
    (first,) = bed.send(1)
    (second,) = bed.done(first, K.LOST)
    (answer,) = bed.done(second, K.SHED)
    assert answer.outcome is actions.Outcome.OUTCOME_UNKNOWN


def test_retry_that_expires_waiting_is_unknown():
    bed = Bed()
    bed.fill_budget()
    (first,) = bed.send(1)
    bed.slots.free[2] = 0
    assert bed.done(first, K.LOST) == []
    (answer,) = bed.requests.tick(10.1)
    assert answer.outcome is actions.Outcome.OUTCOME_UNKNOWN


def test_no_upstream_is_left_to_try_again():
    bed = Bed(slots=1)
    bed.fill_budget()
    (first,) = bed.send(1)
    (answer,) = bed.done(first, K.SHED)
    assert answer.outcome is actions.Outcome.NOT_RUN


def test_a_retry_that_waits_does_not_hold_up_the_others():
    bed = Bed()
    bed.fill_budget()
    (first,) = bed.send(1)
    (second,) = bed.send(2)
    assert bed.send(3) == []
    (third,) = bed.done(first, K.SHED)
    assert third.req == 3
