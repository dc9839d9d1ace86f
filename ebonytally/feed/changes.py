"""Differences between configurations, in the form that is sent."""

import zlib

import attrs

from ebonytally.configuration import model
from ebonytally import errors
from ebonytally import wire


@attrs.frozen
class Change:
    """Difference between the contents of two configurations.

    :param removed: address and port of each removed route
    :param routes: new and changed routes
    :param services: all services of the newer content
    :param idle_timeout_s: idle timeout of the newer content
    """

    removed: tuple[tuple[str, int], ...]
    routes: tuple[model.Route, ...]
    services: tuple[model.Service, ...]
    idle_timeout_s: float


EMPTY = model.Content((), (), 0.0)


def diff(old: model.Content, new: model.Content) -> Change:
    """Return the change from one content to another."""
    old_routes = {(route.address, route.port): route for route in old.routes}
    new_routes = {(route.address, route.port): route for route in new.routes}
    return Change(
        tuple(address for address in old_routes if address not in new_routes),
        tuple(
            route
            for address, route in new_routes.items()
            if old_routes.get(address) != route
        ),
        new.services,
        new.idle_timeout_s,
    )


def apply(old: model.Content, change: Change) -> model.Content:
    """Return the content after applying a change."""
    routes = {(route.address, route.port): route for route in old.routes}
    for address in change.removed:
        routes.pop(address, None)
    for route in change.routes:
        routes[route.address, route.port] = route
    return model.Content(
        tuple(routes.values()),
        change.services,
        change.idle_timeout_s,
    )


def pack(change: Change) -> bytes:
    """Return a change serialised and compressed."""
    return zlib.compress(wire.pack(change))


def unpack(data: bytes) -> Change:
    """Return the change that `pack` serialised.

    :raises WireError: if the data is not a packed change
    """
    try:
        raw = zlib.decompress(data)
    except zlib.error as exc:
        raise errors.WireError("unpack change", "", str(exc)) from exc
    return wire.unpack(raw, Change)
