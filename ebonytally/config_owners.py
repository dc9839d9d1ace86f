"""Which entry VMs own flow and key records, and when that changed.

The VMs that are up own the records; rendezvous hashing over them decides
which VMs own which record.
"""

from ebonytally import view
from ebonytally import view_find


def _owners(cfg: view.View) -> frozenset[tuple[str, str, int]]:
    """Return name, address and incarnation of the VMs that own records.

    A restarted VM has lost its records, so it counts as another owner: the
    incarnation is part of its identity.
    """
    return frozenset(
        (vm.name, vm.address, vm.incarnation)
        for vm in cfg.vms
        if vm.state is view.VmState.UP
    )


def owner_changes(
    old: view.View,
    new: view.View,
    epoch: int,
) -> tuple[view.OwnerChange, ...]:
    """Return which VMs began or ceased to own records between two views.

    A VM that restarted did both.

    :param epoch: revision of the new view
    """
    before = _owners(old)
    after = _owners(new)
    names = {name for name, _, _ in before ^ after}
    return tuple(
        view.OwnerChange(
            epoch=epoch,
            name=name,
            data_centre=_data_centre(name, new, old),
            owned_before=any(name == owner[0] for owner in before),
            owns_after=any(name == owner[0] for owner in after),
        )
        for name in sorted(names)
    )


def _data_centre(name: str, new: view.View, old: view.View) -> str:
    vm = view_find.find_vm(new, name) or view_find.find_vm(old, name)
    return vm.data_centre
