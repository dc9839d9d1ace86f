"""Silences that control VMs tell: their views, no facts about upstreams.

A control VM that is cut off from the others takes the upstreams that
announce themselves there for silent. What it believed is kept here only
as long as a control VM stands by it.
"""

import functools
from typing import Protocol

import attrs

from ebonytally.registry import records
from ebonytally.registry import registry as registries

CHECK_INTERVAL_S = 0.1
# After a cut all upstreams may be silent; each is looked at this often.
SCAN_INTERVAL_S = 0.5
# Upstreams asked for at a time. The answer takes some 5 KB; a link of
# 1.5 Mbit/s carries 19 KB in this time.
MAX_ASKED = 48
ASK_AGAIN_S = 1.0
# Control VMs agree within 1.5 s if one of them missed a silence.
WITHDRAW_AFTER_S = 2.0


class ControlVms(Protocol):
    """State of the control VMs as seen by an entry VM."""

    def is_heard(self, name: str, now: float) -> bool:
        """Return whether a control VM has answered recently."""

    def is_in_touch(self, name: str) -> bool:
        """Return whether a control VM follows a leader, or is one."""

    def start_of(self, name: str) -> int:
        """Return the start number of a control VM's process, 0 if unknown."""


@attrs.frozen
class _Unconfirmed:
    """A silence that is kept back.

    :param start: start number of the control VM that told it
    """

    teller: str
    start: int
    record: records.Record


@attrs.define
class _Silence:
    """A silence in force.

    :param tellers: start number of each control VM that told it
    :param contradicted_by: control VM that told later that the upstream
        isn't silent, "" for none
    :param contradiction: its record
    """

    tellers: dict[str, int] = attrs.field(factory=dict)
    contradicted_by: str = ""
    contradiction: records.Record | None = None
    contradicted_at: float = 0.0
    asked_at: float = -1e9


class Silences:
    """Decides which silences the registry of an entry VM contains."""

    def __init__(
        self, registry: registries.Registry, control_vms: ControlVms
    ) -> None:
        """Set up without silences."""
        self._registry = registry
        self._control_vms = control_vms
        # Silences that the control VM which heard the upstream hasn't
        # confirmed, and who told them, by upstream id.
        self._unconfirmed: dict[str, _Unconfirmed] = {}
        self._silences: dict[str, _Silence] = {}
        # Ids of silences that no control VM stood by at the last scan.
        self._doubtful: list[str] = []
        self._checked_at = 0.0
        self._scanned_at = 0.0

    def merge(self, peer: str, record: records.Record, now: float) -> None:
        """Merge a record that a control VM told."""
        if record.state == records.State.SILENT:
            start = self._control_vms.start_of(peer)
            self._merge_silence(_Unconfirmed(peer, start, record), now)
            return
        kept = self._unconfirmed.get(record.id)
        if kept and (kept.teller == peer or record.rank > kept.record.rank):
            del self._unconfirmed[record.id]
        if self._registry.merge(record, now) is not None:
            self._silences.pop(record.id, None)
        elif record.id in self._silences:
            self._contradict(peer, record, now)

    def tick(self, now: float) -> tuple[str, ...]:
        """Withdraw silences; return the ids of those to ask about.

        These are silences that no control VM stands by: all that told
        them have started again since, or aren't heard.
        """
        if now - self._checked_at < CHECK_INTERVAL_S:
            return ()
        self._checked_at = now
        self._merge_unconfirmed(now)
        if now - self._scanned_at >= SCAN_INTERVAL_S:
            self._scanned_at = now
            self._forget_ended()
            self._doubtful = self._not_upheld(now)
        due: list[tuple[float, str]] = []
        for id_ in self._doubtful:
            silence = self._silences.get(id_)
            if silence is None or self._withdraw(id_, silence, now):
                continue
            is_answered = (
                silence.contradicted_by
                and now - silence.contradicted_at < 2 * WITHDRAW_AFTER_S
            )
            if not is_answered and now - silence.asked_at >= ASK_AGAIN_S:
                due.append((silence.asked_at, id_))
        # Those that weren't asked yet come first.
        asked = tuple(id_ for _, id_ in sorted(due)[:MAX_ASKED])
        for id_ in asked:
            self._silences[id_].asked_at = now
        return asked

    def _merge_unconfirmed(self, now: float) -> None:
        """Merge silences whose upstreams nobody that is heard may hear."""
        # A cut makes thousands of them, but few control VMs.
        is_heard = functools.cache(
            lambda name: self._control_vms.is_heard(name, now)
        )
        for id_, kept in list(self._unconfirmed.items()):
            if self._control_vms.start_of(kept.teller) != kept.start:
                # Its teller has started again and knows nothing of it.
                del self._unconfirmed[id_]
            elif not is_heard(kept.record.lost):
                self._merge_silence(kept, now)

    def _forget_ended(self) -> None:
        """Forget silences of upstreams that have expired or changed."""
        for id_ in list(self._silences):
            entry = self._registry.get(id_)
            if entry is None or entry.record.state != records.State.SILENT:
                del self._silences[id_]

    def _not_upheld(self, now: float) -> list[str]:
        """Return the ids of silences that no control VM stands by."""

        @functools.cache
        def is_upheld_by(teller: tuple[str, int]) -> bool:
            name, start = teller
            vms = self._control_vms
            return vms.start_of(name) == start and vms.is_heard(name, now)

        return [
            id_
            for id_, silence in self._silences.items()
            if not any(map(is_upheld_by, silence.tellers.items()))
        ]

    def _merge_silence(self, told: _Unconfirmed, now: float) -> None:
        """Merge a silence, or keep it back if it is unconfirmed."""
        record = told.record
        if self._is_unconfirmed(told.teller, record, now):
            self._unconfirmed[record.id] = told
            return
        self._unconfirmed.pop(record.id, None)
        self._registry.merge(record, now)
        known = self._registry.get(record.id).record
        if (known.state, known.born_ms) == (record.state, record.born_ms):
            silence = self._silences.setdefault(record.id, _Silence())
            silence.tellers[told.teller] = told.start
            silence.contradicted_by = ""

    def _is_unconfirmed(
        self, peer: str, record: records.Record, now: float
    ) -> bool:
        """Return whether an upstream may be silent to one control VM only.

        The control VM that heard an upstream decides, as long as it answers
        here.
        """
        if record.lost in ("", peer):
            return False
        entry = self._registry.get(record.id)
        if entry is None or record.rank <= entry.record.rank:
            return False
        return self._control_vms.is_heard(record.lost, now)

    def _contradict(
        self, peer: str, record: records.Record, now: float
    ) -> None:
        """Note that a control VM doesn't share a silence, or no longer."""
        silence = self._silences[record.id]
        silence.tellers.pop(peer, None)
        if not silence.contradicted_by:
            silence.contradicted_at = now
        silence.contradicted_by = peer
        silence.contradiction = record

    def _withdraw(self, id_: str, silence: _Silence, now: float) -> bool:
        """Withdraw a silence that was contradicted long enough ago."""
        peer = silence.contradicted_by
        if not peer or now - silence.contradicted_at < WITHDRAW_AFTER_S:
            return False
        if not self._control_vms.is_heard(peer, now):
            return False
        if not self._control_vms.is_in_touch(peer):
            return False
        del self._silences[id_]
        self._registry.withdraw_silence(silence.contradiction, now)
        return True
