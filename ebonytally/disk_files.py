"""The data folder on a real disk."""

import contextlib
import os
import pathlib

from ebonytally import errors

_NEW_SUFFIX = ".new"


class FolderDisk:
    """Files of one folder; all faults are raised as StorageError.

    Calls block until the disk is done. Files stay open for appending
    until they are replaced, cut, removed or `close` is called.
    """

    def __init__(self, folder: str) -> None:
        """Use a folder, which is made if it isn't there.

        :raises StorageError: when it can't be used
        """
        self._folder = pathlib.Path(folder)
        self._open: dict[str, int] = {}
        self._unsynced_names: set[str] = set()
        with self._faults("open data folder", ""):
            self._folder.mkdir(parents=True, exist_ok=True)
            for path in self._folder.glob(f"*{_NEW_SUFFIX}"):
                path.unlink()
            self._sync_folder()

    def read(self, name: str) -> bytes | None:
        """Return the whole file, None when there is none."""
        with self._faults("read", name):
            try:
                return (self._folder / name).read_bytes()
            except FileNotFoundError:
                return None

    def append(self, name: str, data: bytes) -> None:
        """Add to the end of a file; durable only after `sync`."""
        with self._faults("append", name):
            file = self._file(name)
            view = memoryview(data)
            while view:
                view = view[os.write(file, view) :]

    def sync(self, name: str) -> None:
        """Make all that was appended to the file durable."""
        with self._faults("sync", name):
            os.fsync(self._file(name))
            if name in self._unsynced_names:
                self._sync_folder()
                self._unsynced_names.discard(name)

    def replace(self, name: str, data: bytes) -> None:
        """Put a whole file in place, atomically and durably."""
        self._forget(name)
        fresh = self._folder / (name + _NEW_SUFFIX)
        with self._faults("replace", name):
            try:
                self._write_whole(fresh, data)
                os.replace(fresh, self._folder / name)
            except OSError:
                fresh.unlink(missing_ok=True)
                raise
            self._sync_folder()

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes, durably."""
        with self._faults("truncate", name):
            file = self._file(name)
            os.ftruncate(file, size)
            os.fsync(file)

    def remove(self, name: str) -> None:
        """Delete a file if it is there, durably."""
        self._forget(name)
        with self._faults("remove", name):
            (self._folder / name).unlink(missing_ok=True)
            self._sync_folder()

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        with self._faults("list data folder", ""):
            paths = list(self._folder.iterdir())
        return sorted(path.name for path in paths if path.is_file())

    def close(self) -> None:
        """Close all files."""
        for name in list(self._open):
            self._forget(name)

    def _file(self, name: str) -> int:
        if name not in self._open:
            path = self._folder / name
            if not path.exists():
                self._unsynced_names.add(name)
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._open[name] = os.open(path, flags, 0o600)
        return self._open[name]

    def _forget(self, name: str) -> None:
        file = self._open.pop(name, None)
        self._unsynced_names.discard(name)
        if file is not None:
            os.close(file)

    def _write_whole(self, path: pathlib.Path, data: bytes) -> None:
        with open(path, "wb") as file:
            os.fchmod(file.fileno(), 0o600)
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def _sync_folder(self) -> None:
        file = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    @contextlib.contextmanager
    def _faults(self, step: str, name: str):
        try:
            yield
        except OSError as exc:
            raise errors.StorageError(step, name, str(exc)) from exc
