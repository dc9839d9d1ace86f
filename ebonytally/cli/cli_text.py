"""Answers of the operators' API as text for a person."""


def lines(body: dict) -> list[str]:
    """Return the answer as lines, whichever it is."""
    if "lines" in body:
        return list(body["lines"])
    if "services" in body:
        return _services(body["services"])
    if "plans" in body:
        return _plans(body["plans"])
    out = [body["text"]] if body.get("text") else []
    plan = body.get("plan")
    if plan and plan["state"] == "open":
        out += ["", *plan["text"]]
    elif plan and not out:
        out += plan["text"]
    return out


def _services(services: list[dict]) -> list[str]:
    if not services:
        return ["There is no service yet: ebonytally service create --help"]
    out = []
    for one in services:
        now = one["now"]
        centres = ", ".join(one["data_centres"])
        out.append(
            f"{one['name']}: {one['address']}:{one['port']} "
            f"{one['protocol']}, data centres {centres}"
        )
        out.append(
            f"  {now['upstreams']} upstreams ({now['cold']} warming, "
            f"{now['draining']} draining) with {now['slots']} requests at "
            f"a time and {now['connections']} flows"
        )
        out.append(
            f"  limits: {one['max_connections']} flows an upstream, "
            f"{one['max_queue']} waiting requests, "
            f"{one['max_request_bytes']} bytes a request"
        )
    return out


def _plans(plans: list[dict]) -> list[str]:
    if not plans:
        return ["No plan is open."]
    out = []
    for plan in plans:
        out += [f"{plan['id']} by {plan['operator']}: {plan['changes'][0]}"]
    return out
