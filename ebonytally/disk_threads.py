"""Disk whose syncs run in threads, so that greenlets continue to run."""

import gevent

from ebonytally import ports


class ThreadedDisk:
    """A `ports.Disk` that runs blocking calls in gevent's thread pool."""

    def __init__(self, disk: ports.Disk) -> None:
        """Wrap a disk; `read`, `append` and `names` call it directly."""
        self._disk = disk
        self._pool = gevent.get_hub().threadpool
        self.read = disk.read
        self.append = disk.append
        self.names = disk.names

    def sync(self, name: str) -> None:
        """Make everything appended to a file durable."""
        self._pool.apply(self._disk.sync, (name,))

    def replace(self, name: str, data: bytes) -> None:
        """Create or replace a file, atomically and durably."""
        self._pool.apply(self._disk.replace, (name, data))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes, durably."""
        self._pool.apply(self._disk.truncate, (name, size))

    def remove(self, name: str) -> None:
        """Delete a file if it exists, durably."""
        self._pool.apply(self._disk.remove, (name,))
