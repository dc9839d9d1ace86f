"""Forwards proposals of entry VMs to a control VM, and outcomes back."""

import attrs

from ebonytally import actions
from ebonytally.agreement import agreement_results
from ebonytally.dissemination import dissemination_messages as messages
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import wire

TIMEOUT_S = 3.0
MAX_FORWARDS = 1000


@attrs.frozen
class _Forward:
    """A forwarded proposal without an outcome.

    :param token: the proposer's token
    :param deadline: seconds, when waiting for the outcome ends
    """

    token: str
    deadline: float


class ProposalForwarder:
    """Forwarded proposals, as their origin and as a control VM."""

    def __init__(
        self,
        local_vm: str,
        incarnation: int,
        recorder: recorders.Recorder,
    ) -> None:
        """Set up without forwarded proposals.

        :param incarnation: number of the daemon's start, so that tokens
            are never reused
        """
        self._token_prefix = f"{local_vm}.{incarnation}"
        self._recorder = recorder
        self._forwards: dict[str, _Forward] = {}
        # By token: the VM that forwarded it, and when to forget that.
        self._origins: dict[str, tuple[str, float]] = {}
        self._token_count = 0

    def forward(
        self,
        propose: actions.Propose,
        control_vm: str,
        now: float,
    ) -> list[actions.Action]:
        """Forward a proposal; refuse it if no VM is known or too many wait.

        :param control_vm: where to forward to, "" if unknown
        """
        if not control_vm or len(self._forwards) >= MAX_FORWARDS:
            reason = reasons.Refusal.NO_LEADER
            self._recorder.count_refusal(reason)
            end = actions.ProposalResult(
                propose.token, False, None, reason.value
            )
            return [end]
        self._token_count += 1
        token = f"{self._token_prefix}/{self._token_count}"
        self._forwards[token] = _Forward(propose.token, now + TIMEOUT_S)
        packed = wire.pack_message(propose.command)
        return [actions.Send(control_vm, messages.Forwarded(token, packed))]

    def handle_forwarded(
        self,
        peer: str,
        msg: messages.Forwarded,
        now: float,
    ) -> actions.Propose:
        """Return a forwarded proposal as one for the local log.

        :raises WireError: if the command can't be decoded
        """
        command = wire.unpack_message(msg.command)
        self._origins[msg.token] = (peer, now + TIMEOUT_S)
        return actions.Propose(f"forwarded:{msg.token}", command)

    def on_local_result(
        self, end: actions.ProposalResult
    ) -> list[actions.Action]:
        """Send the outcome to the VM that forwarded the proposal."""
        token = end.token.removeprefix("forwarded:")
        origin = self._origins.pop(token, None)
        if origin is None:
            return []
        result = agreement_results.pack(end.result)
        reply = messages.ForwardedEnd(
            token, end.is_committed, end.reason, result
        )
        return [actions.Send(origin[0], reply)]

    def handle_forwarded_result(
        self,
        msg: messages.ForwardedEnd,
    ) -> list[actions.Action]:
        """Report the outcome of a proposal forwarded from this VM.

        :raises WireError: if the result can't be decoded
        """
        forwarded = self._forwards.pop(msg.token, None)
        if forwarded is None:
            return []
        result = agreement_results.unpack(msg.result)
        end = actions.ProposalResult(
            forwarded.token, msg.ok, result, msg.reason
        )
        return [end]

    def tick(self, now: float) -> list[actions.Action]:
        """Refuse forwarded proposals that got no answer in time."""
        expired = [
            token
            for token, forwarded in self._forwards.items()
            if now >= forwarded.deadline
        ]
        actions_: list[actions.Action] = []
        for token in expired:
            forwarded = self._forwards.pop(token)
            reason = reasons.Refusal.NO_LEADER
            self._recorder.count_refusal(reason)
            actions_.append(
                actions.ProposalResult(
                    forwarded.token, False, None, reason.value
                )
            )
        self._origins = {
            token: origin
            for token, origin in self._origins.items()
            if now < origin[1]
        }
        return actions_
