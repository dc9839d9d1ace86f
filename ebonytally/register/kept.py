"""Keeps the register on disk, for a restart of all control VMs at once.

Without it the first upstreams to announce themselves would get all new
flows. The entry VMs that ask are kept beside it, to be greeted then.
Nothing rests on either: what is lost or old is told again.
"""

import attrs

from ebonytally import errors
from ebonytally import events
from ebonytally import ports
from ebonytally import recorder as recorders
from ebonytally.register import records
from ebonytally.register import register as registers
from ebonytally import wire

FILE = "register"
SAVE_EVERY_S = 1.0
# Restarts take a second or two; an older register tells of flows alone.
FRESH_S = 20.0


@attrs.frozen
class Saved:
    """The file's content.

    :param wall: seconds since 1970 when it was written
    :param entry_vms: names of those that asked lately
    """

    wall: float
    records: tuple[records.Record, ...]
    entry_vms: tuple[str, ...]


class Kept:
    """Writes the register now and then, and reads it at the start."""

    def __init__(
        self,
        disk: ports.Disk,
        register: registers.Register,
        recorder: recorders.Recorder,
    ) -> None:
        """Take the register as it is for saved."""
        self._disk = disk
        self._register = register
        self._recorder = recorder
        self._revision = register.revision
        self._entry_vms: tuple[str, ...] = ()
        self._at = 0.0

    def load(self, now: float, wall: float) -> tuple[str, ...]:
        """Put what was saved into the register; return the entry VMs.

        :param wall: seconds since 1970
        """
        try:
            raw = self._disk.read(FILE)
            saved = None if raw is None else wire.unpack(raw, Saved)
        except (errors.StorageError, errors.WireError) as exc:
            self._failed(exc)
            return ()
        if saved is None:
            return ()
        fresh = abs(wall - saved.wall) <= FRESH_S
        for record in saved.records:
            if not fresh and record.state != records.State.GONE:
                record = attrs.evolve(record, state=records.State.SILENT)
            self._register.told_by(record, now)
        self._revision = self._register.revision
        self._entry_vms = saved.entry_vms
        return saved.entry_vms

    def due(self, entry_vms: tuple[str, ...], now: float) -> bool:
        """Return whether to save now."""
        if now - self._at < SAVE_EVERY_S:
            return False
        if self._entry_vms != entry_vms:
            return True
        return self._revision != self._register.revision

    def save(
        self,
        entry_vms: tuple[str, ...],
        now: float,
        wall: float,
    ) -> None:
        """Write the register; a disk that refuses is only logged."""
        self._at = now
        self._entry_vms = entry_vms
        self._revision = self._register.revision
        told = tuple(
            self._register.told(entry, now)
            for entry in self._register.entries()
        )
        try:
            self._disk.replace(FILE, wire.pack(Saved(wall, told, entry_vms)))
        except errors.StorageError as exc:
            self._failed(exc)

    def _failed(self, exc: errors.EbonytallyError) -> None:
        self._recorder.event(events.Event.REGISTER_NOT_KEPT, error=str(exc))
