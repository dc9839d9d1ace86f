"""Commands that the leader of the log proposes by itself."""

from ebonytally import commands
from ebonytally.flows import flow_placing
from ebonytally import settings
from ebonytally import view


def genesis_command(cfg: settings.Settings) -> commands.Genesis:
    """Return the first command of the log, made from the seeds."""
    vms = tuple(
        view.Vm(
            seed.name,
            seed.address,
            seed.data_centre,
            seed.region,
            seed.control,
        )
        for seed in cfg.seeds
    )
    return commands.Genesis(vms)


def due_commands(
    cfg: settings.Settings,
    current_view: view.View,
    applied: dict[str, int],
    lapsed: frozenset[str],
) -> list[object]:
    """Return the commands that the leader has to propose now.

    :param applied: newest revision applied, by VM
    :param lapsed: VMs whose configuration lease has certainly expired
    """
    if current_view.revision == 0:
        return [genesis_command(cfg)]
    out: list[object] = [
        commands.VmMarked(vm.name, view.VmState.DOWN, vm.incarnation)
        for vm in current_view.vms
        if vm.name in lapsed and vm.state != view.VmState.DOWN
    ]
    out += flow_placing.placing_commands(current_view, applied, lapsed)
    return out
