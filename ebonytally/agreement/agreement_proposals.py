"""Proposals: appended on the leader, forwarded to it elsewhere."""

import attrs

from ebonytally import actions
from ebonytally.agreement import agreement_apply
from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import agreement_results
from ebonytally.agreement import agreement_state
from ebonytally import errors
from ebonytally import reasons
from ebonytally import wire

DEADLINE_S = 5.0
RETRY_S = 0.5
MAX_PENDING = 1024


@attrs.define
class _Pending:
    """A proposal of this VM without an outcome.

    :param deadline: seconds, when waiting for the outcome ends
    :param retry_at: seconds, when the next attempt is due
    :param attempt: number of the last attempt, 0 for none
    :param once: append it to the local log once, and forward it nowhere
    :param open_attempts: attempts that may have been appended to a log
    """

    command: bytes
    deadline: float
    retry_at: float
    once: bool = False
    attempt: int = 0
    open_attempts: set[int] = attrs.field(factory=set)


class Proposals:
    """Pending proposals of this VM and, on the leader, of peers."""

    def __init__(
        self,
        state: agreement_state.State,
        applier: agreement_apply.Applier,
    ) -> None:
        """Set up without pending proposals."""
        self._state = state
        self._applier = applier
        self._pending: dict[str, _Pending] = {}
        self._peers_by_token: dict[str, dict[str, int]] = {}

    def propose(
        self,
        token: str,
        command: object,
        now: float,
        once: bool = False,
    ) -> None:
        """Start a proposal of this VM.

        :param once: append it at most once, and only if this VM leads
        :raises ValueError: if the token is empty
        """
        if not token:
            raise ValueError("proposal token must not be empty")
        if token in self._pending:
            return
        if len(self._pending) >= MAX_PENDING:
            self._refuse(token, reasons.Refusal.PROPOSAL_QUEUE_FULL)
            return
        if not self._state.leader:
            self._refuse(token, reasons.Refusal.NO_LEADER)
            return
        if once and not self._state.is_leader:
            self._refuse(token, reasons.Refusal.NOT_LEADER)
            return
        packed = wire.pack_message(command)
        pending = _Pending(packed, now + DEADLINE_S, now, once)
        self._pending[token] = pending
        self._send_attempt(token, pending, now)

    def tick(self, now: float) -> None:
        """Retry proposals that are due and expire old ones."""
        if not self._state.is_leader:
            self._peers_by_token.clear()
        for token, pending in list(self._pending.items()):
            if now >= pending.deadline:
                self._expire(token, pending)
            elif now >= pending.retry_at and not pending.once:
                retry = reasons.Retry.PROPOSAL_UNANSWERED
                self._state.recorder.count_retry(retry)
                self._send_attempt(token, pending, now)

    def handle_propose_request(
        self,
        peer: str,
        msg: messages.ProposeRequest,
    ) -> None:
        """Append a proposal that a peer forwarded, or refuse it."""
        result = self._applier.result_of(msg.token)
        if result is not None:
            self._reply(peer, msg.token, msg.attempt, True, result)
            return
        if not self._state.is_leader:
            self._reply_refused(peer, msg, reasons.Refusal.NOT_LEADER)
            return
        if len(self._peers_by_token) >= MAX_PENDING:
            full = reasons.Refusal.PROPOSAL_QUEUE_FULL
            self._reply_refused(peer, msg, full)
            return
        refusal = self._append(msg.token, msg.command)
        if refusal is None:
            attempt_by_peer = self._peers_by_token.setdefault(msg.token, {})
            attempt_by_peer[peer] = msg.attempt
        elif refusal != reasons.Refusal.PROPOSAL_OUTCOME_UNKNOWN:
            self._reply_refused(peer, msg, refusal)

    def handle_propose_reply(
        self,
        peer: str,
        msg: messages.ProposeReply,
        now: float,
    ) -> None:
        """Complete or refuse a proposal by the leader's answer."""
        pending = self._pending.get(msg.token)
        if pending is None:
            return
        if msg.ok:
            self._complete(msg.token, msg.result)
            return
        pending.open_attempts.discard(msg.attempt)
        if msg.reason == reasons.Refusal.NOT_LEADER:
            return
        if not pending.open_attempts:
            del self._pending[msg.token]
            self._refuse(msg.token, reasons.Refusal(msg.reason))

    def on_applied(self, tokens: list[str]) -> None:
        """Answer the proposals of entries that were applied."""
        for token in tokens:
            result = self._applier.result_of(token)
            if result is None:
                continue
            self._complete(token, result)
            for peer, attempt in self._peers_by_token.pop(token, {}).items():
                self._reply(peer, token, attempt, True, result)

    def on_snapshot_installed(self) -> None:
        """Answer proposals whose results are in an installed snapshot."""
        self.on_applied(list(self._pending))

    def _send_attempt(self, token: str, pending: _Pending, now: float) -> None:
        state = self._state
        result = self._applier.result_of(token)
        if result is not None:
            self._complete(token, result)
            return
        pending.retry_at = now + RETRY_S
        if not state.leader:
            return
        pending.attempt += 1
        if state.is_leader:
            self._append_attempt(token, pending)
            return
        pending.open_attempts.add(pending.attempt)
        request = messages.ProposeRequest(
            token,
            pending.command,
            pending.attempt,
        )
        state.send(state.leader, request)

    def _append_attempt(self, token: str, pending: _Pending) -> None:
        refusal = self._append(token, pending.command)
        unknown = reasons.Refusal.PROPOSAL_OUTCOME_UNKNOWN
        if refusal is None or refusal == unknown:
            pending.open_attempts.add(pending.attempt)
        elif not pending.open_attempts:
            del self._pending[token]
            self._refuse(token, refusal)

    def _append(self, token: str, command: bytes) -> reasons.Refusal | None:
        """Append a proposal to the log; return why it failed, or None."""
        state = self._state
        for index in range(state.applied + 1, state.storage.last_index + 1):
            if state.storage.entry(index).token == token:
                return None
        try:
            state.append_own(token, command)
        except errors.StorageError as exc:
            state.storage_error = exc
            if state.storage.is_clean:
                return reasons.Refusal.STORAGE_FULL
            return reasons.Refusal.PROPOSAL_OUTCOME_UNKNOWN
        return None

    def _expire(self, token: str, pending: _Pending) -> None:
        del self._pending[token]
        if pending.open_attempts:
            unknown = reasons.Refusal.PROPOSAL_OUTCOME_UNKNOWN
            self._refuse(token, unknown)
        else:
            self._refuse(token, reasons.Refusal.NO_LEADER)

    def _complete(self, token: str, result: bytes) -> None:
        if self._pending.pop(token, None) is None:
            return
        value = agreement_results.unpack(result)
        self._state.pending_actions.append(
            actions.ProposalResult(token, True, value),
        )

    def _refuse(self, token: str, reason: reasons.Refusal) -> None:
        self._state.refuse(reason)
        refused = actions.ProposalResult(token, False, None, reason.value)
        self._state.pending_actions.append(refused)

    def _reply(
        self,
        peer: str,
        token: str,
        attempt: int,
        ok: bool,
        result: bytes,
        reason: str = "",
    ) -> None:
        reply = messages.ProposeReply(
            token,
            ok,
            result,
            reason,
            self._state.leader,
            attempt,
        )
        self._state.send(peer, reply)

    def _reply_refused(
        self,
        peer: str,
        msg: messages.ProposeRequest,
        reason: reasons.Refusal,
    ) -> None:
        self._state.refuse(reason)
        self._reply(peer, msg.token, msg.attempt, False, b"", reason.value)
