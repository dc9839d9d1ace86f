"""Server of the feed: a control VM answers the polls of entry VMs."""

import collections
from collections.abc import Iterable

from ebonytally import actions
from ebonytally.configuration import machine as machines
from ebonytally.configuration import model
from ebonytally.feed import changes
from ebonytally.feed import messages
from ebonytally.registry import records
from ebonytally.registry import registry as registries
from ebonytally import wire

# With its frame a datagram stays below the usual MTU of 1,500 bytes.
PART_BYTES = 1000
UPDATE_BYTES = 1100
# Bytes of an update besides its records and names.
UPDATE_HEAD_BYTES = 100
# Configurations kept to build changes from and to. An entry VM with an
# older version is sent the whole content.
MAX_CONFIGURATIONS = 32
# Decoding takes some 10 us for each route.
MAX_DECODED_CONTENTS = 6
MAX_PACKED_CHANGES = 32
# An entry VM that hasn't polled for this long is not counted as follower.
FOLLOWER_TIMEOUT_S = 3.0
# An entry VM that polled within this time is notified after a restart. No
# VM that comes back is down for longer.
REMEMBER_POLLER_S = 60.0


class FeedServer:
    """Answers polls from the registry and the replicated log's state."""

    def __init__(
        self,
        local_vm: str,
        start: int,
        registry: registries.Registry,
        machine: machines.Machine,
        entry_vms: tuple[str, ...],
        now: float,
    ) -> None:
        """Set up without followers.

        :param start: number that differs at each start of this VM
        :param entry_vms: names of those that polled before the start
        """
        self._local_vm = local_vm
        self._start = start
        self._registry = registry
        self._machine = machine
        self._configurations: collections.OrderedDict[
            int, model.Configuration
        ] = collections.OrderedDict()
        # Contents of some of them, least recently used first.
        self._contents: collections.OrderedDict[int, model.Content] = (
            collections.OrderedDict()
        )
        # Packed changes by base and version, least recently packed first.
        self._packed: collections.OrderedDict[tuple[int, int], bytes] = (
            collections.OrderedDict()
        )
        self._follower_polled_at: dict[str, float] = {}
        self._polled_at = dict.fromkeys(entry_vms, now)

    def count_followers(self, now: float) -> int:
        """Return how many entry VMs mainly follow this control VM."""
        for name, polled_at in list(self._follower_polled_at.items()):
            if now - polled_at > FOLLOWER_TIMEOUT_S:
                del self._follower_polled_at[name]
        return len(self._follower_polled_at)

    def entry_vms(self, now: float) -> tuple[str, ...]:
        """Return the sorted names of entry VMs that polled recently."""
        for name, polled_at in list(self._polled_at.items()):
            if now - polled_at > REMEMBER_POLLER_S:
                del self._polled_at[name]
        return tuple(sorted(self._polled_at))

    def handle_poll(
        self,
        peer: str,
        msg: messages.Poll,
        control_vms: tuple[str, ...],
        in_touch: bool,
        entry_vms: int,
        now: float,
        heard: frozenset[str] = frozenset(),
    ) -> list[actions.Action]:
        """Answer a poll.

        An entry VM gets upstreams that are ready from the control VM that
        it follows, if that one knows what this one knows. What must be
        stopped, it gets from all.

        :param control_vms: names of all known control VMs
        :param in_touch: this control VM follows a leader, or is one
        :param entry_vms: approximate number of entry VMs
        :param heard: other control VMs that know what this one knows
        """
        self._polled_at[peer] = now
        if msg.primary:
            self._follower_polled_at[peer] = now
        else:
            self._follower_polled_at.pop(peer, None)
        self._keep_configuration()
        is_partial = msg.follows in heard
        since = msg.stops_revision if is_partial else msg.revision
        if msg.start != self._start:
            since = 0
        changed: Iterable[registries.Entry] = ()
        if msg.digest == self._registry.digest():
            is_partial = False
        else:
            changed = self._registry.changed_since(since)
        if is_partial:
            changed = (entry for entry in changed if not _is_ready(entry))
        state = self._machine.state
        out = state.out if state.out_revision != msg.out_revision else None
        room_bytes = UPDATE_BYTES - UPDATE_HEAD_BYTES
        room_bytes -= _packed_bytes((*control_vms, *(out or ())))
        sent, revision = self._first_records(changed, room_bytes, now)
        more = revision is not None
        if revision is None:
            revision = self._registry.revision
        update = messages.Update(
            msg.poll_number,
            self._start,
            since,
            revision,
            more,
            sent,
            state.version,
            state.out_revision,
            out,
            control_vms,
            in_touch,
            entry_vms,
            is_partial,
        )
        return [actions.Send(peer, update)]

    def _first_records(
        self,
        entries: Iterable[registries.Entry],
        room_bytes: int,
        now: float,
    ) -> tuple[tuple[records.Record, ...], int | None]:
        """Return the records of the first entries, as many as fit.

        The first one is returned even if it doesn't fit: without it the
        entry VM would never get the ones after it.

        :return: the records, and the revision of the last one if further
            ones didn't fit, else None
        """
        sent: list[records.Record] = []
        revision = 0
        for entry in entries:
            record = self._registry.to_record(entry, now)
            if not entry.size_bytes:
                entry.size_bytes = len(wire.pack(record))
            room_bytes -= entry.size_bytes
            if sent and room_bytes < 0:
                return tuple(sent), revision
            sent.append(record)
            revision = entry.revision
        return tuple(sent), None

    def handle_records_wanted(
        self, peer: str, msg: messages.RecordsWanted, now: float
    ) -> list[actions.Action]:
        """Return the records of some upstreams, in several datagrams."""
        entries = [self._registry.get(id_) for id_ in msg.ids]
        known = [entry for entry in entries if entry is not None]
        out: list[actions.Action] = []
        while known:
            sent, _ = self._first_records(
                known, UPDATE_BYTES - UPDATE_HEAD_BYTES, now
            )
            out.append(actions.Send(peer, messages.Records(sent)))
            known = known[len(sent) :]
        return out

    def handle_part_wanted(
        self,
        peer: str,
        msg: messages.PartWanted,
    ) -> list[actions.Action]:
        """Return the requested part of a change.

        Parts of recent versions are sent as well: in a series of changes
        an entry VM could otherwise never finish a large one. Nothing is
        sent if the version is unknown or has no such part; the entry VM
        learns the newest version by its next poll.
        """
        self._keep_configuration()
        if msg.version not in self._configurations:
            return []
        base = msg.base if msg.base in self._configurations else 0
        data = self._packed_change(base, msg.version)
        start = msg.part * PART_BYTES
        parts = -(-len(data) // PART_BYTES)
        part = messages.Part(
            base,
            msg.version,
            msg.part,
            parts,
            data[start : start + PART_BYTES],
        )
        return [actions.Send(peer, part)] if 0 <= msg.part < parts else []

    def _packed_change(self, base: int, version: int) -> bytes:
        packed = self._packed.get((base, version))
        if packed is None:
            old = self._content(base) if base else changes.EMPTY
            change = changes.diff(old, self._content(version))
            packed = self._packed[base, version] = changes.pack(change)
            if len(self._packed) > MAX_PACKED_CHANGES:
                self._packed.popitem(last=False)
        return packed

    def _keep_configuration(self) -> None:
        """Keep the configuration in force; entry VMs will have it soon."""
        configuration = self._machine.state.configuration
        if configuration is None:
            return
        if configuration.version not in self._configurations:
            self._configurations[configuration.version] = configuration
            if len(self._configurations) > MAX_CONFIGURATIONS:
                self._configurations.popitem(last=False)

    def _content(self, version: int) -> model.Content:
        content = self._contents.get(version)
        if content is None:
            content = self._configurations[version].content()
            self._contents[version] = content
            if len(self._contents) > MAX_DECODED_CONTENTS:
                self._contents.popitem(last=False)
        self._contents.move_to_end(version)
        return content


def _is_ready(entry: registries.Entry) -> bool:
    return entry.record.state == records.State.READY


def _packed_bytes(names: tuple[str, ...]) -> int:
    """Return the bytes that names take in a frame, up to 255 each."""
    return sum(len(name.encode()) + 2 for name in names)
