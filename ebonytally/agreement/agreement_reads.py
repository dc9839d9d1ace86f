"""Linearizable reads on the leader, each confirmed by a majority."""

import attrs

from ebonytally import actions
from ebonytally.agreement import agreement_replication
from ebonytally.agreement import agreement_state
from ebonytally import reasons

# Callers stop waiting for an answer after 1 s.
DEADLINE_S = 0.8
# Heartbeats that confirm a read may be lost and are resent.
RESEND_S = 0.1
MAX_READS = 256


@attrs.define
class _Read:
    """A read that waits for its confirmation.

    :param barrier: only replies to messages stamped later count
    :param index: commit index that must have been applied
    :param deadline: seconds, when the read fails
    """

    barrier: float
    index: int
    deadline: float


class Reads:
    """Confirms reads by a heartbeat round, independent of clocks."""

    def __init__(
        self,
        state: agreement_state.State,
        replication: agreement_replication.Replication,
    ) -> None:
        """Set up without pending reads."""
        self._state = state
        self._replication = replication
        self._reads: dict[str, _Read] = {}
        self._sent_at = 0.0

    def begin(self, token: str, now: float) -> None:
        """Start a read; its outcome is an `actions.ProposalResult`."""
        if (
            not self._state.is_leader
            or not self._replication.has_committed_in_term
        ):
            self._refuse(token, reasons.Refusal.NOT_LEADER)
            return
        if len(self._reads) >= MAX_READS:
            self._refuse(token, reasons.Refusal.PROPOSAL_QUEUE_FULL)
            return
        barrier = self._replication.barrier(now)
        self._sent_at = now
        deadline = now + DEADLINE_S
        self._reads[token] = _Read(barrier, self._state.commit, deadline)

    def advance(self, now: float) -> None:
        """Finish confirmed reads, fail late ones, resend heartbeats."""
        if not self._reads:
            return
        for token, read in list(self._reads.items()):
            if not self._state.is_leader:
                self._fail(token, reasons.Refusal.NOT_LEADER)
            elif self._confirmed(read):
                del self._reads[token]
                self._state.pending_actions.append(
                    actions.ProposalResult(token, True)
                )
            elif now >= read.deadline:
                self._fail(token, reasons.Refusal.NO_LEADER)
        if self._reads and now - self._sent_at >= RESEND_S:
            self._sent_at = now
            self._replication.barrier(now)

    def _confirmed(self, read: _Read) -> bool:
        if self._state.applied < read.index:
            return False
        return self._replication.is_confirmed(read.barrier)

    def _fail(self, token: str, reason: reasons.Refusal) -> None:
        del self._reads[token]
        self._refuse(token, reason)

    def _refuse(self, token: str, reason: reasons.Refusal) -> None:
        self._state.refuse(reason)
        refused = actions.ProposalResult(token, False, None, reason.value)
        self._state.pending_actions.append(refused)
