"""Persistence of the registry, for a restart of all control VMs at once.

Without it the first upstreams to announce themselves would get all new
flows. The names of the entry VMs that poll are saved as well, so that they
can be notified after the restart. Correctness doesn't depend on the file:
what is missing or outdated is announced again.
"""

from collections.abc import Callable

import attrs

from ebonytally import errors
from ebonytally import events
from ebonytally import ports
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally.registry import registry as registries
from ebonytally import wire

FILE_NAME = "register"
SAVE_INTERVAL_S = 1.0
# Restarts take a second or two. From an older file upstreams are loaded as
# silent: they keep their flows but get no new ones.
MAX_FRESH_AGE_S = 20.0


@attrs.frozen
class SavedRegistry:
    """Content of the file.

    :param wall: time of writing, seconds since 1970
    :param entry_vms: names of the entry VMs that polled recently
    """

    wall: float
    records: tuple[records.Record, ...]
    entry_vms: tuple[str, ...]


class RegistryStore:
    """Saves the registry periodically and loads it at the start."""

    def __init__(
        self,
        disk: ports.Disk,
        registry: registries.Registry,
        recorder: recorders.Recorder,
    ) -> None:
        """Set up; the registry's current revision counts as saved."""
        self._disk = disk
        self._registry = registry
        self._recorder = recorder
        self._revision = registry.revision
        self._entry_vms: tuple[str, ...] = ()
        self._saved_at = 0.0
        self._compared_at = 0.0

    def load(self, now: float, wall: float) -> tuple[str, ...]:
        """Load the saved records into the registry.

        :param wall: current time, seconds since 1970
        :return: names of the saved entry VMs, empty without a usable file
        """
        try:
            raw = self._disk.read(FILE_NAME)
            saved = None if raw is None else wire.unpack(raw, SavedRegistry)
        except (errors.StorageError, errors.WireError) as exc:
            self._log_failure(exc)
            return ()
        if saved is None:
            return ()
        is_fresh = abs(wall - saved.wall) <= MAX_FRESH_AGE_S
        for record in saved.records:
            if not is_fresh and record.state != records.State.GONE:
                # Those that announce themselves elsewhere aren't silent.
                record = attrs.evolve(
                    record,
                    state=records.State.SILENT,
                    lost=record.source,
                )
            self._registry.merge(record, now)
        self._revision = self._registry.revision
        self._entry_vms = saved.entry_vms
        return saved.entry_vms

    def is_due(
        self, entry_vms: Callable[[], tuple[str, ...]], now: float
    ) -> bool:
        """Return whether something has changed and a save is due.

        :param entry_vms: returns the names of the entry VMs that polled
            recently; called once for each interval at most
        """
        if now - self._saved_at < SAVE_INTERVAL_S:
            return False
        if self._revision != self._registry.revision:
            return True
        if now - self._compared_at < SAVE_INTERVAL_S:
            return False
        self._compared_at = now
        return self._entry_vms != entry_vms()

    def save(
        self,
        entry_vms: tuple[str, ...],
        now: float,
        wall: float,
    ) -> None:
        """Save the registry; a failed write is logged and soon retried."""
        self._saved_at = now
        revision = self._registry.revision
        records_ = tuple(
            self._registry.to_record(entry, now)
            for entry in self._registry.entries()
        )
        try:
            self._disk.replace(
                FILE_NAME, wire.pack(SavedRegistry(wall, records_, entry_vms))
            )
        except errors.StorageError as exc:
            self._log_failure(exc)
            return
        self._entry_vms = entry_vms
        self._revision = revision

    def _log_failure(self, exc: errors.EbonytallyError) -> None:
        self._recorder.log_event(
            events.Event.REGISTER_NOT_KEPT, error=str(exc)
        )
