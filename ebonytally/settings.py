"""Settings of one daemon, parsed from JSON and validated.

All faults of a file are reported together, each as
``file: key.path: what is wrong, what is allowed``.
"""

import hashlib
import ipaddress
import json
import os
import pathlib
import re
import typing

import attrs
import cattrs
from cattrs import gen

from ebonytally import errors

MAX_SETTINGS_BYTES = 1024 * 1024
MIN_CONTROL_VMS = 3
MAX_CONTROL_VMS = 7
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_HEX_KEY = re.compile(r"[0-9a-f]{64}")


@attrs.frozen
class Seed:
    """An initial entry VM of the system.

    :param control: whether it is a control VM, which has a vote
    """

    name: str
    address: str
    data_centre: str
    region: str
    control: bool = False


@attrs.frozen
class Operator:
    """A person or script that may use the operators' API.

    :param token_sha256: SHA-256 of the operator's bearer token, in hex
    """

    name: str
    token_sha256: str


@attrs.frozen
class Ports:
    """Ports that the daemon listens on, the same on all entry VMs.

    :param packets: packets from the fabric, IP in UDP
    :param peers: small messages between VMs, as UDP datagrams
    :param control: larger messages between VMs, by gRPC
    :param requests: requests of callers, by HTTP
    :param operators: operators' API, by HTTP
    :param announcements: announcements of upstreams, by HTTP
    :param metrics: counters and durations for monitoring
    """

    packets: int = 7401
    peers: int = 7402
    control: int = 7403
    requests: int = 7404
    operators: int = 7405
    announcements: int = 7406
    metrics: int = 7407


@attrs.frozen
class Flows:
    """Time-outs of flow records.

    :param idle_s: seconds without a packet after which a flow has ended
    :param linger_s: seconds that the record of an ended flow is kept
    """

    idle_s: float = 900.0
    linger_s: float = 30.0


@attrs.frozen
class Requests:
    """Limits and time-outs of request handling.

    :param default_timeout_s: deadline of a request that doesn't set one
    :param max_timeout_s: longest deadline that a caller may set
    :param key_window_s: greatest age of an idempotency key; older ones
        are refused, as their earlier use may be forgotten
    :param key_ahead_s: how far a caller's clock may be ahead
    :param max_keys: idempotency keys that one entry VM may store
    :param retry_share: retry budget, as a share of first attempts
    :param silent_s: seconds without progress after which a connection
        counts as silent
    :param max_connections: concurrent connections of callers
    """

    default_timeout_s: float = 10.0
    max_timeout_s: float = 120.0
    key_window_s: float = 600.0
    key_ahead_s: float = 2.0
    max_keys: int = 100_000
    retry_share: float = 0.1
    silent_s: float = 1.0
    max_connections: int = 2000


@attrs.frozen
class Upstreams:
    """Registration, slow start and outlier ejection of upstreams.

    :param lease_s: how long an announcement is valid
    :param cold_share: share of full load that a cold upstream gets at the
        beginning of its slow start, in per mille, 1 to 1000
    :param warm_requests: answers after which a cold upstream is warm
    :param loan_s: how long a grant of request slots is valid
    :param eject_share: largest share of a service's upstreams that may be
        ejected at the same time
    :param eject_s: how long an ejected upstream gets no work
    """

    lease_s: float = 3.0
    cold_share: int = 100
    warm_requests: int = 100
    loan_s: float = 0.6
    eject_share: float = 0.34
    eject_s: float = 5.0


@attrs.frozen
class Control:
    """Consensus, dissemination of the configuration, failure detection.

    :param heartbeat_s: interval of heartbeats down the dissemination tree
    :param election_s: shortest election timeout
    :param lease_s: how long a configuration is valid without renewal
    :param plan_s: how long a plan may be confirmed
    :param snapshot_entries: log entries after which the log is compacted
    :param suspect_s: silence after which a VM is suspected to be down
    :param catch_up_bytes_s: rate limit of log and snapshot bytes that are
        sent to one voter, in bytes per second
    :param replaced_after_s: when a control VM runs with a new data folder,
        silence after which the listed old one counts as lost
    """

    heartbeat_s: float = 0.4
    election_s: float = 1.0
    lease_s: float = 1.5
    plan_s: float = 600.0
    snapshot_entries: int = 1000
    suspect_s: float = 1.5
    catch_up_bytes_s: int = 32 * 1024
    replaced_after_s: float = 5.0


@attrs.frozen
class Settings:
    """All settings of one daemon.

    :param name: name of this VM
    :param cluster_key: shared secret, 32 bytes in hex, the same on all
        entry VMs
    :param data_folder: folder for durable state, relative to the file
    :param seeds: initial entry VMs, this one among them
    :param fabric: ``ip:port`` to which packets for callers are sent, ""
        for none
    """

    name: str
    address: str
    data_centre: str
    region: str
    cluster_key: str
    data_folder: str
    seeds: tuple[Seed, ...]
    operators: tuple[Operator, ...] = ()
    control: bool = False
    fabric: str = ""
    ports: Ports = attrs.field(factory=Ports)
    flows: Flows = attrs.field(factory=Flows)
    requests: Requests = attrs.field(factory=Requests)
    upstreams: Upstreams = attrs.field(factory=Upstreams)
    limits: Control = attrs.field(factory=Control)

    @property
    def key(self) -> bytes:
        """Return the cluster key as bytes."""
        return bytes.fromhex(self.cluster_key)

    def fingerprint(self) -> str:
        """Return a short digest that identifies the settings in logs."""
        text = json.dumps(attrs.asdict(self), sort_keys=True)
        return hashlib.sha256(text.encode()).hexdigest()[:12]


_TYPE_TEXTS = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


def _require_type(value: object, cls: type) -> object:
    if cls is float and type(value) is int:
        return float(value)
    if type(value) is not cls:
        raise TypeError(f"must be {_TYPE_TEXTS[cls]}, not {value!r}")
    return value


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for plain in _TYPE_TEXTS:
        converter.register_structure_hook(plain, _require_type)
    for cls in (
        Seed,
        Operator,
        Ports,
        Flows,
        Requests,
        Upstreams,
        Control,
        Settings,
    ):
        hook = gen.make_dict_structure_fn(
            cls,
            converter,
            _cattrs_forbid_extra_keys=True,
        )
        converter.register_structure_hook(cls, hook)
    return converter


_converter = _make_converter()


def load(path: str) -> Settings:
    """Read and validate a settings file, and create its data folder.

    :raises SettingsError: lists all faults of the file
    """
    name = os.path.basename(path)
    raw = _read(path, name)
    try:
        cfg = _converter.structure(raw, Settings)
    except Exception as exc:
        lines = _structure_faults(exc, "")
        raise _fault(name, lines) from exc
    faults = list(_value_faults(cfg))
    if faults:
        raise _fault(name, faults)
    folder = pathlib.Path(path).resolve().parent / cfg.data_folder
    cfg = attrs.evolve(cfg, data_folder=str(folder))
    folder_fault = _folder_fault(folder)
    if folder_fault:
        raise _fault(name, [folder_fault])
    return cfg


def _read(path: str, name: str) -> object:
    try:
        size = os.path.getsize(path)
        if size > MAX_SETTINGS_BYTES:
            limit = f"at most {MAX_SETTINGS_BYTES} bytes are allowed"
            raise _fault(name, [f"file: has {size} bytes, {limit}"])
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except (OSError, UnicodeDecodeError) as exc:
        raise _fault(name, [f"file: can't be read, {exc}"]) from exc
    except json.JSONDecodeError as exc:
        raise _fault(name, [f"file: is not JSON, {exc}"]) from exc


def _fault(name: str, lines: list[str]) -> errors.SettingsError:
    return errors.SettingsError(
        step="check settings",
        peer=name,
        detail=f"{len(lines)} faults",
        faults=tuple(f"{name}: {line}" for line in lines),
    )


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _structure_faults(exc: BaseException, path: str) -> list[str]:
    """Return a line for each unknown, missing or wrongly typed value.

    :param exc: error of cattrs for the value at `path`
    """
    if isinstance(exc, cattrs.errors.ForbiddenExtraKeysError):
        allowed = ", ".join(sorted(attrs.fields_dict(exc.cl)))
        return [
            f"{_join(path, key)}: is not known, allowed are {allowed}"
            for key in sorted(exc.extra_fields)
        ]
    if isinstance(exc, KeyError):
        return [f"{_join(path, str(exc.args[0]))}: is missing"]
    if not isinstance(exc, BaseExceptionGroup):
        return [f"{path or 'file'}: {exc}"]
    lines = []
    for inner_exc in exc.exceptions:
        lines += _structure_faults(
            inner_exc, path + _location(inner_exc, path)
        )
    return lines


def _location(exc: BaseException, path: str) -> str:
    for note in getattr(exc, "__notes__", ()):
        if isinstance(note, cattrs.IterableValidationNote):
            return f"[{note.index}]"
        if not isinstance(note, cattrs.AttributeValidationNote):
            continue
        if not isinstance(exc, KeyError):
            return f".{note.name}" if path else note.name
    return ""


def _value_faults(cfg: Settings) -> typing.Iterator[str]:
    """Yield a line for each value that is out of range or inconsistent."""
    yield from _name_faults(cfg)
    yield from _seed_faults(cfg)
    yield from _operator_faults(cfg)
    yield from _number_faults(cfg)


def _name_faults(cfg: Settings) -> typing.Iterator[str]:
    for key in ("name", "data_centre", "region"):
        value = getattr(cfg, key)
        if not _NAME.fullmatch(value):
            yield (
                f"{key}: {value!r} is not a valid name, "
                "allowed are a-z, 0-9 and -, 63 at most"
            )
    if not _is_address(cfg.address):
        yield f"address: {cfg.address!r} is not an IPv4 address"
    if not _HEX_KEY.fullmatch(cfg.cluster_key):
        yield "cluster_key: is not 64 hex digits"
    if cfg.fabric and not _is_endpoint(cfg.fabric):
        yield f"fabric: {cfg.fabric!r} must be ip:port or empty"


def _seed_faults(cfg: Settings) -> typing.Iterator[str]:
    names: dict[str, int] = {}
    addresses: dict[str, int] = {}
    for index, seed in enumerate(cfg.seeds):
        where = f"seeds[{index}]"
        for key in ("name", "data_centre", "region"):
            value = getattr(seed, key)
            if not _NAME.fullmatch(value):
                yield (
                    f"{where}.{key}: {value!r} is not a valid name, "
                    "allowed are a-z, 0-9 and -, 63 at most"
                )
        if not _is_address(seed.address):
            yield f"{where}.address: {seed.address!r} is not an IPv4 address"
        if seed.name in names:
            first = names[seed.name]
            yield (
                f"{where}.name: {seed.name!r} is also seeds[{first}], "
                "names must differ"
            )
        if seed.address in addresses:
            first = addresses[seed.address]
            yield (
                f"{where}.address: {seed.address} is also seeds[{first}], "
                "addresses must differ"
            )
        names.setdefault(seed.name, index)
        addresses.setdefault(seed.address, index)
    voters = sum(seed.control for seed in cfg.seeds)
    if not MIN_CONTROL_VMS <= voters <= MAX_CONTROL_VMS:
        yield (
            f"seeds: {voters} control VMs, "
            f"allowed are {MIN_CONTROL_VMS} to {MAX_CONTROL_VMS}"
        )
    yield from _own_seed_faults(cfg)


def _own_seed_faults(cfg: Settings) -> typing.Iterator[str]:
    centres = {seed.data_centre for seed in cfg.seeds}
    if cfg.data_centre not in centres:
        known = ", ".join(sorted(centres))
        yield (
            f"data_centre: {cfg.data_centre!r} has no seed, known are {known}"
        )
    for seed in cfg.seeds:
        if seed.name != cfg.name:
            continue
        for key in ("address", "data_centre", "region", "control"):
            own = getattr(cfg, key)
            listed = getattr(seed, key)
            if own != listed:
                yield f"{key}: {own!r} here but {listed!r} in seeds"


def _operator_faults(cfg: Settings) -> typing.Iterator[str]:
    names = set()
    for index, operator in enumerate(cfg.operators):
        where = f"operators[{index}]"
        if not _NAME.fullmatch(operator.name):
            yield (
                f"{where}.name: {operator.name!r} is not a valid name, "
                "allowed are a-z, 0-9 and -, 63 at most"
            )
        if operator.name in names:
            yield f"{where}.name: {operator.name!r} is listed twice"
        names.add(operator.name)
        if not _HEX_KEY.fullmatch(operator.token_sha256):
            yield f"{where}.token_sha256: is not 64 hex digits"


def _number_faults(cfg: Settings) -> typing.Iterator[str]:
    ports = attrs.asdict(cfg.ports)
    for key, port in ports.items():
        if not 1 <= port <= 65535:
            yield f"ports.{key}: {port} is out of range, allowed 1 to 65535"
    if len(set(ports.values())) < len(ports):
        yield f"ports: {ports} has a number twice, ports must differ"
    for group in ("flows", "requests", "upstreams", "limits"):
        for key, value in attrs.asdict(getattr(cfg, group)).items():
            if not value > 0:
                yield f"{group}.{key}: {value} must be greater than 0"


def _is_address(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def _is_endpoint(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if not port.isdigit():
        return False
    return _is_address(host) and 1 <= int(port) <= 65535


def _folder_fault(folder: pathlib.Path) -> str:
    try:
        folder.mkdir(parents=True, exist_ok=True)
        probe = folder / f".probe-{os.getpid()}"
        probe.write_bytes(b"")
        probe.unlink()
    except OSError as exc:
        return f"data_folder: can't be written, {exc}"
    return ""
