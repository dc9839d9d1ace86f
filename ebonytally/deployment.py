"""What a process of an entry or control role is told at its start."""

import enum

import attrs

from ebonytally import settings


class Role(enum.StrEnum):
    """What a VM does."""

    ENTRY = "entry"
    CONTROL = "control"


@attrs.frozen
class Endpoint:
    """An address and port to listen on."""

    address: str
    port: int


@attrs.frozen
class Deployment:
    """A process's settings in the product's own words.

    :param name: of the VM, for people
    :param cfg: settings of the slices; the VM's name there is its address
    :param seeds: addresses of some control VMs
    :param first_start: the whole system starts for the first time
    :param data_centres: all of them
    :param packets: takes callers' packets, None at a control VM
    :param readiness: tells the fabric whether to send packets here
    :param orders: takes orders and announcements, None at an entry VM
    :param announce_s: upstreams announce themselves about this often
    :param flow_ttl_s: no flow lives longer
    :param cold_slack: requests a second that any cold upstream bears
    :param stop_s: a stopping process is ended after this
    """

    name: str
    role: Role
    cfg: settings.Settings
    seeds: tuple[str, ...]
    first_start: bool
    data_centres: frozenset[str]
    packets: Endpoint | None
    readiness: Endpoint | None
    orders: Endpoint | None
    announce_s: float
    flow_ttl_s: float
    cold_slack: float
    stop_s: float
