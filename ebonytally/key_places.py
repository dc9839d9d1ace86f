"""Which two entry VMs keep the keys of a bucket."""

import attrs
import xxhash

from ebonytally import key_id
from ebonytally import view as views


@attrs.frozen
class Pair:
    """The keepers of a bucket; "" for one that there isn't.

    :param first: orders the claims of a key
    :param second: in another data centre, where there is one
    """

    first: str = ""
    second: str = ""

    def __contains__(self, name: str) -> bool:
        """Tell whether an entry VM is one of the keepers."""
        return bool(name) and name in (self.first, self.second)

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the keepers that there are."""
        return tuple(name for name in (self.first, self.second) if name)

    @property
    def complete(self) -> bool:
        """Tell whether there are two keepers."""
        return bool(self.first and self.second)


def pairs(view: views.View) -> tuple[Pair, ...]:
    """Return the keepers of each bucket, by rendezvous hashing."""
    up = [vm for vm in view.vms if vm.state is views.VmState.UP]
    return tuple(_pair(bucket, up) for bucket in range(key_id.BUCKETS))


def _pair(bucket: int, up: list[views.Vm]) -> Pair:
    ranked = sorted(up, key=lambda vm: _score(bucket, vm.name))
    if not ranked:
        return Pair()
    first = ranked[0]
    others = [vm for vm in ranked if vm.data_centre != first.data_centre]
    others = others or ranked[1:]
    return Pair(first.name, others[0].name if others else "")


def _score(bucket: int, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{bucket}/{name}".encode())
