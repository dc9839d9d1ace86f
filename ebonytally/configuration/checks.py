"""What makes a configuration invalid."""

import collections

from ebonytally.configuration import model


def fault(content: model.Content) -> str:
    """Return the first fault of a configuration, "" for none."""
    return (
        _twice("service", [one.name for one in content.services])
        or _twice("route", [one.name for one in content.routes])
        or _same_place(content.routes)
        or _route_fault(content)
    )


def _twice(kind: str, names: list[str]) -> str:
    for name, count in collections.Counter(names).items():
        if count > 1:
            return f"{kind} {name!r} is defined {count} times"
    return ""


def _same_place(routes: tuple[model.Route, ...]) -> str:
    seen: dict[tuple[str, int], str] = {}
    for route in routes:
        place = (route.address, route.port)
        if place in seen:
            return (
                f"routes {seen[place]!r} and {route.name!r} share "
                f"{route.address}:{route.port}"
            )
        seen[place] = route.name
    return ""


def _route_fault(content: model.Content) -> str:
    services = {one.name for one in content.services}
    for route in content.routes:
        where = f"route {route.name!r}"
        if route.timeout_s <= 0:
            return f"{where}: its timeout must be above 0"
        if not route.targets:
            return f"{where}: it names no service"
        for target in route.targets:
            if target.service not in services:
                return f"{where}: service {target.service!r} is unknown"
            if target.weight < 0:
                return f"{where}: a weight is below 0"
        if not any(target.weight for target in route.targets):
            return f"{where}: no service has a weight"
    return ""
