"""Formats answers of the operators' API as text."""


def format_answer(body: dict) -> list[str]:
    """Return an answer as lines of text.

    :param body: JSON object of any route: status, services, plans or a plan
    """
    if "lines" in body:
        return list(body["lines"])
    if "services" in body:
        return _format_services(body["services"])
    if "plans" in body:
        return _format_plans(body["plans"])
    out = [body["text"]] if body.get("text") else []
    plan = body.get("plan")
    if plan and plan["state"] == "open":
        out += ["", *plan["text"]]
    elif plan and not out:
        out += plan["text"]
    return out


def _format_services(services: list[dict]) -> list[str]:
    if not services:
        return ["There are no services yet: ebonytally service create --help"]
    out = []
    for service in services:
        state = service["now"]
        centres = ", ".join(service["data_centres"])
        out.append(
            f"{service['name']}: {service['address']}:{service['port']} "
            f"{service['protocol']}, data centres {centres}"
        )
        out.append(
            f"  {state['upstreams']} upstreams ({state['cold']} warming up, "
            f"{state['draining']} draining) with {state['slots']} requests at "
            f"a time and {state['connections']} flows"
        )
        out.append(
            f"  limits: {service['max_connections']} flows an upstream, "
            f"{service['max_queue']} waiting requests, "
            f"{service['max_request_bytes']} bytes a request"
        )
    return out


def _format_plans(plans: list[dict]) -> list[str]:
    if not plans:
        return ["There are no open plans."]
    out = []
    for plan in plans:
        out += [f"{plan['id']} by {plan['operator']}: {plan['changes'][0]}"]
    return out
