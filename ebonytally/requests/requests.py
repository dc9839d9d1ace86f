"""Callers' requests: admission, dispatch, retry and their answers.

The slice decides and does no I/O. `reach` is to be called before each
`tick`, so that a daemon that was paused knows first whether its lease
still holds.
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
from ebonytally.requests import request_live
from ebonytally.requests import request_queue
from ebonytally.requests import request_retry
from ebonytally import settings
from ebonytally import view as views

_KIND = ports.AttemptKind
_Refusal = reasons.Refusal
_KeyState = key_messages.KeyState


class Requests:
    """The requests of one entry VM.

    :param cfg: settings of the daemon
    :param me: name of this entry VM
    :param slots: lends request slots of upstreams
    :param seed: another one at each start of the daemon
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
        self._slots = slots
        self._recorder = recorder
        self._keys = request_keys.RequestKeys(cfg, me, recorder, seed)
        self._services: dict[str, views.Service] = {}
        self._upstreams: dict[str, frozenset[int]] = {}
        self._live: dict[int, request_live.Live] = {}
        self._attempts: dict[int, request_live.Attempt] = {}
        self._next_attempt = 1
        self._queues: dict[str, request_queue.Queue] = {}
        self._budget = request_retry.Budget(cfg.requests.retry_share)
        self._stopping = False

    @property
    def idle(self) -> bool:
        """Tell whether no request is in hand and no key is left here."""
        return not self.in_hand and self._keys.idle

    @property
    def in_hand(self) -> bool:
        """Tell whether a request waits, runs or is being answered."""
        return bool(self._live or self._attempts)

    @property
    def key_count(self) -> int:
        """Return the number of keys that are kept here."""
        return self._keys.keeper.size

    def request(
        self,
        head: request_head.RequestHead,
        now: float,
    ) -> list[actions.Action]:
        """Take a caller's request."""
        live = request_live.Live(head, refusal=self._refusal(head, now))
        self._live[head.req] = live
        if live.keyed:
            return self._claim(live, now)
        return self._admit(live, now)

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
        if result.kind is _KIND.ANSWERED:
            queue = self._queue(made.service)
            queue.times.finished(result.took_s, now)
            acts += self._passed_on(live, attempt, result, now)
        else:
            acts += self._failed(live, made.upstream, result, now)
        return acts + self.pump(made.service, now)

    def passing(self, attempt: int) -> bool:
        """Note that an answer begins to go to the caller.

        :return: False when the answer isn't wanted any more
        """
        live = self._live_of(attempt)
        if live is None or live.gone:
            return False
        live.passing = True
        return True

    def silent(self, attempt: int, now: float) -> bool:
        """Tell whether to give up an attempt without progress.

        Asked when a connection made no progress for a while and a new
        one to the same upstream could be made. A non-idempotent request
        is left to its deadline: its upstream may only be slow.
        """
        live = self._live_of(attempt)
        if live is None or not live.head.idempotent or live.passing:
            return False
        times = self._queue(live.head.service).times
        if times.longest_s >= self._cfg.silent_s:
            return False
        left_s = live.head.deadline - now
        return self._budget.left and times.usual_s(now) <= left_s

    def holds(self, req: int) -> bool:
        """Tell whether a request will still be answered."""
        return req in self._live

    def max_request_bytes(self, service: str) -> int:
        """Return the largest body of a service, 0 if it is unknown."""
        found = self._services.get(service)
        return found.max_request_bytes if found else 0

    def cancelled(self, req: int, now: float) -> list[actions.Action]:
        """Take that a caller went away.

        A request with a key that is under way goes on: its caller can
        come back for the first outcome. Any other is cancelled.
        """
        live = self._live.get(req)
        if live is None:
            return []
        self._recorder.refused(_Refusal.REQUEST_CANCELLED)
        if live.keyed and live.attempt:
            live.gone = True
            return []
        del self._live[req]
        if live.attempt:
            return [actions.Cancel(live.attempt)]
        self._queue(live.head.service).remove(req)
        return self._keys.ended(req, _KeyState.NOT_RUN, now)

    def pump(self, service: str, now: float) -> list[actions.Action]:
        """Start waiting requests; called when slots have come."""
        acts: list[actions.Action] = []
        queue = self._queue(service)
        for head in queue.expired(now):
            live = self._live[head.req]
            acts += self._not_run(live, _Refusal.REQUEST_DEADLINE, now)
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
        return self._keys.handle(peer, msg, now) + self._decided(now)

    def tick(self, now: float) -> list[actions.Action]:
        """Refuse what can't be done in time any more."""
        acts = self._keys.tick(now) + self._decided(now)
        for live in list(self._live.values()):
            if live.claiming and now >= live.head.deadline:
                reason = _Refusal.KEY_KEEPER_UNREACHABLE
                acts += self._unknown(live, reason, now, _KeyState.NOT_RUN)
        for service, queue in self._queues.items():
            if len(queue):
                acts += self.pump(service, now)
        return acts

    def changed(
        self,
        new: views.View,
        now: float,
    ) -> list[actions.Action]:
        """Take a newer configuration; each revision, one by one."""
        self._services = {item.name: item for item in new.services}
        self._upstreams = {
            name: frozenset(
                upstream.id
                for upstream in new.upstreams
                if upstream.service == name
            )
            for name in self._services
        }
        self._keys.changed(new, now)
        return []

    def reach(
        self,
        peers: frozenset[str],
        leased: bool,
        now: float,
    ) -> list[actions.Action]:
        """Take which entry VMs are heard, and whether the lease holds."""
        self._keys.keeper.reach(leased, now)
        return []

    def _live_of(self, attempt: int) -> request_live.Live | None:
        made = self._attempts.get(attempt)
        live = self._live.get(made.req) if made else None
        return live if live and live.attempt == attempt else None

    def _queue(self, service: str) -> request_queue.Queue:
        if service not in self._queues:
            self._queues[service] = request_queue.Queue()
        return self._queues[service]

    def _refusal(
        self,
        head: request_head.RequestHead,
        now: float,
    ) -> reasons.Refusal | None:
        """Return why a request can't be taken in now."""
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
        if not queue.can_end(head, now):
            return _Refusal.REQUEST_DEADLINE
        return None

    def _claim(
        self,
        live: request_live.Live,
        now: float,
    ) -> list[actions.Action]:
        """Claim the right to run a request that must run at most once.

        Also one that can't be taken in: until its claim is granted
        nobody knows whether another copy of it ran.
        """
        fault = self._keys.fault(live.head)
        if fault is None:
            live.claiming = True
            acts = self._keys.begin(live.head, now)
            return acts + self._decided(now)
        if self._keys.never_used(live.head):
            return self._not_run(live, fault, now)
        return self._unknown(live, fault, now)

    def _decided(self, now: float) -> list[actions.Action]:
        acts: list[actions.Action] = []
        for decision in self._keys.decisions():
            live = self._live.get(decision.req)
            if live is None:
                continue
            live.claiming = False
            if decision.verdict is key_messages.Verdict.GRANTED:
                acts += self._admit(live, now)
            else:
                acts += self._refused_claim(live, decision, now)
        return acts

    def _refused_claim(
        self,
        live: request_live.Live,
        decision: key_claims.Decision,
        now: float,
    ) -> list[actions.Action]:
        del self._live[live.head.req]
        answer = request_answer.of_claim(live.head.req, decision)
        request_answer.note(self._recorder, live.head, answer)
        released = self._keys.ended(live.head.req, _KeyState.NOT_RUN, now)
        return [answer, *released]

    def _admit(
        self,
        live: request_live.Live,
        now: float,
    ) -> list[actions.Action]:
        refusal = live.refusal or self._refusal(live.head, now)
        if refusal:
            return self._not_run(live, refusal, now)
        self._budget.first_try()
        self._queue(live.head.service).push(live.head, first=False)
        return self.pump(live.head.service, now)

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
        self._attempts[number] = request_live.Attempt(
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
        live: request_live.Live,
        attempt: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list[actions.Action]:
        req = live.head.req
        del self._live[req]
        answer = request_answer.of_upstream(req, attempt, result)
        failed = answer.outcome is actions.Outcome.FAILED_AFTER_RUNNING
        state = _KeyState.FAILED if failed else _KeyState.ANSWERED
        kept = key_messages.KeptAnswer(
            status=result.status,
            headers=result.headers,
            body=result.body,
            has_body=result.has_body,
        )
        return [answer, *self._keys.ended(req, state, now, kept)]

    def _failed(
        self,
        live: request_live.Live,
        upstream: int,
        result: ports.AttemptResult,
        now: float,
    ) -> list[actions.Action]:
        if result.kind is not _KIND.SILENT:
            live.tried.add(upstream)
        if result.kind not in request_retry.NEVER_RUN:
            live.maybe_ran = True
        retry = request_retry.reason(result.kind, live.head.idempotent)
        if retry and not live.passing and self._may_retry(live, now):
            self._recorder.retried(retry)
            self._queue(live.head.service).push(live.head, first=True)
            return []
        refusal = request_retry.refusal(result.kind)
        if result.kind in request_retry.NEVER_RUN:
            return self._not_run(live, refusal, now)
        return self._unknown(live, refusal, now)

    def _may_retry(self, live: request_live.Live, now: float) -> bool:
        known = self._upstreams.get(live.head.service, frozenset())
        if live.gone or known <= live.tried:
            return False
        times = self._queue(live.head.service).times
        if now + times.usual_s(now) > live.head.deadline:
            return False
        if self._budget.spend():
            return True
        self._recorder.refused(_Refusal.REQUEST_RETRY_BUDGET)
        return False

    def _not_run(
        self,
        live: request_live.Live,
        refusal: reasons.Refusal,
        now: float,
    ) -> list[actions.Action]:
        """Refuse a request that didn't run, if that is certain."""
        if live.maybe_ran:
            return self._unknown(live, refusal, now)
        req = live.head.req
        del self._live[req]
        answer = request_answer.not_run(req, refusal)
        request_answer.note(self._recorder, live.head, answer)
        return [answer, *self._keys.ended(req, _KeyState.NOT_RUN, now)]

    def _unknown(
        self,
        live: request_live.Live,
        refusal: reasons.Refusal,
        now: float,
        state: key_messages.KeyState = _KeyState.UNKNOWN,
    ) -> list[actions.Action]:
        """Answer that nobody knows whether a request ran.

        :param state: how the claim of this entry VM ended
        """
        req = live.head.req
        del self._live[req]
        answer = request_answer.unknown(req, refusal)
        request_answer.note(self._recorder, live.head, answer)
        return [answer, *self._keys.ended(req, state, now)]
