"""Decoding of the bodies of the platform's HTTP calls."""

import json

import attrs

from ebonytally.configuration import model
from ebonytally.platform import decode
from ebonytally.platform import packet_wire
from ebonytally.registry import checks
from ebonytally.registry import records

_READY = "ready"
_DRAINING = "draining"
_IDEMPOTENT = ("safe", "download")
# Names on the wire of the fields of an announcement.
_WIRE_NAMES = {
    "born_ms": "born",
    "cold_for_s": "cold-remaining-ms",
    "data_centre": "zone",
    "slots": "concurrency",
}
# Weight of the service that a route names without a weight.
_SOLE_WEIGHT = 1


@attrs.frozen
class _Heartbeat:
    """An upstream's announcement.

    :param concurrency: requests that the upstream runs at the same time
    :param born: start of the upstream, milliseconds since 1970
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
    """Announcement that an upstream has ended."""

    born: int = 0


@attrs.frozen
class _Backend:
    """A service and its weight in a route."""

    service: str
    weight: int


@attrs.frozen
class _Route:
    """An address and port that callers use.

    :param host: IPv4 address, not a host name
    :param path_prefix: port number between slashes, not a path
    :param type: kind of its requests; `_IDEMPOTENT` lists safe ones
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

    :param max_connections: most open flows per upstream
    :param cold_start_s: duration of an upstream's slow start
    :param cold_per_s: requests per second that a cold upstream can serve
    """

    name: str
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class _Limits:
    """Limits of all routes.

    :param idle_timeout_ms: time without packets after which the record of
        a flow may be dropped
    """

    idle_timeout_ms: float = 15000.0


@attrs.frozen
class _Config:
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = attrs.field(factory=_Limits)


def decode_heartbeat(id_: str, body: bytes) -> records.Announcement:
    """Return the announcement in the body of an upstream's heartbeat.

    :param id_: upstream id, from the path
    :raises DecodeError: when a field is missing or invalid
    """
    step = "read heartbeat"
    beat = decode.structure(_json(body, step), _Heartbeat, step)
    if packet_wire.upstream_number(id_) is None:
        detail = "id must contain 1 to 16 hex digits"
        raise decode.DecodeError(step, decode.quoted(id_), detail)
    if beat.state not in (_READY, _DRAINING):
        state = decode.quoted(beat.state)
        detail = f"state must be {_READY} or {_DRAINING}, got {state}"
        raise decode.DecodeError(step, decode.quoted(id_), detail)
    address, port = decode.endpoint(beat.address, step)
    announcement = records.Announcement(
        id=id_,
        born_ms=beat.born,
        sequence=beat.sequence,
        service=beat.service,
        address=address,
        port=port,
        data_centre=beat.zone,
        slots=beat.concurrency,
        draining=beat.state == _DRAINING,
        cold_for_s=beat.cold_remaining_ms / 1000,
    )
    _raise_if(checks.first_error(announcement), step)
    return announcement


def _raise_if(error: checks.FieldError | None, step: str) -> None:
    """Raise an error under the field's name on the wire.

    :raises DecodeError: unless the error is None
    """
    if error is not None:
        field = _WIRE_NAMES.get(error.field, error.field)
        raise decode.DecodeError(step, field, error.detail)


def decode_deregistration(body: bytes) -> int:
    """Return `born` from the body of a deregistration, 0 when absent.

    :raises DecodeError: when the body is malformed
    """
    step = "read deregister"
    if not body.strip():
        return 0
    born = decode.structure(_json(body, step), _Deregister, step).born
    _raise_if(checks.start_error(born), step)
    return born


def decode_config(body: bytes) -> tuple[int, model.Content]:
    """Return version and content of a configuration.

    :raises DecodeError: when a field is missing or malformed
    """
    step = "read configuration"
    parsed = decode.structure(_json(body, step), _Config, step)
    if parsed.version < 0:
        detail = f"must be at least 0, got {parsed.version}"
        raise decode.DecodeError(step, "version", detail)
    content = model.Content(
        tuple(_route(route, step) for route in parsed.routes),
        tuple(
            model.Service(
                service.name,
                service.max_connections,
                service.cold_start_s,
                service.cold_per_s,
            )
            for service in parsed.services
        ),
        parsed.limits.idle_timeout_ms / 1000,
    )
    return parsed.version, content


def _route(route: _Route, step: str) -> model.Route:
    port_text = route.path_prefix.strip("/")
    address, port = decode.endpoint(f"{route.host}:{port_text}", step)
    targets = [
        model.Target(backend.service, backend.weight)
        for backend in route.backends
    ]
    if route.service:
        targets.append(model.Target(route.service, _SOLE_WEIGHT))
    return model.Route(
        route.name,
        address,
        port,
        tuple(targets),
        route.type in _IDEMPOTENT,
        route.timeout_ms / 1000,
        route.target_latency_ms / 1000,
        route.priority,
    )


def _json(body: bytes, step: str) -> object:
    try:
        return json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as exc:
        raise decode.DecodeError(step, "", f"body is not JSON: {exc}") from exc


def _refuse_constant(name: str) -> None:
    """Refuse NaN and Infinity, which Python accepts but JSON lacks.

    :raises ValueError: always
    """
    raise ValueError(f"{name} is not a JSON value")
