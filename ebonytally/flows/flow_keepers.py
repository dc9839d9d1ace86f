"""Which two entry VMs are the keepers of each slot group."""

from collections.abc import Iterable

import attrs
import xxhash

from ebonytally import view

GROUPS = 256
_BITMAP_BYTES = GROUPS // 8


@attrs.frozen
class Keepers:
    """First and second keeper of each group, "" for none."""

    first: tuple[str, ...] = ("",) * GROUPS
    second: tuple[str, ...] = ("",) * GROUPS

    def holds(self, group: int, name: str) -> bool:
        """Tell whether `name` is one of the two keepers of a group."""
        return name in (self.first[group], self.second[group])

    def other(self, group: int, name: str) -> str:
        """Return the keeper of a group that isn't `name`."""
        if self.first[group] == name:
            return self.second[group]
        return self.first[group]


def choose(vms: Iterable[view.Vm]) -> Keepers:
    """Choose by rendezvous among the entry VMs that are up.

    The second is of another data centre than the first where there is
    one. When one VM joins or leaves, one keeper of each pair stays.
    """
    up = [vm for vm in vms if vm.state is view.VmState.UP]
    pairs = [_pair(group, up) for group in range(GROUPS)]
    return Keepers(
        tuple(first for first, _ in pairs),
        tuple(second for _, second in pairs),
    )


def _pair(group: int, up: list[view.Vm]) -> tuple[str, str]:
    ranked = sorted(
        up,
        key=lambda vm: (
            xxhash.xxh3_64_intdigest(vm.name.encode(), group),
            vm.name,
        ),
    )
    if not ranked:
        return "", ""
    first, *rest = ranked
    if not rest:
        return first.name, ""
    for vm in rest:
        if vm.data_centre != first.data_centre:
            return first.name, vm.name
    return first.name, rest[0].name


def group_seed(service: str) -> int:
    """Return what a service adds to its slots to find their group."""
    return xxhash.xxh3_64_intdigest(service.encode()) % GROUPS


def to_bitmap(groups: Iterable[int]) -> bytes:
    """Return a set of groups as bits."""
    bits = 0
    for group in groups:
        bits |= 1 << group
    return bits.to_bytes(_BITMAP_BYTES, "little")


def from_bitmap(data: bytes) -> frozenset[int]:
    """Return the groups of a bitmap; bits beyond the last are ignored."""
    bits = int.from_bytes(data, "little")
    return frozenset(group for group in range(GROUPS) if bits >> group & 1)
