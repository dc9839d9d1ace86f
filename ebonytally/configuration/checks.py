"""Validation of configurations."""

import collections

from ebonytally.configuration import model


def first_error(content: model.Content) -> str:
    """Return the first error in a configuration, "" if it is valid."""
    return (
        _duplicate_error(
            "service", [service.name for service in content.services]
        )
        or _duplicate_error("route", [route.name for route in content.routes])
        or _shared_address_error(content.routes)
        or _route_error(content)
    )


def _duplicate_error(kind: str, names: list[str]) -> str:
    for name, count in collections.Counter(names).items():
        if count > 1:
            return f"{kind} {name!r} is defined {count} times, must be once"
    return ""


def _shared_address_error(routes: tuple[model.Route, ...]) -> str:
    names_by_address: dict[tuple[str, int], str] = {}
    for route in routes:
        address = (route.address, route.port)
        if address in names_by_address:
            return (
                f"routes {names_by_address[address]!r} and {route.name!r} "
                f"must not share {route.address}:{route.port}"
            )
        names_by_address[address] = route.name
    return ""


def _route_error(content: model.Content) -> str:
    services = {service.name for service in content.services}
    for route in content.routes:
        where = f"route {route.name!r}"
        if route.timeout_s <= 0:
            return f"{where}: timeout must be above 0 s, got {route.timeout_s}"
        if not route.targets:
            return f"{where}: must name at least one service, names none"
        for target in route.targets:
            if target.service not in services:
                return f"{where}: service {target.service!r} is not defined"
            if target.weight < 0:
                return (
                    f"{where}: weight of service {target.service!r} "
                    f"must be at least 0, got {target.weight}"
                )
        if not any(target.weight for target in route.targets):
            return f"{where}: at least one service must have a weight above 0"
    return ""
