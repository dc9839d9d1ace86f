"""What an entry VM keeps of the view, and its count of starts."""

from ebonytally.agreement import leader_duties
from ebonytally import errors
from ebonytally import ports
from ebonytally import settings
from ebonytally.spread import spread
from ebonytally.spread import spread_history
from ebonytally.spread import spread_messages
from ebonytally import view
from ebonytally import wire

VIEW_FILE = "view"
INCARNATION_FILE = "incarnation"
STORE_EVERY_S = 1.0


def next_incarnation(disk: ports.Disk, wall: float) -> int:
    """Return a number above that of every earlier start, durably.

    :param wall: seconds since 1970 by this machine's clock
    """
    raw = disk.read(INCARNATION_FILE)
    last = 0
    if raw is not None and raw.isdigit():
        last = int(raw)
    incarnation = max(last + 1, int(wall * 1000))
    disk.replace(INCARNATION_FILE, str(incarnation).encode())
    return incarnation


def first_view(cfg: settings.Settings, disk: ports.Disk) -> view.View:
    """Return the stored view, or one that has only the seeds."""
    raw = disk.read(VIEW_FILE)
    if raw is not None:
        try:
            whole = wire.unpack(raw, spread_messages.WholeView)
            return spread_history.open_whole(whole)
        except errors.WireError:
            disk.remove(VIEW_FILE)
    return view.View(vms=leader_duties.genesis(cfg).vms)


class ViewStore:
    """Keeps the view, so that a restart never reverts a change."""

    def __init__(
        self,
        disk: ports.Disk,
        first: view.View,
        now: float,
    ) -> None:
        """Take `first` as stored."""
        self._disk = disk
        self._revision = first.revision
        self._config = first.config_revision
        self._at = now

    def lacks_change(self, present: view.View) -> bool:
        """Return whether a change of operators isn't stored yet."""
        return present.config_revision != self._config

    def tick(self, kept: spread.Spread, now: float) -> None:
        """Store the view now and then.

        :raises StorageError: when the disk refuses
        """
        if now - self._at < STORE_EVERY_S:
            return
        if kept.present.revision != self._revision:
            self.save(kept, now)

    def save(self, kept: spread.Spread, now: float) -> None:
        """Store the view.

        :raises StorageError: when the disk refuses
        """
        self._at = now
        self._revision = kept.present.revision
        self._config = kept.present.config_revision
        self._disk.replace(VIEW_FILE, kept.stored())
