"""Persistence of the configuration view and of the start number."""

from ebonytally.agreement import leader_commands
from ebonytally.dissemination import dissemination
from ebonytally.dissemination import dissemination_messages
from ebonytally.dissemination import view_history
from ebonytally import errors
from ebonytally import ports
from ebonytally import settings
from ebonytally import view
from ebonytally import wire

VIEW_FILE = "view"
INCARNATION_FILE = "incarnation"
SAVE_INTERVAL_S = 1.0


def next_incarnation(disk: ports.Disk, wall: float) -> int:
    """Return and store a number above those of all earlier starts.

    The clock keeps the order if the disk and the stored number are lost.

    :param wall: seconds since 1970 by this machine's clock
    :raises StorageError: if the disk fails
    """
    raw = disk.read(INCARNATION_FILE)
    last_incarnation = 0
    if raw is not None and raw.isdigit():
        last_incarnation = int(raw)
    incarnation = max(last_incarnation + 1, int(wall * 1000))
    disk.replace(INCARNATION_FILE, str(incarnation).encode())
    return incarnation


def load_view(cfg: settings.Settings, disk: ports.Disk) -> view.View:
    """Return the stored view, or one that contains only the seeds.

    A stored view that can't be decoded is removed.
    """
    raw = disk.read(VIEW_FILE)
    if raw is not None:
        try:
            whole_view = wire.unpack(raw, dissemination_messages.WholeView)
            return view_history.unpack_whole_view(whole_view)
        except errors.WireError:
            disk.remove(VIEW_FILE)
    return view.View(vms=leader_commands.genesis_command(cfg).vms)


class ViewStore:
    """Stores the view, so that a restart never reverts a change."""

    def __init__(
        self,
        disk: ports.Disk,
        stored_view: view.View,
        now: float,
    ) -> None:
        """Set up with the view that `load_view` returned.

        :param now: monotonic seconds
        """
        self._disk = disk
        self._saved_revision = stored_view.revision
        self._saved_config_revision = stored_view.config_revision
        self._saved_at = now

    def lacks_change(self, current_view: view.View) -> bool:
        """Return whether a view has an operator's change not yet stored."""
        return current_view.config_revision != self._saved_config_revision

    def tick(self, replica: dissemination.Dissemination, now: float) -> None:
        """Store a changed view, at most once per `SAVE_INTERVAL_S`.

        :raises StorageError: if the disk fails
        """
        if now - self._saved_at < SAVE_INTERVAL_S:
            return
        if replica.current_view.revision != self._saved_revision:
            self.save(replica, now)

    def save(self, replica: dissemination.Dissemination, now: float) -> None:
        """Store the current view now.

        :raises StorageError: if the disk fails
        """
        self._saved_at = now
        self._saved_revision = replica.current_view.revision
        self._saved_config_revision = replica.current_view.config_revision
        self._disk.replace(VIEW_FILE, replica.packed_view())
