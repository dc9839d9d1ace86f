"""Tells entry VMs that a control VM has started.

An entry VM starts with the seeds alone. When all VMs restart at once, a
control VM that is no seed may be back first; it remembers from its disk
who asked it before, so that those need not wait for a seed.
"""

from ebonytally import actions
from ebonytally.feed import messages

# Entry VMs that restart at the same moment are up within a third of a
# second of each other; three times that, for slow ones.
GREET_FOR_S = 1.0
# A tenth of the time that is to be saved.
GREET_EVERY_S = 0.1


class Greeting:
    """Greets the entry VMs known from before until they ask."""

    def __init__(
        self,
        entry_vms: tuple[str, ...],
        start: int,
        now: float,
    ) -> None:
        """Begin at `now`.

        :param start: differs at each start of this VM
        """
        self._silent = set(entry_vms)
        self._msg = messages.Started(start)
        self._until = now + GREET_FOR_S
        self._next_at = now

    def asked(self, peer: str) -> None:
        """Note that an entry VM has found this one."""
        self._silent.discard(peer)

    def tick(self, now: float) -> list[actions.Action]:
        """Greet those that have not asked yet, if it is due."""
        if not self._silent or now < self._next_at:
            return []
        if now >= self._until:
            self._silent.clear()
            return []
        self._next_at = now + GREET_EVERY_S
        return [actions.Send(name, self._msg) for name in sorted(self._silent)]
