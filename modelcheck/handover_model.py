"""Model of the handover of flow records between owners, as at planned stops.

One flow whose upstream isn't determined by its slot: only its owner knows or
chooses the upstream. Each owner epoch has another owner. VMs learn of an
epoch one after the other, so that owners of two epochs are active at once.
A new owner chooses nothing before every VM has replied in its epoch.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple

import attrs

from modelcheck import specification

VMS = (0, 1, 2)
UPSTREAMS = (1, 2)


class Mistake(enum.Enum):
    """Faults that can be seeded into the model, which must detect them."""

    REPLIES_IN_EARLIER_EPOCH = "replies_in_earlier_epoch"
    CHOOSES_BEFORE_REPLIES = "chooses_before_replies"
    MAJORITY_OF_REPLIES = "majority_of_replies"
    REPLY_WITHOUT_RECORDS = "reply_without_records"


class Vm(NamedTuple):
    """One entry VM.

    :param epoch: owner epoch of its view
    :param upstream: recorded upstream of the flow, 0 for none
    :param replies: VMs that have replied to it in this epoch
    """

    epoch: int = 1
    upstream: int = 0
    replies: frozenset[int] = frozenset()


class State(NamedTuple):
    """All VMs, and the upstreams that got packets of the flow."""

    vms: tuple[Vm, ...] = (
        Vm(),
        Vm(replies=frozenset(VMS)),
        Vm(),
    )
    reached: frozenset[int] = frozenset()


Step = tuple[tuple, State]


@attrs.frozen
class Bounds:
    """Bounds of the state space.

    :param epochs: highest owner epoch
    """

    epochs: int


def owner_of(epoch: int) -> int:
    """Return the owner of the flow in an epoch."""
    return epoch % len(VMS)


class HandoverModel(specification.Specification):
    """Owners of successive epochs, and packets at any VM."""

    name = "handover of flow records"
    initial = State()

    def invariants(self) -> dict[str, specification.Invariant]:
        """Return the predicates that must hold in every state, by name."""
        return {"one_upstream": one_upstream}

    def steps(self, state: State) -> Iterator[Step]:
        """Yield (label, successor) of every transition from a state."""
        for vm in VMS:
            yield from self._learn_epoch(state, vm)
            yield from self._packet(state, vm)
            for peer in VMS:
                yield from self._reply(state, vm, peer)

    def _learn_epoch(self, state: State, vm: int) -> Iterator[Step]:
        known = state.vms[vm]
        if known.epoch >= self.bounds.epochs:
            return
        successor = Vm(known.epoch + 1, known.upstream)
        yield ("learn epoch", vm), _with(state, vm, successor)

    def _reply(self, state: State, owner: int, peer: int) -> Iterator[Step]:
        """Let a peer report its record to the owner of its epoch."""
        asking = state.vms[owner]
        replying = state.vms[peer]
        if owner_of(asking.epoch) != owner or peer in asking.replies:
            return
        if replying.epoch > asking.epoch:
            return
        if (
            replying.epoch < asking.epoch
            and self.mistake is not Mistake.REPLIES_IN_EARLIER_EPOCH
        ):
            return
        upstream = asking.upstream or replying.upstream
        if self.mistake is Mistake.REPLY_WITHOUT_RECORDS:
            upstream = asking.upstream
        successor = asking._replace(
            upstream=upstream, replies=asking.replies | {peer}
        )
        yield ("reply", peer, owner), _with(state, owner, successor)

    def _packet(self, state: State, vm: int) -> Iterator[Step]:
        """Let a packet arrive, which its VM forwards to the owner it knows."""
        number = owner_of(state.vms[vm].epoch)
        owner = state.vms[number]
        if owner_of(owner.epoch) != number:
            return
        if not self._may_choose(owner):
            return
        choices = (owner.upstream,) if owner.upstream else UPSTREAMS
        for upstream in choices:
            successor = _with(state, number, owner._replace(upstream=upstream))
            reached = state.reached | {upstream}
            yield (
                ("packet", vm, number, upstream),
                successor._replace(reached=reached),
            )

    def _may_choose(self, owner: Vm) -> bool:
        """Return whether an owner knows of every decision made before."""
        needed = len(VMS)
        if self.mistake is Mistake.CHOOSES_BEFORE_REPLIES:
            needed = 0
        if self.mistake is Mistake.MAJORITY_OF_REPLIES:
            needed = len(VMS) // 2 + 1
        return len(owner.replies) >= needed


def _with(state: State, number: int, vm: Vm) -> State:
    """Return the state with one VM replaced."""
    vms = list(state.vms)
    vms[number] = vm
    return state._replace(vms=tuple(vms))


def one_upstream(fields: dict) -> bool:
    """Return whether the flow's packets reached one upstream at most."""
    return len(fields["reached"]) <= 1
