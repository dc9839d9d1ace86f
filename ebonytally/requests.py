"""Callers' requests: admission, dispatch, retry and their answers.

The slice decides and does no I/O. `reach` is to be called before each
`tick`, so that a daemon that was paused knows first whether its lease
still holds.
"""

import attrs

from ebonytally import actions
from ebonytally import events
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import request_head
from ebonytally import request_queue
from ebonytally import request_retry
from ebonytally import settings
from ebonytally import view as views

RETRY_AFTER_S = 1.0


@attrs.define
class _Live:
    """A request that isn't answered yet.

    :param tried: upstreams that it must not go to again
    :param attempt: number of the attempt under way, 0 for none
    :param passing: the answer's first bytes went to the caller
    :param maybe_ran: an upstream may have run an earlier attempt
    """

    head: request_head.RequestHead
    tried: set[int] = attrs.field(factory=set)
    attempt: int = 0
    passing: bool = False
    maybe_ran: bool = False


@attrs.frozen
class _Attempt:
    req: int
    service: str
    upstream: int


class Requests:
    """The requests of one entry VM.

    :param cfg: settings of the daemon
    :param me: name of this entry VM
    :param slots: lends request slots of upstreams
    """

    def __init__(
        self,
        cfg: settings.Settings,
        me: str,
        slots: ports.SlotSource,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Start with an empty view."""
        self._cfg = cfg.requests
        self._me = me
        self._slots = slots
        self._recorder = recorder
        self._view = views.View()
        self._services: dict[str, views.Service] = {}
        self._upstreams: dict[str, frozenset[int]] = {}
        self._live: dict[int, _Live] = {}
        self._attempts: dict[int, _Attempt] = {}
        self._next_attempt = 1
        self._queues: dict[str, request_queue.Queue] = {}
        self._budget = request_retry.Budget(cfg.requests.retry_share)
        self._stopping = False

    @property
    def idle(self) -> bool:
        """Tell whether no request is in hand."""
        return not self._live and not self._attempts

    def request(
        self,
        head: request_head.RequestHead,
        now: float,
    ) -> list[actions.Action]:
        """Take a caller's request."""
        refusal = self._refusal(head, now)
        self._live[head.req] = _Live(head)
        if refusal:
            return self._not_run(head.req, refusal)
        self._budget.first_try()
        return self._enqueue(head, now, first=False)

    def attempt_done(
        self,
        attempt: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list[actions.Action]:
        """Take the end of an attempt; each dispatch has exactly one."""
        made = self._attempts.pop(attempt, None)
        if made is None:
            return []
        acts = self._slots.give_back(made.upstream, result, now)
        live = self._live.get(made.req)
        if live is None or live.attempt != attempt:
            return acts + self.pump(made.service, now)
        live.attempt = 0
        if result.kind is ports.AttemptKind.ANSWERED:
            queue = self._queue(live.head.service)
            queue.times.finished(result.took_s, now)
            acts += self._passed_on(live, attempt, result)
        else:
            acts += self._failed(live, made.upstream, result, now)
        return acts + self.pump(live.head.service, now)

    def passing(self, attempt: int) -> bool:
        """Note that an answer begins to go to the caller.

        :return: False when the answer isn't wanted any more
        """
        made = self._attempts.get(attempt)
        live = made and self._live.get(made.req)
        if not live or live.attempt != attempt:
            return False
        live.passing = True
        return True

    def silent(self, attempt: int, now: float) -> bool:
        """Tell whether to give up an attempt without progress.

        Asked when a connection made no progress for a while and a new
        one to the same upstream could be made. A non-idempotent request
        is left to its deadline: its upstream may only be slow.
        """
        made = self._attempts.get(attempt)
        live = made and self._live.get(made.req)
        if not live or not live.head.idempotent or live.passing:
            return False
        times = self._queue(made.service).times
        if times.longest_s >= self._cfg.silent_s:
            return False
        return self._budget.left and now + times.mean_s <= live.head.deadline

    def known(self, req: int) -> bool:
        """Tell whether a request will still be answered."""
        return req in self._live

    def max_request_bytes(self, service: str) -> int:
        """Return the largest body of a service, 0 if it is unknown."""
        found = self._services.get(service)
        return found.max_request_bytes if found else 0

    def cancelled(self, req: int, now: float) -> list[actions.Action]:
        """Forget a request whose caller went away."""
        live = self._live.pop(req, None)
        if live is None:
            return []
        self._recorder.refused(reasons.Refusal.REQUEST_CANCELLED)
        if live.attempt:
            return [actions.Cancel(live.attempt)]
        self._queue(live.head.service).remove(req)
        return []

    def pump(self, service: str, now: float) -> list[actions.Action]:
        """Start waiting requests; called when slots have come."""
        acts: list[actions.Action] = []
        queue = self._queue(service)
        for head in queue.expired(now):
            acts += self._not_run(
                head.req,
                reasons.Refusal.REQUEST_DEADLINE,
            )
        for head in queue.waiting():
            started = self._start(head, now)
            if started is not None:
                queue.remove(head.req)
                acts.append(started)
            elif not self._live[head.req].tried:
                break
        return acts + self._slots.want(service, len(queue), now)

    def stop(self, now: float) -> list[actions.Action]:
        """Refuse new requests and finish those in hand."""
        self._stopping = True
        return []

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message from another entry VM."""
        return []

    def tick(self, now: float) -> list[actions.Action]:
        """Refuse what can't be done in time any more."""
        acts: list[actions.Action] = []
        for service, queue in self._queues.items():
            if len(queue):
                acts += self.pump(service, now)
        return acts

    def changed(
        self,
        new: views.View,
        now: float,
    ) -> list[actions.Action]:
        """Take a newer configuration."""
        self._view = new
        self._services = {item.name: item for item in new.services}
        self._upstreams = {
            name: frozenset(
                upstream.id
                for upstream in new.upstreams
                if upstream.service == name
            )
            for name in self._services
        }
        return []

    def reach(
        self,
        peers: frozenset[str],
        leased: bool,
        now: float,
    ) -> list[actions.Action]:
        """Take which entry VMs are heard, and whether the lease holds."""
        return []

    def _queue(self, service: str) -> request_queue.Queue:
        if service not in self._queues:
            self._queues[service] = request_queue.Queue()
        return self._queues[service]

    def _refusal(
        self,
        head: request_head.RequestHead,
        now: float,
    ) -> reasons.Refusal | None:
        service = self._services.get(head.service)
        if service is None:
            return reasons.Refusal.REQUEST_UNKNOWN_SERVICE
        if self._stopping:
            return reasons.Refusal.REQUEST_STOPPING
        if head.body_bytes > service.max_request_bytes:
            return reasons.Refusal.REQUEST_OVERSIZED
        queue = self._queue(head.service)
        if len(queue) >= service.max_queue:
            return reasons.Refusal.REQUEST_QUEUE_FULL
        if not queue.can_end(head, now):
            return reasons.Refusal.REQUEST_DEADLINE
        return None

    def _enqueue(
        self,
        head: request_head.RequestHead,
        now: float,
        first: bool,
    ) -> list[actions.Action]:
        self._queue(head.service).push(head, first)
        return self.pump(head.service, now)

    def _start(
        self,
        head: request_head.RequestHead,
        now: float,
    ) -> actions.Dispatch | None:
        live = self._live[head.req]
        tried = frozenset(live.tried)
        upstream = self._slots.take(
            head.service,
            tried,
            now,
            head.deadline,
        )
        if upstream is None:
            return None
        number = self._next_attempt
        self._next_attempt += 1
        live.attempt = number
        self._attempts[number] = _Attempt(
            head.req,
            head.service,
            upstream.id,
        )
        return actions.Dispatch(
            req=head.req,
            attempt=number,
            upstream=upstream.id,
            address=upstream.address,
            port=upstream.request_port,
            deadline=head.deadline,
        )

    def _passed_on(
        self,
        live: _Live,
        attempt: int,
        result: ports.AttemptResult,
    ) -> list[actions.Action]:
        del self._live[live.head.req]
        outcome = actions.Outcome.ANSWERED
        if result.status >= 500:
            outcome = actions.Outcome.FAILED_AFTER_RUNNING
        return [
            actions.Answer(
                req=live.head.req,
                outcome=outcome,
                status=result.status,
                attempt=attempt,
            ),
        ]

    def _failed(
        self,
        live: _Live,
        upstream: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list[actions.Action]:
        if result.kind is not ports.AttemptKind.SILENT:
            live.tried.add(upstream)
        if result.kind not in request_retry.NEVER_RUN:
            live.maybe_ran = True
        retry = request_retry.reason(result.kind, live.head.idempotent)
        if retry and not live.passing and self._may_retry(live, now):
            self._recorder.retried(retry)
            self._queue(live.head.service).push(live.head, first=True)
            return []
        if result.kind in request_retry.NEVER_RUN:
            refusal = reasons.Refusal.REQUEST_UNREACHABLE
            if result.kind is ports.AttemptKind.SHED:
                refusal = reasons.Refusal.REQUEST_UPSTREAM_SHED
            return self._not_run(live.head.req, refusal)
        refusal = reasons.Refusal.REQUEST_ANSWER_BROKEN
        if result.kind in _LATE:
            refusal = reasons.Refusal.REQUEST_DEADLINE
        return self._unknown(live.head.req, refusal)

    def _may_retry(self, live: _Live, now: float) -> bool:
        known = self._upstreams.get(live.head.service, frozenset())
        if known <= live.tried:
            return False
        mean_s = self._queue(live.head.service).times.mean_s
        if now + mean_s > live.head.deadline:
            return False
        if self._budget.spend():
            return True
        self._recorder.refused(reasons.Refusal.REQUEST_RETRY_BUDGET)
        return False

    def _not_run(
        self,
        req: int,
        refusal: reasons.Refusal,
    ) -> list[actions.Action]:
        if self._live[req].maybe_ran:
            return self._unknown(req, refusal)
        return self._refused(
            req,
            actions.Outcome.NOT_RUN,
            _NOT_RUN_STATUS.get(refusal, 503),
            refusal,
        )

    def _unknown(
        self,
        req: int,
        refusal: reasons.Refusal,
    ) -> list[actions.Action]:
        late = refusal is reasons.Refusal.REQUEST_DEADLINE
        return self._refused(
            req,
            actions.Outcome.OUTCOME_UNKNOWN,
            504 if late else 502,
            refusal,
        )

    def _refused(
        self,
        req: int,
        outcome: actions.Outcome,
        status: int,
        refusal: reasons.Refusal,
    ) -> list[actions.Action]:
        live = self._live.pop(req)
        self._note(live.head, refusal)
        not_run = outcome is actions.Outcome.NOT_RUN
        return [
            actions.Answer(
                req=req,
                outcome=outcome,
                status=status,
                reason=refusal.value,
                retry_after_s=RETRY_AFTER_S if not_run else 0.0,
            ),
        ]

    def _note(
        self,
        head: request_head.RequestHead,
        refusal: reasons.Refusal,
    ) -> None:
        self._recorder.refused(refusal)
        self._recorder.event(
            events.Event.REQUEST_REFUSED,
            service=head.service,
            reason=refusal.value,
        )


_LATE = frozenset(
    {
        ports.AttemptKind.TIMED_OUT,
        ports.AttemptKind.SILENT,
        ports.AttemptKind.CANCELLED,
    },
)
_NOT_RUN_STATUS = {
    reasons.Refusal.REQUEST_MALFORMED: 400,
    reasons.Refusal.REQUEST_UNKNOWN_SERVICE: 404,
    reasons.Refusal.REQUEST_OVERSIZED: 413,
}
