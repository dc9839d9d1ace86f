"""Lets other greenlets run while the disk syncs."""

import gevent

from ebonytally import ports


class ThreadedDisk:
    """A `ports.Disk` whose slow calls wait in a thread."""

    def __init__(self, disk: ports.Disk) -> None:
        """Wrap a disk."""
        self._disk = disk
        self._pool = gevent.get_hub().threadpool
        self.read = disk.read
        self.append = disk.append
        self.names = disk.names

    def sync(self, name: str) -> None:
        """Make all that was appended to the file durable."""
        self._pool.apply(self._disk.sync, (name,))

    def replace(self, name: str, data: bytes) -> None:
        """Put a whole file in place, atomically and durably."""
        self._pool.apply(self._disk.replace, (name, data))

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes, durably."""
        self._pool.apply(self._disk.truncate, (name, size))

    def remove(self, name: str) -> None:
        """Delete a file if it is there, durably."""
        self._pool.apply(self._disk.remove, (name,))
