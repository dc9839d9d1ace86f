"""What an intent would do, in words that an operator can judge."""

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


def make(
    cfg: view.View,
    intent: messages.Intent,
    facts: messages.Facts,
    others: tuple[messages.Plan, ...],
) -> result.Result[messages.Draft, str]:
    """Return the draft of a plan, or why the intent isn't possible.

    :param others: plans that are open too
    """
    return plan_checks.commands_for(intent, cfg).map(
        lambda steps: _draft(cfg, intent, facts, others, steps),
    )


def _draft(
    cfg: view.View,
    intent: messages.Intent,
    facts: messages.Facts,
    others: tuple[messages.Plan, ...],
    steps: tuple[object, ...],
) -> messages.Draft:
    after = functools.reduce(config.apply, steps, cfg)
    emptied = _emptied(intent, cfg)
    ending = plan_capacity.open_flows(emptied, facts) if emptied else 0
    capacities = plan_capacity.compare(cfg, after, facts)
    return messages.Draft(
        changes=(
            *_changes(intent, cfg),
            *_ending_lines(emptied, cfg, facts, ending),
        ),
        vms=_vms(intent, cfg),
        flows_ending=ending,
        capacities=capacities,
        warnings=plan_warnings.find(cfg, after, capacities, facts, others),
    )


def _emptied(
    intent: messages.Intent,
    cfg: view.View,
) -> list[view.Upstream]:
    """Return the upstreams whose flows end."""
    match intent:
        case messages.TakeOut(data_centre=name):
            return [up for up in cfg.upstreams if up.data_centre == name]
        case messages.RemoveService(name=name):
            return [up for up in cfg.upstreams if up.service == name]
    return []


def _ending_lines(
    emptied: list[view.Upstream],
    cfg: view.View,
    facts: messages.Facts,
    ending: int,
) -> tuple[str, ...]:
    if not emptied:
        return ("No open flow ends.",)
    if ending < 0:
        return ("Open flows there end; how many isn't known now.",)
    if plan_capacity.is_partial(cfg, facts):
        return (
            f"At least {ending} open flows end (not all entry VMs were "
            "counted); their callers connect again.",
        )
    return (f"About {ending} open flows end; their callers connect again.",)


def _vms(intent: messages.Intent, cfg: view.View) -> tuple[str, ...]:
    """Return who must act: one VM, or all of them."""
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
def _changes(intent: object, cfg: view.View) -> tuple[str, ...]:
    raise TypeError(f"{type(intent).__name__} is no intent")


@_changes.register
def _create(
    intent: messages.CreateService,
    cfg: view.View,
) -> tuple[str, ...]:
    new = intent.service
    kind = "TCP" if new.protocol == 6 else "UDP"
    listed = ", ".join(new.data_centres)
    return (
        f"Service {new.name} is created at {new.address}:{new.port} {kind}, "
        f"served by data centres {listed}.",
        "Its upstreams announce themselves; until one does, its callers "
        "are refused.",
    )


@_changes.register
def _change(
    intent: messages.ChangeService,
    cfg: view.View,
) -> tuple[str, ...]:
    old = view_find.service_of(cfg, intent.name)
    lines = []
    if intent.data_centres is not None:
        lines += _moved_data_centres(old, intent.data_centres)
    for key, label in (
        ("max_connections", "open flows for each upstream"),
        ("max_queue", "waiting requests at each entry VM"),
        ("max_request_bytes", "bytes of the largest request"),
    ):
        value = getattr(intent, key)
        before = getattr(old, key)
        if value is not None and value != before:
            lines.append(
                f"Service {old.name}: {label} from {before} to {value}."
            )
    return tuple(lines)


def _moved_data_centres(
    old: view.Service,
    wanted: tuple[str, ...],
) -> list[str]:
    lines = []
    for name in sorted(set(wanted) - set(old.data_centres)):
        lines.append(f"Service {old.name} is served by {name} too.")
    for name in sorted(set(old.data_centres) - set(wanted)):
        lines.append(
            f"Service {old.name} gets no new flow or request in {name}; "
            "open flows there go on until they end."
        )
    return lines


@_changes.register
def _remove(
    intent: messages.RemoveService,
    cfg: view.View,
) -> tuple[str, ...]:
    count = sum(up.service == intent.name for up in cfg.upstreams)
    return (
        f"Service {intent.name} is removed and its {count} upstreams are "
        "forgotten. All its callers are refused.",
    )


@_changes.register
def _take_out(intent: messages.TakeOut, cfg: view.View) -> tuple[str, ...]:
    name = intent.data_centre
    hit = [up for up in cfg.upstreams if up.data_centre == name]
    services = sorted({up.service for up in hit})
    listed = ", ".join(services)
    upstreams = f"Its {len(hit)} upstreams (of {listed}) get nothing until "
    if not hit:
        upstreams = "Upstreams that announce themselves there wait until "
    return (
        f"Data centre {name} is taken out: within seconds of your "
        "confirmation no packet and no request goes there any more.",
        upstreams + "you bring it back.",
        "Its entry VMs go on and pass their callers to the other data "
        "centres.",
    )


@_changes.register
def _bring_back(
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


@_changes.register
def _add_vm(intent: messages.AddVm, cfg: view.View) -> tuple[str, ...]:
    kind = "control VM" if intent.control else "entry VM"
    return (
        f"{kind.capitalize()} {intent.name} at {intent.address} in "
        f"{intent.data_centre} is admitted.",
        "It takes part once its daemon runs and is heard from.",
    )


@_changes.register
def _replace_vm(
    intent: messages.ReplaceVm,
    cfg: view.View,
) -> tuple[str, ...]:
    old = view_find.vm_of(cfg, intent.name)
    return (
        f"The machine at {intent.address} takes the place of {old.name} "
        f"(until now {old.address}).",
        "The old machine gets no vote and no packets any more: keep it "
        "switched off.",
    )


@_changes.register
def _retire_vm(
    intent: messages.RetireVm,
    cfg: view.View,
) -> tuple[str, ...]:
    return (
        f"VM {intent.name} is removed for good.",
        "What it keeps moves to the other entry VMs; stop its daemon with "
        "SIGTERM after this.",
    )
