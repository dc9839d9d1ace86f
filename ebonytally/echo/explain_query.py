"""Query for an explanation, and its answer as JSON."""

import http
import ipaddress
import urllib.parse

import attrs

from ebonytally.echo import explain

PATH = "/explain"
CALLER = "caller"
ROUTE = "route"
MAX_PORT = 65_535
MAX_SHOWN = 60
# Digits of a port; longer texts aren't converted.
_MAX_DIGITS = 5

Answer = tuple[http.HTTPStatus, dict]
# Faster than `attrs.asdict`, which looks into each value.
_CANDIDATE = tuple(field.name for field in attrs.fields(explain.Candidate))


class QueryError(Exception):
    """A parameter is missing, unknown or malformed; the text says which."""


def answer(explainer: explain.Explainer, query: str, now: float) -> Answer:
    """Return the HTTP status and the fields of a JSON object.

    The object has ``ok``, whether an upstream is chosen. An error has
    ``reason`` and ``text``.

    :param query: query string of the URL: ``caller=ADDR:PORT`` and
        ``route=ADDR:PORT``
    """
    try:
        caller, route = _parse(query)
    except QueryError as exc:
        return _error(http.HTTPStatus.BAD_REQUEST, "bad_query", str(exc))
    if not explainer.has_view():
        return _error(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            "no_view",
            "this VM has no complete view of the configuration yet",
        )
    told = explainer.explain(caller, route, now)
    if told.route is None:
        return _error(
            http.HTTPStatus.NOT_FOUND,
            explain.NO_ROUTE,
            f"configuration {told.version} has no route at "
            f"{route[0]}:{route[1]}",
        )
    return http.HTTPStatus.OK, _to_json(told)


def parse_address(text: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of ``ADDR:PORT``.

    :raises QueryError: if the text is none
    """
    address, _, port = text.partition(":")
    try:
        ipaddress.IPv4Address(address)
    except ValueError:
        raise _address_error(text) from None
    is_number = port.isascii() and port.isdigit() and len(port) <= _MAX_DIGITS
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise _address_error(text)
    return address, int(port)


def _address_error(text: str) -> QueryError:
    return QueryError(
        f"must be an IPv4 address and a port like 10.0.0.1:443, "
        f"got {_shorten(text)}"
    )


def _parse(query: str) -> tuple[tuple[str, int], tuple[str, int]]:
    given: dict[str, tuple[str, int]] = {}
    for key, text in urllib.parse.parse_qsl(query, keep_blank_values=True):
        if key not in (CALLER, ROUTE):
            raise QueryError(f"unknown parameter {_shorten(key)}")
        if key in given:
            raise QueryError(f"{key}: given more than once")
        try:
            given[key] = parse_address(text)
        except QueryError as exc:
            raise QueryError(f"{key}: {exc}") from None
    for key in (CALLER, ROUTE):
        if key not in given:
            raise QueryError(f"{key}: missing")
    return given[CALLER], given[ROUTE]


def _shorten(text: str) -> str:
    return repr(text if len(text) <= MAX_SHOWN else text[:MAX_SHOWN] + "...")


def _to_json(told: explain.Explanation) -> dict:
    fields = attrs.asdict(attrs.evolve(told, candidates=()))
    fields["candidates"] = [
        {name: getattr(candidate, name) for name in _CANDIDATE}
        for candidate in told.candidates
    ]
    fields["admission"] = {
        "is_on": told.has_admission,
        "is_asked": told.admission is not None,
        "refusal": "",
        "pressure": None,
    }
    if told.admission is not None:
        refusal = told.admission.refusal
        fields["admission"].update(
            refusal=refusal.value if refusal is not None else "",
            pressure=told.admission.pressure,
        )
    del fields["has_admission"]
    return {"ok": bool(told.chosen), **fields}


def _error(status: http.HTTPStatus, reason: str, text: str) -> Answer:
    return status, {"ok": False, "reason": reason, "text": text}
