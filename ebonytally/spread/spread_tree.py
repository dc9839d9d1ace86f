"""The tree along which leases and revisions go down from the leader.

The leader serves one relay in each other data centre and the top of its own;
inside a data centre the VMs form a tree of bounded fan-out. Everyone derives
it from the view and from whom it takes as alive, so it needs no messages.
Where opinions differ a VM may have no parent for a while; it then asks.
"""

from ebonytally import view

FAN_OUT = 6


def children(
    me: str,
    leader: str,
    vms: tuple[view.Vm, ...],
    alive: frozenset[str],
) -> tuple[str, ...]:
    """Return the names of the VMs that `me` passes leases on to."""
    centres = _centres(leader, vms, alive | {me, leader})
    out: list[str] = []
    if me == leader:
        out += [names[0] for names in centres.values() if names[0] != me]
    for names in centres.values():
        if me in names:
            first = names.index(me) * FAN_OUT + 1
            out += names[first : first + FAN_OUT]
    return tuple(out)


def _centres(
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
