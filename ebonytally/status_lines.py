"""The ten lines of a status."""

from ebonytally.intents import plan_messages as messages
from ebonytally.intents import plan_text
from ebonytally import status
from ebonytally import view
from ebonytally import view_find

_LISTED = 4


def make(
    cfg: view.View,
    facts: status.NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
    services: tuple[status.ServiceStatus, ...],
    level: status.Level,
    steps: tuple[str, ...],
) -> tuple[str, ...]:
    """Return the lines, always ten.

    :param plans: open plans, None when the control VMs don't answer
    :param steps: what to do, the most urgent first
    """
    glance = {
        status.Level.WELL: "all well",
        status.Level.CARE: "works, but needs care",
        status.Level.TROUBLE: "TROUBLE, see what to do below",
    }[level]
    return (
        f"System:       {glance}",
        f"Seen from:    {facts.me}, revision {cfg.revision}, "
        f"{plan_text.clock(facts.wall)}",
        f"Changes:      {_changes_line(cfg, facts, plans)}",
        f"This VM:      {_own_line(facts)}",
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
    silent = {vm.name for vm in facts.silent}
    voters = [vm.name for vm in cfg.vms if vm.control]
    heard = [name for name in voters if name not in silent]
    count = f"{len(heard)} of {len(voters)} control VMs heard from"
    if plans is None:
        return f"NOT possible from here; {count}"
    return f"possible; {facts.leader or 'a control VM'} leads, {count}"


def _own_line(facts: status.NodeFacts) -> str:
    if facts.stopping:
        return "stopping; open requests are being finished"
    if facts.leased:
        return "in touch, its configuration is the present one"
    return (
        "CUT OFF; serves its own data centre from the last configuration "
        "it had"
    )


def _vms_line(cfg: view.View, facts: status.NodeFacts) -> str:
    count = len(cfg.vms)
    heard = count - len(facts.silent)
    line = f"{heard} of {count} heard from"
    if facts.silent:
        told = [_silent_text(vm) for vm in facts.silent]
        line += f"; NOT: {listed(told)}"
    down = [
        name
        for name in view_find.down(cfg)
        if name not in {vm.name for vm in facts.silent}
    ]
    if down:
        line += f"; down or stopping: {listed(down)}"
    if facts.behind:
        line += f"; catching up: {listed(facts.behind)}"
    return line


def _silent_text(vm: status.SilentVm) -> str:
    if vm.since_s < 0:
        return f"{vm.name} (never)"
    return f"{vm.name} (for {vm.since_s:.0f} s)"


def _centres_line(cfg: view.View) -> str:
    centres = {vm.data_centre for vm in cfg.vms}
    centres.update(up.data_centre for up in cfg.upstreams)
    serving = sorted(centres.difference(cfg.out))
    line = f"{listed(serving)} in service"
    if cfg.out:
        line += f"; OUT: {listed(cfg.out)}"
    return line


def _services_line(services: tuple[status.ServiceStatus, ...]) -> str:
    if not services:
        return "none yet"
    told = []
    for one in services:
        if not one.upstreams:
            told.append(f"{one.name} NOT SERVED")
            continue
        flows = f", {one.open_flows} flows" if one.open_flows >= 0 else ""
        told.append(f"{one.name} ({one.upstreams} upstreams{flows})")
    return listed(told)


def _upstreams_line(services: tuple[status.ServiceStatus, ...]) -> str:
    usable = sum(one.upstreams for one in services)
    cold = sum(one.cold for one in services)
    draining = sum(one.draining for one in services)
    return f"{usable} take work, {cold} of them warming; {draining} draining"


def _plans_line(plans: tuple[messages.Plan, ...] | None) -> str:
    if plans is None:
        return "not known, the control VMs don't answer"
    if not plans:
        return "none"
    told = [
        f"{plan.id} by {plan.operator} until "
        f"{plan_text.clock(plan.expires_at)}"
        for plan in plans
    ]
    return listed(told)


def listed(names: object) -> str:
    """Return the first few names, and how many more there are."""
    names = list(names)
    text = ", ".join(names[:_LISTED])
    if len(names) > _LISTED:
        text += f" and {len(names) - _LISTED} more"
    return text or "none"
