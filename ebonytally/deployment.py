"""Settings of a process of the entry or control role."""

import enum

import attrs

from ebonytally.load import settings as load_settings
from ebonytally import settings


class Role(enum.StrEnum):
    """Role of a VM: forward packets, or run the log and the registry."""

    ENTRY = "entry"
    CONTROL = "control"


@attrs.frozen
class Endpoint:
    """An address and port to listen on."""

    address: str
    port: int


@attrs.frozen
class Deployment:
    """Settings of a process, independent of the platform's file format.

    :param name: name of the VM, for logs and messages
    :param cfg: settings of the components; the VM's name in them is its
        address
    :param seeds: addresses of some control VMs
    :param first_start: whether the whole system starts for the first time
    :param data_centres: names of all data centres
    :param packet_endpoint: receives callers' packets, None on a control VM
    :param readiness_endpoint: answers the fabric's readiness checks
    :param orders_endpoint: receives operators' orders and upstreams'
        announcements, None on an entry VM
    :param announce_interval_s: usual interval of an upstream's announcements
    :param flow_ttl_s: maximum lifetime of a flow
    :param cold_slack: requests/s that an upstream in slow start can serve
    :param stop_timeout_s: maximum time from the stop signal to the process's
        end
    :param link_bytes_s: bandwidth of the VM's link in each direction, 0 if
        it isn't known
    :param load: settings of the decisions under load
    :param max_connections: open connections to `orders_endpoint`, at most
    """

    name: str
    role: Role
    cfg: settings.Settings
    seeds: tuple[str, ...]
    first_start: bool
    data_centres: frozenset[str]
    packet_endpoint: Endpoint | None
    readiness_endpoint: Endpoint | None
    orders_endpoint: Endpoint | None
    announce_interval_s: float
    flow_ttl_s: float
    cold_slack: float
    stop_timeout_s: float
    max_connections: int
    link_bytes_s: float = 0.0
    load: load_settings.Load = load_settings.Load()
