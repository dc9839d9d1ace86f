"""Answers to callers: outcome, HTTP status and reason."""

from ebonytally import actions
from ebonytally import events
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally.requests import key_claims
from ebonytally.requests import key_messages
from ebonytally.requests import request_head

RETRY_AFTER_S = 1.0
_NOT_RUN_STATUS = {
    reasons.Refusal.REQUEST_MALFORMED: 400,
    reasons.Refusal.KEY_MALFORMED: 400,
    reasons.Refusal.KEY_IN_FUTURE: 400,
    reasons.Refusal.REQUEST_UNKNOWN_SERVICE: 404,
    reasons.Refusal.REQUEST_OVERSIZED: 413,
    reasons.Refusal.KEY_CONTENT_DIFFERS: 422,
}
_UNKNOWN_STATUS = {
    reasons.Refusal.KEY_TOO_OLD: 410,
    reasons.Refusal.REQUEST_ANSWER_BROKEN: 502,
    reasons.Refusal.REQUEST_UPSTREAM_SHED: 502,
    reasons.Refusal.REQUEST_UNREACHABLE: 502,
}
_Verdict = key_messages.Verdict
_KeyState = key_messages.KeyState


def not_run(req: int, refusal: reasons.Refusal) -> actions.RequestAnswer:
    """Return the refusal of a request that certainly did not run."""
    return actions.RequestAnswer(
        req=req,
        outcome=actions.Outcome.NOT_RUN,
        status=_NOT_RUN_STATUS.get(refusal, 503),
        reason=refusal.value,
        retry_after_s=RETRY_AFTER_S,
    )


def unknown(req: int, refusal: reasons.Refusal) -> actions.RequestAnswer:
    """Return the answer to a request that may have run or not."""
    return actions.RequestAnswer(
        req=req,
        outcome=actions.Outcome.OUTCOME_UNKNOWN,
        status=_UNKNOWN_STATUS.get(refusal, 504),
        reason=refusal.value,
    )


def from_upstream(
    req: int,
    attempt: int,
    result: ports.AttemptResult,
) -> actions.RequestAnswer:
    """Return the action that forwards the answer of an attempt."""
    outcome = actions.Outcome.ANSWERED
    if result.status >= 500:
        outcome = actions.Outcome.FAILED_AFTER_RUNNING
    return actions.RequestAnswer(req, outcome, result.status, attempt)


def from_claim(
    req: int, decision: key_claims.Decision
) -> actions.RequestAnswer:
    """Return the answer to a request whose claim was denied."""
    if decision.verdict is _Verdict.STILL_RUNNING:
        return actions.RequestAnswer(
            req=req,
            outcome=actions.Outcome.STILL_RUNNING,
            status=409,
            reason=reasons.Refusal.KEY_STILL_RUNNING.value,
            retry_after_s=RETRY_AFTER_S,
        )
    if decision.verdict is _Verdict.CONTENT_DIFFERS:
        return not_run(req, reasons.Refusal.KEY_CONTENT_DIFFERS)
    if decision.verdict is _Verdict.ENDED:
        return _from_first_outcome(req, decision)
    return unknown(req, reasons.Refusal.KEY_OUTCOME_UNKNOWN)


def _from_first_outcome(
    req: int,
    decision: key_claims.Decision,
) -> actions.RequestAnswer:
    outcome = actions.Outcome.ANSWERED
    if decision.state is _KeyState.FAILED:
        outcome = actions.Outcome.FAILED_AFTER_RUNNING
    first_answer = decision.answer
    if first_answer.has_body:
        return actions.RequestAnswer(
            req=req,
            outcome=outcome,
            status=first_answer.status,
            body=first_answer.body,
            headers=first_answer.headers,
        )
    return actions.RequestAnswer(
        req=req,
        outcome=outcome,
        status=410,
        reason=reasons.Refusal.KEY_ANSWER_NOT_KEPT.value,
        headers=(("First-Status", str(first_answer.status)),),
    )


def record_refusal(
    recorder: recorders.Recorder,
    head: request_head.RequestHead,
    answer: actions.RequestAnswer,
) -> None:
    """Count and log a refusal; an answer without a reason is none."""
    if not answer.reason:
        return
    recorder.count_refusal(reasons.Refusal(answer.reason))
    recorder.log_event(
        events.Event.REQUEST_REFUSED,
        service=head.service,
        reason=answer.reason,
    )
