"""A disk in memory that loses, tears, fills up and fails on demand."""

from ebonytally import errors


class MemoryDisk:
    """A `ports.Disk`; what isn't synced is lost in a crash."""

    def __init__(self) -> None:
        """Start empty."""
        self._durable: dict[str, bytes] = {}
        self._files: dict[str, bytes] = {}
        self.full = False

    def read(self, name: str) -> bytes | None:
        """Return the whole file, None when there is none."""
        return self._files.get(name)

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file; durable only after `sync`."""
        self._check("append", name)
        self._files[name] = self._files.get(name, b"") + data

    def sync(self, name: str) -> None:
        """Make all that was appended to the file durable."""
        self._check("sync", name)
        self._durable[name] = self._files[name]

    def replace(self, name: str, data: bytes) -> None:
        """Put a whole file in place, atomically and durably."""
        self._check("replace", name)
        self._files[name] = data
        self._durable[name] = data

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes, durably."""
        self._files[name] = self._files[name][:size]
        self._durable[name] = self._files[name]

    def remove(self, name: str) -> None:
        """Delete a file if it is there, durably."""
        self._files.pop(name, None)
        self._durable.pop(name, None)

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._files)

    def crash(self) -> None:
        """Lose what wasn't synced."""
        self._files = dict(self._durable)

    def wipe(self) -> None:
        """Lose everything."""
        self._files = {}
        self._durable = {}

    def tear(self) -> None:
        """Leave a half-written record at the end of each log segment."""
        for name, data in self._files.items():
            if name.startswith("log"):
                self._files[name] = data + b"\x40\x00\x00\x00torn"
        self._durable = dict(self._files)

    def _check(self, step: str, name: str) -> None:
        if self.full:
            raise errors.StorageError(step, name, "no space left")
