"""Brings proposals of any entry VM to the replicated log and back."""

import attrs

from ebonytally import actions
from ebonytally.agreement import agreement_results
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally.spread import spread_messages as messages
from ebonytally import wire

TIMEOUT_S = 3.0
MAX_WAITING = 1000


@attrs.frozen
class _Waiting:
    token: str
    until: float


class Proposals:
    """Forwards proposals of a VM that has no log of its own."""

    def __init__(
        self,
        me: str,
        incarnation: int,
        recorder: recorders.Recorder,
    ) -> None:
        """Start with nothing under way.

        :param incarnation: of the daemon, so that tokens never recur
        """
        self._start = f"{me}.{incarnation}"
        self._recorder = recorder
        self._waiting: dict[str, _Waiting] = {}
        self._origins: dict[str, tuple[str, float]] = {}
        self._count = 0

    def forward(
        self,
        propose: actions.Propose,
        to: str,
        now: float,
    ) -> list[actions.Action]:
        """Send a proposal to a control VM; "" when none is known."""
        if not to or len(self._waiting) >= MAX_WAITING:
            reason = reasons.Refusal.NO_LEADER
            self._recorder.refused(reason)
            end = actions.Decided(propose.token, False, None, reason.value)
            return [end]
        self._count += 1
        token = f"{self._start}/{self._count}"
        self._waiting[token] = _Waiting(propose.token, now + TIMEOUT_S)
        packed = wire.pack_message(propose.command)
        return [actions.Send(to, messages.Forwarded(token, packed))]

    def taken(
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

    def ended_here(self, end: actions.Decided) -> list[actions.Action]:
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
        waiting = self._waiting.pop(msg.token, None)
        if waiting is None:
            return []
        result = agreement_results.unpack(msg.result)
        end = actions.Decided(waiting.token, msg.ok, result, msg.reason)
        return [end]

    def tick(self, now: float) -> list[actions.Action]:
        """Give up on proposals that nobody answered."""
        late = [
            token
            for token, waiting in self._waiting.items()
            if now >= waiting.until
        ]
        out: list[actions.Action] = []
        for token in late:
            waiting = self._waiting.pop(token)
            reason = reasons.Refusal.NO_LEADER
            self._recorder.refused(reason)
            out.append(
                actions.Decided(waiting.token, False, None, reason.value)
            )
        self._origins = {
            token: origin
            for token, origin in self._origins.items()
            if now < origin[1]
        }
        return out
