"""Formats a status as ten lines of text."""

from ebonytally.intents import plan_messages as messages
from ebonytally.intents import plan_text
from ebonytally import status
from ebonytally import view
from ebonytally import view_find

_MAX_LISTED = 4


def format_status(
    cfg: view.View,
    facts: status.NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
    services: tuple[status.ServiceStatus, ...],
    level: status.HealthLevel,
    steps: tuple[str, ...],
) -> tuple[str, ...]:
    """Return the status as text, always ten lines.

    :param plans: open plans, None when the control VMs don't answer
    :param steps: what an operator should do, the most urgent first
    """
    summary = {
        status.HealthLevel.WELL: "all well",
        status.HealthLevel.CARE: "works, but needs attention",
        status.HealthLevel.TROUBLE: "TROUBLE, see what to do below",
    }[level]
    return (
        f"System:       {summary}",
        f"Seen from:    {facts.local_vm}, revision {cfg.revision}, "
        f"{plan_text.format_time(facts.wall)}",
        f"Changes:      {_changes_line(cfg, facts, plans)}",
        f"This VM:      {_local_vm_line(facts)}",
        f"Entry VMs:    {_vms_line(cfg, facts)}",
        f"Data centres: {_centres_line(cfg)}",
        f"Services:     {_services_line(services)}",
        f"Upstreams:    {_upstreams_line(services)}",
        f"Open plans:   {_plans_line(plans)}",
        f"Do next:      {' '.join(steps[:2]) or 'nothing'}",
    )


def _changes_line(
    cfg: view.View,
    facts: status.NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
) -> str:
    silent = {vm.name for vm in facts.silent_vms}
    voters = [vm.name for vm in cfg.vms if vm.control]
    heard = [name for name in voters if name not in silent]
    count = f"{len(heard)} of {len(voters)} control VMs heard from"
    if plans is None:
        return f"NOT possible from here; {count}"
    return f"possible; {facts.leader or 'a control VM'} leads, {count}"


def _local_vm_line(facts: status.NodeFacts) -> str:
    if facts.stopping:
        return "stopping; finishes its open requests"
    if facts.has_lease:
        return "connected, its configuration is current"
    return (
        "CUT OFF; serves its own data centre with the last configuration "
        "it received"
    )


def _vms_line(cfg: view.View, facts: status.NodeFacts) -> str:
    count = len(cfg.vms)
    heard = count - len(facts.silent_vms)
    line = f"{heard} of {count} heard from"
    if facts.silent_vms:
        entries = [_silent_text(vm) for vm in facts.silent_vms]
        line += f"; NOT: {join_names(entries)}"
    down = [
        name
        for name in view_find.vms_not_up(cfg)
        if name not in {vm.name for vm in facts.silent_vms}
    ]
    if down:
        line += f"; down or stopping: {join_names(down)}"
    if facts.behind:
        line += f"; catching up: {join_names(facts.behind)}"
    return line


def _silent_text(vm: status.SilentVm) -> str:
    if vm.since_s < 0:
        return f"{vm.name} (never)"
    return f"{vm.name} (for {vm.since_s:.0f} s)"


def _centres_line(cfg: view.View) -> str:
    centres = {vm.data_centre for vm in cfg.vms}
    centres.update(up.data_centre for up in cfg.upstreams)
    active = sorted(centres.difference(cfg.out))
    line = f"{join_names(active)} in service"
    if cfg.out:
        line += f"; OUT: {join_names(cfg.out)}"
    return line


def _services_line(services: tuple[status.ServiceStatus, ...]) -> str:
    if not services:
        return "none yet"
    entries = []
    for service in services:
        if not service.upstreams:
            entries.append(f"{service.name} NOT SERVED")
            continue
        flows = (
            f", {service.open_flows} flows" if service.open_flows >= 0 else ""
        )
        entries.append(
            f"{service.name} ({service.upstreams} upstreams{flows})"
        )
    return join_names(entries)


def _upstreams_line(services: tuple[status.ServiceStatus, ...]) -> str:
    usable = sum(service.upstreams for service in services)
    cold = sum(service.cold for service in services)
    draining = sum(service.draining for service in services)
    return (
        f"{usable} take work, {cold} of them warming up; {draining} draining"
    )


def _plans_line(plans: tuple[messages.Plan, ...] | None) -> str:
    if plans is None:
        return "unknown, the control VMs don't answer"
    if not plans:
        return "none"
    entries = [
        f"{plan.id} by {plan.operator} until "
        f"{plan_text.format_time(plan.expires_at)}"
        for plan in plans
    ]
    return join_names(entries)


def join_names(names: object) -> str:
    """Return the first few names as text, and the number of the others.

    The limit keeps lines short in systems with hundreds of VMs.
    """
    names = list(names)
    text = ", ".join(names[:_MAX_LISTED])
    if len(names) > _MAX_LISTED:
        text += f" and {len(names) - _MAX_LISTED} more"
    return text or "none"
