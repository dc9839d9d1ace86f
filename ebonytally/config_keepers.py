"""Which VMs keep records, and when that changed."""

from ebonytally import view
from ebonytally import view_find


def _keepers(cfg: view.View) -> frozenset[tuple[str, str, int]]:
    """Return the VMs that keep records now.

    A restarted VM kept nothing, so its incarnation belongs to it.
    """
    return frozenset(
        (vm.name, vm.address, vm.incarnation)
        for vm in cfg.vms
        if vm.state is view.VmState.UP
    )


def changes(
    old: view.View,
    new: view.View,
    epoch: int,
) -> tuple[view.KeeperChange, ...]:
    """Return who began or ceased to keep records between two views.

    :param epoch: revision of the new view
    """
    kept = _keepers(old)
    keeps = _keepers(new)
    names = {name for name, _, _ in kept ^ keeps}
    return tuple(
        view.KeeperChange(
            epoch=epoch,
            name=name,
            data_centre=_data_centre(name, new, old),
            kept=any(name == one[0] for one in kept),
            keeps=any(name == one[0] for one in keeps),
        )
        for name in sorted(names)
    )


def _data_centre(name: str, new: view.View, old: view.View) -> str:
    vm = view_find.vm_of(new, name) or view_find.vm_of(old, name)
    return vm.data_centre
