"""Tree that disseminates leases and revisions from the leader.

Inside a data centre the VMs form a tree of bounded fan-out. The leader is the
root of its own and also serves the root of each other one, its relay. Each VM
derives the tree from its view and the VMs that it finds alive, without
messages. Where these differ a VM may lack a parent for a while; it then
requests a lease from a random VM.
"""

from ebonytally import view

FAN_OUT = 6


def children(
    local_vm: str,
    leader: str,
    vms: tuple[view.Vm, ...],
    alive: frozenset[str],
) -> tuple[str, ...]:
    """Return the names of the children of `local_vm` in the tree."""
    centres = _alive_by_centre(leader, vms, alive | {local_vm, leader})
    child_names: list[str] = []
    if local_vm == leader:
        child_names += [
            names[0] for names in centres.values() if names[0] != local_vm
        ]
    for names in centres.values():
        if local_vm in names:
            first = names.index(local_vm) * FAN_OUT + 1
            child_names += names[first : first + FAN_OUT]
    return tuple(child_names)


def _alive_by_centre(
    leader: str,
    vms: tuple[view.Vm, ...],
    alive: frozenset[str],
) -> dict[str, list[str]]:
    """Return the alive VMs of each data centre, its relay first."""
    centres: dict[str, list[str]] = {}
    for vm in sorted(vms, key=lambda vm: (vm.name != leader, vm.name)):
        if vm.name in alive:
            centres.setdefault(vm.data_centre, []).append(vm.name)
    return centres
