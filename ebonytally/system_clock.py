"""The clock of the machine."""

import time


class SystemClock:
    """A `ports.Clock` that reads the machine's clocks."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()
