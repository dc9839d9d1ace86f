"""The replicated configuration as every slice reads it.

A View is immutable. Control VMs derive one for each revision; entry VMs
apply revisions only upwards and hand the new View to their slices.
"""

import enum

import attrs

MAX_KEEPER_CHANGES = 64


class UpstreamState(enum.StrEnum):
    """Where an upstream is in its life."""

    UP = "up"
    DRAINING = "draining"


class VmState(enum.StrEnum):
    """Whether an entry VM takes part in keeping flows and keys."""

    UP = "up"
    DOWN = "down"
    STOPPING = "stopping"


@attrs.frozen
class Service:
    """One service behind an address.

    :param name: unique name, also the Host of its requests
    :param address: IPv4 address that callers use
    :param port: TCP or UDP port that callers use
    :param protocol: IP protocol number, 6 or 17
    :param data_centres: names of the data centres that serve it
    :param max_connections: open flows that one upstream may have
    :param max_queue: requests that one entry VM may hold waiting
    :param max_request_bytes: largest request body
    :param slots: slots of its table, a power of two, fixed for life
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
    """One announced back end of a service.

    :param id: number given at registration, never used again
    :param port: UDP port for packets (IP in UDP)
    :param request_port: TCP port for requests, 0 for none
    :param slots: requests that it runs at the same time
    :param connections: open flows that it bears
    :param incarnation: grows with each start of the upstream
    :param share: part of its full load that it may get, 0 to 1000
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
    """One entry VM; a control VM is an entry VM with a vote.

    :param address: IPv4 address that the other VMs reach it by
    :param incarnation: grows with each start of the daemon
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
    """A slot of a service's table that keepers decide about.

    Slots that are not listed in a view are pinned to their base.

    :param slot: number of the slot
    :param base: upstream id of flows that no keeper recorded
    :param next: upstream id for new flows, 0 for none yet
    :param placing: keepers may place flows away from the base
    :param since: revision that gave the kept slot this base
    """

    slot: int
    base: int
    next: int
    placing: bool
    since: int = 0


@attrs.frozen
class Table:
    """The slot table of one service.

    :param bases: upstream id of each slot, 0 for none
    :param kept: slots that keepers decide about, by slot number
    :param revision: revision at which the table last changed
    """

    service: str
    bases: tuple[int, ...]
    kept: tuple[SlotState, ...] = ()
    revision: int = 0


@attrs.frozen
class KeeperChange:
    """A VM that began or ceased to keep records, or started again.

    :param epoch: keeper epoch that began with it
    :param kept: it kept records before
    :param keeps: it keeps records from then on
    """

    epoch: int
    name: str
    data_centre: str
    kept: bool
    keeps: bool


@attrs.frozen
class View:
    """All replicated state at one revision.

    :param revision: grows by one with each applied command
    :param config_revision: revision of the last operators' change
    :param out: names of the data centres taken out
    :param keeper_epoch: revision at which the keepers last changed
    :param keeper_changes: the latest changes of the keepers, in order,
        `MAX_KEEPER_CHANGES` at most
    :param next_upstream_id: id that the next new upstream gets
    """

    revision: int = 0
    config_revision: int = 0
    services: tuple[Service, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    vms: tuple[Vm, ...] = ()
    out: tuple[str, ...] = ()
    tables: tuple[Table, ...] = ()
    keeper_epoch: int = 0
    next_upstream_id: int = 1
    keeper_changes: tuple[KeeperChange, ...] = ()
