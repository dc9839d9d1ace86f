"""The register of one VM: takes announcements and records of others."""

import collections

import attrs
import xxhash

from ebonytally import events
from ebonytally import recorder as recorders
from ebonytally.register import records


@attrs.frozen
class Limits:
    """Numbers of the register, in seconds.

    :param silent_s: without an announcement for so long it is silent
    :param keep_s: how long the record of a lost one is kept: its flows
        may go on where only its announcements were lost
    """

    silent_s: float
    keep_s: float


@attrs.define
class Entry:
    """A record with what is known here alone.

    :param heard_at: seconds, when it was last heard of
    :param cold_until: seconds, until when it is cold
    :param sequence: newest announcement taken here
    :param revision: of the register, at the last change
    """

    record: records.Record
    heard_at: float
    cold_until: float
    sequence: int
    revision: int


class Register:
    """Upstreams by id; a change gets the next revision."""

    def __init__(
        self,
        me: str,
        limits: Limits,
        recorder: recorders.Recorder,
    ) -> None:
        """Start empty."""
        self._me = me
        self._limits = limits
        self._recorder = recorder
        # Least recently changed first.
        self._entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        self._places: dict[tuple[str, int], str] = {}
        self._digest: int | None = None
        self.revision = 0

    def __len__(self) -> int:
        """Return how many records there are."""
        return len(self._entries)

    def get(self, id_: str) -> Entry | None:
        """Return the entry of an upstream, None if it is unknown."""
        return self._entries.get(id_)

    def entries(self) -> list[Entry]:
        """Return all entries."""
        return list(self._entries.values())

    def digest(self) -> int:
        """Return a number that two registers share if they agree."""
        if self._digest is None:
            text = "".join(
                f"{one.id} {one.rank}\n"
                for one in sorted(
                    (entry.record for entry in self._entries.values()),
                    key=lambda record: record.id,
                )
            )
            self._digest = xxhash.xxh3_64_intdigest(text.encode())
        return self._digest

    def changed_since(self, revision: int) -> list[Entry]:
        """Return the entries changed after a revision, oldest first."""
        found = []
        for entry in reversed(self._entries.values()):
            if entry.revision <= revision:
                break
            found.append(entry)
        found.reverse()
        return found

    def told(self, entry: Entry, now: float) -> records.Record:
        """Return a record as it is told to others at `now`."""
        cold_for_s = round(max(0.0, entry.cold_until - now), 3)
        return attrs.evolve(entry.record, cold_for_s=cold_for_s)

    def announced(
        self,
        said: records.Announcement,
        now: float,
    ) -> Entry | None:
        """Take an announcement; return the entry if others must know."""
        entry = self._entries.get(said.id)
        if entry is not None and _is_late(entry, said):
            return None
        record = _record(said, self._me)
        if entry is not None and _says_the_same(entry.record, record):
            entry.heard_at = now
            entry.sequence = said.sequence
            return None
        return self._put(record, now + said.cold_for_s, now, "announced")

    def left(self, id_: str, born_ms: int, now: float) -> Entry | None:
        """Note that an upstream says it has ended.

        :param born_ms: its start, 0 when not told
        """
        entry = self._entries.get(id_)
        if entry is None or entry.record.state == records.State.GONE:
            return None
        if born_ms and born_ms < entry.record.born_ms:
            return None
        return self._turn(entry, records.State.GONE, now, "left")

    def told_by(
        self,
        record: records.Record,
        now: float,
    ) -> Entry | None:
        """Take another VM's record; return the entry if it is news."""
        entry = self._entries.get(record.id)
        if entry is not None:
            if record.rank <= entry.record.rank:
                return None
            mine = attrs.evolve(
                entry.record,
                sequence=max(entry.record.sequence, entry.sequence),
            )
            if record.rank <= mine.rank:
                # Heard here since, which the others don't know.
                return self._put(mine, entry.cold_until, now, "heard")
        cold_until = now + record.cold_for_s
        return self._put(record, cold_until, now, "told")

    def fallen_silent(
        self,
        heard: frozenset[str],
        now: float,
    ) -> list[Entry]:
        """Note who fell silent; return the entries that others must know.

        :param heard: other control VMs that are heard; upstreams of
            one that isn't would have turned to this VM
        """
        changed = []
        for entry in list(self._entries.values()):
            record = entry.record
            if record.state in (records.State.SILENT, records.State.GONE):
                continue
            mine = record.source == self._me or record.source not in heard
            if mine and now - entry.heard_at >= self._limits.silent_s:
                changed.append(self._silent(entry, now))
        return changed

    def expire(self, now: float) -> None:
        """Forget those that are lost for long."""
        for entry in list(self._entries.values()):
            state = entry.record.state
            if state not in (records.State.SILENT, records.State.GONE):
                continue
            if now - entry.heard_at >= self._limits.keep_s:
                self._forget(entry)

    def _silent(self, entry: Entry, now: float) -> Entry:
        heard_at = entry.heard_at
        turned = self._turn(entry, records.State.SILENT, now, "silent")
        turned.heard_at = heard_at
        return turned

    def lost_source(self, source: str, now: float) -> None:
        """Wait anew for upstreams whose control VM was just lost."""
        for entry in self._entries.values():
            if entry.record.source == source:
                entry.heard_at = now

    def _turn(
        self,
        entry: Entry,
        state: records.State,
        now: float,
        why: str,
    ) -> Entry:
        record = attrs.evolve(
            entry.record,
            state=state,
            sequence=max(entry.sequence, entry.record.sequence),
            source=self._me,
        )
        return self._put(record, entry.cold_until, now, why)

    def _put(
        self,
        record: records.Record,
        cold_until: float,
        now: float,
        why: str,
    ) -> Entry:
        old = self._entries.get(record.id)
        self._log(old, record, why, now)
        self.revision += 1
        self._digest = None
        entry = Entry(
            attrs.evolve(record, cold_for_s=0.0),
            now,
            cold_until,
            record.sequence,
            self.revision,
        )
        self._entries[record.id] = entry
        self._entries.move_to_end(record.id)
        self._take_place(record, now)
        return entry

    def _take_place(self, record: records.Record, now: float) -> None:
        """End an older upstream whose address a younger one has."""
        if record.state == records.State.GONE:
            return
        place = (record.address, record.port)
        other = self._entries.get(self._places.get(place, ""))
        if other is None or other.record.id == record.id:
            self._places[place] = record.id
            return
        mine = self._entries[record.id]
        older, younger = sorted(
            (mine, other),
            key=lambda entry: entry.record.born_ms,
        )
        self._places[place] = younger.record.id
        if older.record.state != records.State.GONE:
            self._turn(older, records.State.GONE, now, "address taken")

    def _forget(self, entry: Entry) -> None:
        record = entry.record
        del self._entries[record.id]
        self._digest = None
        place = (record.address, record.port)
        if self._places.get(place) == record.id:
            del self._places[place]
        self._recorder.event(events.Event.UPSTREAM_FORGOTTEN, id=record.id)

    def _log(
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
        self._recorder.event(
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


def _record(said: records.Announcement, me: str) -> records.Record:
    state = records.State.READY
    if said.draining:
        state = records.State.DRAINING
    return records.Record(
        said.id,
        said.born_ms,
        said.sequence,
        state,
        said.service,
        said.address,
        said.port,
        said.data_centre,
        said.slots,
        me,
    )


def _is_late(entry: Entry, said: records.Announcement) -> bool:
    known = entry.record
    if said.born_ms != known.born_ms:
        return said.born_ms < known.born_ms
    if known.state == records.State.GONE:
        return True
    return said.sequence <= max(entry.sequence, known.sequence)


def _says_the_same(old: records.Record, new: records.Record) -> bool:
    return old == attrs.evolve(new, sequence=old.sequence)
