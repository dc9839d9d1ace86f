"""Owner of idempotency keys: grants the right to run a request once."""

import attrs

from ebonytally import actions
from ebonytally.requests import key_id
from ebonytally.requests import key_messages as messages
from ebonytally.requests import key_placement
from ebonytally.requests import key_records
from ebonytally.requests import key_sync
from ebonytally import settings
from ebonytally import view as views

CLAIM_LOST_AFTER_S = 2.0
KEY_WINDOW_MARGIN_S = 5.0
# A daemon that did not run for longer may hold an expired lease.
MAX_PAUSE_S = 0.5
_State = messages.KeyState
_Verdict = messages.Verdict


class KeyOwner:
    """Records and decides claims of the keys that one entry VM owns.

    A claim is granted when both owners of its key have recorded it, each
    with a valid configuration lease and in the same owner epoch, and one
    of them knows all earlier claims of the key.

    :param local_vm: name of this entry VM
    :param seed: differs at each start of the daemon
    """

    def __init__(
        self, local_vm: str, cfg: settings.Settings, seed: int
    ) -> None:
        """Set up without records, view or lease."""
        self._local_vm = local_vm
        self._cfg = cfg.requests
        self._records = key_records.Records(cfg.requests.max_keys)
        self._sync = key_sync.Sync(local_vm, cfg, self._records, seed)
        self._vms: dict[str, views.Vm] = {}
        self._leased = False
        self._last_active = float("-inf")

    @property
    def epoch(self) -> int:
        """Return the owner epoch of the current view, -1 without one."""
        return self._sync.epoch

    @property
    def is_handed_over(self) -> bool:
        """Return whether every new owner has the records it needs."""
        return not self._sync.has_pending_transfers

    @property
    def key_count(self) -> int:
        """Return the number of recorded keys."""
        return len(self._records)

    @property
    def answers_bytes(self) -> int:
        """Return the bytes of all recorded answer bodies."""
        return self._records.bodies_bytes

    def owners(self, key: bytes) -> key_placement.Owners:
        """Return the owners of a key."""
        return self._sync.owners(key_id.bucket(key))

    def on_view_change(self, view: views.View, now: float) -> None:
        """Apply a newer view."""
        self._vms = {vm.name: vm for vm in view.vms}
        self._sync.on_view_change(view, now)

    def on_lease_update(self, leased: bool, now: float) -> None:
        """Record whether the configuration lease is valid now."""
        self._leased = leased
        self._last_active = now
        if leased:
            self._sync.on_lease()

    def tick(self, now: float) -> list[actions.Action]:
        """Drop expired records and ask other owners for missing ones."""
        self._last_active = now
        retention_s = self._cfg.key_window_s + KEY_WINDOW_MARGIN_S
        self._records.expire(now - retention_s)
        return self._sync.tick(now)

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message to an owner from another entry VM."""
        if isinstance(msg, messages.Claim):
            return self._handle_claim(peer, msg, now)
        if isinstance(msg, messages.ClaimEnded):
            return self._handle_claim_ended(peer, msg, now)
        if isinstance(msg, messages.SyncAsk):
            return self._sync.handle_ask(peer, msg, now)
        if isinstance(msg, messages.SyncPart):
            return self._sync.handle_part(peer, msg, now)
        if isinstance(msg, messages.SyncDone):
            self._sync.handle_done(peer, msg)
        return []

    def _handle_claim(
        self,
        peer: str,
        msg: messages.Claim,
        now: float,
    ) -> list[actions.Action]:
        owners = self.owners(msg.key)
        if not self._may_decide(peer, msg, owners, now):
            return _claim_answer(msg, _Verdict.AGAIN)
        record = self._records.get(msg.key)
        if record is not None:
            verdict = self._verdict(msg, record, now)
            if verdict is not _Verdict.GRANTED:
                return _claim_answer(msg, verdict, record)
        bucket = key_id.bucket(msg.key)
        complete = self._sync.is_complete_for(bucket, now - msg.age_s)
        history_complete = complete or msg.history_complete
        if msg.is_forwarded and not history_complete:
            return _claim_answer(msg, _Verdict.UNKNOWN)
        self._records.put(msg.key, _running_record(msg, now))
        if msg.is_forwarded:
            return _claim_answer(msg, _Verdict.GRANTED)
        forwarded = attrs.evolve(
            msg, is_forwarded=True, history_complete=history_complete
        )
        return [actions.Send(owners.second, forwarded)]

    def _may_decide(
        self,
        peer: str,
        msg: messages.Claim,
        owners: key_placement.Owners,
        now: float,
    ) -> bool:
        """Return whether lease, epoch and role allow to decide a claim."""
        if not self._leased or now - self._last_active > MAX_PAUSE_S:
            return False
        if msg.epoch != self.epoch or not owners.is_complete:
            return False
        if msg.is_forwarded:
            return self._local_vm == owners.second and peer == owners.first
        return self._local_vm == owners.first and peer == msg.vm

    def _verdict(
        self,
        msg: messages.Claim,
        record: key_records.Record,
        now: float,
    ) -> messages.Verdict:
        """Return the verdict on a claim of a key that has a record."""
        if record.content != msg.content:
            return _Verdict.CONTENT_DIFFERS
        if record.state in (_State.ANSWERED, _State.FAILED):
            return _Verdict.ENDED
        if record.state is _State.UNKNOWN:
            return _Verdict.UNKNOWN
        if record.claim == msg.claim:
            running = record.state is _State.RUNNING
            return _Verdict.GRANTED if running else _Verdict.UNKNOWN
        if record.state is _State.NOT_RUN:
            return _Verdict.GRANTED
        if now > record.lost_at or self._is_lost(record):
            return _Verdict.UNKNOWN
        return _Verdict.STILL_RUNNING

    def _is_lost(self, record: key_records.Record) -> bool:
        """Return whether the claiming daemon is down or has restarted."""
        vm = self._vms.get(record.vm)
        if vm is None or vm.state is views.VmState.DOWN:
            return True
        return vm.incarnation > record.incarnation

    def _handle_claim_ended(
        self,
        peer: str,
        msg: messages.ClaimEnded,
        now: float,
    ) -> list[actions.Action]:
        updated = key_records.Record(
            content=msg.content,
            claim=msg.claim,
            state=msg.state,
            vm=peer,
            incarnation=0,
            minted_at=now - msg.age_s,
            lost_at=now,
            answer=msg.answer,
        )
        old = self._records.get(msg.key)
        if old is not None:
            updated = key_records.merge(old, updated)
        if updated is not old:
            self._records.put(msg.key, updated)
        return [actions.Send(peer, messages.ClaimEndNoted(msg.claim))]


def _running_record(msg: messages.Claim, now: float) -> key_records.Record:
    return key_records.Record(
        content=msg.content,
        claim=msg.claim,
        state=_State.RUNNING,
        vm=msg.vm,
        incarnation=msg.incarnation,
        minted_at=now - msg.age_s,
        lost_at=now + msg.left_s + CLAIM_LOST_AFTER_S,
    )


def _claim_answer(
    msg: messages.Claim,
    verdict: messages.Verdict,
    record: key_records.Record | None = None,
) -> list[actions.Action]:
    answer = messages.ClaimAnswer(msg.claim, msg.attempt, verdict)
    if verdict is _Verdict.ENDED:
        answer = attrs.evolve(
            answer,
            state=record.state,
            answer=record.answer,
        )
    return [actions.Send(msg.vm, answer)]
