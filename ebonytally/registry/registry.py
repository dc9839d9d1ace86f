"""Registry of one VM: merges announcements and records of other VMs."""

from collections.abc import Iterator
import functools
import operator

import attrs
import xxhash

from ebonytally import events
from ebonytally import recorder as recorders
from ebonytally.registry import addresses
from ebonytally.registry import changes
from ebonytally.registry import moves
from ebonytally.registry import records


# Differences between two registries are looked for in these parts of them.
BUCKETS = 64
ENDED_STATES = (records.State.SILENT, records.State.GONE)
ADDRESS_TAKEN = "address taken"


@attrs.frozen
class Limits:
    """Time limits of the registry.

    :param silent_s: seconds without an announcement after which an
        upstream is silent; half of it if another one has its address
    :param keep_s: seconds that the record of a silent or gone upstream is
        kept; its flows may continue if only its announcements were lost
    """

    silent_s: float
    keep_s: float


@attrs.define
class Entry:
    """A record together with local state that is not sent to other VMs.

    :param heard_at: local time of the last announcement or record, seconds
    :param cold_until: local time until which it is cold, seconds
    :param sequence: that of the newest announcement known here
    :param revision: revision of the registry at the last change
    :param receiver: control VM that receives its announcements
    :param size_bytes: size of the packed record, 0 if not known yet
    :param silenced: of a silent upstream, its record before
    """

    record: records.Record
    heard_at: float
    cold_until: float
    sequence: int
    revision: int
    receiver: str
    size_bytes: int = 0
    silenced: records.Record | None = None


class Registry:
    """Upstreams by id; each change increments `revision`.

    A record is usable if its service and data centre are known. One that
    isn't may come from a writer that is no upstream: it takes neither the
    id nor the address of a usable one. It is kept nevertheless, as its
    service may be in a configuration that hasn't arrived here yet.
    """

    def __init__(
        self,
        local_vm: str,
        limits: Limits,
        recorder: recorders.Recorder,
        data_centres: frozenset[str] = frozenset(),
    ) -> None:
        """Set up without records and configuration.

        :param local_vm: name of this VM, the source of its announcements
        :param data_centres: names of all data centres, empty if unknown
        """
        self._local_vm = local_vm
        self._limits = limits
        self._recorder = recorder
        self._data_centres = data_centres
        # None without a configuration: then all services count as known.
        self._services: frozenset[str] | None = None
        self._entries: dict[str, Entry] = {}
        self._changes = changes.Changes()
        # Upstreams that are gone are not in it.
        self._addresses = addresses.AddressIndex()
        # Ids of the upstreams that are silent or gone, in order of change.
        self._ended: dict[str, None] = {}
        # Earliest time at which an upstream may become silent, as long as
        # the same control VMs are heard.
        self._silence_due = 0.0
        self._heard: frozenset[str] = frozenset()
        self._digests = [0] * BUCKETS
        self._moves = moves.Moves()
        self._lost_sources: set[str] = set()
        self.revision = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._entries)

    def get(self, id_: str) -> Entry | None:
        """Return the entry of an upstream, None if it is unknown."""
        return self._entries.get(id_)

    def entries(self) -> list[Entry]:
        """Return all entries."""
        return list(self._entries.values())

    def use_services(self, services: frozenset[str]) -> None:
        """Set the names of the services in the configuration in force."""
        self._services = services

    def is_usable(self, record: records.Record) -> bool:
        """Return whether a record's service and data centre are known."""
        if self._services is not None and record.service not in self._services:
            return False
        return not self._data_centres or (
            record.data_centre in self._data_centres
        )

    def digest(self) -> int:
        """Return a hash that is equal for registries with equal records."""
        return functools.reduce(operator.xor, self._digests)

    def bucket_digests(self) -> tuple[int, ...]:
        """Return such a hash for each bucket of ids."""
        return tuple(self._digests)

    def entries_of(self, buckets: set[int]) -> list[Entry]:
        """Return the entries whose ids are in some buckets."""
        return [
            entry
            for id_, entry in self._entries.items()
            if _bucket_of(id_) in buckets
        ]

    def changed_since(self, revision: int) -> Iterator[Entry]:
        """Return the entries changed since a revision, oldest first."""
        for changed_at, id_ in self._changes.since(revision):
            entry = self._entries.get(id_)
            if entry is not None and entry.revision == changed_at:
                yield entry

    def to_record(self, entry: Entry, now: float) -> records.Record:
        """Return the record to send to other VMs at `now`."""
        cold_for_s = round(max(0.0, entry.cold_until - now), 3)
        if not cold_for_s and entry.receiver == entry.record.source:
            return entry.record
        return attrs.evolve(
            entry.record, cold_for_s=cold_for_s, source=entry.receiver
        )

    def has_moved(self, id_: str) -> bool:
        """Return whether an upstream has only moved to this control VM.

        Others learn of it by `moves_to_tell`.
        """
        return id_ in self._moves

    def moves_to_tell(self, now: float) -> list[tuple[str, int, int]]:
        """Return id, start and sequence of upstreams that moved here."""
        told = []
        for id_ in self._moves.to_tell(now):
            entry = self._entries[id_]
            told.append((id_, entry.record.born_ms, entry.sequence))
        return told

    def on_move(
        self, peer: str, id_: str, born_ms: int, sequence: int, now: float
    ) -> None:
        """Note that another control VM receives an upstream's announcements.

        :param sequence: that of the last announcement received there
        """
        entry = self._entries.get(id_)
        if entry is None or entry.record.born_ms != born_ms:
            return
        if entry.record.state in ENDED_STATES or sequence <= entry.sequence:
            return
        entry.sequence = sequence
        entry.receiver = peer
        entry.size_bytes = 0
        entry.heard_at = now
        self._moves.discard(id_)

    def on_announcement(
        self,
        announcement: records.Announcement,
        now: float,
    ) -> Entry | None:
        """Apply an announcement.

        :return: the entry if it changed, or only moved to this control VM,
            else None
        """
        entry = self._entries.get(announcement.id)
        record = _make_record(announcement, self._local_vm)
        is_usable = self.is_usable(record)
        if entry is not None and self.is_usable(entry.record) != is_usable:
            if not is_usable:
                self._refuse(record, "unknown service or data centre")
                return None
        elif entry is not None and _is_stale(entry, announcement):
            return None
        if entry is None and self._is_address_taken(record):
            self._refuse(record, ADDRESS_TAKEN)
            return None
        if entry is not None and _is_unchanged(entry.record, record):
            return self._on_heard(entry, announcement.sequence, now)
        entry = self._store(
            record, now + announcement.cold_for_s, now, "announced"
        )
        if self._is_in_use(entry):
            self._end_predecessors(entry, now)
        return entry

    def _on_heard(
        self, entry: Entry, sequence: int, now: float
    ) -> Entry | None:
        """Apply an announcement that changes at most the receiver."""
        entry.heard_at = now
        entry.sequence = sequence
        was = entry.receiver
        if was == self._local_vm:
            return None
        entry.receiver = self._local_vm
        entry.size_bytes = 0
        if was in self._lost_sources:
            return self._tell_heard(entry, now)
        id_ = entry.record.id
        self._moves.add(id_, was, now)
        if self._addresses.others_at(entry.record):
            self._silence_due = now
        return entry

    def _tell_heard(self, entry: Entry, now: float) -> Entry:
        """Make it a change that an upstream is heard here.

        The change outranks what a control VM that isn't told of moves may
        believe.
        """
        record = attrs.evolve(
            entry.record, sequence=entry.sequence, source=self._local_vm
        )
        return self._store(record, entry.cold_until, now, "heard")

    def on_deregistration(
        self, id_: str, born_ms: int, now: float
    ) -> Entry | None:
        """Mark an upstream as gone because it deregistered itself.

        A deregistration of another start than the known one says nothing
        about that one.

        :param born_ms: its start, milliseconds since 1970; 0 if not given
        :return: the entry if it changed and must be published, else None
        """
        entry = self._entries.get(id_)
        if entry is None or entry.record.state == records.State.GONE:
            return None
        if born_ms not in (0, entry.record.born_ms):
            return None
        return self._change_state(entry, records.State.GONE, now, "left")

    def merge(
        self,
        record: records.Record,
        now: float,
    ) -> Entry | None:
        """Merge another VM's record; return the entry if it changed."""
        entry = self._entries.get(record.id)
        if entry is not None:
            if self._precedence(record) <= self._precedence(entry.record):
                return None
            local_record = attrs.evolve(
                entry.record,
                sequence=max(entry.record.sequence, entry.sequence),
            )
            # Of an announcement elsewhere only the sequence is known: it
            # contradicts a silence, but not what an upstream has said.
            may_be_outdated = (
                entry.receiver == self._local_vm
                or record.state == records.State.SILENT
            )
            if may_be_outdated and self._precedence(
                record
            ) <= self._precedence(local_record):
                # It was heard since then. The control VM that hears it
                # tells so.
                if entry.receiver != self._local_vm:
                    return None
                return self._tell_heard(entry, now)
        cold_until = now + record.cold_for_s
        return self._store(record, cold_until, now, "told")

    def withdraw_silence(self, record: records.Record, now: float) -> None:
        """Replace a silence that no control VM stands by any more.

        :param record: what a control VM tells instead; a draining upstream
            stays so if that control VM hasn't heard of it
        """
        entry = self._entries.get(record.id)
        if entry is None or entry.record.state != records.State.SILENT:
            return
        if entry.record.born_ms != record.born_ms:
            return
        before = entry.silenced
        if before is not None and before.rank > record.rank:
            record = before
        cold_until = max(entry.cold_until, now + record.cold_for_s)
        withdrawn = self._store(record, cold_until, now, "not silent")
        # Only announcements that the silence counted were later.
        withdrawn.sequence = record.sequence

    def mark_silent_upstreams(
        self,
        heard: frozenset[str],
        now: float,
    ) -> list[Entry]:
        """Mark upstreams silent whose announcements stopped.

        :param heard: other control VMs that are heard; the upstreams of
            a lost one should announce themselves to this VM instead
        :return: the changed entries, which must be published
        """
        if now < self._silence_due and heard == self._heard:
            return []
        self._heard = heard
        silence_due = now + self._limits.silent_s
        changed = []
        for entry in list(self._entries.values()):
            record = entry.record
            if record.state in ENDED_STATES:
                continue
            if entry.receiver != self._local_vm and entry.receiver in heard:
                continue
            silent_at = self._silent_at(entry)
            if silent_at <= now:
                changed.append(self._mark_silent(entry, now))
            else:
                silence_due = min(silence_due, silent_at)
        self._silence_due = silence_due
        return changed

    def expire(self, now: float) -> None:
        """Remove upstreams silent or gone for longer than `keep_s`."""
        for id_ in list(self._ended):
            entry = self._entries[id_]
            if now - entry.heard_at >= self._limits.keep_s:
                self._remove(entry)
        if self._changes.is_long(len(self._entries)):
            self._changes.compact(
                {id_: entry.revision for id_, entry in self._entries.items()}
            )

    def _mark_silent(self, entry: Entry, now: float) -> Entry:
        """Mark an upstream silent, or gone if its address is taken.

        Only the control VM that heard it may mark it gone, which no later
        announcement could take back.
        """
        heard_at = entry.heard_at
        lost = entry.receiver if entry.receiver != self._local_vm else ""
        state, why = records.State.SILENT, "silent"
        if not lost and self._is_address_taken(entry.record):
            state, why = records.State.GONE, ADDRESS_TAKEN
        ended_entry = self._change_state(entry, state, now, why, lost)
        ended_entry.heard_at = heard_at
        return ended_entry

    def extend_timeouts(self, paused_s: float) -> None:
        """Extend the timeouts of all upstreams by a pause of this VM."""
        for entry in self._entries.values():
            entry.heard_at += paused_s

    def on_source_lost(self, source: str, now: float) -> list[Entry]:
        """Restart the silence timeout of a lost control VM's upstreams.

        Those that moved here from it shortly before are made changes, as
        it may not know of the move and may take them for silent.

        :return: the changed entries, which must be published
        """
        self._lost_sources.add(source)
        for entry in self._entries.values():
            if entry.receiver == source:
                entry.heard_at = now
        return [
            self._tell_heard(self._entries[id_], now)
            for id_ in self._moves.from_vm(source)
        ]

    def on_source_heard(self, source: str) -> None:
        """Note that a control VM is heard and can be told of moves."""
        self._lost_sources.discard(source)

    def _change_state(
        self,
        entry: Entry,
        state: records.State,
        now: float,
        why: str,
        lost: str = "",
    ) -> Entry:
        record = attrs.evolve(
            entry.record,
            state=state,
            sequence=max(entry.sequence, entry.record.sequence),
            source=self._local_vm,
            lost=lost,
        )
        return self._store(record, entry.cold_until, now, why)

    def _store(
        self,
        record: records.Record,
        cold_until: float,
        now: float,
        why: str,
    ) -> Entry:
        old = self._entries.get(record.id)
        self._log_change(old, record, why, now)
        self.revision += 1
        if old is not None:
            self._toggle_in_digest(old.record)
        self._toggle_in_digest(record)
        entry = Entry(
            attrs.evolve(record, cold_for_s=0.0),
            now,
            cold_until,
            record.sequence,
            self.revision,
            record.source,
        )
        if _is_known_later(old, record):
            entry.sequence = old.sequence
            entry.receiver = old.receiver
        if old is not None and record.state == records.State.SILENT:
            is_silent = old.record.state == records.State.SILENT
            entry.silenced = old.silenced if is_silent else old.record
        self._moves.discard(record.id)
        self._entries[record.id] = entry
        self._changes.add(self.revision, record.id)
        if record.state in ENDED_STATES:
            self._ended[record.id] = None
        else:
            self._ended.pop(record.id, None)
        if old is not None:
            self._addresses.remove(old.record)
        if record.state != records.State.GONE:
            self._addresses.add(record)
        if self._addresses.others_at(record):
            # One of them may be silent earlier than without the other.
            self._silence_due = now
        return entry

    def _precedence(self, record: records.Record) -> tuple:
        """Return a key that is greater for the record to keep of an id."""
        return (self.is_usable(record), *record.rank)

    def _is_in_use(self, entry: Entry) -> bool:
        """Return whether an upstream announces itself and is usable."""
        return entry.record.state not in ENDED_STATES and self.is_usable(
            entry.record
        )

    def _is_address_taken(self, record: records.Record) -> bool:
        """Return whether a younger upstream is in use at the same address."""
        return any(
            other.record.born_ms > record.born_ms and self._is_in_use(other)
            for other in self._others_at_address(record)
        )

    def _others_at_address(self, record: records.Record) -> list[Entry]:
        return [
            self._entries[id_] for id_ in self._addresses.others_at(record)
        ]

    def _end_predecessors(self, entry: Entry, now: float) -> None:
        """Mark older upstreams at an entry's address as gone if unheard.

        One that goes on announcing itself is running, whatever another
        writer announces.
        """
        for other in self._others_at_address(entry.record):
            is_older = other.record.born_ms < entry.record.born_ms
            if is_older and self._is_unheard(other, now):
                self._change_state(
                    other, records.State.GONE, now, ADDRESS_TAKEN
                )

    def _is_unheard(self, entry: Entry, now: float) -> bool:
        """Return whether an upstream is silent, or should be marked so."""
        if entry.record.state == records.State.SILENT:
            return True
        return (
            entry.receiver == self._local_vm and self._silent_at(entry) <= now
        )

    def _silent_at(self, entry: Entry) -> float:
        """Return when an upstream becomes silent if not heard before."""
        silent_s = self._limits.silent_s
        if self._is_address_taken(entry.record):
            silent_s /= 2
        return entry.heard_at + silent_s

    def _refuse(self, record: records.Record, reason: str) -> None:
        """Log and count an announcement that changes nothing."""
        self._recorder.count("announcements_refused")
        self._recorder.log_event(
            events.Event.ANNOUNCEMENT_REFUSED,
            peer=f"{record.address}:{record.port}",
            reason=reason,
            detail=(
                f"upstream {record.id}, service {record.service}, "
                f"data centre {record.data_centre}"
            ),
        )

    def _remove(self, entry: Entry) -> None:
        record = entry.record
        del self._entries[record.id]
        self._ended.pop(record.id, None)
        self._moves.discard(record.id)
        self._toggle_in_digest(record)
        self._addresses.remove(record)
        self._recorder.log_event(events.Event.UPSTREAM_FORGOTTEN, id=record.id)

    def _toggle_in_digest(self, record: records.Record) -> None:
        """Add a record to its bucket's digest, or remove it."""
        text = f"{record.id} {record.rank}"
        digest = xxhash.xxh3_64_intdigest(text.encode())
        self._digests[_bucket_of(record.id)] ^= digest

    def _log_change(
        self,
        old: Entry | None,
        record: records.Record,
        why: str,
        now: float,
    ) -> None:
        before = old.record if old is not None else None
        if before is not None and (before.state, before.born_ms) == (
            record.state,
            record.born_ms,
        ):
            return
        self._recorder.log_event(
            events.Event.UPSTREAM_TURNED,
            id=record.id,
            state=record.state.name.lower(),
            was=before.state.name.lower() if before else "unknown",
            why=why,
            service=record.service,
            data_centre=record.data_centre,
            born_ms=record.born_ms,
            sequence=record.sequence,
            source=record.source,
            heard_s=round(now - old.heard_at, 3) if old else None,
        )


def _bucket_of(id_: str) -> int:
    return xxhash.xxh32_intdigest(id_.encode()) % BUCKETS


def _make_record(
    announcement: records.Announcement, local_vm: str
) -> records.Record:
    state = records.State.READY
    if announcement.draining:
        state = records.State.DRAINING
    return records.Record(
        announcement.id,
        announcement.born_ms,
        announcement.sequence,
        state,
        announcement.service,
        announcement.address,
        announcement.port,
        announcement.data_centre,
        announcement.slots,
        local_vm,
    )


def _is_stale(entry: Entry, announcement: records.Announcement) -> bool:
    known = entry.record
    if announcement.born_ms != known.born_ms:
        return announcement.born_ms < known.born_ms
    if known.state == records.State.GONE:
        return True
    return announcement.sequence <= max(entry.sequence, known.sequence)


def _is_known_later(old: Entry | None, record: records.Record) -> bool:
    """Return whether a later announcement of the same start is known."""
    return (
        old is not None
        and old.record.born_ms == record.born_ms
        and old.sequence > record.sequence
    )


def _is_unchanged(old: records.Record, new: records.Record) -> bool:
    return old == attrs.evolve(
        new, sequence=old.sequence, source=old.source, lost=old.lost
    )
