"""Idempotency keys at one entry VM, as claimant and as owner."""

import random

from ebonytally import actions
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally.requests import key_claims
from ebonytally.requests import key_id
from ebonytally.requests import key_messages as messages
from ebonytally.requests import key_owner
from ebonytally.requests import key_sync
from ebonytally.requests import request_head
from ebonytally import settings
from ebonytally import view as views

_START_BITS = 64


class RequestKeys:
    """Claimant and owner of keys, with local delivery between the two.

    Decisions on claims are collected until `take_decisions` is called.

    :param local_vm: name of this entry VM
    :param seed: differs at each start of the daemon
    """

    def __init__(
        self,
        cfg: settings.Settings,
        local_vm: str,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Set up without claims or records."""
        self._cfg = cfg.requests
        self._local_vm = local_vm
        start_id = f"{random.Random(seed).getrandbits(_START_BITS):x}"
        self.owner = key_owner.KeyOwner(local_vm, cfg, seed)
        self._claims = key_claims.Claims(
            local_vm, start_id, self.owner, recorder
        )
        self._decisions: list[key_claims.Decision] = []

    @property
    def is_idle(self) -> bool:
        """Return whether no claim, report or handover is pending."""
        return self._claims.is_idle and self.owner.is_handed_over

    def refusal(
        self,
        head: request_head.RequestHead,
    ) -> reasons.Refusal | None:
        """Return why the key of a request is invalid, None if it is valid."""
        key = key_id.parse(head.key)
        if key is None:
            return reasons.Refusal.KEY_MALFORMED
        age_s = head.wall - key.minted_at
        if age_s > self._cfg.key_window_s:
            return reasons.Refusal.KEY_TOO_OLD
        if age_s < -self._cfg.key_ahead_s:
            return reasons.Refusal.KEY_IN_FUTURE
        return None

    def is_surely_unused(self, head: request_head.RequestHead) -> bool:
        """Return whether no entry VM can have accepted the key before.

        That is so if it is malformed or too far in the future for the
        clock of any entry VM.
        """
        key = key_id.parse(head.key)
        if key is None:
            return True
        ahead_s = self._cfg.key_ahead_s + key_sync.CLOCK_SKEW_S
        return key.minted_at - head.wall > ahead_s

    def claim(
        self,
        head: request_head.RequestHead,
        now: float,
    ) -> list[actions.Action]:
        """Claim the right to run a request, whose key must be valid."""
        key = key_id.parse(head.key)
        minted_at = now - (head.wall - key.minted_at)
        actions_ = self._claims.claim(head, key.raw, minted_at, now)
        return self._deliver_local(actions_, now)

    def on_request_end(
        self,
        req: int,
        state: messages.KeyState,
        now: float,
        answer: messages.RecordedAnswer | None = None,
    ) -> list[actions.Action]:
        """Report to the owners of its key how a request ended."""
        answer = answer or messages.RecordedAnswer()
        return self._deliver_local(
            self._claims.on_request_end(req, state, answer, now),
            now,
        )

    def take_decisions(self) -> list[key_claims.Decision]:
        """Return and clear the decisions on claims since the last call."""
        decided = self._decisions
        self._decisions = []
        return decided

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message about keys from another entry VM."""
        return self._deliver_local(self._handle_message(peer, msg, now), now)

    def tick(self, now: float) -> list[actions.Action]:
        """Expire records and repeat unanswered messages."""
        actions_ = self.owner.tick(now) + self._claims.tick(now)
        return self._deliver_local(actions_, now)

    def on_view_change(self, view: views.View, now: float) -> None:
        """Apply a newer view."""
        for vm in view.vms:
            if vm.name == self._local_vm:
                self._claims.incarnation = vm.incarnation
        self.owner.on_view_change(view, now)

    def _handle_message(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        if isinstance(msg, messages.ClaimAnswer):
            decision = self._claims.handle_answer(msg, now)
            if decision is not None:
                self._decisions.append(decision)
            return []
        if isinstance(msg, messages.ClaimEndNoted):
            self._claims.handle_end_noted(peer, msg)
            return []
        return self.owner.handle(peer, msg, now)

    def _deliver_local(
        self,
        actions_: list[actions.Action],
        now: float,
    ) -> list[actions.Action]:
        """Handle messages to this VM at once and return other actions."""
        outgoing: list[actions.Action] = []
        pending = list(actions_)
        while pending:
            action = pending.pop(0)
            if (
                isinstance(action, actions.Send)
                and action.peer == self._local_vm
            ):
                pending += self._handle_message(
                    self._local_vm, action.msg, now
                )
            else:
                outgoing.append(action)
        return outgoing
