"""The operators' slice: requests become commands, decisions answers.

It decides about retries only: whether an intent is possible, and which
answer a resent one gets, is decided where the log is applied.
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
RETRY_S = 0.25
MAX_WAITING = 64
_PREFIX = "intent:"
_READS = (requests.ReadPlan, requests.ListPlans)


@attrs.define
class _Waiting:
    req: int
    request: requests.Request
    command: object
    deadline: float
    retry_at: float | None = None


class Intents:
    """Operators' requests under way at this entry VM."""

    def __init__(
        self,
        cfg: settings.Settings,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Start with none.

        :param seed: for tokens that no other start of a daemon uses
        """
        self._cfg = cfg
        self._recorder = recorder
        nonce = random.Random(seed).getrandbits(64)
        self._start = f"{_PREFIX}{cfg.name}:{nonce:016x}:"
        self._waiting: dict[str, _Waiting] = {}
        self._count = 0

    def ask(
        self,
        req: int,
        request: requests.Request,
        facts: messages.Facts,
        now: float,
        wall: float,
    ) -> list[actions.Action]:
        """Take a request; its answer comes as an `actions.Reply`.

        :param facts: what this VM knows beyond the view
        :param wall: present time, seconds since 1970
        """
        self._log_asked(request)
        if len(self._waiting) >= MAX_WAITING:
            return [self._refuse(req, request, _BUSY)]
        self._count += 1
        token = f"{self._start}{self._count}"
        command = self._command(request, facts, wall)
        self._waiting[token] = _Waiting(
            req,
            request,
            command,
            now + TIMEOUT_S,
        )
        return [actions.Propose(token, command)]

    def owns(self, token: str) -> bool:
        """Tell whether a proposal came from here."""
        return token.startswith(self._start)

    def ended(
        self,
        end: actions.Decided,
        now: float,
    ) -> list[actions.Action]:
        """Take the end of a proposal; others' are ignored."""
        waiting = self._waiting.get(end.token)
        if waiting is None:
            return []
        if not end.ok:
            # A leader change or a full disk may pass; the same command
            # is safe to propose again, for it is answered only once.
            if now + RETRY_S < waiting.deadline:
                waiting.retry_at = now + RETRY_S
                return []
            del self._waiting[end.token]
            return [self._unheard(waiting, end.reason)]
        del self._waiting[end.token]
        return [self._answered(waiting, end.result)]

    def tick(self, now: float) -> list[actions.Action]:
        """Propose again what failed, and give up what took too long."""
        out: list[actions.Action] = []
        for token, waiting in list(self._waiting.items()):
            if now >= waiting.deadline:
                del self._waiting[token]
                out.append(self._unheard(waiting, ""))
            elif waiting.retry_at is not None and now >= waiting.retry_at:
                waiting.retry_at = None
                self._recorder.retried(reasons.Retry.PROPOSAL_LEADER_CHANGED)
                out.append(actions.Propose(token, waiting.command))
        return out

    def _command(
        self,
        request: requests.Request,
        facts: messages.Facts,
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
        raise TypeError(f"{type(request).__name__} is no request")

    def _log_asked(self, request: requests.Request) -> None:
        if isinstance(request, _READS):
            return
        subject = getattr(request, "plan", "")
        if isinstance(request, requests.StateIntent):
            subject = str(request.intent)
        self._recorder.event(
            events.Event.INTENT_RECEIVED,
            operator=request.operator,
            id=request.id,
            asked=type(request).__name__,
            subject=subject,
        )

    def _answered(
        self,
        waiting: _Waiting,
        answer: object,
    ) -> actions.Reply:
        if isinstance(answer, messages.Answer):
            if answer.reason:
                self._log_refused(waiting.request, answer)
            else:
                self._log_done(waiting.request, answer)
        return actions.Reply(waiting.req, answer)

    def _log_done(
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
        self._recorder.event(
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
        self._recorder.refused(reasons.Refusal(answer.reason))
        self._recorder.event(
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
    ) -> actions.Reply:
        self._log_refused(request, answer)
        return actions.Reply(req, answer)

    def _unheard(self, waiting: _Waiting, reason: str) -> actions.Reply:
        """Answer that the control VMs didn't, for `reason` if known."""
        answer = _UNHEARD
        if isinstance(waiting.request, _READS):
            answer = _UNREAD
        if reason == reasons.Refusal.STORAGE_FULL:
            answer = _FULL
        return self._refuse(waiting.req, waiting.request, answer)


_BUSY = messages.Answer(
    reasons.Refusal.OPERATOR_REQUEST_LIMIT.value,
    "Too many operators' requests are under way here; nothing was done. "
    "Try again in a few seconds.",
)
_UNHEARD = messages.Answer(
    reasons.Refusal.OUTCOME_NOT_HEARD.value,
    "The control VMs didn't answer in time, so it isn't known whether this "
    "was done. Send it again with the same id: it is done only once. If that "
    "fails too, look at 'ebonytally status'.",
)
_UNREAD = messages.Answer(
    reasons.Refusal.NO_LEADER.value,
    "The control VMs don't answer. Look at 'ebonytally status'.",
)
_FULL = messages.Answer(
    reasons.Refusal.STORAGE_FULL.value,
    "The control VMs' disks are full, so changes are refused. Make room in "
    "their data folders, then send this again with the same id.",
)
