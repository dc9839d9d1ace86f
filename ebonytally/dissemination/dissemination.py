"""Disseminates revisions and the configuration lease to all entry VMs.

The leader of the log grants leases down a tree; each child reports back. A
lease runs from the child's request for it, on the child's own clock, so that
neither delayed messages nor clock jumps make it outlast its parent's. The
leader excludes VMs that stopped reporting; one lease time later their leases
have certainly expired.
"""

import random
import zlib

import attrs

from ebonytally import actions
from ebonytally.dissemination import dissemination_messages as messages
from ebonytally.dissemination import dissemination_tree
from ebonytally.dissemination import view_history
from ebonytally import errors
from ebonytally import events
from ebonytally import reasons
from ebonytally import recorder as recorders
from ebonytally import settings
from ebonytally import view
from ebonytally import wire

LEASE_MARGIN_S = 0.2
PULL_INTERVAL_S = 0.1
VIEW_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 0.1


@attrs.define
class _Child:
    """The last report of another VM.

    :param stamp: time on the reporter's clock, echoed in its lease
    :param reported_at: seconds, when the report arrived
    :param up_to_date: VMs that have applied `revision`
    :param heard: the reporter and the VMs that report through it
    """

    stamp: float
    reported_at: float
    up_to_date: frozenset[str] = frozenset()
    heard: frozenset[str] = frozenset()
    revision: int = 0


@attrs.define
class _Grant:
    """The newest lease grant known to this VM.

    :param seq: number of the grant by its leader
    :param expires_at: seconds, when this VM's own lease ends
    :param received_at: seconds, when the grant arrived from `parent`
    """

    term: int = 0
    leader: str = ""
    seq: int = 0
    excluded: tuple[str, ...] = ()
    expires_at: float = float("-inf")
    parent: str = ""
    received_at: float = float("-inf")


class Dissemination:
    """Lease and view of one entry VM, and its node in the tree."""

    def __init__(
        self,
        cfg: settings.Settings,
        local_vm: str,
        initial_view: view.View,
        recorder: recorders.Recorder,
        seed: int,
    ) -> None:
        """Set up with the stored view and without a lease.

        :param seed: for choosing a VM to request a lease from
        """
        self._cfg = cfg
        self._local_vm = local_vm
        self._recorder = recorder
        self._random = random.Random(seed)
        self._history = view_history.History(initial_view)
        self._alive: frozenset[str] = frozenset()
        self._grant = _Grant()
        self._children: dict[str, _Child] = {}
        self._leading_term: int | None = None
        self._leader_since = 0.0
        self._seq = 0
        self._next_heartbeat_at = 0.0
        self._last_pull_at = float("-inf")
        self._view_sent_at: dict[str, float] = {}
        self._excluded: dict[str, float] = {}
        self._was_leased = False
        self._report_to = ""
        self._next_report_at = float("-inf")
        self._unsent_commands: list[bytes] = []

    @property
    def current_view(self) -> view.View:
        """Return the newest view that this VM has applied."""
        return self._history.view

    @property
    def leader(self) -> str:
        """Return the leader that granted the newest lease, "" for none."""
        return self._grant.leader

    def is_leased(self, now: float) -> bool:
        """Return whether the configuration lease is valid."""
        return now < self._grant.expires_at

    def set_alive(self, alive: frozenset[str]) -> None:
        """Set the other VMs that the failure detector finds alive."""
        self._alive = alive

    def set_leading_term(self, term: int | None, now: float) -> None:
        """Renew this VM's own lease if it leads the log; else stop granting.

        :param term: term in which the log's leader lease holds, or None
        """
        if term is not None and term != self._leading_term:
            self._leader_since = now
            self._excluded = {}
            self._children = {}
        self._leading_term = term
        if term is None:
            return
        self._grant = _Grant(
            term,
            self._local_vm,
            self._seq,
            tuple(sorted(self._excluded)),
            now + self._cfg.limits.lease_s,
            self._local_vm,
            now,
        )

    # Revisions of the view

    def on_command_applied(
        self,
        revision: int,
        command: object,
    ) -> None:
        """Disseminate a command that the local log has applied.

        :param revision: revision of the view that it leads to
        """
        packed = wire.pack_message(command)
        if self._history.append(revision, packed):
            self._unsent_commands.append(packed)

    def replace_view(self, new_view: view.View) -> bool:
        """Replace the view; return False if the new one isn't newer."""
        self._unsent_commands.clear()
        return self._history.replace_view(new_view)

    def packed_view(self) -> bytes:
        """Return the current view serialised for the data folder."""
        return wire.pack(self._history.whole_view())

    def _send_commands(self) -> list[actions.Action]:
        """Send commands applied since the last tick to the children."""
        if not self._unsent_commands:
            return []
        first = self.current_view.revision - len(self._unsent_commands) + 1
        entries = messages.Entries(first, tuple(self._unsent_commands))
        self._unsent_commands.clear()
        return [actions.Send(name, entries) for name in self._child_names()]

    def _child_names(self) -> tuple[str, ...]:
        if not self._grant.leader:
            return ()
        child_names = dissemination_tree.children(
            self._local_vm,
            self._grant.leader,
            self.current_view.vms,
            self._alive,
        )
        return tuple(
            name for name in child_names if name not in self._excluded
        )

    # Messages from other VMs

    def handle(
        self,
        peer: str,
        msg: object,
        now: float,
    ) -> list[actions.Action]:
        """Handle a message of leases or revisions."""
        if isinstance(msg, messages.Lease):
            return self._handle_lease(peer, msg, now)
        if isinstance(msg, messages.Report):
            return self._handle_report(peer, msg, now)
        if isinstance(msg, messages.Pull):
            return self._handle_pull(peer, msg, now)
        if isinstance(msg, messages.Entries):
            return self._handle_entries(peer, msg, now)
        return self._handle_whole_view(msg)

    def _handle_lease(
        self,
        peer: str,
        msg: messages.Lease,
        now: float,
    ) -> list[actions.Action]:
        grant = self._grant
        if self._leading_term is not None or msg.term < grant.term:
            return []
        is_newer = (msg.term, msg.seq) > (grant.term, grant.seq)
        if is_newer:
            grant.term = msg.term
            grant.leader = msg.leader
            grant.seq = msg.seq
            grant.excluded = msg.excluded
            grant.parent = peer
            grant.received_at = now
        # A lease is valid only with the grantor's revision: on an older one
        # this VM might still send into a data centre that is taken out.
        is_current = msg.revision <= self.current_view.revision
        if (
            is_current
            and msg.echo >= 0
            and self._local_vm not in grant.excluded
        ):
            grant.expires_at = max(grant.expires_at, msg.echo + msg.left_s)
        actions_: list[actions.Action] = []
        if is_newer:
            # Report only on a newer grant: a VM that isn't the parent answers
            # a report with a lease, which would start a loop.
            actions_.append(actions.Send(peer, self._make_report(now)))
            actions_ += self._lease_children(now)
        if msg.revision > self.current_view.revision:
            actions_ += self._request_entries(peer, now)
        return actions_

    def _request_entries(self, peer: str, now: float) -> list[actions.Action]:
        if now - self._last_pull_at < PULL_INTERVAL_S:
            return []
        self._last_pull_at = now
        self._recorder.count_retry(reasons.Retry.SPREAD_GAP)
        return [actions.Send(peer, messages.Pull(self.current_view.revision))]

    def _handle_pull(
        self,
        peer: str,
        msg: messages.Pull,
        now: float,
    ) -> list[actions.Action]:
        answer = self._history.changes_after(msg.after)
        if answer is None:
            return []
        if isinstance(answer, messages.WholeView):
            last_sent_at = self._view_sent_at.get(peer, float("-inf"))
            if now - last_sent_at < VIEW_INTERVAL_S:
                return []
            self._view_sent_at[peer] = now
        return [actions.Send(peer, answer)]

    def _handle_entries(
        self,
        peer: str,
        msg: messages.Entries,
        now: float,
    ) -> list[actions.Action]:
        last_revision = msg.first + len(msg.commands) - 1
        if last_revision <= self.current_view.revision:
            return []
        if msg.first > self.current_view.revision + 1:
            return self._request_entries(peer, now)
        for offset, packed in enumerate(msg.commands):
            if self._history.append(msg.first + offset, packed):
                self._unsent_commands.append(packed)
        self._report_to = peer
        return []

    def _handle_whole_view(
        self, msg: messages.WholeView
    ) -> list[actions.Action]:
        if msg.revision <= self.current_view.revision:
            return []
        try:
            new_view = view_history.unpack_whole_view(msg)
        except (errors.WireError, zlib.error):
            self._recorder.count_refusal(reasons.Refusal.FRAME_MALFORMED)
            return []
        self.replace_view(new_view)
        return []

    # Reports

    def _vm_names(self) -> list[str]:
        return sorted(vm.name for vm in self.current_view.vms)

    def _make_report(self, now: float) -> messages.Report:
        names = self._vm_names()
        heard = {self._local_vm}
        up_to_date = {self._local_vm}
        revision = self.current_view.revision
        for name, child in self._live_children(now).items():
            heard |= child.heard | {name}
            if child.revision >= revision:
                up_to_date |= child.up_to_date
        return messages.Report(
            stamp=now,
            applied=self.current_view.revision,
            names=zlib.crc32("\n".join(names).encode()),
            heard=_bitmap(names, heard),
            current=_bitmap(names, up_to_date),
            revision=revision,
        )

    def _live_children(self, now: float) -> dict[str, _Child]:
        limit_s = self._cfg.limits.lease_s
        return {
            name: child
            for name, child in self._children.items()
            if now - child.reported_at < limit_s
        }

    def _handle_report(
        self,
        peer: str,
        msg: messages.Report,
        now: float,
    ) -> list[actions.Action]:
        names = self._vm_names()
        if peer not in names:
            return []
        child = _Child(msg.stamp, now, revision=msg.applied)
        child.up_to_date = frozenset({peer})
        child.heard = frozenset({peer})
        if msg.names == zlib.crc32("\n".join(names).encode()):
            child.heard |= _names_in(names, msg.heard)
            if msg.revision == msg.applied:
                child.up_to_date |= _names_in(names, msg.current)
        self._children[peer] = child
        for name in child.heard:
            self._excluded.pop(name, None)
        actions_: list[actions.Action] = []
        if peer not in self._child_names() and self.is_leased(now):
            actions_.append(actions.Send(peer, self._make_lease(peer, now)))
        return actions_

    # Timers

    def tick(self, now: float) -> list[actions.Action]:
        """Send revisions and reports, grant leases or request one."""
        self._record_lease_change(now)
        actions_ = self._send_commands()
        actions_ += self._report_applied(now)
        if now < self._next_heartbeat_at:
            return actions_
        self._next_heartbeat_at = now + self._cfg.limits.heartbeat_s
        if self._leading_term is not None:
            self._exclude_silent(now)
            self._seq += 1
            self._grant.seq = self._seq
            self._grant.excluded = tuple(sorted(self._excluded))
            return actions_ + self._lease_children(now)
        return actions_ + self._request_lease(now)

    def _report_applied(self, now: float) -> list[actions.Action]:
        """Report applied revisions, at most once per interval."""
        if not self._report_to or now < self._next_report_at:
            return []
        peer = self._report_to
        self._report_to = ""
        self._next_report_at = now + REPORT_INTERVAL_S
        return [actions.Send(peer, self._make_report(now))]

    def _record_lease_change(self, now: float) -> None:
        leased = self.is_leased(now)
        if leased == self._was_leased:
            return
        self._was_leased = leased
        event = events.Event.LEASE_LOST
        if leased:
            event = events.Event.LEASE_GAINED
        self._recorder.log_event(event, leader=self.leader)

    def _exclude_silent(self, now: float) -> None:
        limit_s = self._cfg.limits.lease_s
        heard = self.reporting_vms(now)
        if now - self._leader_since < limit_s:
            return
        for name in self._vm_names():
            if name not in heard:
                self._excluded.setdefault(name, now)

    def _lease_children(self, now: float) -> list[actions.Action]:
        if not self.is_leased(now):
            return []
        return [
            actions.Send(name, self._make_lease(name, now))
            for name in self._child_names()
        ]

    def _make_lease(self, name: str, now: float) -> messages.Lease:
        grant = self._grant
        child = self._children.get(name)
        echo = child.stamp if child is not None else -1.0
        if name in grant.excluded:
            echo = -1.0
        return messages.Lease(
            grant.term,
            grant.leader,
            self.current_view.revision,
            grant.expires_at - now,
            echo,
            grant.seq,
            grant.excluded,
        )

    def _request_lease(self, now: float) -> list[actions.Action]:
        silent_s = now - self._grant.received_at
        if silent_s < 2 * self._cfg.limits.heartbeat_s:
            return []
        choices = sorted(self._alive) or self._vm_names()
        choices = [name for name in choices if name != self._local_vm]
        if not choices:
            return []
        target = self._random.choice(choices)
        return [actions.Send(target, self._make_report(now))]

    # State used by the leader

    def reporting_vms(self, now: float) -> frozenset[str]:
        """Return the VMs that reported within the lease time."""
        heard = {self._local_vm}
        for child in self._live_children(now).values():
            heard |= child.heard
        return frozenset(heard)

    def applied_revisions(self, now: float) -> dict[str, int]:
        """Return the newest revision known to be applied, by VM."""
        revisions = {self._local_vm: self.current_view.revision}
        for child in self._live_children(now).values():
            for name in child.up_to_date:
                revisions[name] = max(revisions.get(name, 0), child.revision)
        return revisions

    def expired_vms(self, now: float) -> frozenset[str]:
        """Return the VMs whose lease has certainly expired."""
        if self._leading_term is None:
            return frozenset()
        limit_s = self._cfg.limits.lease_s + LEASE_MARGIN_S
        return frozenset(
            name
            for name, since in self._excluded.items()
            if now - since >= limit_s
        )


def _bitmap(names: list[str], members: set[str]) -> bytes:
    """Return bits, little-endian: bit i is set if names[i] is a member."""
    bits = 0
    for index, name in enumerate(names):
        if name in members:
            bits |= 1 << index
    return bits.to_bytes((len(names) + 7) // 8, "little")


def _names_in(names: list[str], bitmap: bytes) -> frozenset[str]:
    """Return the names whose bits are set, see `_bitmap`."""
    bits = int.from_bytes(bitmap, "little")
    return frozenset(
        name for index, name in enumerate(names) if bits >> index & 1
    )
