"""Which claims a keeper knows, and records on their way between keepers.

A keeper knows all claims of a bucket from the epoch on in which it became
its keeper. What was before, it gets from a keeper of the epochs before.
Until then it vouches only for keys that nobody can have claimed earlier,
as they were minted later.
"""

import random

import attrs

from ebonytally import actions
from ebonytally.requests import key_messages as messages
from ebonytally.requests import key_places
from ebonytally.requests import key_records
from ebonytally import settings
from ebonytally import view as views

CLOCK_SKEW_S = 0.5
CLAIM_S = 0.5
ASK_AGAIN_S = 0.5
GIVE_UP_S = 30.0
ASK_BUCKETS = 16
PART_BYTES = 128 * 1024
RECORD_BYTES = 200


@attrs.define
class _Hold:
    """What this entry VM knows of one bucket.

    :param since: first keeper epoch of which it knows all claims
    :param joins: first epoch that another's knowledge must reach to
    :param until: first epoch in which it is no keeper, 0 while it is
    :param vouch_from: it knows all claims of keys minted after this
    :param ask_until: when it gives up on sources that don't answer
    :param sources: entry VMs to get records of earlier epochs from
    :param owed: entry VMs that still need the records from here
    """

    since: int
    joins: int
    vouch_from: float
    ask_until: float
    until: int = 0
    sources: set[str] = attrs.field(factory=set)
    owed: set[str] = attrs.field(factory=set)


@attrs.define
class _Arrival:
    serial: int
    parts: set[int] = attrs.field(factory=set)


class Sync:
    """The buckets of one entry VM.

    :param me: name of this entry VM
    :param records: records of all its buckets
    """

    def __init__(
        self,
        me: str,
        cfg: settings.Settings,
        records: key_records.Records,
        seed: int,
    ) -> None:
        """Start without a view and without buckets."""
        self._me = me
        self._records = records
        self._random = random.Random(seed)
        ahead_s = cfg.requests.key_ahead_s
        self._skew_s = ahead_s + CLOCK_SKEW_S + CLAIM_S
        self._margin_s = self._skew_s + cfg.limits.lease_s
        self._epoch = -1
        self._settled = False
        self._pairs: tuple[key_places.Pair, ...] = ()
        self._holds: dict[int, _Hold] = {}
        self._arrivals: dict[tuple[str, int], _Arrival] = {}
        self._asked: dict[str, float] = {}
        self._serial = 0

    @property
    def epoch(self) -> int:
        """Return the keeper epoch of the present view."""
        return self._epoch

    @property
    def owes(self) -> bool:
        """Tell whether another entry VM still needs records from here."""
        return any(hold.owed for hold in self._holds.values())

    def pair(self, bucket: int) -> key_places.Pair:
        """Return the keepers of a bucket."""
        return self._pairs[bucket] if self._pairs else key_places.Pair()

    def vouches(self, bucket: int, minted: float) -> bool:
        """Tell whether all claims of keys minted then are known here."""
        hold = self._holds.get(bucket)
        if hold is None or hold.until:
            return False
        return minted > self._vouch_from(hold)

    def settle(self) -> None:
        """Note that the first configuration lease has come.

        What was applied until then may be old: a daemon that starts
        again reads its own past, in which it kept keys that it has
        forgotten.
        """
        self._settled = True

    def changed(self, view: views.View, now: float) -> None:
        """Take a newer view."""
        alive = {
            vm.name for vm in view.vms if vm.state is not views.VmState.DOWN
        }
        for hold in self._holds.values():
            hold.sources &= alive
            hold.owed &= alive
        if view.keeper_epoch == self._epoch:
            return
        if not self._settled:
            self._holds.clear()
            self._pairs = ()
            self._epoch = -1
        epochs = key_places.epochs(view, self._epoch)
        step = epochs is not None and self._epoch >= 0
        if not step:
            epochs = [key_places.present(view)]
        for epoch in epochs:
            self._enter(epoch, step, now)
        for hold in self._holds.values():
            hold.sources &= alive
            hold.owed &= alive
        self._asked.clear()
        self._arrivals.clear()

    def tick(self, now: float) -> list[actions.Action]:
        """Ask for records that are missing."""
        wanted: dict[str, list[int]] = {}
        for bucket, hold in self._holds.items():
            if now >= hold.ask_until:
                hold.sources.clear()
            for name in hold.sources:
                wanted.setdefault(name, []).append(bucket)
        acts: list[actions.Action] = []
        for name, buckets in sorted(wanted.items()):
            if now < self._asked.get(name, 0.0):
                continue
            self._asked[name] = now + ASK_AGAIN_S
            chosen = self._random.sample(
                sorted(buckets),
                min(len(buckets), ASK_BUCKETS),
            )
            ask = messages.SyncAsk(tuple(chosen))
            acts.append(actions.Send(name, ask))
        return acts

    def asked(
        self,
        peer: str,
        msg: messages.SyncAsk,
        now: float,
    ) -> list[actions.Action]:
        """Send the records of the buckets that are known here."""
        acts: list[actions.Action] = []
        for bucket in msg.buckets[:ASK_BUCKETS]:
            hold = self._holds.get(bucket)
            if hold is not None:
                acts += self._parts(peer, bucket, hold, now)
        return acts

    def came(
        self,
        peer: str,
        msg: messages.SyncPart,
        now: float,
    ) -> list[actions.Action]:
        """Take a part of another keeper's records."""
        hold = self._holds.get(msg.bucket)
        if hold is None or hold.until or peer not in hold.sources:
            return []
        for item in msg.records:
            self._take(item, now)
        arrival = self._arrivals.get((peer, msg.bucket))
        if arrival is None or arrival.serial != msg.serial:
            arrival = _Arrival(msg.serial)
            self._arrivals[peer, msg.bucket] = arrival
        arrival.parts.add(msg.part)
        if len(arrival.parts) < msg.parts:
            return []
        del self._arrivals[peer, msg.bucket]
        reaches = not msg.until or msg.until >= hold.joins
        if msg.epoch < hold.since or not reaches:
            return []
        hold.vouch_from = min(hold.vouch_from, now - msg.vouch_age_s)
        hold.sources.discard(peer)
        if not self._arriving(peer):
            self._asked[peer] = now
        done = messages.SyncDone((msg.bucket,))
        return [actions.Send(peer, done)]

    def done(self, peer: str, msg: messages.SyncDone) -> None:
        """Note that another keeper has all records of some buckets."""
        for bucket in msg.buckets:
            hold = self._holds.get(bucket)
            if hold is not None:
                hold.owed.discard(peer)

    def _enter(
        self,
        epoch: key_places.Epoch,
        step: bool,
        now: float,
    ) -> None:
        """Go on to a keeper epoch.

        :param step: it follows the last one that was entered
        """
        old = self._pairs
        new = epoch.pairs()
        for bucket, pair in enumerate(new):
            before = old[bucket] if old else key_places.Pair()
            self._moved(bucket, before, pair, epoch.number, step, now)
        self._epoch = epoch.number
        self._pairs = new

    def _moved(
        self,
        bucket: int,
        old: key_places.Pair,
        new: key_places.Pair,
        epoch: int,
        step: bool,
        now: float,
    ) -> None:
        """Follow one bucket to a new epoch."""
        hold = self._holds.get(bucket)
        newcomers = set(new.names) - set(old.names) - {self._me}
        if hold is not None:
            hold.owed.intersection_update(new.names)
        if self._me in new:
            if hold is not None and self._me in old and step:
                hold.owed |= newcomers
                return
            joins = epoch + 1 if self._epoch < 0 else epoch
            sources = {*old.names, *new.names} - {self._me}
            self._holds[bucket] = _Hold(
                since=epoch,
                joins=joins,
                vouch_from=now + self._margin_s,
                ask_until=now + GIVE_UP_S,
                sources=sources,
            )
        elif hold is not None and self._me in old:
            hold.until = epoch if step else self._epoch + 1
            hold.owed |= newcomers
            hold.sources.clear()

    def _vouch_from(self, hold: _Hold) -> float:
        dropped = self._records.dropped_minted + self._skew_s
        return max(hold.vouch_from, dropped)

    def _arriving(self, peer: str) -> bool:
        return any(name == peer for name, _ in self._arrivals)

    def _parts(
        self,
        peer: str,
        bucket: int,
        hold: _Hold,
        now: float,
    ) -> list[actions.Action]:
        parts: list[list[messages.KeyRecord]] = [[]]
        size = 0
        for key, record in self._records.in_bucket(bucket):
            size += RECORD_BYTES + len(record.answer.body)
            if size > PART_BYTES:
                parts.append([])
                size = 0
            parts[-1].append(_outward(key, record, now))
        self._serial += 1
        return [
            actions.Send(
                peer,
                messages.SyncPart(
                    bucket=bucket,
                    epoch=self._epoch,
                    until=hold.until,
                    vouch_age_s=now - self._vouch_from(hold),
                    serial=self._serial,
                    part=number,
                    parts=len(parts),
                    records=tuple(part),
                ),
            )
            for number, part in enumerate(parts)
        ]

    def _take(self, item: messages.KeyRecord, now: float) -> None:
        new = _inward(item, now)
        old = self._records.get(item.key)
        if old is not None:
            new = key_records.merged(old, new)
        self._records.put(item.key, new)


def _outward(
    key: bytes,
    record: key_records.Record,
    now: float,
) -> messages.KeyRecord:
    return messages.KeyRecord(
        key=key,
        content=record.content,
        claim=record.claim,
        state=record.state,
        vm=record.vm,
        incarnation=record.incarnation,
        age_s=now - record.minted,
        left_s=record.ends - now,
        answer=record.answer,
    )


def _inward(item: messages.KeyRecord, now: float) -> key_records.Record:
    return key_records.Record(
        content=item.content,
        claim=item.claim,
        state=item.state,
        vm=item.vm,
        incarnation=item.incarnation,
        minted=now - item.age_s,
        ends=now + item.left_s,
        answer=item.answer,
    )
