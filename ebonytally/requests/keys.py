"""A keeper's part: the right to run a request, given at most once."""

import attrs

from ebonytally import actions
from ebonytally.requests import key_id
from ebonytally.requests import key_messages as messages
from ebonytally.requests import key_places
from ebonytally.requests import key_records
from ebonytally.requests import key_sync
from ebonytally import settings
from ebonytally import view as views

LOST_AFTER_S = 2.0
KEEP_LONGER_S = 5.0
PAUSED_S = 0.5
_State = messages.KeyState
_Verdict = messages.Verdict


class Keeper:
    """Keeps the claims of keys of one entry VM's buckets.

    A claim is granted when both keepers of its key have recorded it,
    with a valid lease and in the same keeper epoch, and one of them
    knows all earlier claims of the key.

    :param me: name of this entry VM
    """

    def __init__(self, me: str, cfg: settings.Settings, seed: int) -> None:
        """Start without records."""
        self._me = me
        self._cfg = cfg.requests
        self._records = key_records.Records(cfg.requests.max_keys)
        self._sync = key_sync.Sync(me, cfg, self._records, seed)
        self._vms: dict[str, views.Vm] = {}
        self._leased = False
        self._seen = float("-inf")

    @property
    def epoch(self) -> int:
        """Return the keeper epoch of the present view."""
        return self._sync.epoch

    @property
    def handed_over(self) -> bool:
        """Tell whether no other entry VM needs records from here."""
        return not self._sync.owes

    @property
    def size(self) -> int:
        """Return the number of keys that are held."""
        return len(self._records)

    @property
    def answers_bytes(self) -> int:
        """Return the bytes of answers that are held."""
        return self._records.bodies_bytes

    def pair(self, key: bytes) -> key_places.Pair:
        """Return the keepers of a key."""
        return self._sync.pair(key_id.bucket(key))

    def changed(self, view: views.View, now: float) -> None:
        """Take a newer view."""
        self._vms = {vm.name: vm for vm in view.vms}
        self._sync.changed(view, now)

    def reach(self, leased: bool, now: float) -> None:
        """Take whether the configuration lease holds."""
        self._leased = leased
        self._seen = now
        if leased:
            self._sync.settle()

    def tick(self, now: float) -> list[actions.Action]:
        """Drop old records and ask for missing ones."""
        self._seen = now
        window_s = self._cfg.key_window_s + KEEP_LONGER_S
        self._records.expire(now - window_s)
        return self._sync.tick(now)

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message that is for a keeper."""
        if isinstance(msg, messages.Claim):
            return self._claim(peer, msg, now)
        if isinstance(msg, messages.ClaimEnded):
            return self._ended(peer, msg, now)
        if isinstance(msg, messages.SyncAsk):
            return self._sync.asked(peer, msg, now)
        if isinstance(msg, messages.SyncPart):
            return self._sync.came(peer, msg, now)
        if isinstance(msg, messages.SyncDone):
            self._sync.done(peer, msg)
        return []

    def _claim(
        self,
        peer: str,
        msg: messages.Claim,
        now: float,
    ) -> list[actions.Action]:
        pair = self.pair(msg.key)
        if not self._may_judge(peer, msg, pair, now):
            return _answer(msg, _Verdict.AGAIN)
        record = self._records.get(msg.key)
        if record is not None:
            verdict = self._judged(msg, record, now)
            if verdict is not _Verdict.GRANTED:
                return _answer(msg, verdict, record)
        bucket = key_id.bucket(msg.key)
        vouches = self._sync.vouches(bucket, now - msg.age_s)
        vouched = vouches or msg.vouched
        if msg.second and not vouched:
            return _answer(msg, _Verdict.UNKNOWN)
        self._records.put(msg.key, _running(msg, now))
        if msg.second:
            return _answer(msg, _Verdict.GRANTED)
        onward = attrs.evolve(msg, second=True, vouched=vouched)
        return [actions.Send(pair.second, onward)]

    def _may_judge(
        self,
        peer: str,
        msg: messages.Claim,
        pair: key_places.Pair,
        now: float,
    ) -> bool:
        if not self._leased or now - self._seen > PAUSED_S:
            return False
        if msg.epoch != self.epoch or not pair.complete:
            return False
        if msg.second:
            return self._me == pair.second and peer == pair.first
        return self._me == pair.first and peer == msg.vm

    def _judged(
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
        if now > record.ends or self._is_lost(record):
            return _Verdict.UNKNOWN
        return _Verdict.STILL_RUNNING

    def _is_lost(self, record: key_records.Record) -> bool:
        """Tell whether the entry VM that made the claim has ended."""
        vm = self._vms.get(record.vm)
        if vm is None or vm.state is views.VmState.DOWN:
            return True
        return vm.incarnation > record.incarnation

    def _ended(
        self,
        peer: str,
        msg: messages.ClaimEnded,
        now: float,
    ) -> list[actions.Action]:
        new = key_records.Record(
            content=msg.content,
            claim=msg.claim,
            state=msg.state,
            vm=peer,
            incarnation=0,
            minted=now - msg.age_s,
            ends=now,
            answer=msg.answer,
        )
        old = self._records.get(msg.key)
        if old is not None:
            new = key_records.merged(old, new)
        if new is not old:
            self._records.put(msg.key, new)
        return [actions.Send(peer, messages.ClaimEndNoted(msg.claim))]


def _running(msg: messages.Claim, now: float) -> key_records.Record:
    return key_records.Record(
        content=msg.content,
        claim=msg.claim,
        state=_State.RUNNING,
        vm=msg.vm,
        incarnation=msg.incarnation,
        minted=now - msg.age_s,
        ends=now + msg.left_s + LOST_AFTER_S,
    )


def _answer(
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
