"""Applies committed entries to the state machine, each once."""

import collections

from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import agreement_results
from ebonytally.agreement import agreement_state
from ebonytally import events
from ebonytally import wire

MAX_RESULTS = 4096


class Applier:
    """Applies committed entries in order and keeps recent results.

    The results deduplicate retried proposals. They are replicated state:
    equal on every control VM at the same index.
    """

    def __init__(self, state: agreement_state.State) -> None:
        """Restore the machine from the snapshot and the committed entries."""
        self._state = state
        self._results: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        if state.storage.snapshot is not None:
            self.restore(state.storage.snapshot)
        self.apply()

    def result_of(self, token: str) -> bytes | None:
        """Return the packed result of a recent proposal, None if unknown."""
        return self._results.get(token)

    def restore(self, snapshot: messages.Snapshot) -> None:
        """Replace the state by that of a snapshot, if it is newer."""
        if snapshot.index <= self._state.applied:
            return
        self._state.machine.restore(snapshot.machine)
        self._results.clear()
        self._results.update(snapshot.answers)
        self._state.applied = snapshot.index

    def apply(self) -> list[str]:
        """Apply committed entries; return the tokens of their proposals."""
        state = self._state
        applied_tokens = []
        while state.applied < state.commit:
            entry = state.storage.entry(state.applied + 1)
            self._apply(entry)
            state.applied = entry.index
            if entry.token:
                applied_tokens.append(entry.token)
        return applied_tokens

    def is_snapshot_due(self) -> bool:
        """Return whether enough entries followed the last snapshot."""
        snapshot = self._state.storage.snapshot
        entries_since = self._state.applied - (
            snapshot.index if snapshot else 0
        )
        return entries_since >= self._state.cfg.snapshot_entries

    def save_snapshot(self) -> None:
        """Save a snapshot and compact the log.

        :raises StorageError: if the disk fails
        """
        state = self._state
        index = state.applied
        snapshot = messages.Snapshot(
            index,
            state.storage.term_at(index),
            state.voters_at(index),
            tuple(self._results.items()),
            state.machine.snapshot(),
        )
        state.storage.save_snapshot(snapshot, state.cfg.snapshot_entries)
        state.recorder.log_event(events.Event.SNAPSHOT_SAVED, index=index)

    def _apply(self, entry: messages.Entry) -> None:
        command = wire.unpack_message(entry.command)
        if isinstance(command, messages.VotersSet | messages.LeaderStarted):
            return
        if entry.token and entry.token in self._results:
            return
        result = self._state.machine.apply(command)
        if entry.token:
            self._results[entry.token] = agreement_results.pack(result)
            while len(self._results) > MAX_RESULTS:
                self._results.popitem(last=False)
