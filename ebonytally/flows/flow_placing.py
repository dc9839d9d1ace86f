"""The leader's check that owners may place flows away from a base."""

from collections.abc import Mapping

from ebonytally import commands
from ebonytally import view


def placing_commands(
    state: view.View,
    applied: Mapping[str, int],
    leased_out: frozenset[str],
) -> list[commands.SlotsPlacing]:
    """Return the commands by which placing begins in tracked slots.

    Every entry VM must have applied the revision that made a slot tracked,
    except those marked down whose lease has certainly expired.

    :param applied: latest revision that each entry VM has applied
    :param leased_out: entry VMs whose lease has certainly expired
    """
    applied_everywhere = state.revision
    for vm in state.vms:
        if vm.state is view.VmState.DOWN and vm.name in leased_out:
            continue
        applied_everywhere = min(applied_everywhere, applied.get(vm.name, -1))
    proposals = []
    for table in state.tables:
        slots = tuple(
            tracked.slot
            for tracked in table.tracked
            if not tracked.may_place
            and tracked.base_revision <= applied_everywhere
        )
        if slots:
            cmd = commands.SlotsPlacing(
                table.service, slots, applied_everywhere
            )
            proposals.append(cmd)
    return proposals
