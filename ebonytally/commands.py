"""Commands of the replicated log; `config.apply` applies them."""

import attrs

from ebonytally import view
from ebonytally import wire


@wire.message(501)
@attrs.frozen
class Genesis:
    """First command of the log: register the initial entry VMs."""

    vms: tuple[view.Vm, ...]


@wire.message(502)
@attrs.frozen
class ServiceSet:
    """Create a service, or replace the settings of an existing one."""

    service: view.Service


@wire.message(503)
@attrs.frozen
class ServiceRemoved:
    """Remove a service with its slot table and its upstreams."""

    name: str


@wire.message(504)
@attrs.frozen
class DataCentreOut:
    """Stop sending flows and requests to a data centre."""

    name: str


@wire.message(505)
@attrs.frozen
class DataCentreBack:
    """Send flows and requests to a data centre again."""

    name: str


@wire.message(506)
@attrs.frozen
class VmAdded:
    """Add an entry VM, or replace the one of the same name."""

    vm: view.Vm


@wire.message(507)
@attrs.frozen
class VmRetired:
    """Remove an entry VM permanently."""

    name: str


@wire.message(508)
@attrs.frozen
class VmMarked:
    """Set the state of an entry VM: up, stopping or down."""

    name: str
    state: view.VmState
    incarnation: int


@wire.message(509)
@attrs.frozen
class UpstreamSeen:
    """Register an upstream, or a new incarnation of a registered one.

    The state machine assigns the id; `upstream.id` is 0 here.
    """

    upstream: view.Upstream


@wire.message(510)
@attrs.frozen
class UpstreamMarked:
    """Set an upstream's state and its share of full load.

    :param share: per mille of full load, below 1000 in slow start
    """

    id: int
    incarnation: int
    state: view.UpstreamState
    share: int


@wire.message(511)
@attrs.frozen
class UpstreamGone:
    """Deregister an upstream whose lease or drain has ended."""

    id: int
    incarnation: int


@wire.message(512)
@attrs.frozen
class SlotsPlacing:
    """Let owners route new flows of these slots away from the base.

    Proposed once every entry VM has applied the revision that listed the
    slots in `Table.tracked`, or its lease has expired and it is marked down.

    :param view_revision: revision of the view that the proposer saw
    """

    service: str
    slots: tuple[int, ...]
    view_revision: int


@wire.message(513)
@attrs.frozen
class SlotsPinned:
    """Pin slots to the upstream that serves all their open flows.

    :param base: id of that upstream
    :param view_revision: revision of the view that the proposer saw
    """

    service: str
    slots: tuple[int, ...]
    base: int
    view_revision: int


@wire.message(514)
@attrs.frozen
class Recovered:
    """Raise the revision far above any that a lost copy may have reached.

    It is the first command after the voters were formed anew from one
    copy. Entry VMs may have newer revisions than that copy, so they have to
    take the whole view instead of applying commands to their own.
    """

    generation: int
