"""Which entry VM lends an upstream's slots, and who may use them."""

import functools

import xxhash

from ebonytally import view

EntryVms = tuple[view.Vm, ...]


def lender(vms: EntryVms, upstream: view.Upstream) -> str:
    """Return the name of the entry VM that lends its slots, "" for none.

    One VM lends all upstreams that a service has in a data centre: fewer
    messages, and it sees more of the demand. It is one of that data
    centre, or any other when none is up there.
    """
    return _lender(vms, upstream.service, upstream.data_centre)


@functools.lru_cache(maxsize=4096)
def _lender(vms: EntryVms, service: str, data_centre: str) -> str:
    up = [vm for vm in vms if vm.state is view.VmState.UP]
    home = [vm for vm in up if vm.data_centre == data_centre]
    place = f"{service}/{data_centre}/"
    ranked = max(
        home or up,
        key=lambda vm: xxhash.xxh3_64_intdigest((place + vm.name).encode()),
        default=None,
    )
    return ranked.name if ranked else ""


def lendable(slots: int, home: bool, leased: bool) -> int:
    """Return how many slots a lender may lend in all.

    A lender at home that is cut off and one abroad that took over for
    it may both lend at the same time; together they stay within `slots`.
    """
    abroad = slots // 2
    if home:
        return slots if leased else slots - abroad
    return abroad if leased else 0


def usable(
    cfg: view.View,
    upstream: view.Upstream,
    data_centre: str,
    leased: bool,
) -> bool:
    """Whether an entry VM of `data_centre` may send it new requests."""
    if upstream.state is not view.UpstreamState.UP:
        return False
    if not upstream.request_port or upstream.data_centre in cfg.out:
        return False
    return leased or upstream.data_centre == data_centre
