"""Which two entry VMs own, and so record, the flows of a slot group."""

from collections.abc import Iterable

import attrs
import xxhash

from ebonytally import view

GROUPS = 256
_BITMAP_BYTES = GROUPS // 8


@attrs.frozen
class Owners:
    """First and second owner of each slot group, "" for none."""

    first: tuple[str, ...] = ("",) * GROUPS
    second: tuple[str, ...] = ("",) * GROUPS

    def is_owner(self, group: int, name: str) -> bool:
        """Return whether `name` is one of the two owners of a group."""
        return name in (self.first[group], self.second[group])

    def other(self, group: int, name: str) -> str:
        """Return the owner of a group that isn't `name`."""
        if self.first[group] == name:
            return self.second[group]
        return self.first[group]


def choose_owners(vms: Iterable[view.Vm]) -> Owners:
    """Return the owners, by rendezvous hashing of the VMs that are up.

    The second owner is in another data centre than the first if possible.
    When one VM joins or leaves, at least one owner of each pair stays.
    """
    up = [vm for vm in vms if vm.state is view.VmState.UP]
    pairs = [_owner_pair(group, up) for group in range(GROUPS)]
    return Owners(
        tuple(first for first, _ in pairs),
        tuple(second for _, second in pairs),
    )


def _owner_pair(group: int, up: list[view.Vm]) -> tuple[str, str]:
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
    """Return the offset from a service's slots to their slot groups."""
    return xxhash.xxh3_64_intdigest(service.encode()) % GROUPS


def to_bitmap(groups: Iterable[int]) -> bytes:
    """Return groups as a bitmap, the lowest group first."""
    bits = 0
    for group in groups:
        bits |= 1 << group
    return bits.to_bytes(_BITMAP_BYTES, "little")


def from_bitmap(data: bytes) -> frozenset[int]:
    """Return the groups of a bitmap; bits beyond the last are ignored."""
    bits = int.from_bytes(data, "little")
    return frozenset(group for group in range(GROUPS) if bits >> group & 1)
