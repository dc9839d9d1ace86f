"""Choice of the entry VM that grants an upstream's slots (the grantor)."""

import functools

import xxhash

from ebonytally import view

EntryVms = tuple[view.Vm, ...]


def grantor(vms: EntryVms, upstream: view.Upstream) -> str:
    """Return the name of the upstream's grantor, "" if no VM is up.

    One VM, found by rendezvous hashing, grants the slots of all upstreams
    of a service in a data centre: this needs fewer messages, and it sees
    more of the demand. It is in that data centre unless no VM is up there.
    """
    return _highest_ranked_vm(vms, upstream.service, upstream.data_centre)


@functools.lru_cache(maxsize=4096)
def _highest_ranked_vm(vms: EntryVms, service: str, data_centre: str) -> str:
    vms_up = [vm for vm in vms if vm.state is view.VmState.UP]
    local_vms = [vm for vm in vms_up if vm.data_centre == data_centre]
    prefix = f"{service}/{data_centre}/"
    best = max(
        local_vms or vms_up,
        key=lambda vm: xxhash.xxh3_64_intdigest((prefix + vm.name).encode()),
        default=None,
    )
    return best.name if best else ""


def grantable(slots: int, local: bool, leased: bool) -> int:
    """Return how many slots a grantor may grant in total.

    A grantor in the upstream's data centre that is cut off, and its
    replacement in another data centre, may both grant slots at the same
    time; together they stay within `slots`.

    :param local: the grantor is in the upstream's data centre
    :param leased: the grantor holds the configuration lease
    """
    remote_slots = slots // 2
    if local:
        return slots if leased else slots - remote_slots
    return remote_slots if leased else 0


def is_usable(
    view_: view.View,
    upstream: view.Upstream,
    data_centre: str,
    leased: bool,
) -> bool:
    """Return whether VMs of `data_centre` may send it new requests.

    :param leased: the VM holds the configuration lease; without it only
        upstreams of its own data centre may be used
    """
    if upstream.state is not view.UpstreamState.UP:
        return False
    if not upstream.request_port or upstream.data_centre in view_.out:
        return False
    return leased or upstream.data_centre == data_centre
