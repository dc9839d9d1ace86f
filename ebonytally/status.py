"""What works, what doesn't and what to do next, in ten lines."""

import enum

import attrs

from ebonytally.intents import plan_messages as messages


@attrs.frozen
class SilentVm:
    """A VM that isn't heard from.

    :param since_s: seconds since it was last heard, -1 for never
    """

    name: str
    since_s: float


@attrs.frozen
class NodeFacts:
    """What one daemon knows beyond the view.

    :param leader: control VM that leads, "" when none is heard
    :param leased: the configuration lease holds
    :param behind: VMs that run an older revision
    :param storage_fault: what is wrong with the data folder, "" if nothing
    :param wall: present time, seconds since 1970
    """

    me: str
    leader: str
    leased: bool
    wall: float
    silent: tuple[SilentVm, ...] = ()
    behind: tuple[str, ...] = ()
    load: messages.Facts = attrs.field(factory=messages.Facts)
    storage_fault: str = ""
    stopping: bool = False


class Level(enum.StrEnum):
    """How things stand, at a glance."""

    WELL = "well"
    CARE = "care"
    TROUBLE = "trouble"


@attrs.frozen
class ServiceStatus:
    """How a service stands.

    :param upstreams: back ends that take new work
    :param cold: those of them that are still warming up
    :param open_flows: -1 when not known
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
    """How the whole system stands, as one VM sees it.

    :param changes_possible: a majority of control VMs answers
    :param open_plans: ids of open plans, None when not known
    :param next_steps: what to do, in order; empty for nothing
    """

    level: Level
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
