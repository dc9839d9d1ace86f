"""Clock of the operating system."""

import time


class SystemClock:
    """A `ports.Clock` that reads the operating system's clocks."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since 1970, by the wall clock."""
        return time.time()
