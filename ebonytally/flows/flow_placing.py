"""The leader's part: when keepers may place flows away from a base."""

from collections.abc import Mapping

from ebonytally import commands
from ebonytally import view


def ready(
    state: view.View,
    applied: Mapping[str, int],
    leased_out: frozenset[str],
) -> list[commands.SlotsPlacing]:
    """Return the commands that let placing begin, to be proposed now.

    Every entry VM must have applied the revision that made a slot kept;
    one that is marked down doesn't count, once its lease has surely
    ended.

    :param applied: highest revision that each entry VM applied
    :param leased_out: entry VMs whose lease has surely ended
    """
    everywhere = state.revision
    for vm in state.vms:
        if vm.state is view.VmState.DOWN and vm.name in leased_out:
            continue
        everywhere = min(everywhere, applied.get(vm.name, -1))
    found = []
    for table in state.tables:
        slots = tuple(
            kept.slot
            for kept in table.kept
            if not kept.placing and kept.since <= everywhere
        )
        if slots:
            cmd = commands.SlotsPlacing(table.service, slots, everywhere)
            found.append(cmd)
    return found
