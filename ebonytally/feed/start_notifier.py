"""Notifies entry VMs that a control VM has started.

An entry VM knows only the seeds at its start. After a restart of all VMs
a control VM that isn't a seed may be back first. It has saved the names of
the entry VMs that polled it, so that they needn't wait for a seed.
"""

from ebonytally import actions
from ebonytally.feed import messages

# Entry VMs that restart at the same moment are up within a third of a
# second of each other; slow ones get three times that.
NOTIFY_FOR_S = 1.0
# A tenth of the second or so that a notification is meant to save.
NOTIFY_INTERVAL_S = 0.1


class StartNotifier:
    """Notifies the entry VMs known before the start until they poll."""

    def __init__(
        self,
        entry_vms: tuple[str, ...],
        start: int,
        now: float,
    ) -> None:
        """Set up notifications from `now` on.

        :param entry_vms: names of the entry VMs to notify
        :param start: number that differs at each start of this VM
        """
        self._waiting_for = set(entry_vms)
        self._msg = messages.Started(start)
        self._until = now + NOTIFY_FOR_S
        self._next_at = now

    def on_poll(self, peer: str) -> None:
        """Stop notifying an entry VM, as it has polled this control VM."""
        self._waiting_for.discard(peer)

    def tick(self, now: float) -> list[actions.Action]:
        """Return notifications to those that haven't polled, if due."""
        if not self._waiting_for or now < self._next_at:
            return []
        if now >= self._until:
            self._waiting_for.clear()
            return []
        self._next_at = now + NOTIFY_INTERVAL_S
        return [
            actions.Send(name, self._msg) for name in sorted(self._waiting_for)
        ]
