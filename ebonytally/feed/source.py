"""Control VM's side: answers entry VMs with what they lack."""

import collections

from ebonytally import actions
from ebonytally.configuration import machine as machines
from ebonytally.configuration import model
from ebonytally.feed import changes
from ebonytally.feed import messages
from ebonytally.register import register as registers

# Datagrams stay below the usual MTU of 1,500 bytes with their frame.
PART_BYTES = 1000
RECORDS_PER_UPDATE = 8
# Contents kept to build changes from; older ones are sent whole.
KEPT_CONTENTS = 16
# An entry VM that didn't ask for this long is not counted.
FOLLOWER_S = 3.0
# One that asked this lately is worth a greeting after a restart; longer
# than any VM is down but for good.
REMEMBERED_S = 60.0


class Source:
    """Answers polls from the register and the log's state."""

    def __init__(
        self,
        me: str,
        start: int,
        register: registers.Register,
        machine: machines.Machine,
        entry_vms: tuple[str, ...],
        now: float,
    ) -> None:
        """Start without followers.

        :param start: differs at each start of this VM
        :param entry_vms: those that asked before the start
        """
        self._me = me
        self._start = start
        self._register = register
        self._machine = machine
        self._contents: collections.OrderedDict[int, model.Content] = (
            collections.OrderedDict()
        )
        self._packed: tuple[int, int, bytes] = (0, 0, b"")
        self._followers: dict[str, float] = {}
        self._asked_at = dict.fromkeys(entry_vms, now)

    def followers(self, now: float) -> int:
        """Return how many entry VMs mainly follow this control VM."""
        for name, asked_at in list(self._followers.items()):
            if now - asked_at > FOLLOWER_S:
                del self._followers[name]
        return len(self._followers)

    def entry_vms(self, now: float) -> tuple[str, ...]:
        """Return the entry VMs that asked lately, by name."""
        for name, asked_at in list(self._asked_at.items()):
            if now - asked_at > REMEMBERED_S:
                del self._asked_at[name]
        return tuple(sorted(self._asked_at))

    def poll(
        self,
        peer: str,
        msg: messages.Poll,
        control_vms: tuple[str, ...],
        in_touch: bool,
        entry_vms: int,
        now: float,
    ) -> list[actions.Action]:
        """Answer a poll."""
        self._asked_at[peer] = now
        if msg.primary:
            self._followers[peer] = now
        else:
            self._followers.pop(peer, None)
        since = msg.revision if msg.start == self._start else 0
        found = self._register.changed_since(since)
        told = found[:RECORDS_PER_UPDATE]
        more = len(found) > len(told)
        revision = told[-1].revision if more else self._register.revision
        state = self._machine.state
        update = messages.Update(
            msg.asked,
            self._start,
            since,
            revision,
            more,
            tuple(self._register.told(entry, now) for entry in told),
            state.version,
            state.out_revision,
            state.out if state.out_revision != msg.out_revision else None,
            control_vms,
            in_touch,
            entry_vms,
        )
        return [actions.Send(peer, update)]

    def part(
        self,
        peer: str,
        msg: messages.PartWanted,
    ) -> list[actions.Action]:
        """Answer with a part of a change, or not at all."""
        state = self._machine.state
        if state.configuration is None or msg.version != state.version:
            return []
        new = self._content(state.configuration)
        base = msg.base if msg.base in self._contents else 0
        if self._packed[:2] != (base, msg.version):
            old = self._contents.get(base, changes.EMPTY)
            packed = changes.pack(changes.between(old, new))
            self._packed = (base, msg.version, packed)
        data = self._packed[2]
        first = msg.part * PART_BYTES
        parts = -(-len(data) // PART_BYTES)
        part = messages.Part(
            base,
            msg.version,
            msg.part,
            parts,
            data[first : first + PART_BYTES],
        )
        return [actions.Send(peer, part)] if msg.part < parts else []

    def _content(self, held: model.Configuration) -> model.Content:
        content = self._contents.get(held.version)
        if content is None:
            content = held.content()
            self._contents[held.version] = content
            while len(self._contents) > KEPT_CONTENTS:
                self._contents.popitem(last=False)
        return content
