"""Lock file that gives one process exclusive use of a data folder."""

import contextlib
import fcntl
import os
import pathlib

from ebonytally import errors

LOCK_FILE = ".lock"


def lock(stack: contextlib.ExitStack, folder: str) -> None:
    """Lock the data folder until the stack closes.

    :raises StorageError: when another process holds the lock
    """
    path = pathlib.Path(folder) / LOCK_FILE
    fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
    stack.callback(os.close, fd)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError as exc:
        raise errors.StorageError(
            "lock data folder",
            folder,
            f"another daemon uses it and holds {LOCK_FILE}",
        ) from exc
