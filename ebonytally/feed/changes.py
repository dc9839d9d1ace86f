"""What differs between two configurations, as it is sent."""

import zlib

import attrs

from ebonytally.configuration import model
from ebonytally import errors
from ebonytally import wire


@attrs.frozen
class Change:
    """Leads from one configuration's content to another's.

    :param removed: places of routes that are no more
    :param routes: new and changed routes
    """

    removed: tuple[tuple[str, int], ...]
    routes: tuple[model.Route, ...]
    services: tuple[model.Service, ...]
    idle_timeout_s: float


EMPTY = model.Content((), (), 0.0)


def between(old: model.Content, new: model.Content) -> Change:
    """Return what leads from one content to another."""
    before = {(one.address, one.port): one for one in old.routes}
    after = {(one.address, one.port): one for one in new.routes}
    return Change(
        tuple(place for place in before if place not in after),
        tuple(
            route
            for place, route in after.items()
            if before.get(place) != route
        ),
        new.services,
        new.idle_timeout_s,
    )


def apply(old: model.Content, change: Change) -> model.Content:
    """Return the content that a change leads to."""
    routes = {(one.address, one.port): one for one in old.routes}
    for place in change.removed:
        routes.pop(place, None)
    for route in change.routes:
        routes[route.address, route.port] = route
    return model.Content(
        tuple(routes.values()),
        change.services,
        change.idle_timeout_s,
    )


def pack(change: Change) -> bytes:
    """Return a change as bytes."""
    return zlib.compress(wire.pack(change))


def unpack(data: bytes) -> Change:
    """Return the change that `pack` wrote.

    :raises WireError: when the bytes are no change
    """
    try:
        raw = zlib.decompress(data)
    except zlib.error as exc:
        raise errors.WireError("unpack change", "", str(exc)) from exc
    return wire.unpack(raw, Change)
