"""Placement: which two entry VMs own the keys of a bucket.

An owner epoch is a period with a fixed set of owners; its number is
`View.owner_epoch`.
"""

import attrs
import xxhash

from ebonytally.requests import key_id
from ebonytally import view as views


@attrs.frozen
class Owners:
    """The owners of a bucket; "" where there are too few VMs.

    :param first: primary owner, which orders the claims of a key
    :param second: replica, in another data centre if there are several
    """

    first: str = ""
    second: str = ""

    def __contains__(self, name: str) -> bool:
        """Return whether an entry VM is one of the owners."""
        return bool(name) and name in (self.first, self.second)

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the owners, primary first."""
        return tuple(name for name in (self.first, self.second) if name)

    @property
    def is_complete(self) -> bool:
        """Return whether there are two owners."""
        return bool(self.first and self.second)


@attrs.frozen
class Epoch:
    """The VMs that own keys in one owner epoch.

    :param number: view revision with which the epoch began
    :param data_centres: data centre of each of the VMs, by name
    """

    number: int
    data_centres: dict[str, str]

    def owners_by_bucket(self) -> tuple[Owners, ...]:
        """Return the owners of each bucket, by rendezvous hashing."""
        return tuple(
            _owners_of(bucket, self.data_centres)
            for bucket in range(key_id.BUCKETS)
        )


def epochs_after(view: views.View, after: int) -> list[Epoch] | None:
    """Return the owner epochs of a view that follow epoch `after`.

    :return: oldest first; None when the view's bounded history of changes
        doesn't reach back to `after`
    """
    changes = view.owner_changes
    full = len(changes) >= views.MAX_OWNER_CHANGES
    if full and changes[0].epoch > after:
        return None
    epochs = [current_epoch(view)]
    for change in reversed(changes):
        if change.epoch <= after:
            break
        if change.epoch < epochs[-1].number:
            epochs.append(_previous_epoch(epochs[-1], view, change.epoch))
    return epochs[::-1]


def current_epoch(view: views.View) -> Epoch:
    """Return the owner epoch that is current in a view."""
    return Epoch(
        view.owner_epoch,
        {
            vm.name: vm.data_centre
            for vm in view.vms
            if vm.state is views.VmState.UP
        },
    )


def _previous_epoch(later: Epoch, view: views.View, number: int) -> Epoch:
    """Return epoch `number`, by undoing the changes that began `later`."""
    data_centres = dict(later.data_centres)
    for change in view.owner_changes:
        if change.epoch != later.number:
            continue
        if change.owned_before:
            data_centres[change.name] = change.data_centre
        else:
            data_centres.pop(change.name, None)
    return Epoch(number, data_centres)


def _owners_of(bucket: int, data_centres: dict[str, str]) -> Owners:
    ranked = sorted(data_centres, key=lambda name: _score(bucket, name))
    if not ranked:
        return Owners()
    first = ranked[0]
    home = data_centres[first]
    others = [name for name in ranked if data_centres[name] != home]
    others = others or ranked[1:]
    return Owners(first, others[0] if others else "")


def _score(bucket: int, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{bucket}/{name}".encode())
