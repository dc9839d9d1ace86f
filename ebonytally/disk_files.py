"""Data folder on a file system."""

import contextlib
import os
import pathlib

from ebonytally import errors

_TEMPORARY_SUFFIX = ".new"


class FolderDisk:
    """A `ports.Disk` for one folder; raises I/O errors as StorageError.

    Calls block until the disk has finished. A file stays open for appending
    until it is replaced or removed, or `close` is called.
    """

    def __init__(self, folder: str) -> None:
        """Create the folder if it is missing, and delete temporary files.

        :raises StorageError: when it can't be created or synced
        """
        self._folder = pathlib.Path(folder)
        self._descriptors: dict[str, int] = {}
        self._unsynced_names: set[str] = set()
        with self._storage_errors("open data folder", ""):
            self._folder.mkdir(parents=True, exist_ok=True)
            for path in self._folder.glob(f"*{_TEMPORARY_SUFFIX}"):
                path.unlink()
            self._sync_folder()

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, None if it does not exist."""
        with self._storage_errors("read", name):
            try:
                return (self._folder / name).read_bytes()
            except FileNotFoundError:
                return None

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; durable only after `sync`."""
        with self._storage_errors("append", name):
            file = self._file(name)
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(file, remaining) :]

    def sync(self, name: str) -> None:
        """Make everything appended to a file durable."""
        with self._storage_errors("sync", name):
            os.fsync(self._file(name))
            if name in self._unsynced_names:
                self._sync_folder()
                self._unsynced_names.discard(name)

    def replace(self, name: str, data: bytes) -> None:
        """Create or replace a file, atomically and durably."""
        self._close_file(name)
        temporary = self._folder / (name + _TEMPORARY_SUFFIX)
        with self._storage_errors("replace", name):
            try:
                self._write_and_sync(temporary, data)
                os.replace(temporary, self._folder / name)
            except OSError:
                temporary.unlink(missing_ok=True)
                raise
            self._sync_folder()

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes, durably."""
        with self._storage_errors("truncate", name):
            file = self._file(name)
            os.ftruncate(file, size)
            os.fsync(file)

    def remove(self, name: str) -> None:
        """Delete a file if it exists, durably."""
        self._close_file(name)
        with self._storage_errors("remove", name):
            (self._folder / name).unlink(missing_ok=True)
            self._sync_folder()

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        with self._storage_errors("list data folder", ""):
            paths = list(self._folder.iterdir())
        return sorted(path.name for path in paths if path.is_file())

    def close(self) -> None:
        """Close all open files."""
        for name in list(self._descriptors):
            self._close_file(name)

    def _file(self, name: str) -> int:
        """Return the descriptor of a file, opened for appending."""
        if name not in self._descriptors:
            path = self._folder / name
            if not path.exists():
                self._unsynced_names.add(name)
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._descriptors[name] = os.open(path, flags, 0o600)
        return self._descriptors[name]

    def _close_file(self, name: str) -> None:
        file = self._descriptors.pop(name, None)
        self._unsynced_names.discard(name)
        if file is not None:
            os.close(file)

    def _write_and_sync(self, path: pathlib.Path, data: bytes) -> None:
        with open(path, "wb") as file:
            os.fchmod(file.fileno(), 0o600)
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def _sync_folder(self) -> None:
        """Make created, renamed and deleted names durable."""
        file = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    @contextlib.contextmanager
    def _storage_errors(self, step: str, name: str):
        """Raise an OSError of the block as a StorageError."""
        try:
            yield
        except OSError as exc:
            raise errors.StorageError(step, name, str(exc)) from exc
