"""How things stand and what to do next, found from view and facts."""

from ebonytally.intents import plan_capacity
from ebonytally.intents import plan_messages as messages
from ebonytally import status
from ebonytally import status_lines
from ebonytally import view
from ebonytally import view_find

_FULL_SHARE = 1000


def make(
    cfg: view.View,
    facts: status.NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
) -> status.Status:
    """Return the status.

    :param plans: open plans, None when the control VMs don't answer
    """
    services = tuple(_service(one, cfg, facts) for one in cfg.services)
    level, steps = _verdict(cfg, facts, plans, services)
    mine = [vm.data_centre for vm in cfg.vms if vm.name == facts.me]
    return status.Status(
        level=level,
        vm=facts.me,
        data_centre=mine[0] if mine else "",
        revision=cfg.revision,
        leader=facts.leader,
        cut_off=not facts.leased,
        changes_possible=plans is not None,
        vms=len(cfg.vms),
        silent=facts.silent,
        behind=facts.behind,
        down=view_find.down(cfg),
        out=cfg.out,
        services=services,
        open_plans=_ids(plans),
        next_steps=steps,
        lines=status_lines.make(cfg, facts, plans, services, level, steps),
    )


def _ids(plans: tuple[messages.Plan, ...] | None) -> tuple[str, ...] | None:
    if plans is None:
        return None
    return tuple(plan.id for plan in plans)


def _service(
    service: view.Service,
    cfg: view.View,
    facts: status.NodeFacts,
) -> status.ServiceStatus:
    usable = plan_capacity.usable(cfg, service.name)
    mine = [up for up in cfg.upstreams if up.service == service.name]
    return status.ServiceStatus(
        name=service.name,
        address=f"{service.address}:{service.port}",
        data_centres=plan_capacity.serving(cfg, service.name),
        upstreams=len(usable),
        cold=sum(up.share < _FULL_SHARE for up in usable),
        draining=sum(up.state is view.UpstreamState.DRAINING for up in mine),
        slots=sum(up.slots for up in usable),
        connections=sum(up.connections for up in usable),
        open_flows=plan_capacity.open_flows(mine, facts.load),
    )


def _verdict(
    cfg: view.View,
    facts: status.NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
    services: tuple[status.ServiceStatus, ...],
) -> tuple[status.Level, tuple[str, ...]]:
    """Return the level and the next steps, the most urgent first."""
    trouble = _trouble_steps(cfg, facts, plans, services)
    care = _care_steps(cfg, facts, plans)
    if trouble:
        return status.Level.TROUBLE, (*trouble, *care)
    if care:
        return status.Level.CARE, care
    return status.Level.WELL, ()


def _trouble_steps(
    cfg: view.View,
    facts: status.NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
    services: tuple[status.ServiceStatus, ...],
) -> tuple[str, ...]:
    steps = []
    if facts.storage_fault:
        steps.append(
            f"Mend the data folder of {facts.me}: {facts.storage_fault}."
        )
    if not facts.leased:
        steps.append(
            f"{facts.me} is cut off: mend its network; ask the status of a "
            "VM in another data centre."
        )
    elif plans is None:
        steps.append(
            "Start the control VMs that aren't heard from: without a "
            "majority nothing can be changed."
        )
    for one in services:
        if not one.data_centres:
            steps.append(
                f"{one.name} has no data centre: bring one back "
                "(ebonytally datacentre back NAME)."
            )
        elif not one.upstreams:
            steps.append(
                f"{one.name} has no upstream: start one in "
                f"{', '.join(one.data_centres)}."
            )
    return tuple(steps)


def _care_steps(
    cfg: view.View,
    facts: status.NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
) -> tuple[str, ...]:
    steps = []
    absent = {vm.name for vm in facts.silent}.union(view_find.down(cfg))
    if absent:
        steps.append(f"Start or mend {status_lines.listed(sorted(absent))}.")
    for plan in plans or ():
        steps.append(
            f"Confirm or discard plan {plan.id} of {plan.operator} "
            f"(ebonytally plan show {plan.id})."
        )
    if cfg.out:
        names = status_lines.listed(cfg.out)
        steps.append(
            f"When {names} is well again, bring it back "
            f"(ebonytally datacentre back {cfg.out[0]})."
        )
    if not cfg.services:
        steps.append("Create a service (ebonytally service create --help).")
    return tuple(steps)
