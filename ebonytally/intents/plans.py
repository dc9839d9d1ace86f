"""Drafts plans: computes the effects of an intent and describes them."""

import functools

from returns import result

from ebonytally import config
from ebonytally.intents import plan_capacity
from ebonytally.intents import plan_checks
from ebonytally.intents import plan_messages as messages
from ebonytally.intents import plan_warnings
from ebonytally import view
from ebonytally import view_find

_LISTED_VMS = 12


def draft_plan(
    cfg: view.View,
    intent: messages.Intent,
    facts: messages.VmFacts,
    others: tuple[messages.Plan, ...],
) -> result.Result[messages.Draft, str]:
    """Return the draft of a plan, or why the intent isn't possible.

    :param others: the other open plans
    """
    return plan_checks.commands_for(intent, cfg).map(
        lambda steps: _draft(cfg, intent, facts, others, steps),
    )


def _draft(
    cfg: view.View,
    intent: messages.Intent,
    facts: messages.VmFacts,
    others: tuple[messages.Plan, ...],
    steps: tuple[object, ...],
) -> messages.Draft:
    after = functools.reduce(config.apply, steps, cfg)
    losing = _upstreams_losing_flows(intent, cfg)
    flows_ending = plan_capacity.open_flows(losing, facts) if losing else 0
    capacities = plan_capacity.compare(cfg, after, facts)
    return messages.Draft(
        changes=(
            *_describe(intent, cfg),
            *_flow_lines(losing, cfg, facts, flows_ending),
        ),
        vms=_affected_vms(intent, cfg),
        flows_ending=flows_ending,
        capacities=capacities,
        warnings=plan_warnings.find_warnings(
            cfg, after, capacities, facts, others
        ),
    )


def _upstreams_losing_flows(
    intent: messages.Intent,
    cfg: view.View,
) -> list[view.Upstream]:
    """Return the upstreams whose open flows the intent ends."""
    match intent:
        case messages.TakeOut(data_centre=name):
            return [up for up in cfg.upstreams if up.data_centre == name]
        case messages.RemoveService(name=name):
            return [up for up in cfg.upstreams if up.service == name]
    return []


def _flow_lines(
    losing: list[view.Upstream],
    cfg: view.View,
    facts: messages.VmFacts,
    flows_ending: int,
) -> tuple[str, ...]:
    if not losing:
        return ("No open flow ends.",)
    if flows_ending < 0:
        return ("Open flows there end; their number isn't known now.",)
    if plan_capacity.is_partial(cfg, facts):
        return (
            f"At least {flows_ending} open flows end (not all entry VMs were "
            "counted); their callers connect again.",
        )
    return (
        f"About {flows_ending} open flows end; their callers connect again.",
    )


def _affected_vms(intent: messages.Intent, cfg: view.View) -> tuple[str, ...]:
    """Return the affected VMs: one of them, or all entry VMs."""
    match intent:
        case messages.AddVm(name=name):
            return (name,)
        case messages.ReplaceVm(name=name) | messages.RetireVm(name=name):
            return (name,)
    names = tuple(vm.name for vm in cfg.vms)
    if len(names) > _LISTED_VMS:
        return (f"all {len(names)} entry VMs",)
    return names


@functools.singledispatch
def _describe(intent: object, cfg: view.View) -> tuple[str, ...]:
    """Return sentences for the operator on what the intent changes."""
    raise TypeError(
        f"expected a plan_messages.Intent, got {type(intent).__name__}"
    )


@_describe.register
def _describe_create(
    intent: messages.CreateService,
    cfg: view.View,
) -> tuple[str, ...]:
    new = intent.service
    kind = "TCP" if new.protocol == 6 else "UDP"
    listed = ", ".join(new.data_centres)
    return (
        f"Service {new.name} is created at {new.address}:{new.port} {kind}, "
        f"served by data centres {listed}.",
        "Its upstreams register by announcements; until one does, its "
        "callers are refused.",
    )


@_describe.register
def _describe_change(
    intent: messages.ChangeService,
    cfg: view.View,
) -> tuple[str, ...]:
    old = view_find.find_service(cfg, intent.name)
    lines = []
    if intent.data_centres is not None:
        lines += _data_centre_lines(old, intent.data_centres)
    for key, label in (
        ("max_connections", "open flows for each upstream"),
        ("max_queue", "waiting requests at each entry VM"),
        ("max_request_bytes", "bytes of the largest request"),
    ):
        value = getattr(intent, key)
        before = getattr(old, key)
        if value is not None and value != before:
            lines.append(
                f"Service {old.name}: {label} changes from {before} to "
                f"{value}."
            )
    return tuple(lines)


def _data_centre_lines(
    old: view.Service,
    wanted: tuple[str, ...],
) -> list[str]:
    lines = []
    for name in sorted(set(wanted) - set(old.data_centres)):
        lines.append(f"Service {old.name} is also served by {name}.")
    for name in sorted(set(old.data_centres) - set(wanted)):
        lines.append(
            f"Service {old.name} gets no new flow or request in {name}; "
            "open flows there go on until they end."
        )
    return lines


@_describe.register
def _describe_remove(
    intent: messages.RemoveService,
    cfg: view.View,
) -> tuple[str, ...]:
    count = sum(up.service == intent.name for up in cfg.upstreams)
    return (
        f"Service {intent.name} is removed with its {count} upstreams. All "
        "its callers are refused.",
    )


@_describe.register
def _describe_take_out(
    intent: messages.TakeOut, cfg: view.View
) -> tuple[str, ...]:
    name = intent.data_centre
    affected = [up for up in cfg.upstreams if up.data_centre == name]
    services = sorted({up.service for up in affected})
    listed = ", ".join(services)
    upstreams = (
        f"Its {len(affected)} upstreams (of {listed}) get no work until "
    )
    if not affected:
        upstreams = "Upstreams that announce themselves there wait until "
    return (
        f"Data centre {name} is taken out: within seconds of your "
        "confirmation no packet and no request goes there any more.",
        upstreams + "you bring it back.",
        "Its entry VMs keep running and forward their callers to the other "
        "data centres.",
    )


@_describe.register
def _describe_bring_back(
    intent: messages.BringBack,
    cfg: view.View,
) -> tuple[str, ...]:
    name = intent.data_centre
    count = sum(up.data_centre == name for up in cfg.upstreams)
    return (
        f"Data centre {name} comes back with the {count} upstreams that "
        "announce themselves there.",
        "New flows and requests go there step by step; open flows "
        "elsewhere stay where they are.",
    )


@_describe.register
def _describe_add_vm(
    intent: messages.AddVm, cfg: view.View
) -> tuple[str, ...]:
    kind = "control VM" if intent.control else "entry VM"
    return (
        f"{kind.capitalize()} {intent.name} at {intent.address} in "
        f"{intent.data_centre} is added.",
        "It takes part once its daemon runs and is heard from.",
    )


@_describe.register
def _describe_replace_vm(
    intent: messages.ReplaceVm,
    cfg: view.View,
) -> tuple[str, ...]:
    old = view_find.find_vm(cfg, intent.name)
    return (
        f"The machine at {intent.address} takes the place of {old.name} "
        f"(until now {old.address}).",
        "The old machine has no vote and gets no packets any more: keep it "
        "switched off.",
    )


@_describe.register
def _describe_retire_vm(
    intent: messages.RetireVm,
    cfg: view.View,
) -> tuple[str, ...]:
    return (
        f"VM {intent.name} is removed permanently.",
        "The flow and key records that it owns move to the other entry VMs; "
        "stop its daemon with SIGTERM afterwards.",
    )
