"""What works, what doesn't and what to do next, in ten lines."""

import enum

import attrs

from ebonytally import plan_capacity
from ebonytally import plan_messages as messages
from ebonytally import plan_text
from ebonytally import view

_LISTED = 4
_FULL_SHARE = 1000


@attrs.frozen
class SilentVm:
    """A VM that isn't heard from.

    :param since_s: seconds since it was last heard, -1 for never
    """

    name: str
    since_s: float


@attrs.frozen
class NodeFacts:
    """What one daemon knows beyond the view.

    :param leader: control VM that leads, "" when none is heard
    :param leased: the configuration lease holds
    :param behind: VMs that run an older revision
    :param storage_fault: what is wrong with the data folder, "" if nothing
    :param wall: present time, seconds since 1970
    """

    me: str
    leader: str
    leased: bool
    wall: float
    silent: tuple[SilentVm, ...] = ()
    behind: tuple[str, ...] = ()
    load: messages.Facts = attrs.field(factory=messages.Facts)
    storage_fault: str = ""
    stopping: bool = False


class Level(enum.StrEnum):
    """How things stand, at a glance."""

    WELL = "well"
    CARE = "care"
    TROUBLE = "trouble"


@attrs.frozen
class ServiceStatus:
    """How a service stands.

    :param upstreams: back ends that take new work
    :param cold: those of them that are still warming up
    :param open_flows: -1 when not known
    """

    name: str
    address: str
    data_centres: tuple[str, ...]
    upstreams: int
    cold: int
    draining: int
    slots: int
    connections: int
    open_flows: int


@attrs.frozen
class Status:
    """How the whole system stands, as one VM sees it.

    :param changes_possible: a majority of control VMs answers
    :param open_plans: ids of open plans, None when not known
    :param next_steps: what to do, in order; empty for nothing
    """

    level: Level
    vm: str
    data_centre: str
    revision: int
    leader: str
    cut_off: bool
    changes_possible: bool
    vms: int
    silent: tuple[SilentVm, ...]
    behind: tuple[str, ...]
    down: tuple[str, ...]
    out: tuple[str, ...]
    services: tuple[ServiceStatus, ...]
    open_plans: tuple[str, ...] | None
    next_steps: tuple[str, ...]
    lines: tuple[str, ...]


def make(
    cfg: view.View,
    facts: NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
) -> Status:
    """Return the status.

    :param plans: open plans, None when the control VMs don't answer
    """
    services = tuple(_service(one, cfg, facts) for one in cfg.services)
    level, steps = _verdict(cfg, facts, plans, services)
    mine = [vm.data_centre for vm in cfg.vms if vm.name == facts.me]
    return Status(
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
        down=_down(cfg),
        out=cfg.out,
        services=services,
        open_plans=_ids(plans),
        next_steps=steps,
        lines=_lines(cfg, facts, plans, services, level, steps),
    )


def _ids(plans: tuple[messages.Plan, ...] | None) -> tuple[str, ...] | None:
    if plans is None:
        return None
    return tuple(plan.id for plan in plans)


def _down(cfg: view.View) -> tuple[str, ...]:
    return tuple(vm.name for vm in cfg.vms if vm.state is not view.VmState.UP)


def _service(
    service: view.Service,
    cfg: view.View,
    facts: NodeFacts,
) -> ServiceStatus:
    usable = plan_capacity.usable(cfg, service.name)
    mine = [up for up in cfg.upstreams if up.service == service.name]
    return ServiceStatus(
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
    facts: NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
    services: tuple[ServiceStatus, ...],
) -> tuple[Level, tuple[str, ...]]:
    """Return the level and the next steps, the most urgent first."""
    trouble = _trouble_steps(cfg, facts, plans, services)
    care = _care_steps(cfg, facts, plans)
    if trouble:
        return Level.TROUBLE, (*trouble, *care)
    if care:
        return Level.CARE, care
    return Level.WELL, ()


def _trouble_steps(
    cfg: view.View,
    facts: NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
    services: tuple[ServiceStatus, ...],
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
    facts: NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
) -> tuple[str, ...]:
    steps = []
    absent = {vm.name for vm in facts.silent}.union(_down(cfg))
    if absent:
        steps.append(f"Start or mend {_listed(sorted(absent))}.")
    for plan in plans or ():
        steps.append(
            f"Confirm or discard plan {plan.id} of {plan.operator} "
            f"(ebonytally plan show {plan.id})."
        )
    if cfg.out:
        steps.append(
            f"When {_listed(cfg.out)} is well again, bring it back "
            f"(ebonytally datacentre back {cfg.out[0]})."
        )
    if not cfg.services:
        steps.append("Create a service (ebonytally service create --help).")
    return tuple(steps)


def _lines(
    cfg: view.View,
    facts: NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
    services: tuple[ServiceStatus, ...],
    level: Level,
    steps: tuple[str, ...],
) -> tuple[str, ...]:
    glance = {
        Level.WELL: "all well",
        Level.CARE: "works, but needs care",
        Level.TROUBLE: "TROUBLE, see what to do below",
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
    facts: NodeFacts,
    plans: tuple[messages.Plan, ...] | None,
) -> str:
    silent = {vm.name for vm in facts.silent}
    voters = [vm.name for vm in cfg.vms if vm.control]
    heard = [name for name in voters if name not in silent]
    count = f"{len(heard)} of {len(voters)} control VMs heard from"
    if plans is None:
        return f"NOT possible from here; {count}"
    return f"possible; {facts.leader or 'a control VM'} leads, {count}"


def _own_line(facts: NodeFacts) -> str:
    if facts.stopping:
        return "stopping; open requests are being finished"
    if facts.leased:
        return "in touch, its configuration is the present one"
    return (
        "CUT OFF; serves its own data centre from the last configuration "
        "it had"
    )


def _vms_line(cfg: view.View, facts: NodeFacts) -> str:
    count = len(cfg.vms)
    heard = count - len(facts.silent)
    line = f"{heard} of {count} heard from"
    if facts.silent:
        told = [_silent_text(vm) for vm in facts.silent]
        line += f"; NOT: {_listed(told)}"
    down = [
        name
        for name in _down(cfg)
        if name not in {vm.name for vm in facts.silent}
    ]
    if down:
        line += f"; down or stopping: {_listed(down)}"
    if facts.behind:
        line += f"; catching up: {_listed(facts.behind)}"
    return line


def _silent_text(vm: SilentVm) -> str:
    if vm.since_s < 0:
        return f"{vm.name} (never)"
    return f"{vm.name} (for {vm.since_s:.0f} s)"


def _centres_line(cfg: view.View) -> str:
    centres = {vm.data_centre for vm in cfg.vms}
    centres.update(up.data_centre for up in cfg.upstreams)
    serving = sorted(centres.difference(cfg.out))
    line = f"{_listed(serving)} in service"
    if cfg.out:
        line += f"; OUT: {_listed(cfg.out)}"
    return line


def _services_line(services: tuple[ServiceStatus, ...]) -> str:
    if not services:
        return "none yet"
    told = []
    for one in services:
        if not one.upstreams:
            told.append(f"{one.name} NOT SERVED")
            continue
        flows = f", {one.open_flows} flows" if one.open_flows >= 0 else ""
        told.append(f"{one.name} ({one.upstreams} upstreams{flows})")
    return _listed(told)


def _upstreams_line(services: tuple[ServiceStatus, ...]) -> str:
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
    return _listed(told)


def _listed(names: object) -> str:
    """Return the first few names, and how many more there are."""
    names = list(names)
    text = ", ".join(names[:_LISTED])
    if len(names) > _LISTED:
        text += f" and {len(names) - _LISTED} more"
    return text or "none"
