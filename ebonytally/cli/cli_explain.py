"""Command ``explain``: asks one entry VM where a new flow would go now."""

import http.client
import json
import sys
import urllib.parse

import attrs

DEFAULT_PORT = 9464
TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_PORT = 65_535
EXIT_CHOSEN = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2


@attrs.frozen
class Answer:
    """Answer of a VM.

    :param code: HTTP status, 0 when the VM didn't answer
    :param body: decoded JSON object
    """

    code: int
    body: dict


def run(at: str, caller: str, route: str, is_json: bool) -> int:
    """Ask a VM, print its answer and return the exit status.

    :param at: ``HOST[:PORT]`` of the VM's metrics port
    """
    answer = _ask(at, caller, route)
    if is_json:
        print(json.dumps(answer.body))
    elif answer.code == http.HTTPStatus.OK:
        print("\n".join(format_explanation(answer.body)))
    if answer.code == http.HTTPStatus.OK:
        return EXIT_CHOSEN if answer.body["ok"] else EXIT_REFUSED
    if not is_json:
        print(f"ebonytally: {answer.body['text']}", file=sys.stderr)
    if answer.code == http.HTTPStatus.NOT_FOUND:
        return EXIT_REFUSED
    return EXIT_USAGE


def _ask(at: str, caller: str, route: str) -> Answer:
    host, _, port = at.partition(":")
    if not host or "," in at or not _is_port(port or str(DEFAULT_PORT)):
        return _failed(
            "bad_query",
            f"--at: must be the HOST[:PORT] of one entry VM, got {at!r}",
        )
    query = urllib.parse.urlencode({"caller": caller, "route": route})
    conn = http.client.HTTPConnection(
        host, int(port or DEFAULT_PORT), timeout=TIMEOUT_S
    )
    try:
        conn.request("GET", f"/explain?{query}")
        response = conn.getresponse()
        data = response.read(MAX_ANSWER_BYTES)
    except (OSError, http.client.HTTPException) as exc:
        return _failed(
            "no_answer", f"{at}: no answer ({exc or type(exc).__name__})"
        )
    finally:
        conn.close()
    try:
        body = json.loads(data)
        is_answer = response.status == http.HTTPStatus.OK or body["text"]
    except (ValueError, KeyError, TypeError):
        is_answer = False
    if not is_answer:
        return _failed(
            "no_answer",
            f"{at}: no entry VM that can explain answers there "
            f"(HTTP status {response.status})",
        )
    return Answer(response.status, body)


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and int(text) <= MAX_PORT


def _failed(reason: str, text: str) -> Answer:
    return Answer(0, {"ok": False, "reason": reason, "text": text})


def format_explanation(body: dict) -> list[str]:
    """Return an explanation as lines of text.

    :param body: JSON object of `explain_query.answer`
    """
    route = body["route"]
    return [
        _outcome(body),
        f"flow: {body['caller']} to {route['address']}:{route['port']}, "
        f"route {route['name']}, priority {route['priority']}, "
        f"service {body['service'] or 'none'}",
        f"asked: an entry VM in {body['data_centre']}, configuration "
        f"{body['version']}" + _view_note(body),
        f"admission: {_admission(body['admission'])}",
        f"leaves the data centre: {_leaving(body['leaving'])}",
        f"demand: {_demand(body)}",
        *_upstreams(body),
    ]


def _outcome(body: dict) -> str:
    for upstream in body["candidates"]:
        if upstream["id"] == body["chosen"]:
            return (
                f"chosen: {upstream['id']} at {upstream['address']} "
                f"in {upstream['data_centre']}"
            )
    if body["chosen"]:
        return f"chosen: {body['chosen']}"
    return f"refused: {body['refusal']}"


def _view_note(body: dict) -> str:
    return "" if body["is_fresh"] else ", which may be out of date"


def _admission(admission: dict) -> str:
    if not admission["is_on"]:
        return "switched off"
    if not admission["is_asked"]:
        return "not asked, as the configuration may be out of date"
    pressure = f"pressure {admission['pressure']:.2f}"
    if admission["refusal"]:
        return f"refused ({admission['refusal']}), {pressure}"
    return f"admitted, {pressure}"


def _leaving(leaving: dict) -> str:
    shares = leaving["shares"]
    listed = ", ".join(
        f"{name} {share:.1%}" for name, share in sorted(shares.items())
    )
    text = f"{sum(shares.values()):.1%}" + (f" ({listed})" if listed else "")
    if not leaving["reason"]:
        return f"{text}, not decided yet"
    return (
        f"{text}, reason {leaving['reason']}, utilisation "
        f"{leaving['utilisation']:.2f} here, {leaving['mean']:.2f} of all"
    )


def _demand(body: dict) -> str:
    demand = body["demand_per_s"]
    if demand is None:
        return "unknown, no recent figures of other VMs"
    listed = ", ".join(
        f"{name} {per_s:.1f}" for name, per_s in sorted(demand.items())
    )
    age_s = body["figures_age_s"] or 0.0
    return f"{listed} requests a second, {age_s:.1f} s old"


def _upstreams(body: dict) -> list[str]:
    upstreams = body["candidates"]
    eligible = [one for one in upstreams if not one["left_out"]]
    left_out = [one for one in upstreams if one["left_out"]]
    out = [f"candidates: {len(eligible)} of {len(upstreams)} upstreams"]
    out += [f"  {_upstream(one)}" for one in eligible]
    if left_out:
        out.append(f"left out: {len(left_out)}")
    out += [f"  {one['left_out']}: {_upstream(one)}" for one in left_out]
    return out


def _upstream(one: dict) -> str:
    notes = ""
    if one["cold_for_s"]:
        notes += f", cold for {one['cold_for_s']:.1f} s"
    if one["backed_off_for_s"]:
        notes += f", backed off for {one['backed_off_for_s']:.1f} s"
    return (
        f"{one['id']} {one['service']} {one['data_centre']} {one['state']} "
        f"{one['condition']} speed {one['speed']:.2f}, {one['slots']} slots, "
        f"{one['busy']} running, {one['opening']} opening, "
        f"{one['flows']} flows{notes}"
    )
