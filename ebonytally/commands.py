"""Commands of the replicated log; applying one gives the next view."""

import attrs

from ebonytally import view
from ebonytally import wire


@wire.message(501)
@attrs.frozen
class Genesis:
    """The first command: the entry VMs of the seeds."""

    vms: tuple[view.Vm, ...]


@wire.message(502)
@attrs.frozen
class ServiceSet:
    """Create a service or change it."""

    service: view.Service


@wire.message(503)
@attrs.frozen
class ServiceRemoved:
    """Remove a service with its table and its upstreams."""

    name: str


@wire.message(504)
@attrs.frozen
class DataCentreOut:
    """Take a data centre out."""

    name: str


@wire.message(505)
@attrs.frozen
class DataCentreBack:
    """Bring a data centre back."""

    name: str


@wire.message(506)
@attrs.frozen
class VmAdded:
    """Admit an entry VM, or replace the one of that name."""

    vm: view.Vm


@wire.message(507)
@attrs.frozen
class VmRetired:
    """Remove an entry VM for good."""

    name: str


@wire.message(508)
@attrs.frozen
class VmMarked:
    """Note that an entry VM is up, stopping or down."""

    name: str
    state: view.VmState
    incarnation: int


@wire.message(509)
@attrs.frozen
class UpstreamSeen:
    """Register an upstream, or a new incarnation of a known one.

    The state machine gives the id; `upstream.id` is 0.
    """

    upstream: view.Upstream


@wire.message(510)
@attrs.frozen
class UpstreamMarked:
    """Note that an upstream is draining, or its warm share."""

    id: int
    incarnation: int
    state: view.UpstreamState
    share: int


@wire.message(511)
@attrs.frozen
class UpstreamGone:
    """Forget an upstream whose lease or drain has ended."""

    id: int
    incarnation: int


@wire.message(512)
@attrs.frozen
class SlotsPlacing:
    """Let keepers place flows away from the base of these slots.

    Proposed once every entry VM has applied the revision that made
    the slots kept, or its lease has ended and it is marked down.

    :param seen: revision of the view that the proposer saw
    """

    service: str
    slots: tuple[int, ...]
    seen: int


@wire.message(513)
@attrs.frozen
class SlotsPinned:
    """Pin slots to the upstream that has all their flows.

    :param seen: revision of the view that the proposer saw
    """

    service: str
    slots: tuple[int, ...]
    base: int
    seen: int


@wire.message(514)
@attrs.frozen
class Recovered:
    """Go on far above any revision that a lost copy may have reached.

    The first command after voters were formed anew from one copy:
    entry VMs may have newer revisions than that copy, so they have to
    take the whole view instead of applying commands to theirs.
    """

    generation: int
