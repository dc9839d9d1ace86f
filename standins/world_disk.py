"""In-memory disk with faults: crash, wipe, torn writes, no space."""

from ebonytally import errors


class MemoryDisk:
    """A `ports.Disk` that loses unsynced data in a crash."""

    def __init__(self) -> None:
        """Set up an empty disk with free space."""
        self._durable: dict[str, bytes] = {}
        self._files: dict[str, bytes] = {}
        self.is_full = False

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, None if there is none."""
        return self._files.get(name)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; the data is durable only after `sync`."""
        self._check_space("append", name)
        self._files[name] = self._files.get(name, b"") + data

    def sync(self, name: str) -> None:
        """Make everything appended to a file durable."""
        self._check_space("sync", name)
        self._durable[name] = self._files[name]

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file, atomically and durably."""
        self._check_space("replace", name)
        self._files[name] = data
        self._durable[name] = data

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes, durably."""
        self._files[name] = self._files[name][:size]
        self._durable[name] = self._files[name]

    def remove(self, name: str) -> None:
        """Delete a file if it exists, durably."""
        self._files.pop(name, None)
        self._durable.pop(name, None)

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self._files)

    def crash(self) -> None:
        """Drop everything that was not synced."""
        self._files = dict(self._durable)

    def wipe(self) -> None:
        """Delete all files."""
        self._files = {}
        self._durable = {}

    def tear_logs(self) -> None:
        """Append a torn record to each log segment."""
        for name, data in self._files.items():
            if name.startswith("log"):
                self._files[name] = data + b"\x40\x00\x00\x00torn"
        self._durable = dict(self._files)

    def _check_space(self, operation: str, name: str) -> None:
        if self.is_full:
            raise errors.StorageError(operation, name, "no space left")
