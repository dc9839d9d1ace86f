"""Keeps the replicated state of this very VM true."""

from ebonytally import commands
from ebonytally import view


def due(
    present: view.View,
    me: str,
    incarnation: int,
    stopping: bool,
) -> commands.VmMarked | None:
    """Return the command that corrects the own state, or None.

    :param incarnation: of the running daemon, grows with each start
    """
    wanted = view.VmState.STOPPING if stopping else view.VmState.UP
    for vm in present.vms:
        if vm.name != me:
            continue
        if vm.state == wanted and vm.incarnation == incarnation:
            return None
        return commands.VmMarked(me, wanted, incarnation)
    return None
