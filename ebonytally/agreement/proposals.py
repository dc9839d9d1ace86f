"""Brings proposals of any entry VM to the replicated log and back."""

import attrs

from ebonytally import actions
from ebonytally.agreement import agreement_results
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally.spread import spread_messages as messages
from ebonytally import wire

TIMEOUT_S = 3.0
MAX_FORWARDS = 1000


@attrs.frozen
class _Forward:
    token: str
    deadline: float


class Proposals:
    """Forwards proposals of a VM that has no log of its own."""

    def __init__(
        self,
        local_vm: str,
        incarnation: int,
        recorder: recorders.Recorder,
    ) -> None:
        """Start with nothing under way.

        :param incarnation: of the daemon, so that tokens never recur
        """
        self._token_prefix = f"{local_vm}.{incarnation}"
        self._recorder = recorder
        self._forwards: dict[str, _Forward] = {}
        self._origins: dict[str, tuple[str, float]] = {}
        self._token_count = 0

    def forward(
        self,
        propose: actions.Propose,
        control_vm: str,
        now: float,
    ) -> list[actions.Action]:
        """Send a proposal to a control VM; "" when none is known."""
        if not control_vm or len(self._forwards) >= MAX_FORWARDS:
            reason = reasons.Refusal.NO_LEADER
            self._recorder.refused(reason)
            end = actions.Decided(propose.token, False, None, reason.value)
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
        """Turn a forwarded proposal into one for the log here.

        :raises WireError: when the command can't be read
        """
        command = wire.unpack_message(msg.command)
        self._origins[msg.token] = (peer, now + TIMEOUT_S)
        return actions.Propose(f"forwarded:{msg.token}", command)

    def on_local_end(self, end: actions.Decided) -> list[actions.Action]:
        """Tell the VM that forwarded a proposal how it ended."""
        token = end.token.removeprefix("forwarded:")
        origin = self._origins.pop(token, None)
        if origin is None:
            return []
        result = agreement_results.pack(end.result)
        reply = messages.ForwardedEnd(token, end.ok, end.reason, result)
        return [actions.Send(origin[0], reply)]

    def ended(self, msg: messages.ForwardedEnd) -> list[actions.Action]:
        """Take the end of a proposal that was forwarded from here.

        :raises WireError: when the answer can't be read
        """
        forwarded = self._forwards.pop(msg.token, None)
        if forwarded is None:
            return []
        result = agreement_results.unpack(msg.result)
        end = actions.Decided(forwarded.token, msg.ok, result, msg.reason)
        return [end]

    def tick(self, now: float) -> list[actions.Action]:
        """Give up on proposals that nobody answered."""
        expired = [
            token
            for token, forwarded in self._forwards.items()
            if now >= forwarded.deadline
        ]
        results: list[actions.Action] = []
        for token in expired:
            forwarded = self._forwards.pop(token)
            reason = reasons.Refusal.NO_LEADER
            self._recorder.refused(reason)
            results.append(
                actions.Decided(forwarded.token, False, None, reason.value)
            )
        self._origins = {
            token: origin
            for token, origin in self._origins.items()
            if now < origin[1]
        }
        return results
