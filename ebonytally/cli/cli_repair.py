"""Repair and recovery of a control VM's data folder, by hand.

Both show first what they would do, and act only with ``--yes``.
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
class Done:
    """How a repair or recovery went.

    :param lines: what an operator has to know
    """

    ok: bool
    lines: tuple[str, ...]


def repair(cfg: settings.Settings, yes: bool) -> Done:
    """Empty the data folder, so that the VM fetches all from its peers."""
    with _held(cfg) as disk:
        if not yes:
            return Done(False, (_held_text(disk), *_REPAIR_ASK))
        seed = uuid.uuid4().int
        aside = recovery.repair(disk, recorders.MemoryRecorder(), seed)
    kept = ", ".join(aside) or "none, the folder was empty"
    return Done(
        True,
        (
            f"The data folder of {cfg.name} is empty now. Old files kept: "
            f"{kept}.",
            "Start the daemon: it fetches everything from the other control "
            "VMs and votes again once it has caught up.",
        ),
    )


def recover(cfg: settings.Settings, yes: bool) -> Done:
    """Make this VM's copy the start of a new set of control VMs."""
    with _held(cfg) as disk:
        if not yes:
            return Done(False, (_held_text(disk), *_RECOVER_ASK))
        formed = recovery.form_anew(
            disk,
            cfg.name,
            recorders.MemoryRecorder(),
        )
    return Done(
        True,
        (
            f"{cfg.name} is the only control VM now, generation "
            f"{formed.generation}. Start its daemon.",
            *(f"Note: {line}." for line in formed.missing),
            "Then run 'ebonytally repair' on each other control VM and "
            "start it.",
        ),
    )


def tell(done: Done, as_json: bool) -> None:
    """Print how it went."""
    if as_json:
        print(json.dumps({"ok": done.ok, "lines": done.lines}))
        return
    out = sys.stdout if done.ok else sys.stderr
    print("\n".join(done.lines), file=out)


@contextlib.contextmanager
def _held(cfg: settings.Settings):
    """Hold the data folder while no daemon runs on it.

    :raises StorageError: when a daemon does
    """
    with contextlib.ExitStack() as stack:
        folder_lock.hold(stack, cfg.data_folder)
        disk = disk_files.FolderDisk(cfg.data_folder)
        stack.callback(disk.close)
        yield disk


def _held_text(disk: disk_files.FolderDisk) -> str:
    """Return what the folder holds, as one line."""
    try:
        copy = recovery.inspect(disk, recorders.MemoryRecorder())
    except errors.StorageError as exc:
        return f"Here: no copy that can be read ({exc})."
    voters = ", ".join(voter.name for voter in copy.voters) or "none"
    old = ", superseded by voters formed elsewhere" if copy.superseded else ""
    return (
        f"Here: generation {copy.generation}, term {copy.last_term}, entry "
        f"{copy.last_index} (accepted for sure up to {copy.committed}), "
        f"control VMs {voters}{old}."
    )


_REPAIR_ASK = (
    "Repair empties this data folder. Do it only while a majority of the "
    "other control VMs runs: they have everything.",
    "Nothing was done. To do it, add --yes",
)
_RECOVER_ASK = (
    "Recovery is for the loss of a majority of the control VMs. Compare "
    "this line on each copy that is left, and take the one with the highest "
    "generation, then term, then entry.",
    "Nothing was done. To do it here, add --yes",
)
