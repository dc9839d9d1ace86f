"""The claimant's part: getting the right to run, and saying how it went."""

import collections

import attrs

from ebonytally import actions
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally.requests import key_messages as messages
from ebonytally.requests import key_sync
from ebonytally.requests import keys
from ebonytally.requests import request_head

AGAIN_S = 0.1
REPORT_AGAIN_S = 0.5
REPORT_S = 30.0
MAX_REPORTS = 10_000


@attrs.define
class _Claim:
    """A claim that isn't decided.

    :param minted: when the key was minted, on the clock of `now`
    :param sent: when the latest try was sent
    :param again: when the next try is due
    """

    req: int
    key: bytes
    content: bytes
    minted: float
    deadline: float
    attempt: int = 0
    sent: float = 0.0
    again: float = 0.0


@attrs.define
class _Report:
    """The end of a claim, until both keepers have noted it."""

    msg: messages.ClaimEnded
    minted: float
    until: float
    again: float
    noted: set[str] = attrs.field(factory=set)


@attrs.frozen
class Decision:
    """What the keepers say to a claim; never AGAIN."""

    req: int
    verdict: messages.Verdict
    state: messages.KeyState
    answer: messages.KeptAnswer


class Claims:
    """The claims that one entry VM makes.

    :param me: name of this entry VM
    :param start: unique to this start of the daemon
    :param keeper: knows who keeps a key
    """

    def __init__(
        self,
        me: str,
        start: str,
        keeper: keys.Keeper,
        recorder: recorders.Recorder,
    ) -> None:
        """Start without claims."""
        self._me = me
        self._start = start
        self._keeper = keeper
        self._recorder = recorder
        self._claims: dict[str, _Claim] = {}
        self._granted: dict[str, _Claim] = {}
        self._reports: collections.OrderedDict[str, _Report]
        self._reports = collections.OrderedDict()
        self.incarnation = 0

    @property
    def idle(self) -> bool:
        """Tell whether all claims are decided and reported."""
        return not self._claims and not self._granted and not self._reports

    def begin(
        self,
        head: request_head.RequestHead,
        key: bytes,
        minted: float,
        now: float,
    ) -> list[actions.Action]:
        """Claim the right to run a request.

        :param minted: when the key was minted, on the clock of `now`
        """
        claim = _Claim(head.req, key, head.content, minted, head.deadline)
        self._claims[self._name(head.req)] = claim
        return self._send(claim, now)

    def decided(
        self,
        msg: messages.ClaimAnswer,
        now: float,
    ) -> Decision | None:
        """Take an answer of a keeper; None when nothing is decided.

        An answer that took long is left aside: a keeper judges a key's
        age by when the claim reaches it.
        """
        claim = self._claims.get(msg.claim)
        if claim is None or claim.attempt != msg.attempt:
            return None
        if now - claim.sent > key_sync.CLAIM_S:
            return None
        if msg.verdict is messages.Verdict.AGAIN:
            claim.again = min(claim.again, now + AGAIN_S)
            return None
        del self._claims[msg.claim]
        self._granted[msg.claim] = claim
        return Decision(claim.req, msg.verdict, msg.state, msg.answer)

    def ended(
        self,
        req: int,
        state: messages.KeyState,
        answer: messages.KeptAnswer,
        now: float,
    ) -> list[actions.Action]:
        """Tell both keepers how a claimed request ended.

        NOT_RUN gives the claim up: it must never be dispatched then.
        """
        name = self._name(req)
        claim = self._claims.pop(name, None) or self._granted.pop(name, None)
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
        report = _Report(msg, claim.minted, now + REPORT_S, now)
        self._reports[name] = report
        if len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)
        return self._tell(report, now)

    def noted(self, peer: str, msg: messages.ClaimEndNoted) -> None:
        """Take that a keeper has recorded the end of a claim."""
        report = self._reports.get(msg.claim)
        if report is None:
            return
        report.noted.add(peer)
        pair = self._keeper.pair(report.msg.key)
        if report.noted.issuperset(pair.names):
            del self._reports[msg.claim]

    def tick(self, now: float) -> list[actions.Action]:
        """Try again what wasn't answered."""
        acts: list[actions.Action] = []
        for claim in self._claims.values():
            if now >= claim.again:
                self._recorder.retried(reasons.Retry.KEY_CLAIM_LOST)
                acts += self._send(claim, now)
        for name, report in list(self._reports.items()):
            if now >= report.until:
                del self._reports[name]
            elif now >= report.again:
                acts += self._tell(report, now)
        return acts

    def _name(self, req: int) -> str:
        return f"{self._me}/{self._start}/{req}"

    def _send(self, claim: _Claim, now: float) -> list[actions.Action]:
        claim.attempt += 1
        claim.sent = now
        claim.again = now + key_sync.CLAIM_S
        pair = self._keeper.pair(claim.key)
        if not pair.complete:
            return []
        msg = messages.Claim(
            key=claim.key,
            content=claim.content,
            claim=self._name(claim.req),
            attempt=claim.attempt,
            epoch=self._keeper.epoch,
            age_s=now - claim.minted,
            left_s=claim.deadline - now,
            vm=self._me,
            incarnation=self.incarnation,
        )
        return [actions.Send(pair.first, msg)]

    def _tell(self, report: _Report, now: float) -> list[actions.Action]:
        report.again = now + REPORT_AGAIN_S
        msg = attrs.evolve(report.msg, age_s=now - report.minted)
        pair = self._keeper.pair(msg.key)
        return [
            actions.Send(name, msg)
            for name in pair.names
            if name not in report.noted
        ]
