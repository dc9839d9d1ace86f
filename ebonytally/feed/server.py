"""Server of the feed: a control VM answers the polls of entry VMs."""

import collections

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
# Contents kept to build changes from. An entry VM with an older version is
# sent the whole content.
MAX_BASE_CONTENTS = 16
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
        self._contents: collections.OrderedDict[int, model.Content] = (
            collections.OrderedDict()
        )
        self._packed: tuple[int, int, bytes] = (0, 0, b"")
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
    ) -> list[actions.Action]:
        """Answer a poll.

        :param control_vms: names of all known control VMs
        :param in_touch: this control VM follows a leader, or is one
        :param entry_vms: approximate number of entry VMs
        """
        self._polled_at[peer] = now
        if msg.primary:
            self._follower_polled_at[peer] = now
        else:
            self._follower_polled_at.pop(peer, None)
        since = msg.revision if msg.start == self._start else 0
        changed = self._registry.changed_since(since)
        state = self._machine.state
        out = state.out if state.out_revision != msg.out_revision else None
        room_bytes = UPDATE_BYTES - UPDATE_HEAD_BYTES
        room_bytes -= _packed_bytes((*control_vms, *(out or ())))
        sent = self._first_records(changed, room_bytes, now)
        more = len(changed) > len(sent)
        revision = self._registry.revision
        if more:
            revision = changed[len(sent) - 1].revision
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
        )
        return [actions.Send(peer, update)]

    def _first_records(
        self,
        entries: list[registries.Entry],
        room_bytes: int,
        now: float,
    ) -> tuple[records.Record, ...]:
        """Return the records of the first entries, as many as fit.

        The first one is returned even if it doesn't fit: without it the
        entry VM would never get the ones after it.
        """
        sent: list[records.Record] = []
        for entry in entries:
            record = self._registry.to_record(entry, now)
            room_bytes -= len(wire.pack(record))
            if sent and room_bytes < 0:
                break
            sent.append(record)
        return tuple(sent)

    def handle_part_wanted(
        self,
        peer: str,
        msg: messages.PartWanted,
    ) -> list[actions.Action]:
        """Return the requested part of a change.

        Nothing is sent if another version is in force or no such part
        exists; the entry VM learns the version by its next poll.
        """
        state = self._machine.state
        if state.configuration is None or msg.version != state.version:
            return []
        new = self._content(state.configuration)
        base = msg.base if msg.base in self._contents else 0
        if self._packed[:2] != (base, msg.version):
            old = self._contents.get(base, changes.EMPTY)
            packed = changes.pack(changes.diff(old, new))
            self._packed = (base, msg.version, packed)
        data = self._packed[2]
        start = msg.part * PART_BYTES
        parts = -(-len(data) // PART_BYTES)
        part = messages.Part(
            base,
            msg.version,
            msg.part,
            parts,
            data[start : start + PART_BYTES],
        )
        return [actions.Send(peer, part)] if msg.part < parts else []

    def _content(self, configuration: model.Configuration) -> model.Content:
        content = self._contents.get(configuration.version)
        if content is None:
            content = configuration.content()
            self._contents[configuration.version] = content
            while len(self._contents) > MAX_BASE_CONTENTS:
                self._contents.popitem(last=False)
        return content


def _packed_bytes(names: tuple[str, ...]) -> int:
    """Return the bytes that names take in a frame, up to 255 each."""
    return sum(len(name.encode()) + 2 for name in names)
