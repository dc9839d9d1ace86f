"""Bodies of the platform's calls, decoded once."""

import json

import attrs

from ebonytally.configuration import model
from ebonytally.platform import decode
from ebonytally.platform import packet_wire
from ebonytally.register import records

_READY = "ready"
_DRAINING = "draining"
_IDEMPOTENT = ("safe", "download")
_MAX_NUMBER = 2**63
# Weight of a route that names one service alone.
_WHOLE = 1


@attrs.frozen
class _Heartbeat:
    """An upstream's announcement.

    :param concurrency: requests that it runs at the same time
    :param born: its start, milliseconds since 1970
    """

    service: str
    address: str
    zone: str
    concurrency: int
    state: str
    sequence: int
    cold_remaining_ms: float = 0.0
    born: int = 0


@attrs.frozen
class _Deregister:
    born: int = 0


@attrs.frozen
class _Backend:
    """A service with its weight; the wire calls it a back end."""

    service: str
    weight: int


@attrs.frozen
class _Route:
    """A place that callers use.

    :param host: IPv4 address, not a name
    :param path_prefix: the port between slashes, not a path
    :param type: kind of its requests
    """

    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    backends: list[_Backend] = attrs.field(factory=list)


@attrs.frozen
class _Service:
    """A service.

    :param max_connections: flows that one upstream holds
    :param cold_per_s: requests a second that a cold upstream bears
    """

    name: str
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class _Limits:
    idle_timeout_ms: float = 15000.0


@attrs.frozen
class _Config:
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = attrs.field(factory=_Limits)


def heartbeat(id_: str, body: bytes) -> records.Announcement:
    """Return what an upstream announces.

    :raises DecodeError: when it can't be read
    """
    step = "read heartbeat"
    said = decode.structure(_json(body, step), _Heartbeat, step)
    if packet_wire.id_number(id_) is None:
        raise decode.DecodeError(step, id_, "the id has no hex number")
    if said.state not in (_READY, _DRAINING):
        raise decode.DecodeError(step, id_, f"state {said.state!r}")
    if said.concurrency < 1 or said.sequence < 0 or said.born < 0:
        raise decode.DecodeError(step, id_, "a number is out of range")
    if said.cold_remaining_ms < 0 or not said.service:
        raise decode.DecodeError(step, id_, "a field is out of range")
    if max(said.born, said.sequence) >= _MAX_NUMBER:
        raise decode.DecodeError(step, id_, "a number is out of range")
    address, port = decode.endpoint(said.address, step)
    return records.Announcement(
        id=id_,
        born_ms=said.born,
        sequence=said.sequence,
        service=said.service,
        address=address,
        port=port,
        data_centre=said.zone,
        slots=said.concurrency,
        draining=said.state == _DRAINING,
        cold_for_s=said.cold_remaining_ms / 1000,
    )


def born_of(body: bytes) -> int:
    """Return the start that a leaving upstream names, 0 for none.

    :raises DecodeError: when it can't be read
    """
    step = "read deregister"
    if not body.strip():
        return 0
    return decode.structure(_json(body, step), _Deregister, step).born


def config(body: bytes) -> tuple[int, model.Content]:
    """Return version and content of a configuration.

    :raises DecodeError: when it can't be read
    """
    step = "read configuration"
    said = decode.structure(_json(body, step), _Config, step)
    if not 0 <= said.version < _MAX_NUMBER:
        raise decode.DecodeError(step, "version", "is out of range")
    content = model.Content(
        tuple(_route(one, step) for one in said.routes),
        tuple(
            model.Service(
                one.name,
                one.max_connections,
                one.cold_start_s,
                one.cold_per_s,
            )
            for one in said.services
        ),
        said.limits.idle_timeout_ms / 1000,
    )
    return said.version, content


def _route(said: _Route, step: str) -> model.Route:
    port = said.path_prefix.strip("/")
    address, number = decode.endpoint(f"{said.host}:{port}", step)
    targets = [model.Target(one.service, one.weight) for one in said.backends]
    if said.service:
        targets.append(model.Target(said.service, _WHOLE))
    return model.Route(
        said.name,
        address,
        number,
        tuple(targets),
        said.type in _IDEMPOTENT,
        said.timeout_ms / 1000,
        said.target_latency_ms / 1000,
        said.priority,
    )


def _json(body: bytes, step: str) -> object:
    try:
        return json.loads(body)
    except ValueError as exc:
        raise decode.DecodeError(step, "", f"is not JSON: {exc}") from exc
