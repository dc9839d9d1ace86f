"""Admission, queueing, dispatch, retry and answers of callers' requests.

`RequestDispatcher` makes decisions only and does no I/O. Call
`on_connectivity_change` before each `tick`: a daemon that was
paused must learn whether its configuration lease is still valid before it
acts on any request.
"""

from ebonytally import actions
from ebonytally import ports
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally.requests import key_claims
from ebonytally.requests import key_messages
from ebonytally.requests import request_answer
from ebonytally.requests import request_head
from ebonytally.requests import request_keys
from ebonytally.requests import request_queue
from ebonytally.requests import request_retry
from ebonytally.requests import request_state
from ebonytally import settings
from ebonytally import view as views

_AttemptEnd = ports.AttemptEnd
_Refusal = reasons.Refusal
_KeyState = key_messages.KeyState


class RequestDispatcher:
    """Decide what happens to the requests that reach one entry VM.

    :param cfg: settings of the daemon
    :param local_vm: name of this entry VM
    :param slots: grants request slots of upstreams
    :param seed: differs at each start of the daemon
    """

    def __init__(
        self,
        cfg: settings.Settings,
        local_vm: str,
        slots: ports.SlotSource,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Set up without services, until `on_view_change` is called."""
        self._cfg = cfg.requests
        self._slots = slots
        self._recorder = recorder
        self._keys = request_keys.RequestKeys(cfg, local_vm, recorder, seed)
        self._services: dict[str, views.Service] = {}
        self._upstreams: dict[str, frozenset[int]] = {}
        self._open: dict[int, request_state.OpenRequest] = {}
        self._attempts: dict[int, request_state.Attempt] = {}
        self._next_attempt = 1
        self._queues: dict[str, request_queue.Queue] = {}
        self._budget = request_retry.Budget(cfg.requests.retry_share)
        self._stopping = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request, claim, report or handover is pending."""
        return not self.has_open_requests and self._keys.is_idle

    @property
    def has_open_requests(self) -> bool:
        """Return whether a request or an attempt has not ended yet."""
        return bool(self._open or self._attempts)

    @property
    def key_count(self) -> int:
        """Return the number of idempotency keys that are recorded here."""
        return self._keys.owner.key_count

    def handle_request(
        self,
        head: request_head.RequestHead,
        now: float,
    ) -> list[actions.Action]:
        """Handle a new request: claim its key if needed, else admit it."""
        request = request_state.OpenRequest(
            head, refusal=self._admission_refusal(head, now)
        )
        self._open[head.req] = request
        if request.needs_claim:
            return self._claim(request, now)
        return self._admit(request, now)

    def on_attempt_end(
        self,
        attempt: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list[actions.Action]:
        """Handle the end of an attempt, once for each `Dispatch`.

        The slot is returned, the request is answered, retried or refused,
        and waiting requests of the service are dispatched.
        """
        attempt_state = self._attempts.pop(attempt, None)
        if attempt_state is None:
            return []
        actions_ = self._slots.release_slot(
            attempt_state.upstream, result, now
        )
        request = self._open.get(attempt_state.req)
        if request is None or request.attempt != attempt:
            return actions_ + self.dispatch_waiting(attempt_state.service, now)
        request.attempt = 0
        if result.kind is _AttemptEnd.ANSWERED:
            queue = self._queue(attempt_state.service)
            queue.times.on_answer(result.took_s, now)
            actions_ += self._forward_answer(request, attempt, result, now)
        else:
            actions_ += self._on_attempt_failed(
                request, attempt_state.upstream, result, now
            )
        return actions_ + self.dispatch_waiting(attempt_state.service, now)

    def start_response(self, attempt: int) -> bool:
        """Record that the answer of an attempt starts to reach the caller.

        :return: False when the caller is gone or the attempt superseded
        """
        request = self._request_of(attempt)
        if request is None or request.caller_gone:
            return False
        request.response_started = True
        return True

    def should_abandon(self, attempt: int, now: float) -> bool:
        """Return whether to abandon an attempt on a stalled connection.

        Called when a connection received nothing for `silent_s` although
        a new one to the same upstream could be opened. A non-idempotent
        request waits until its deadline, as its upstream may only be slow.
        """
        request = self._request_of(attempt)
        if (
            request is None
            or not request.head.idempotent
            or request.response_started
        ):
            return False
        times = self._queue(request.head.service).times
        if times.max_s >= self._cfg.silent_s:
            return False
        left_s = request.head.deadline - now
        return self._budget.has_tokens and times.expected_s(now) <= left_s

    def is_open(self, req: int) -> bool:
        """Return whether a request is open and will still be answered."""
        return req in self._open

    def max_request_bytes(self, service: str) -> int:
        """Return the body limit of a service, 0 for an unknown service."""
        entry = self._services.get(service)
        return entry.max_request_bytes if entry else 0

    def on_caller_gone(self, req: int, now: float) -> list[actions.Action]:
        """Handle a caller that closed its connection before the answer.

        A dispatched request with a claimed key goes on, so that its caller
        can fetch the first outcome later. Any other request is cancelled.
        """
        request = self._open.get(req)
        if request is None:
            return []
        self._recorder.count_refusal(_Refusal.REQUEST_CANCELLED)
        if request.needs_claim and request.attempt:
            request.caller_gone = True
            return []
        del self._open[req]
        if request.attempt:
            return [actions.Cancel(request.attempt)]
        self._queue(request.head.service).remove(req)
        return self._keys.on_request_end(req, _KeyState.NOT_RUN, now)

    def dispatch_waiting(
        self, service: str, now: float
    ) -> list[actions.Action]:
        """Dispatch waiting requests; called when slots were granted.

        Requests that can't finish before their deadline are refused.
        """
        actions_: list[actions.Action] = []
        queue = self._queue(service)
        for head in queue.pop_expired(now):
            request = self._open[head.req]
            actions_ += self._answer_not_run(
                request, _Refusal.REQUEST_DEADLINE, now
            )
        for head in queue.waiting():
            dispatch = self._dispatch(head, now)
            if dispatch is not None:
                queue.remove(head.req)
                actions_.append(dispatch)
            elif not self._open[head.req].tried_upstreams:
                # No slot at all; a retry may lack one only because it
                # avoids the upstreams that it has tried.
                break
        return actions_ + self._slots.set_waiting(service, len(queue), now)

    def stop(self, now: float) -> list[actions.Action]:
        """Refuse new requests from now on; open requests go on."""
        self._stopping = True
        return []

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message about idempotency keys from another entry VM."""
        return self._keys.handle(peer, msg, now) + self._apply_decisions(now)

    def tick(self, now: float) -> list[actions.Action]:
        """Run periodic work: key retries, deadlines and waiting requests."""
        actions_ = self._keys.tick(now) + self._apply_decisions(now)
        for request in list(self._open.values()):
            if request.claim_pending and now >= request.head.deadline:
                reason = _Refusal.KEY_KEEPER_UNREACHABLE
                actions_ += self._answer_unknown(
                    request, reason, now, _KeyState.NOT_RUN
                )
        for service, queue in self._queues.items():
            if len(queue):
                actions_ += self.dispatch_waiting(service, now)
        return actions_

    def on_view_change(
        self,
        view: views.View,
        now: float,
    ) -> list[actions.Action]:
        """Apply a newer view; owner epochs that it skips are replayed."""
        self._services = {service.name: service for service in view.services}
        self._upstreams = {
            name: frozenset(
                upstream.id
                for upstream in view.upstreams
                if upstream.service == name
            )
            for name in self._services
        }
        self._keys.on_view_change(view, now)
        return []

    def on_connectivity_change(
        self,
        peers: frozenset[str],
        leased: bool,
        now: float,
    ) -> list[actions.Action]:
        """Record whether the configuration lease is valid now.

        :param peers: reachable entry VMs, not used here
        """
        self._keys.owner.on_lease_update(leased, now)
        return []

    def _request_of(self, attempt: int) -> request_state.OpenRequest | None:
        attempt_state = self._attempts.get(attempt)
        request = self._open.get(attempt_state.req) if attempt_state else None
        return request if request and request.attempt == attempt else None

    def _queue(self, service: str) -> request_queue.Queue:
        if service not in self._queues:
            self._queues[service] = request_queue.Queue()
        return self._queues[service]

    def _admission_refusal(
        self,
        head: request_head.RequestHead,
        now: float,
    ) -> reasons.Refusal | None:
        """Return why a request can't be admitted now, None if it can."""
        service = self._services.get(head.service)
        if service is None:
            return _Refusal.REQUEST_UNKNOWN_SERVICE
        if self._stopping:
            return _Refusal.REQUEST_STOPPING
        if head.body_bytes > service.max_request_bytes:
            return _Refusal.REQUEST_OVERSIZED
        queue = self._queue(head.service)
        if len(queue) >= service.max_queue:
            return _Refusal.REQUEST_QUEUE_FULL
        if not queue.can_finish(head, now):
            return _Refusal.REQUEST_DEADLINE
        return None

    def _claim(
        self,
        request: request_state.OpenRequest,
        now: float,
    ) -> list[actions.Action]:
        """Claim the right to run a request that must run at most once.

        A request that can't be admitted is claimed, too: "not run" may be
        answered only if no other copy of the request ran.
        """
        refusal = self._keys.refusal(request.head)
        if refusal is None:
            request.claim_pending = True
            actions_ = self._keys.claim(request.head, now)
            return actions_ + self._apply_decisions(now)
        if self._keys.is_surely_unused(request.head):
            return self._answer_not_run(request, refusal, now)
        return self._answer_unknown(request, refusal, now)

    def _apply_decisions(self, now: float) -> list[actions.Action]:
        actions_: list[actions.Action] = []
        for decision in self._keys.take_decisions():
            request = self._open.get(decision.req)
            if request is None:
                continue
            request.claim_pending = False
            if decision.verdict is key_messages.Verdict.GRANTED:
                actions_ += self._admit(request, now)
            else:
                actions_ += self._deny_claim(request, decision, now)
        return actions_

    def _deny_claim(
        self,
        request: request_state.OpenRequest,
        decision: key_claims.Decision,
        now: float,
    ) -> list[actions.Action]:
        del self._open[request.head.req]
        answer = request_answer.from_claim(request.head.req, decision)
        request_answer.record_refusal(self._recorder, request.head, answer)
        released = self._keys.on_request_end(
            request.head.req, _KeyState.NOT_RUN, now
        )
        return [answer, *released]

    def _admit(
        self,
        request: request_state.OpenRequest,
        now: float,
    ) -> list[actions.Action]:
        refusal = request.refusal or self._admission_refusal(request.head, now)
        if refusal:
            return self._answer_not_run(request, refusal, now)
        self._budget.on_first_attempt()
        self._queue(request.head.service).push(request.head, at_front=False)
        return self.dispatch_waiting(request.head.service, now)

    def _dispatch(
        self,
        head: request_head.RequestHead,
        now: float,
    ) -> actions.Dispatch | None:
        request = self._open[head.req]
        tried = frozenset(request.tried_upstreams)
        upstream = self._slots.acquire_slot(
            head.service,
            tried,
            now,
            head.deadline,
        )
        if upstream is None:
            return None
        number = self._next_attempt
        self._next_attempt += 1
        request.attempt = number
        self._attempts[number] = request_state.Attempt(
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

    def _forward_answer(
        self,
        request: request_state.OpenRequest,
        attempt: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list[actions.Action]:
        req = request.head.req
        del self._open[req]
        answer = request_answer.from_upstream(req, attempt, result)
        failed = answer.outcome is actions.Outcome.FAILED_AFTER_RUNNING
        state = _KeyState.FAILED if failed else _KeyState.ANSWERED
        recorded_answer = key_messages.RecordedAnswer(
            status=result.status,
            headers=result.headers,
            body=result.body,
            has_body=result.has_body,
        )
        return [
            answer,
            *self._keys.on_request_end(req, state, now, recorded_answer),
        ]

    def _on_attempt_failed(
        self,
        request: request_state.OpenRequest,
        upstream: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list[actions.Action]:
        # After SILENT only the connection is at fault, not the upstream.
        if result.kind is not _AttemptEnd.SILENT:
            request.tried_upstreams.add(upstream)
        if result.kind not in request_retry.NOT_RUN_KINDS:
            request.may_have_run = True
        retry = request_retry.retry_reason(
            result.kind, request.head.idempotent
        )
        if (
            retry
            and not request.response_started
            and self._may_retry(request, now)
        ):
            self._recorder.count_retry(retry)
            self._queue(request.head.service).push(request.head, at_front=True)
            return []
        refusal = request_retry.refusal_reason(result.kind)
        if result.kind in request_retry.NOT_RUN_KINDS:
            return self._answer_not_run(request, refusal, now)
        return self._answer_unknown(request, refusal, now)

    def _may_retry(
        self, request: request_state.OpenRequest, now: float
    ) -> bool:
        upstreams = self._upstreams.get(request.head.service, frozenset())
        if request.caller_gone or upstreams <= request.tried_upstreams:
            return False
        times = self._queue(request.head.service).times
        if now + times.expected_s(now) > request.head.deadline:
            return False
        if self._budget.try_spend():
            return True
        self._recorder.count_refusal(_Refusal.REQUEST_RETRY_BUDGET)
        return False

    def _answer_not_run(
        self,
        request: request_state.OpenRequest,
        refusal: reasons.Refusal,
        now: float,
    ) -> list[actions.Action]:
        """Refuse as not run, or as unknown if an attempt may have run."""
        if request.may_have_run:
            return self._answer_unknown(request, refusal, now)
        req = request.head.req
        del self._open[req]
        answer = request_answer.not_run(req, refusal)
        request_answer.record_refusal(self._recorder, request.head, answer)
        return [
            answer,
            *self._keys.on_request_end(req, _KeyState.NOT_RUN, now),
        ]

    def _answer_unknown(
        self,
        request: request_state.OpenRequest,
        refusal: reasons.Refusal,
        now: float,
        state: key_messages.KeyState = _KeyState.UNKNOWN,
    ) -> list[actions.Action]:
        """Answer that the outcome of a request is unknown.

        :param state: final state of the claim to report to the key's owners
        """
        req = request.head.req
        del self._open[req]
        answer = request_answer.unknown(req, refusal)
        request_answer.record_refusal(self._recorder, request.head, answer)
        return [answer, *self._keys.on_request_end(req, state, now)]
