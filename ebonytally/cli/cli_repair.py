"""Commands that repair or recover the data folder of a control VM.

Without ``--yes`` they only describe what they would do.
"""

import contextlib
import json
import sys
import uuid

import attrs

from ebonytally.agreement import recovery
from ebonytally import disk_files
from ebonytally import errors
from ebonytally import folder_lock
from ebonytally import recorder as recorders
from ebonytally import settings


@attrs.frozen
class Outcome:
    """Result of a repair or recovery.

    :param ok: whether it was done
    :param lines: text for the operator
    """

    ok: bool
    lines: tuple[str, ...]


def repair(cfg: settings.Settings, confirmed: bool) -> Outcome:
    """Empty the data folder, so that the VM fetches all from its peers.

    :param confirmed: whether to do it, instead of describing the folder
    :raises StorageError: when the folder is in use or can't be emptied
    """
    with _locked_disk(cfg) as disk:
        if not confirmed:
            return Outcome(
                False, (_describe_copy(disk), *_REPAIR_CONFIRMATION)
            )
        seed = uuid.uuid4().int
        kept_files = recovery.repair(disk, recorders.MemoryRecorder(), seed)
    listed = ", ".join(kept_files) or "none, the folder was empty"
    return Outcome(
        True,
        (
            f"The data folder of {cfg.name} is now empty. Old files kept: "
            f"{listed}.",
            "Start the daemon: it fetches all data from the other control "
            "VMs, and votes again once it has caught up.",
        ),
    )


def recover(cfg: settings.Settings, confirmed: bool) -> Outcome:
    """Form a new set of control VMs, with this VM's copy as their state.

    :param confirmed: whether to do it, instead of describing the folder
    :raises StorageError: when the folder is in use or has no usable copy
    """
    with _locked_disk(cfg) as disk:
        if not confirmed:
            return Outcome(
                False, (_describe_copy(disk), *_RECOVER_CONFIRMATION)
            )
        formed = recovery.form_voters_anew(
            disk,
            cfg.name,
            recorders.MemoryRecorder(),
        )
    return Outcome(
        True,
        (
            f"{cfg.name} is now the only control VM, generation "
            f"{formed.generation}. Start its daemon.",
            *(f"Note: {line}." for line in formed.missing),
            "Then run 'ebonytally repair' on each other control VM and "
            "start it.",
        ),
    )


def print_outcome(outcome: Outcome, as_json: bool) -> None:
    """Print a result, to standard error if it wasn't done."""
    if as_json:
        print(json.dumps({"ok": outcome.ok, "lines": outcome.lines}))
        return
    out = sys.stdout if outcome.ok else sys.stderr
    print("\n".join(outcome.lines), file=out)


@contextlib.contextmanager
def _locked_disk(cfg: settings.Settings):
    """Lock the data folder and open it.

    :raises StorageError: when a daemon uses the folder
    """
    with contextlib.ExitStack() as stack:
        folder_lock.lock(stack, cfg.data_folder)
        disk = disk_files.FolderDisk(cfg.data_folder)
        stack.callback(disk.close)
        yield disk


def _describe_copy(disk: disk_files.FolderDisk) -> str:
    """Return a description of the folder's replica, as one line."""
    try:
        copy = recovery.inspect(disk, recorders.MemoryRecorder())
    except errors.StorageError as exc:
        return f"This folder has no readable copy ({exc})."
    voters = ", ".join(voter.name for voter in copy.voters) or "none"
    superseded = (
        ", superseded by voters formed elsewhere" if copy.superseded else ""
    )
    return (
        f"This copy: generation {copy.generation}, term {copy.last_term}, "
        f"entry {copy.last_index} (committed at least up to "
        f"{copy.committed}), "
        f"control VMs {voters}{superseded}."
    )


_REPAIR_CONFIRMATION = (
    "Repair empties this data folder. Do it only while a majority of the "
    "other control VMs runs: they have all data.",
    "Nothing was done. To do it, add --yes",
)
_RECOVER_CONFIRMATION = (
    "Recovery is for the permanent loss of a majority of the control VMs. "
    "Compare this line on each remaining copy, and use the one with the "
    "highest generation, then term, then entry.",
    "Nothing was done. To do it on this VM, add --yes",
)
