"""Assesses the health of the system, and what an operator should do."""

from ebonytally.intents import plan_capacity
from ebonytally.intents import plan_messages as messages
from ebonytally import status
from ebonytally import status_lines
from ebonytally import view
from ebonytally import view_find

_FULL_SHARE_PER_MILLE = 1000


def assess(
    cfg: view.View,
    facts: status.NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
) -> status.Status:
    """Return the status, computed from the view and this VM's facts.

    :param plans: open plans, None when the control VMs don't answer
    """
    services = tuple(
        _service_status(service, cfg, facts) for service in cfg.services
    )
    level, steps = _assess_level(cfg, facts, plans, services)
    centres = [vm.data_centre for vm in cfg.vms if vm.name == facts.local_vm]
    return status.Status(
        level=level,
        vm=facts.local_vm,
        data_centre=centres[0] if centres else "",
        revision=cfg.revision,
        leader=facts.leader,
        cut_off=not facts.has_lease,
        changes_possible=plans is not None,
        vms=len(cfg.vms),
        silent=facts.silent_vms,
        behind=facts.behind,
        down=view_find.vms_not_up(cfg),
        out=cfg.out,
        services=services,
        open_plans=_plan_ids(plans),
        next_steps=steps,
        lines=status_lines.format_status(
            cfg, facts, plans, services, level, steps
        ),
    )


def _plan_ids(
    plans: tuple[messages.Plan, ...] | None,
) -> tuple[str, ...] | None:
    if plans is None:
        return None
    return tuple(plan.id for plan in plans)


def _service_status(
    service: view.Service,
    cfg: view.View,
    facts: status.NodeFacts,
) -> status.ServiceStatus:
    usable = plan_capacity.usable_upstreams(cfg, service.name)
    upstreams = [up for up in cfg.upstreams if up.service == service.name]
    return status.ServiceStatus(
        name=service.name,
        address=f"{service.address}:{service.port}",
        data_centres=plan_capacity.active_data_centres(cfg, service.name),
        upstreams=len(usable),
        cold=sum(up.share < _FULL_SHARE_PER_MILLE for up in usable),
        draining=sum(
            up.state is view.UpstreamState.DRAINING for up in upstreams
        ),
        slots=sum(up.slots for up in usable),
        connections=sum(up.connections for up in usable),
        open_flows=plan_capacity.open_flows(upstreams, facts.load),
    )


def _assess_level(
    cfg: view.View,
    facts: status.NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
    services: tuple[status.ServiceStatus, ...],
) -> tuple[status.HealthLevel, tuple[str, ...]]:
    """Return the health level and the next steps, most urgent first."""
    trouble = _trouble_steps(cfg, facts, plans, services)
    care = _care_steps(cfg, facts, plans)
    if trouble:
        return status.HealthLevel.TROUBLE, (*trouble, *care)
    if care:
        return status.HealthLevel.CARE, care
    return status.HealthLevel.WELL, ()


def _trouble_steps(
    cfg: view.View,
    facts: status.NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
    services: tuple[status.ServiceStatus, ...],
) -> tuple[str, ...]:
    steps = []
    if facts.storage_fault:
        steps.append(
            f"Repair the data folder of {facts.local_vm}: "
            f"{facts.storage_fault}."
        )
    if not facts.has_lease:
        steps.append(
            f"{facts.local_vm} is cut off: repair its network; ask a VM in "
            "another data centre for the status."
        )
    elif plans is None:
        steps.append(
            "Start the control VMs that aren't heard from: without a "
            "majority no change is possible."
        )
    for service in services:
        if not service.data_centres:
            steps.append(
                f"{service.name} has no data centre: bring one back "
                "(ebonytally datacentre back NAME)."
            )
        elif not service.upstreams:
            steps.append(
                f"{service.name} has no upstream: start one in "
                f"{', '.join(service.data_centres)}."
            )
    return tuple(steps)


def _care_steps(
    cfg: view.View,
    facts: status.NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
) -> tuple[str, ...]:
    steps = []
    absent = {vm.name for vm in facts.silent_vms}.union(
        view_find.vms_not_up(cfg)
    )
    if absent:
        steps.append(
            f"Start or repair {status_lines.join_names(sorted(absent))}."
        )
    for plan in plans or ():
        steps.append(
            f"Confirm or discard plan {plan.id} of {plan.operator} "
            f"(ebonytally plan show {plan.id})."
        )
    if cfg.out:
        names = status_lines.join_names(cfg.out)
        steps.append(
            f"When {names} works again, bring it back "
            f"(ebonytally datacentre back {cfg.out[0]})."
        )
    if not cfg.services:
        steps.append("Create a service (ebonytally service create --help).")
    return tuple(steps)
