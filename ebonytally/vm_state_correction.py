"""Correction of this VM's own entry in the replicated configuration."""

from ebonytally import commands
from ebonytally import view


def correction(
    current: view.View,
    local_vm: str,
    incarnation: int,
    stopping: bool,
) -> commands.VmMarked | None:
    """Return the command that corrects the local VM's state, or None.

    None is returned when state and incarnation are right, or the VM is not
    in the view.

    :param local_vm: name of this VM
    :param incarnation: of the running daemon, grows with each start
    :param stopping: whether the daemon is shutting down
    """
    wanted = view.VmState.STOPPING if stopping else view.VmState.UP
    for vm in current.vms:
        if vm.name != local_vm:
            continue
        if vm.state == wanted and vm.incarnation == incarnation:
            return None
        return commands.VmMarked(local_vm, wanted, incarnation)
    return None
