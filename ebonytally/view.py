"""The replicated configuration, as all components read it.

A View is immutable. Control VMs derive one for each revision; entry VMs
apply revisions in increasing order only, and pass each new View to their
components.
"""

import enum

import attrs

MAX_OWNER_CHANGES = 64


class UpstreamState(enum.StrEnum):
    """Life cycle state of an upstream."""

    UP = "up"
    DRAINING = "draining"


class VmState(enum.StrEnum):
    """State of an entry VM; only those that are up own records."""

    UP = "up"
    DOWN = "down"
    STOPPING = "stopping"


@attrs.frozen
class Service:
    """A load-balanced service.

    :param name: unique name, also the Host header of its requests
    :param address: IPv4 address that callers use
    :param port: TCP or UDP port that callers use
    :param protocol: IP protocol number, 6 or 17
    :param data_centres: names of the data centres that serve it
    :param max_connections: open flows that each upstream may have
    :param max_queue: requests that may wait in each entry VM's queue
    :param max_request_bytes: largest request body
    :param slots: slots of its table, a power of two, never changed
    """

    name: str
    address: str
    port: int
    protocol: int
    data_centres: tuple[str, ...]
    max_connections: int = 2000
    max_queue: int = 64
    max_request_bytes: int = 4 * 1024 * 1024
    slots: int = 1024


@attrs.frozen
class Upstream:
    """A registered back end of a service.

    :param id: number assigned at registration, never reused
    :param port: UDP port for packets (IP in UDP)
    :param request_port: TCP port for requests, 0 for none
    :param slots: its concurrency limit for requests
    :param connections: its limit of open flows
    :param incarnation: greater with each start of the upstream
    :param share: share of full load that it may get, in per mille, 0 to
        1000; below 1000 during its slow start
    """

    id: int
    service: str
    address: str
    port: int
    request_port: int
    data_centre: str
    slots: int
    connections: int
    incarnation: int
    state: UpstreamState = UpstreamState.UP
    share: int = 1000


@attrs.frozen
class Vm:
    """An entry VM; a control VM is an entry VM with a vote.

    :param address: IPv4 address at which the other VMs reach it
    :param control: whether it is a control VM
    :param incarnation: greater with each start of the daemon
    """

    name: str
    address: str
    data_centre: str
    region: str
    control: bool
    state: VmState = VmState.UP
    incarnation: int = 0


@attrs.frozen
class SlotState:
    """A slot whose flows are routed by their owners' records.

    Slots that a table doesn't list as `tracked` are pinned to their base.

    :param slot: number of the slot
    :param base: upstream id of flows that no owner has recorded
    :param target: upstream id for new flows, 0 for none yet
    :param may_place: owners may route new flows away from the base
    :param base_revision: revision at which the slot got its base
    """

    slot: int
    base: int
    target: int
    may_place: bool
    base_revision: int = 0


@attrs.frozen
class Table:
    """The slot table of a service: slots of the flow hash to upstreams.

    :param bases: upstream id of each slot, 0 for none
    :param tracked: slots routed by owners' records, by slot number
    :param revision: revision at which the table last changed
    """

    service: str
    bases: tuple[int, ...]
    tracked: tuple[SlotState, ...] = ()
    revision: int = 0


@attrs.frozen
class OwnerChange:
    """A VM that began or ceased to own records, or restarted.

    :param epoch: owner epoch that began with the change
    :param owned_before: whether it owned records before
    :param owns_after: whether it owns records from then on
    """

    epoch: int
    name: str
    data_centre: str
    owned_before: bool
    owns_after: bool


@attrs.frozen
class View:
    """The replicated configuration at one revision.

    :param revision: greater by one with each applied command
    :param config_revision: revision of the last change by an operator
    :param out: names of the data centres taken out
    :param owner_epoch: revision at which the owners of records last
        changed
    :param next_upstream_id: id that the next new upstream gets
    :param owner_changes: the latest changes of owners, in order, at most
        `MAX_OWNER_CHANGES`
    """

    revision: int = 0
    config_revision: int = 0
    services: tuple[Service, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    vms: tuple[Vm, ...] = ()
    out: tuple[str, ...] = ()
    tables: tuple[Table, ...] = ()
    owner_epoch: int = 0
    next_upstream_id: int = 1
    owner_changes: tuple[OwnerChange, ...] = ()
