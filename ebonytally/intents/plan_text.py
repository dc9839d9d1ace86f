"""Formats a plan as text for operators."""

import datetime

from ebonytally.intents import plan_messages as messages

_STATES = {
    messages.PlanState.OPEN: "open: nothing has changed yet",
    messages.PlanState.CONFIRMED: "confirmed and in force",
    messages.PlanState.DISCARDED: "discarded: nothing was changed",
    messages.PlanState.EXPIRED: "expired: nothing was changed",
    messages.PlanState.BASIS_MOVED: "void: the configuration had changed",
}


def format_plan(plan: messages.Plan) -> list[str]:
    """Return the plan as lines of text, about 100 characters at most."""
    draft = plan.draft
    out = [f"Plan {plan.id} by {plan.operator}, {_STATES[plan.state]}"]
    out.append("What changes:")
    out += [f"  {line}" for line in draft.changes]
    out.append(f"Affected VMs: {', '.join(draft.vms) or 'none'}")
    out += _capacity_lines(draft)
    if draft.warnings:
        out.append("WARNINGS:")
        out += [f"  ! {warn.text}" for warn in draft.warnings]
    else:
        out.append("No warnings.")
    out += _next_lines(plan)
    return out


def _capacity_lines(draft: messages.Draft) -> list[str]:
    if not draft.capacities:
        return []
    out = ["Capacity of each service, now -> afterwards:"]
    for row in draft.capacities:
        out.append(
            f"  {row.service}: "
            f"{_change(row.upstreams_before, row.upstreams_after)} upstreams "
            f"in {_change(row.data_centres_before, row.data_centres_after)} "
            "data centres,"
        )
        out.append(
            f"    {_change(row.slots_before, row.slots_after)} requests at a "
            f"time{_known_load(row.running)}, "
            f"{_change(row.connections_before, row.connections_after)} flows"
            f"{_known_load(row.open_flows)}"
        )
    return out


def _change(before: int, after: int) -> str:
    if before == after:
        return str(before)
    return f"{before} -> {after}"


def _known_load(count: int) -> str:
    if count < 0:
        return ""
    return f" ({count} known now)"


def _next_lines(plan: messages.Plan) -> list[str]:
    if plan.state is messages.PlanState.OPEN:
        until = format_time(plan.expires_at)
        return [
            f"To apply it, until {until}: ebonytally plan confirm {plan.id}",
            f"{'To discard it:':33}ebonytally plan discard {plan.id}",
        ]
    if plan.state is messages.PlanState.CONFIRMED:
        return [f"Confirmed by {plan.closed_by}, revision {plan.revision}."]
    return []


def format_time(wall: float) -> str:
    """Return seconds since 1970 as a time of day in UTC."""
    when = datetime.datetime.fromtimestamp(wall, datetime.UTC)
    return when.strftime("%H:%M:%S UTC")
