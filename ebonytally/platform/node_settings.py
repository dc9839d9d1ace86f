"""Settings file of the platform, converted to a deployment."""

import hashlib
import os
import resource
import tomllib
import typing

import attrs

from ebonytally import deployment
from ebonytally.load import settings as load_settings
from ebonytally.platform import decode
from ebonytally import settings

PATH_VARIABLE = "EBONYTALLY_CONFIG"
METRICS_PORT = 9464
# The platform provides no secret: the tag detects damaged frames only.
_FRAME_KEY = hashlib.sha256(b"ebonytally frames").hexdigest()
_STEP = "read settings"
# A control VM's link carries at least 20 MB/s; one voter that catches up
# may use a quarter of it.
_CATCH_UP_BYTES_S = 4 * 1024 * 1024
# A VM runs one process: an empty data folder at its address means that the
# previous one is lost.
_REPLACED_AFTER_S = 1.0
_SNAPSHOT_ENTRIES = 40
# For the log's files, the ports and the connections between control VMs.
_RESERVED_FDS = 200
_BYTES_PER_MEGABIT = 125_000
_T = typing.TypeVar("_T")


@attrs.frozen
class _BindAddrs:
    """Addresses that the role listens on, as ``ip:port``.

    :param datagram_addr: receives packets from the platform's routers
    :param ready: answers the routers' readiness checks
    :param control: receives calls of upstreams and operators
    """

    datagram_addr: str = ""
    ready: str = ""
    control: str = ""


@attrs.frozen
class _Bounds:
    grace_s: float = 6.0
    flow_ttl_s: float = 60.0
    cold_slack: float = 5.0


def _check_not_negative(_: object, __: attrs.Attribute, value: float) -> None:
    if value < 0:
        raise ValueError(f"must be 0 or more, got {value}")


@attrs.frozen
class _Limits:
    """What the VM's machine gives it.

    :param link_mbps: megabits a second in each direction, 0 if unknown
    :param max_fds: descriptors that the process may have open
    """

    link_mbps: float = attrs.field(default=0.0, validator=_check_not_negative)
    max_fds: int = attrs.field(default=4096, validator=_check_not_negative)


@attrs.frozen
class _File:
    """The fields of the settings file that are used.

    :param bootstrap: whether the whole system starts for the first time
    :param heartbeat_ms: interval between an upstream's announcements
    """

    node_name: str
    ip: str
    zone: str
    serves: list[str]
    internal_port_range: list[int]
    seeds: list[str]
    bind_addrs: _BindAddrs
    region: str = ""
    bootstrap: bool = False
    data_dir: str = ""
    heartbeat_ms: float = 1000.0
    zones: dict[str, str] = attrs.field(factory=dict)
    bounds: _Bounds = attrs.field(factory=_Bounds)


def path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, "/etc/ebonytally/node.toml")


def load() -> deployment.Deployment:
    """Read the settings file.

    :raises DecodeError: when the file can't be read or is malformed
    """
    try:
        with open(path(), "rb") as file:
            raw = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise decode.DecodeError(_STEP, path(), str(exc)) from exc
    return to_deployment(raw)


def to_deployment(raw: dict) -> deployment.Deployment:
    """Return the deployment that a settings file describes.

    :param raw: the file as parsed TOML
    :raises DecodeError: when a field is missing or of another type
    """
    file = decode.structure(raw, _File, _STEP)
    if len(file.internal_port_range) != 2:
        detail = f"expected [first, last], got {file.internal_port_range}"
        raise decode.DecodeError(_STEP, "internal-port-range", detail)
    role = deployment.Role.CONTROL
    if "front" in file.serves:
        role = deployment.Role.ENTRY
    seeds = tuple(
        decode.endpoint(seed, _STEP)[0] for seed in sorted(file.seeds)
    )
    bind = file.bind_addrs
    limits = _table(raw, "limits", _Limits)
    return deployment.Deployment(
        name=file.node_name,
        role=role,
        cfg=_daemon_settings(file, role),
        seeds=seeds,
        first_start=file.bootstrap,
        data_centres=frozenset(file.zones),
        packet_endpoint=_endpoint(bind.datagram_addr),
        readiness_endpoint=_endpoint(bind.ready),
        orders_endpoint=_endpoint(bind.control),
        announce_interval_s=file.heartbeat_ms / 1000,
        flow_ttl_s=file.bounds.flow_ttl_s,
        cold_slack=file.bounds.cold_slack,
        stop_timeout_s=file.bounds.grace_s / 2,
        link_bytes_s=limits.link_mbps * _BYTES_PER_MEGABIT,
        load=_table(raw, "load", load_settings.Load),
        max_connections=max_connections(limits.max_fds),
    )


def _table(raw: dict, name: str, cls: type[_T]) -> _T:
    """Return a table of the settings file, with errors that name the field.

    :param cls: all its fields have defaults
    """
    table = raw.get(name, {})
    if not isinstance(table, dict):
        detail = f"expected a table, got {decode.quoted(table)}"
        raise decode.DecodeError(_STEP, name, detail)
    result = cls()
    for field in attrs.fields(cls):
        key = field.name.replace("_", "-")
        if key not in table:
            continue
        try:
            value = decode.structure(table[key], field.type, _STEP)
            result = attrs.evolve(result, **{field.name: value})
        except decode.DecodeError as exc:
            raise decode.DecodeError(
                _STEP, f"{name}.{key}", exc.detail
            ) from exc
        except ValueError as exc:
            raise decode.DecodeError(_STEP, f"{name}.{key}", str(exc)) from exc
    return result


def max_connections(max_fds: int) -> int:
    """Return the connections that leave enough descriptors for the rest.

    :param max_fds: limit of descriptors in the settings; the process's own
        limit may be lower
    """
    process_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if process_limit != resource.RLIM_INFINITY:
        max_fds = min(max_fds, process_limit)
    return max(1, max_fds // 2, max_fds - _RESERVED_FDS)


def _endpoint(text: str) -> deployment.Endpoint | None:
    """Return the endpoint of ``ip:port``, None for an empty text."""
    if not text:
        return None
    return deployment.Endpoint(*decode.endpoint(text, _STEP))


def _daemon_settings(
    file: _File,
    role: deployment.Role,
) -> settings.Settings:
    first = file.internal_port_range[0]
    return settings.Settings(
        name=file.ip,
        address=file.ip,
        data_centre=file.zone,
        region=file.region,
        cluster_key=_FRAME_KEY,
        data_folder=file.data_dir,
        seeds=(),
        control=role == deployment.Role.CONTROL,
        ports=settings.Ports(
            peers=first,
            control=first + 1,
            metrics=METRICS_PORT,
        ),
        limits=settings.Control(
            catch_up_bytes_s=_CATCH_UP_BYTES_S,
            replaced_after_s=_REPLACED_AFTER_S,
            snapshot_entries=_SNAPSHOT_ENTRIES,
        ),
    )
