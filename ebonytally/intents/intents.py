"""Turns operators' requests into log commands, and results into replies.

Only retries are decided here. Whether an intent is possible, and which
answer a resent request gets, is decided by the replicated state machine.
"""

import random

import attrs

from ebonytally import actions
from ebonytally import events
from ebonytally.intents import intent_requests as requests
from ebonytally.intents import plan_messages as messages
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings

TIMEOUT_S = 8.0
RETRY_DELAY_S = 0.25
MAX_PENDING = 64
_TOKEN_PREFIX = "intent:"
_READ_REQUESTS = (requests.ReadPlan, requests.ListPlans)


@attrs.define
class _PendingRequest:
    req: int
    request: requests.Request
    command: object
    deadline: float
    retry_at: float | None = None


class Intents:
    """Operators' requests that this entry VM has proposed."""

    def __init__(
        self,
        cfg: settings.Settings,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Create it without pending requests.

        :param seed: seed of the proposal tokens, different at each start
            of a daemon so that tokens are never reused
        """
        self._cfg = cfg
        self._recorder = recorder
        nonce = random.Random(seed).getrandbits(64)
        self._token_prefix = f"{_TOKEN_PREFIX}{cfg.name}:{nonce:016x}:"
        self._pending: dict[str, _PendingRequest] = {}
        self._request_count = 0

    def submit(
        self,
        req: int,
        request: requests.Request,
        facts: messages.VmFacts,
        now: float,
        wall: float,
    ) -> list[actions.Action]:
        """Propose a request; its answer comes as an `actions.OperatorReply`.

        :param req: number that the reply carries again
        :param facts: this VM's load counts, which the view doesn't have
        :param wall: present time, seconds since 1970
        """
        self._log_request(request)
        if len(self._pending) >= MAX_PENDING:
            return [self._refuse(req, request, _TOO_MANY_REQUESTS)]
        self._request_count += 1
        token = f"{self._token_prefix}{self._request_count}"
        command = self._to_command(request, facts, wall)
        self._pending[token] = _PendingRequest(
            req,
            request,
            command,
            now + TIMEOUT_S,
        )
        return [actions.Propose(token, command)]

    def is_own_token(self, token: str) -> bool:
        """Return whether the proposal with this token was made here."""
        return token.startswith(self._token_prefix)

    def on_decided(
        self,
        end: actions.ProposalResult,
        now: float,
    ) -> list[actions.Action]:
        """Reply to the request whose proposal ended, or schedule a retry.

        Proposals of other VMs and those that timed out are ignored.
        """
        pending = self._pending.get(end.token)
        if pending is None:
            return []
        if not end.is_committed:
            # A leader change or a full disk may be temporary. Proposing
            # the same command again is safe: it carries the operator's
            # id, so it takes effect at most once.
            if now + RETRY_DELAY_S < pending.deadline:
                pending.retry_at = now + RETRY_DELAY_S
                return []
            del self._pending[end.token]
            return [self._reply_unanswered(pending, end.reason)]
        del self._pending[end.token]
        return [self._reply(pending, end.result)]

    def tick(self, now: float) -> list[actions.Action]:
        """Retry failed proposals, and fail requests past their deadline."""
        out: list[actions.Action] = []
        for token, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[token]
                out.append(self._reply_unanswered(pending, ""))
            elif pending.retry_at is not None and now >= pending.retry_at:
                pending.retry_at = None
                self._recorder.count_retry(
                    reasons.Retry.PROPOSAL_LEADER_CHANGED
                )
                out.append(actions.Propose(token, pending.command))
        return out

    def _to_command(
        self,
        request: requests.Request,
        facts: messages.VmFacts,
        wall: float,
    ) -> object:
        match request:
            case requests.StateIntent(operator, name, intent):
                return messages.IntentStated(
                    operator,
                    name,
                    intent,
                    facts,
                    wall,
                    self._cfg.limits.plan_s,
                )
            case requests.ConfirmPlan(operator, name, plan):
                return messages.PlanConfirmed(
                    operator,
                    name,
                    plan,
                    facts,
                    wall,
                )
            case requests.DiscardPlan(operator, name, plan):
                return messages.PlanDiscarded(operator, name, plan, wall)
            case requests.ReadPlan(plan=plan):
                return messages.PlanRead(plan, wall)
            case requests.ListPlans():
                return messages.OpenPlansRead(wall)
        raise TypeError(
            f"expected an intent_requests.Request, got "
            f"{type(request).__name__}"
        )

    def _log_request(self, request: requests.Request) -> None:
        if isinstance(request, _READ_REQUESTS):
            return
        subject = getattr(request, "plan", "")
        if isinstance(request, requests.StateIntent):
            subject = str(request.intent)
        self._recorder.log_event(
            events.Event.INTENT_RECEIVED,
            operator=request.operator,
            id=request.id,
            asked=type(request).__name__,
            subject=subject,
        )

    def _reply(
        self,
        pending: _PendingRequest,
        answer: object,
    ) -> actions.OperatorReply:
        if isinstance(answer, messages.Answer):
            if answer.reason:
                self._log_refused(pending.request, answer)
            else:
                self._log_accepted(pending.request, answer)
        return actions.OperatorReply(pending.req, answer)

    def _log_accepted(
        self,
        request: requests.Request,
        answer: messages.Answer,
    ) -> None:
        event = {
            requests.ConfirmPlan: events.Event.PLAN_CONFIRMED,
            requests.DiscardPlan: events.Event.PLAN_DISCARDED,
            requests.StateIntent: events.Event.PLAN_MADE,
        }.get(type(request))
        if event is None:
            return
        plan = answer.plan
        self._recorder.log_event(
            event,
            operator=request.operator,
            id=request.id,
            plan=plan.id,
            stated_by=plan.operator,
            revision=plan.revision,
        )

    def _log_refused(
        self,
        request: requests.Request,
        answer: messages.Answer,
    ) -> None:
        self._recorder.count_refusal(reasons.Refusal(answer.reason))
        self._recorder.log_event(
            events.Event.INTENT_REFUSED,
            operator=request.operator,
            id=getattr(request, "id", ""),
            asked=type(request).__name__,
            reason=answer.reason,
            detail=answer.text,
        )

    def _refuse(
        self,
        req: int,
        request: requests.Request,
        answer: messages.Answer,
    ) -> actions.OperatorReply:
        self._log_refused(request, answer)
        return actions.OperatorReply(req, answer)

    def _reply_unanswered(
        self, pending: _PendingRequest, reason: str
    ) -> actions.OperatorReply:
        """Reply that the control VMs gave no answer.

        :param reason: value of the last failure, "" if unknown
        """
        answer = _OUTCOME_UNKNOWN
        if isinstance(pending.request, _READ_REQUESTS):
            answer = _NO_LEADER
        if reason == reasons.Refusal.STORAGE_FULL:
            answer = _STORAGE_FULL
        return self._refuse(pending.req, pending.request, answer)


_TOO_MANY_REQUESTS = messages.Answer(
    reasons.Refusal.OPERATOR_REQUEST_LIMIT.value,
    f"{MAX_PENDING} operators' requests are already pending at this VM, so "
    "this one was not accepted and nothing was done. Try again in a few "
    "seconds.",
)
_OUTCOME_UNKNOWN = messages.Answer(
    reasons.Refusal.OUTCOME_NOT_HEARD.value,
    "The control VMs didn't answer in time, so it isn't known whether this "
    "was done. Send it again with the same id: it is done only once. If that "
    "fails too, see 'ebonytally status'.",
)
_NO_LEADER = messages.Answer(
    reasons.Refusal.NO_LEADER.value,
    "The control VMs don't answer. See 'ebonytally status'.",
)
_STORAGE_FULL = messages.Answer(
    reasons.Refusal.STORAGE_FULL.value,
    "The control VMs' disks are full, so changes are refused. Free space in "
    "their data folders, then send this again with the same id.",
)
