"""Brings revisions and the configuration lease to every entry VM.

The leader of the log grants leases down a tree; each child reports back. A
lease is measured from the moment the child asked for it, on the child's own
clock, so delayed messages and jumping clocks never make one longer than its
parent's. The leader excludes VMs that stopped reporting, and may count on
their leases having ended one lease time later.
"""

import random
import zlib

import attrs

from ebonytally import actions
from ebonytally import errors
from ebonytally import events
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally.spread import spread_history
from ebonytally.spread import spread_messages as messages
from ebonytally.spread import spread_tree
from ebonytally import view
from ebonytally import wire

MARGIN_S = 0.2
PULL_EVERY_S = 0.1
WHOLE_EVERY_S = 0.5
REPORT_EVERY_S = 0.1


@attrs.define
class _Child:
    stamp: float
    at: float
    current: frozenset[str] = frozenset()
    heard: frozenset[str] = frozenset()
    revision: int = 0


@attrs.define
class _Grant:
    """The newest lease that this VM knows of."""

    term: int = 0
    leader: str = ""
    seq: int = 0
    excluded: tuple[str, ...] = ()
    until: float = float("-inf")
    parent: str = ""
    got_at: float = float("-inf")


class Spread:
    """Lease and view of one entry VM, and its part in the tree."""

    def __init__(
        self,
        cfg: settings.Settings,
        me: str,
        first: view.View,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Start from the stored view, cut off until a lease comes."""
        self._cfg = cfg
        self._me = me
        self._recorder = recorder
        self._random = random.Random(seed)
        self._history = spread_history.History(first)
        self._alive: frozenset[str] = frozenset()
        self._grant = _Grant()
        self._children: dict[str, _Child] = {}
        self._leading: int | None = None
        self._led_since = 0.0
        self._seq = 0
        self._next_at = 0.0
        self._pulled_at = float("-inf")
        self._whole_at: dict[str, float] = {}
        self._excluded: dict[str, float] = {}
        self._had_lease = False
        self._report_to = ""
        self._report_at = float("-inf")
        self._unsent: list[bytes] = []

    @property
    def present(self) -> view.View:
        """Return the newest view that this VM has applied."""
        return self._history.view

    @property
    def leader(self) -> str:
        """Return the leader of the newest lease, "" for none yet."""
        return self._grant.leader

    def leased(self, now: float) -> bool:
        """Return whether the configuration lease holds."""
        return now < self._grant.until

    def reach(self, alive: frozenset[str]) -> None:
        """Take who is taken as alive."""
        self._alive = alive

    def lead(self, term: int | None, now: float) -> None:
        """Note that this VM leads the log and may grant, or doesn't.

        :param term: term in which the log's own lease holds, or None
        """
        if term is not None and term != self._leading:
            self._led_since = now
            self._excluded = {}
            self._children = {}
        self._leading = term
        if term is None:
            return
        self._grant = _Grant(
            term,
            self._me,
            self._seq,
            tuple(sorted(self._excluded)),
            now + self._cfg.limits.lease_s,
            self._me,
            now,
        )

    # Revisions.

    def offer(
        self,
        revision: int,
        command: object,
    ) -> None:
        """Take a command that the log has applied here."""
        packed = wire.pack_message(command)
        if self._history.append(revision, packed):
            self._unsent.append(packed)

    def adopt(self, new: view.View) -> bool:
        """Take a whole view from the log; False when it isn't newer."""
        self._unsent.clear()
        return self._history.adopt(new)

    def stored(self) -> bytes:
        """Return the present view as bytes for the data folder."""
        return wire.pack(self._history.whole())

    def _push(self) -> list[actions.Action]:
        """Pass on what was applied since the last tick, together."""
        if not self._unsent:
            return []
        first = self.present.revision - len(self._unsent) + 1
        entries = messages.Entries(first, tuple(self._unsent))
        self._unsent.clear()
        return [actions.Send(name, entries) for name in self._below()]

    def _below(self) -> tuple[str, ...]:
        if not self._grant.leader:
            return ()
        below = spread_tree.children(
            self._me,
            self._grant.leader,
            self.present.vms,
            self._alive,
        )
        return tuple(name for name in below if name not in self._excluded)

    # Messages.

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Take a message of another VM."""
        if isinstance(msg, messages.Lease):
            return self._leased_by(peer, msg, now)
        if isinstance(msg, messages.Report):
            return self._reported(peer, msg, now)
        if isinstance(msg, messages.Pull):
            return self._pulled(peer, msg, now)
        if isinstance(msg, messages.Entries):
            return self._entries(peer, msg, now)
        return self._whole(msg)

    def _leased_by(
        self,
        peer: str,
        msg: messages.Lease,
        now: float,
    ) -> list[actions.Action]:
        grant = self._grant
        if self._leading is not None or msg.term < grant.term:
            return []
        newer = (msg.term, msg.seq) > (grant.term, grant.seq)
        if newer:
            grant.term = msg.term
            grant.leader = msg.leader
            grant.seq = msg.seq
            grant.excluded = msg.excluded
            grant.parent = peer
            grant.got_at = now
        # A lease vouches for the grantor's revision: without it, this VM
        # might go on sending into a data centre that is out.
        current = msg.revision <= self.present.revision
        if current and msg.echo >= 0 and self._me not in grant.excluded:
            grant.until = max(grant.until, msg.echo + msg.left_s)
        out: list[actions.Action] = []
        if newer:
            # Only a newer grant is reported: whoever isn't the parent
            # answers a report with a lease.
            out.append(actions.Send(peer, self._report(now)))
            out += self._grants(now)
        if msg.revision > self.present.revision:
            out += self._pull(peer, now)
        return out

    def _pull(self, peer: str, now: float) -> list[actions.Action]:
        if now - self._pulled_at < PULL_EVERY_S:
            return []
        self._pulled_at = now
        self._recorder.retried(reasons.Retry.SPREAD_GAP)
        return [actions.Send(peer, messages.Pull(self.present.revision))]

    def _pulled(
        self,
        peer: str,
        msg: messages.Pull,
        now: float,
    ) -> list[actions.Action]:
        answer = self._history.after(msg.after)
        if answer is None:
            return []
        if isinstance(answer, messages.WholeView):
            last = self._whole_at.get(peer, float("-inf"))
            if now - last < WHOLE_EVERY_S:
                return []
            self._whole_at[peer] = now
        return [actions.Send(peer, answer)]

    def _entries(
        self,
        peer: str,
        msg: messages.Entries,
        now: float,
    ) -> list[actions.Action]:
        last = msg.first + len(msg.commands) - 1
        if last <= self.present.revision:
            return []
        if msg.first > self.present.revision + 1:
            return self._pull(peer, now)
        for offset, packed in enumerate(msg.commands):
            if self._history.append(msg.first + offset, packed):
                self._unsent.append(packed)
        self._report_to = peer
        return []

    def _whole(self, msg: messages.WholeView) -> list[actions.Action]:
        if msg.revision <= self.present.revision:
            return []
        try:
            new = spread_history.open_whole(msg)
        except (errors.WireError, zlib.error):
            self._recorder.refused(reasons.Refusal.FRAME_MALFORMED)
            return []
        self.adopt(new)
        return []

    # Reports.

    def _names(self) -> list[str]:
        return sorted(vm.name for vm in self.present.vms)

    def _report(self, now: float) -> messages.Report:
        names = self._names()
        heard = {self._me}
        current = {self._me}
        revision = self.present.revision
        for name, child in self._fresh(now).items():
            heard |= child.heard | {name}
            if child.revision >= revision:
                current |= child.current
        return messages.Report(
            stamp=now,
            applied=self.present.revision,
            names=zlib.crc32("\n".join(names).encode()),
            heard=_bitmap(names, heard),
            current=_bitmap(names, current),
            revision=revision,
        )

    def _fresh(self, now: float) -> dict[str, _Child]:
        limit = self._cfg.limits.lease_s
        return {
            name: child
            for name, child in self._children.items()
            if now - child.at < limit
        }

    def _reported(
        self,
        peer: str,
        msg: messages.Report,
        now: float,
    ) -> list[actions.Action]:
        names = self._names()
        if peer not in names:
            return []
        child = _Child(msg.stamp, now, revision=msg.applied)
        child.current = frozenset({peer})
        child.heard = frozenset({peer})
        if msg.names == zlib.crc32("\n".join(names).encode()):
            child.heard |= _members(names, msg.heard)
            if msg.revision == msg.applied:
                child.current |= _members(names, msg.current)
        self._children[peer] = child
        for name in child.heard:
            self._excluded.pop(name, None)
        out: list[actions.Action] = []
        if peer not in self._below() and self.leased(now):
            out.append(actions.Send(peer, self._lease_for(peer, now)))
        return out

    # What is due.

    def tick(self, now: float) -> list[actions.Action]:
        """Grant leases, ask for one, note the loss of one."""
        self._note_lease(now)
        out = self._push()
        out += self._report_applied(now)
        if now < self._next_at:
            return out
        self._next_at = now + self._cfg.limits.heartbeat_s
        if self._leading is not None:
            self._exclude(now)
            self._seq += 1
            self._grant.seq = self._seq
            self._grant.excluded = tuple(sorted(self._excluded))
            return out + self._grants(now)
        return out + self._ask(now)

    def _report_applied(self, now: float) -> list[actions.Action]:
        """Report applied revisions, together if they come in a row."""
        if not self._report_to or now < self._report_at:
            return []
        peer = self._report_to
        self._report_to = ""
        self._report_at = now + REPORT_EVERY_S
        return [actions.Send(peer, self._report(now))]

    def _note_lease(self, now: float) -> None:
        leased = self.leased(now)
        if leased == self._had_lease:
            return
        self._had_lease = leased
        event = events.Event.LEASE_LOST
        if leased:
            event = events.Event.LEASE_GAINED
        self._recorder.event(event, leader=self.leader)

    def _exclude(self, now: float) -> None:
        limit = self._cfg.limits.lease_s
        heard = self.heard(now)
        if now - self._led_since < limit:
            return
        for name in self._names():
            if name not in heard:
                self._excluded.setdefault(name, now)

    def _grants(self, now: float) -> list[actions.Action]:
        if not self.leased(now):
            return []
        return [
            actions.Send(name, self._lease_for(name, now))
            for name in self._below()
        ]

    def _lease_for(self, name: str, now: float) -> messages.Lease:
        grant = self._grant
        child = self._children.get(name)
        echo = child.stamp if child is not None else -1.0
        if name in grant.excluded:
            echo = -1.0
        return messages.Lease(
            grant.term,
            grant.leader,
            self.present.revision,
            grant.until - now,
            echo,
            grant.seq,
            grant.excluded,
        )

    def _ask(self, now: float) -> list[actions.Action]:
        quiet = now - self._grant.got_at
        if quiet < 2 * self._cfg.limits.heartbeat_s:
            return []
        choices = sorted(self._alive) or self._names()
        choices = [name for name in choices if name != self._me]
        if not choices:
            return []
        target = self._random.choice(choices)
        return [actions.Send(target, self._report(now))]

    # For the leader.

    def heard(self, now: float) -> frozenset[str]:
        """Return the VMs that reported within the lease time."""
        heard = {self._me}
        for child in self._fresh(now).values():
            heard |= child.heard
        return frozenset(heard)

    def applied(self, now: float) -> dict[str, int]:
        """Return the newest revision known to be applied, by VM."""
        out = {self._me: self.present.revision}
        for child in self._fresh(now).values():
            for name in child.current:
                out[name] = max(out.get(name, 0), child.revision)
        return out

    def lapsed(self, now: float) -> frozenset[str]:
        """Return the VMs whose leases have ended for certain."""
        if self._leading is None:
            return frozenset()
        limit = self._cfg.limits.lease_s + MARGIN_S
        return frozenset(
            name
            for name, since in self._excluded.items()
            if now - since >= limit
        )


def _bitmap(names: list[str], present: set[str]) -> bytes:
    bits = 0
    for index, name in enumerate(names):
        if name in present:
            bits |= 1 << index
    return bits.to_bytes((len(names) + 7) // 8, "little")


def _members(names: list[str], bitmap: bytes) -> frozenset[str]:
    bits = int.from_bytes(bitmap, "little")
    return frozenset(
        name for index, name in enumerate(names) if bits >> index & 1
    )
