"""Which two entry VMs keep the keys of a bucket."""

import attrs
import xxhash

from ebonytally.requests import key_id
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


@attrs.frozen
class Epoch:
    """The VMs that keep records in one keeper epoch.

    :param number: revision with which it began
    :param data_centres: data centre of each of the VMs, by name
    """

    number: int
    data_centres: dict[str, str]

    def pairs(self) -> tuple[Pair, ...]:
        """Return the keepers of each bucket, by rendezvous hashing."""
        return tuple(
            _pair(bucket, self.data_centres)
            for bucket in range(key_id.BUCKETS)
        )


def epochs(view: views.View, after: int) -> list[Epoch] | None:
    """Return the keeper epochs of a view that follow epoch `after`.

    :return: oldest first; None when the view no longer tells them all
    """
    changes = view.keeper_changes
    full = len(changes) >= views.MAX_KEEPER_CHANGES
    if full and changes[0].epoch > after:
        return None
    found = [present(view)]
    for change in reversed(changes):
        if change.epoch <= after:
            break
        if change.epoch < found[-1].number:
            found.append(_before(found[-1], view, change.epoch))
    return found[::-1]


def present(view: views.View) -> Epoch:
    """Return the present keeper epoch of a view."""
    return Epoch(
        view.keeper_epoch,
        {
            vm.name: vm.data_centre
            for vm in view.vms
            if vm.state is views.VmState.UP
        },
    )


def _before(later: Epoch, view: views.View, number: int) -> Epoch:
    """Return epoch `number`, the one before `later`."""
    data_centres = dict(later.data_centres)
    for change in view.keeper_changes:
        if change.epoch != later.number:
            continue
        if change.kept:
            data_centres[change.name] = change.data_centre
        else:
            data_centres.pop(change.name, None)
    return Epoch(number, data_centres)


def _pair(bucket: int, data_centres: dict[str, str]) -> Pair:
    ranked = sorted(data_centres, key=lambda name: _score(bucket, name))
    if not ranked:
        return Pair()
    first = ranked[0]
    home = data_centres[first]
    others = [name for name in ranked if data_centres[name] != home]
    others = others or ranked[1:]
    return Pair(first, others[0] if others else "")


def _score(bucket: int, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{bucket}/{name}".encode())
