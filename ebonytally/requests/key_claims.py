"""Claimant of idempotency keys: claims the right to run and reports."""

import collections

import attrs

from ebonytally import actions
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally.requests import key_messages as messages
from ebonytally.requests import key_owner
from ebonytally.requests import key_sync
from ebonytally.requests import request_head

RETRY_S = 0.1
REPORT_RETRY_S = 0.5
REPORT_TIMEOUT_S = 30.0
MAX_REPORTS = 10_000


@attrs.define
class _Claim:
    """A claim that was made; times are on the clock of `now`.

    :param minted_at: when the key was created
    :param attempt: number of times the claim was sent
    :param sent_at: when it was last sent
    :param retry_at: when it is sent again
    """

    req: int
    key: bytes
    content: bytes
    minted_at: float
    deadline: float
    attempt: int = 0
    sent_at: float = 0.0
    retry_at: float = 0.0


@attrs.define
class _Report:
    """The end of a claim, resent until both owners have recorded it.

    :param minted_at: when the key was created
    :param expires_at: when resending stops
    :param acked_by: owners that have recorded it
    """

    msg: messages.ClaimEnded
    minted_at: float
    expires_at: float
    retry_at: float
    acked_by: set[str] = attrs.field(factory=set)


@attrs.frozen
class Decision:
    """Final verdict of a key's owners on a claim; never AGAIN."""

    req: int
    verdict: messages.Verdict
    state: messages.KeyState
    answer: messages.RecordedAnswer


class Claims:
    """The claims that one entry VM makes.

    :param local_vm: name of this entry VM
    :param start_id: unique to this start of the daemon
    :param owner: looks up the owners of a key
    """

    def __init__(
        self,
        local_vm: str,
        start_id: str,
        owner: key_owner.KeyOwner,
        recorder: recorders.Recorder,
    ) -> None:
        """Set up without claims."""
        self._local_vm = local_vm
        self._start_id = start_id
        self._owner = owner
        self._recorder = recorder
        self._claims: dict[str, _Claim] = {}
        self._decided: dict[str, _Claim] = {}
        self._reports: collections.OrderedDict[str, _Report]
        self._reports = collections.OrderedDict()
        self.incarnation = 0

    @property
    def is_idle(self) -> bool:
        """Return whether all claims are decided and reported."""
        return not self._claims and not self._decided and not self._reports

    def claim(
        self,
        head: request_head.RequestHead,
        key: bytes,
        minted_at: float,
        now: float,
    ) -> list[actions.Action]:
        """Claim the right to run a request.

        :param minted_at: when the key was created, on the clock of `now`
        """
        claim = _Claim(
            head.req, key, head.content_digest, minted_at, head.deadline
        )
        self._claims[self._claim_name(head.req)] = claim
        return self._send(claim, now)

    def handle_answer(
        self,
        msg: messages.ClaimAnswer,
        now: float,
    ) -> Decision | None:
        """Handle an owner's answer; return None if it decides nothing.

        An answer later than `CLAIM_TIMEOUT_S` is ignored: an owner takes
        `age_s` for the key's age at the claim's arrival, so that a delayed
        claim makes the key seem younger than it is.
        """
        claim = self._claims.get(msg.claim)
        if claim is None or claim.attempt != msg.attempt:
            return None
        if now - claim.sent_at > key_sync.CLAIM_TIMEOUT_S:
            return None
        if msg.verdict is messages.Verdict.AGAIN:
            claim.retry_at = min(claim.retry_at, now + RETRY_S)
            return None
        del self._claims[msg.claim]
        self._decided[msg.claim] = claim
        return Decision(claim.req, msg.verdict, msg.state, msg.answer)

    def on_request_end(
        self,
        req: int,
        state: messages.KeyState,
        answer: messages.RecordedAnswer,
        now: float,
    ) -> list[actions.Action]:
        """Report to both owners how a claimed request ended.

        NOT_RUN releases the claim: the request must not be dispatched
        under it any more.
        """
        name = self._claim_name(req)
        claim = self._claims.pop(name, None) or self._decided.pop(name, None)
        if claim is None:
            return []
        msg = messages.ClaimEnded(
            key=claim.key,
            content=claim.content,
            claim=name,
            state=state,
            age_s=0.0,
            answer=answer,
        )
        report = _Report(msg, claim.minted_at, now + REPORT_TIMEOUT_S, now)
        self._reports[name] = report
        if len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)
        return self._send_report(report, now)

    def handle_end_noted(self, peer: str, msg: messages.ClaimEndNoted) -> None:
        """Handle an owner's acknowledgement of the end of a claim."""
        report = self._reports.get(msg.claim)
        if report is None:
            return
        report.acked_by.add(peer)
        owners = self._owner.owners(report.msg.key)
        if report.acked_by.issuperset(owners.names):
            del self._reports[msg.claim]

    def tick(self, now: float) -> list[actions.Action]:
        """Resend claims without an answer and reports without an ack."""
        actions_: list[actions.Action] = []
        for claim in self._claims.values():
            if now >= claim.retry_at:
                self._recorder.count_retry(reasons.Retry.KEY_CLAIM_LOST)
                actions_ += self._send(claim, now)
        for name, report in list(self._reports.items()):
            if now >= report.expires_at:
                del self._reports[name]
            elif now >= report.retry_at:
                actions_ += self._send_report(report, now)
        return actions_

    def _claim_name(self, req: int) -> str:
        return f"{self._local_vm}/{self._start_id}/{req}"

    def _send(self, claim: _Claim, now: float) -> list[actions.Action]:
        claim.attempt += 1
        claim.sent_at = now
        claim.retry_at = now + key_sync.CLAIM_TIMEOUT_S
        owners = self._owner.owners(claim.key)
        if not owners.is_complete:
            return []
        msg = messages.Claim(
            key=claim.key,
            content=claim.content,
            claim=self._claim_name(claim.req),
            attempt=claim.attempt,
            epoch=self._owner.epoch,
            age_s=now - claim.minted_at,
            left_s=claim.deadline - now,
            vm=self._local_vm,
            incarnation=self.incarnation,
        )
        return [actions.Send(owners.first, msg)]

    def _send_report(
        self, report: _Report, now: float
    ) -> list[actions.Action]:
        report.retry_at = now + REPORT_RETRY_S
        msg = attrs.evolve(report.msg, age_s=now - report.minted_at)
        owners = self._owner.owners(msg.key)
        return [
            actions.Send(name, msg)
            for name in owners.names
            if name not in report.acked_by
        ]
