"""Status of the system as one VM sees it: data classes."""

import enum

import attrs

from ebonytally.intents import plan_messages as messages


@attrs.frozen
class SilentVm:
    """A VM that the failure detector finds silent.

    :param since_s: seconds since it was last heard from, -1 if never
    """

    name: str
    since_s: float


@attrs.frozen
class NodeFacts:
    """State of one daemon that isn't in the replicated view.

    :param local_vm: name of this VM
    :param leader: name of the leading control VM, "" if unknown
    :param has_lease: whether this VM's configuration lease is valid
    :param wall: present time, seconds since 1970
    :param behind: names of VMs that have applied an older revision only
    :param storage_fault: fault of the data folder, "" for none
    :param stopping: whether this daemon is shutting down
    """

    local_vm: str
    leader: str
    has_lease: bool
    wall: float
    silent_vms: tuple[SilentVm, ...] = ()
    behind: tuple[str, ...] = ()
    load: messages.VmFacts = attrs.field(factory=messages.VmFacts)
    storage_fault: str = ""
    stopping: bool = False


class HealthLevel(enum.StrEnum):
    """Overall health of the system, from best to worst."""

    WELL = "well"
    CARE = "care"
    TROUBLE = "trouble"


@attrs.frozen
class ServiceStatus:
    """Status of a service.

    :param upstreams: upstreams that get new flows and requests
    :param cold: how many of them are still in slow start
    :param slots: sum of their concurrency limits for requests
    :param connections: sum of their limits of open flows
    :param open_flows: open flows now, -1 if unknown
    """

    name: str
    address: str
    data_centres: tuple[str, ...]
    upstreams: int
    cold: int
    draining: int
    slots: int
    connections: int
    open_flows: int


@attrs.frozen
class Status:
    """Status of the whole system, as one VM sees it.

    :param vm: name of the VM that made it
    :param cut_off: whether that VM's configuration lease has expired
    :param changes_possible: whether a majority of control VMs answers
    :param down: names of VMs that are marked down or stopping
    :param out: names of the data centres taken out
    :param open_plans: ids of open plans, None if unknown
    :param next_steps: what an operator should do, most urgent first
    :param lines: the status as text
    """

    level: HealthLevel
    vm: str
    data_centre: str
    revision: int
    leader: str
    cut_off: bool
    changes_possible: bool
    vms: int
    silent: tuple[SilentVm, ...]
    behind: tuple[str, ...]
    down: tuple[str, ...]
    out: tuple[str, ...]
    services: tuple[ServiceStatus, ...]
    open_plans: tuple[str, ...] | None
    next_steps: tuple[str, ...]
    lines: tuple[str, ...]
