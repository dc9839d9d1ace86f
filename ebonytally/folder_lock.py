"""Keeps two daemons from using one data folder."""

import contextlib
import fcntl
import os
import pathlib

from ebonytally import errors

LOCK_FILE = ".lock"


def hold(stack: contextlib.ExitStack, folder: str) -> None:
    """Lock the data folder until the stack closes.

    :raises StorageError: when another daemon has it
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
            "another daemon uses it",
        ) from exc
