"""Handover of key records between owners when the owners change.

An owner knows all claims of a bucket since the owner epoch in which it
became an owner of it. Records of earlier claims are fetched from the owners
of earlier epochs. Until they have arrived, its knowledge is complete only
for keys that were created too late to have been claimed earlier.
"""

import random

import attrs

from ebonytally import actions
from ebonytally.requests import key_messages as messages
from ebonytally.requests import key_placement
from ebonytally.requests import key_records
from ebonytally import settings
from ebonytally import view as views

CLOCK_SKEW_S = 0.5
CLAIM_TIMEOUT_S = 0.5
ASK_RETRY_S = 0.5
SOURCE_TIMEOUT_S = 30.0
MAX_BUCKETS_PER_ASK = 16
MAX_PART_BYTES = 128 * 1024
EST_RECORD_BYTES = 200


@attrs.define
class _BucketState:
    """What this entry VM knows of one bucket.

    :param since_epoch: first owner epoch of which it knows all claims
    :param required_epoch: a source must have owned the bucket until this
        epoch, so that no claims between are missed
    :param complete_from: it knows all claims of keys created after this
    :param ask_deadline: when it gives up on sources that don't answer
    :param until_epoch: first epoch in which it is no owner, 0 while it is
    :param sources: entry VMs to fetch records of earlier epochs from
    :param pending_receivers: entry VMs that still need records from here
    """

    since_epoch: int
    required_epoch: int
    complete_from: float
    ask_deadline: float
    until_epoch: int = 0
    sources: set[str] = attrs.field(factory=set)
    pending_receivers: set[str] = attrs.field(factory=set)


@attrs.define
class _Transfer:
    """Parts received so far of one answer to `SyncAsk`."""

    serial: int
    parts: set[int] = attrs.field(factory=set)


class Sync:
    """Transfer of the records of one entry VM's buckets.

    :param local_vm: name of this entry VM
    :param records: records of all its buckets
    :param seed: for the order in which buckets are asked for
    """

    def __init__(
        self,
        local_vm: str,
        cfg: settings.Settings,
        records: key_records.Records,
        seed: int,
    ) -> None:
        """Set up without a view and without buckets."""
        self._local_vm = local_vm
        self._records = records
        self._random = random.Random(seed)
        ahead_s = cfg.requests.key_ahead_s
        self._skew_s = ahead_s + CLOCK_SKEW_S + CLAIM_TIMEOUT_S
        self._margin_s = self._skew_s + cfg.limits.lease_s
        self._epoch = -1
        self._had_lease = False
        self._owners: tuple[key_placement.Owners, ...] = ()
        self._buckets: dict[int, _BucketState] = {}
        self._transfers: dict[tuple[str, int], _Transfer] = {}
        self._next_ask: dict[str, float] = {}
        self._serial = 0

    @property
    def epoch(self) -> int:
        """Return the owner epoch of the current view, -1 without one."""
        return self._epoch

    @property
    def has_pending_transfers(self) -> bool:
        """Return whether another owner still needs records from here."""
        return any(state.pending_receivers for state in self._buckets.values())

    def owners(self, bucket: int) -> key_placement.Owners:
        """Return the owners of a bucket."""
        return self._owners[bucket] if self._owners else key_placement.Owners()

    def is_complete_for(self, bucket: int, minted_at: float) -> bool:
        """Return whether all claims of keys created then are known here."""
        state = self._buckets.get(bucket)
        if state is None or state.until_epoch:
            return False
        return minted_at > self._complete_from(state)

    def on_lease(self) -> None:
        """Record that a configuration lease was granted since the start.

        Views applied before that may be outdated: a restarted daemon
        replays its log, in which it owned keys whose records it lost with
        its memory.
        """
        self._had_lease = True

    def on_view_change(self, view: views.View, now: float) -> None:
        """Apply a newer view and all owner epochs since the last one."""
        alive = {
            vm.name for vm in view.vms if vm.state is not views.VmState.DOWN
        }
        for state in self._buckets.values():
            state.sources &= alive
            state.pending_receivers &= alive
        if view.owner_epoch == self._epoch:
            return
        if not self._had_lease:
            self._buckets.clear()
            self._owners = ()
            self._epoch = -1
        epochs = key_placement.epochs_after(view, self._epoch)
        consecutive = epochs is not None and self._epoch >= 0
        if not consecutive:
            epochs = [key_placement.current_epoch(view)]
        for epoch in epochs:
            self._enter_epoch(epoch, consecutive, now)
        for state in self._buckets.values():
            state.sources &= alive
            state.pending_receivers &= alive
        self._next_ask.clear()
        self._transfers.clear()

    def tick(self, now: float) -> list[actions.Action]:
        """Ask the sources of missing records for them, in random order."""
        wanted: dict[str, list[int]] = {}
        for bucket, state in self._buckets.items():
            if now >= state.ask_deadline:
                state.sources.clear()
            for name in state.sources:
                wanted.setdefault(name, []).append(bucket)
        actions_: list[actions.Action] = []
        for name, buckets in sorted(wanted.items()):
            if now < self._next_ask.get(name, 0.0):
                continue
            self._next_ask[name] = now + ASK_RETRY_S
            chosen = self._random.sample(
                sorted(buckets),
                min(len(buckets), MAX_BUCKETS_PER_ASK),
            )
            ask = messages.SyncAsk(tuple(chosen))
            actions_.append(actions.Send(name, ask))
        return actions_

    def handle_ask(
        self,
        peer: str,
        msg: messages.SyncAsk,
        now: float,
    ) -> list[actions.Action]:
        """Send all records of the requested buckets that are known here."""
        actions_: list[actions.Action] = []
        for bucket in msg.buckets[:MAX_BUCKETS_PER_ASK]:
            state = self._buckets.get(bucket)
            if state is not None:
                actions_ += self._record_parts(peer, bucket, state, now)
        return actions_

    def handle_part(
        self,
        peer: str,
        msg: messages.SyncPart,
        now: float,
    ) -> list[actions.Action]:
        """Merge a part of a source's records.

        With the last part the source is done, if it knows the bucket
        without a gap up to `since_epoch`.
        """
        state = self._buckets.get(msg.bucket)
        if state is None or state.until_epoch or peer not in state.sources:
            return []
        for message in msg.records:
            self._merge_record(message, now)
        transfer = self._transfers.get((peer, msg.bucket))
        if transfer is None or transfer.serial != msg.serial:
            transfer = _Transfer(msg.serial)
            self._transfers[peer, msg.bucket] = transfer
        transfer.parts.add(msg.part)
        if len(transfer.parts) < msg.parts:
            return []
        del self._transfers[peer, msg.bucket]
        is_gapless = (
            not msg.until_epoch or msg.until_epoch >= state.required_epoch
        )
        if msg.epoch < state.since_epoch or not is_gapless:
            return []
        state.complete_from = min(
            state.complete_from, now - msg.complete_age_s
        )
        state.sources.discard(peer)
        if not self._is_receiving_from(peer):
            self._next_ask[peer] = now
        done = messages.SyncDone((msg.bucket,))
        return [actions.Send(peer, done)]

    def handle_done(self, peer: str, msg: messages.SyncDone) -> None:
        """Record that another owner has all records of some buckets."""
        for bucket in msg.buckets:
            state = self._buckets.get(bucket)
            if state is not None:
                state.pending_receivers.discard(peer)

    def _enter_epoch(
        self,
        epoch: key_placement.Epoch,
        consecutive: bool,
        now: float,
    ) -> None:
        """Switch all buckets to an owner epoch.

        :param consecutive: no epoch was skipped since the last one
        """
        old = self._owners
        new = epoch.owners_by_bucket()
        for bucket, owners in enumerate(new):
            before = old[bucket] if old else key_placement.Owners()
            self._update_bucket(
                bucket, before, owners, epoch.number, consecutive, now
            )
        self._epoch = epoch.number
        self._owners = new

    def _update_bucket(
        self,
        bucket: int,
        old: key_placement.Owners,
        new: key_placement.Owners,
        epoch: int,
        consecutive: bool,
        now: float,
    ) -> None:
        """Switch one bucket to a new epoch, with its old and new owners."""
        state = self._buckets.get(bucket)
        newcomers = set(new.names) - set(old.names) - {self._local_vm}
        if state is not None:
            state.pending_receivers.intersection_update(new.names)
        if self._local_vm in new:
            if state is not None and self._local_vm in old and consecutive:
                state.pending_receivers |= newcomers
                return
            required_epoch = epoch + 1 if self._epoch < 0 else epoch
            sources = {*old.names, *new.names} - {self._local_vm}
            self._buckets[bucket] = _BucketState(
                since_epoch=epoch,
                required_epoch=required_epoch,
                complete_from=now + self._margin_s,
                ask_deadline=now + SOURCE_TIMEOUT_S,
                sources=sources,
            )
        elif state is not None and self._local_vm in old:
            state.until_epoch = epoch if consecutive else self._epoch + 1
            state.pending_receivers |= newcomers
            state.sources.clear()

    def _complete_from(self, state: _BucketState) -> float:
        dropped = self._records.forgotten_until + self._skew_s
        return max(state.complete_from, dropped)

    def _is_receiving_from(self, peer: str) -> bool:
        return any(name == peer for name, _ in self._transfers)

    def _record_parts(
        self,
        peer: str,
        bucket: int,
        state: _BucketState,
        now: float,
    ) -> list[actions.Action]:
        parts: list[list[messages.KeyRecord]] = [[]]
        size = 0
        for key, record in self._records.in_bucket(bucket):
            size += EST_RECORD_BYTES + len(record.answer.body)
            if size > MAX_PART_BYTES:
                parts.append([])
                size = 0
            parts[-1].append(_to_message(key, record, now))
        self._serial += 1
        return [
            actions.Send(
                peer,
                messages.SyncPart(
                    bucket=bucket,
                    epoch=self._epoch,
                    until_epoch=state.until_epoch,
                    complete_age_s=now - self._complete_from(state),
                    serial=self._serial,
                    part=number,
                    parts=len(parts),
                    records=tuple(part),
                ),
            )
            for number, part in enumerate(parts)
        ]

    def _merge_record(self, message: messages.KeyRecord, now: float) -> None:
        new = _from_message(message, now)
        old = self._records.get(message.key)
        if old is not None:
            new = key_records.merge(old, new)
        self._records.put(message.key, new)


def _to_message(
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
        age_s=now - record.minted_at,
        left_s=record.lost_at - now,
        answer=record.answer,
    )


def _from_message(
    message: messages.KeyRecord, now: float
) -> key_records.Record:
    return key_records.Record(
        content=message.content,
        claim=message.claim,
        state=message.state,
        vm=message.vm,
        incarnation=message.incarnation,
        minted_at=now - message.age_s,
        lost_at=now + message.left_s,
        answer=message.answer,
    )
