"""Keys of one entry VM: claims it makes, and claims it keeps."""

import random

from ebonytally import actions
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally.requests import key_claims
from ebonytally.requests import key_id
from ebonytally.requests import key_messages as messages
from ebonytally.requests import key_sync
from ebonytally.requests import keys
from ebonytally.requests import request_head
from ebonytally import settings
from ebonytally import view as views

_START_BITS = 64


class RequestKeys:
    """Both parts of the ledger of keys, over one way for messages.

    Decisions on claims are collected until `decisions` is called.

    :param me: name of this entry VM
    :param seed: another one at each start of the daemon
    """

    def __init__(
        self,
        cfg: settings.Settings,
        me: str,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Start without keys."""
        self._cfg = cfg.requests
        self._me = me
        start = f"{random.Random(seed).getrandbits(_START_BITS):x}"
        self.keeper = keys.Keeper(me, cfg, seed)
        self._claims = key_claims.Claims(me, start, self.keeper, recorder)
        self._decisions: list[key_claims.Decision] = []

    @property
    def idle(self) -> bool:
        """Tell whether nothing is left to report or to hand over."""
        return self._claims.idle and self.keeper.handed_over

    def fault(
        self,
        head: request_head.RequestHead,
    ) -> reasons.Refusal | None:
        """Return why the key of a request can't be used."""
        key = key_id.parse(head.key)
        if key is None:
            return reasons.Refusal.KEY_MALFORMED
        age_s = head.wall - key.minted
        if age_s > self._cfg.key_window_s:
            return reasons.Refusal.KEY_TOO_OLD
        if age_s < -self._cfg.key_ahead_s:
            return reasons.Refusal.KEY_IN_FUTURE
        return None

    def never_used(self, head: request_head.RequestHead) -> bool:
        """Tell whether no entry VM can have taken the key before."""
        key = key_id.parse(head.key)
        if key is None:
            return True
        ahead_s = self._cfg.key_ahead_s + key_sync.CLOCK_SKEW_S
        return key.minted - head.wall > ahead_s

    def begin(
        self,
        head: request_head.RequestHead,
        now: float,
    ) -> list[actions.Action]:
        """Claim the right to run a request; its key has no fault."""
        key = key_id.parse(head.key)
        minted = now - (head.wall - key.minted)
        acts = self._claims.begin(head, key.raw, minted, now)
        return self._deliver(acts, now)

    def ended(
        self,
        req: int,
        state: messages.KeyState,
        now: float,
        answer: messages.KeptAnswer | None = None,
    ) -> list[actions.Action]:
        """Tell the keepers how a claimed request ended."""
        answer = answer or messages.KeptAnswer()
        return self._deliver(
            self._claims.ended(req, state, answer, now),
            now,
        )

    def decisions(self) -> list[key_claims.Decision]:
        """Return the decisions since the last call."""
        decided = self._decisions
        self._decisions = []
        return decided

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message about keys from another entry VM."""
        return self._deliver(self._take(peer, msg, now), now)

    def tick(self, now: float) -> list[actions.Action]:
        """Do what is due."""
        acts = self.keeper.tick(now) + self._claims.tick(now)
        return self._deliver(acts, now)

    def changed(self, view: views.View, now: float) -> None:
        """Take a newer view."""
        for vm in view.vms:
            if vm.name == self._me:
                self._claims.incarnation = vm.incarnation
        self.keeper.changed(view, now)

    def _take(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        if isinstance(msg, messages.ClaimAnswer):
            decision = self._claims.decided(msg, now)
            if decision is not None:
                self._decisions.append(decision)
            return []
        if isinstance(msg, messages.ClaimEndNoted):
            self._claims.noted(peer, msg)
            return []
        return self.keeper.handle(peer, msg, now)

    def _deliver(
        self,
        acts: list[actions.Action],
        now: float,
    ) -> list[actions.Action]:
        """Handle messages to this entry VM itself at once."""
        outward: list[actions.Action] = []
        todo = list(acts)
        while todo:
            act = todo.pop(0)
            if isinstance(act, actions.Send) and act.peer == self._me:
                todo += self._take(self._me, act.msg, now)
            else:
                outward.append(act)
        return outward
