"""The configuration state machine: each command makes the next View.

It is pure and deterministic. Each command adds one revision, even if it is
stale or names something unknown and so changes nothing else: revisions of
control and entry VMs stay equal when a command is proposed twice or late.
"""

import functools

import attrs

from ebonytally import commands
from ebonytally import config_owners
from ebonytally import config_tables
from ebonytally.flows import flow_table
from ebonytally import view
from ebonytally import view_find

RECOVERY_REVISION_GAP = 1_000_000
_OPERATOR_COMMANDS = (
    commands.ServiceSet,
    commands.ServiceRemoved,
    commands.DataCentreOut,
    commands.DataCentreBack,
    commands.VmAdded,
    commands.VmRetired,
)


def apply(old: view.View, command: object) -> view.View:
    """Return the View one revision after `old`.

    After `commands.Recovered` it is `RECOVERY_REVISION_GAP` revisions later.

    :raises TypeError: when `command` isn't one of `commands`
    """
    if isinstance(command, commands.Recovered):
        revision = old.revision + RECOVERY_REVISION_GAP
        return attrs.evolve(old, revision=revision, config_revision=revision)
    revision = old.revision + 1
    changed = _apply_change(command, old)
    if changed is old:
        return attrs.evolve(old, revision=revision)
    epoch = old.owner_epoch
    changes = old.owner_changes
    new_changes = config_owners.owner_changes(old, changed, revision)
    if new_changes:
        epoch = revision
        changes = (*changes, *new_changes)[-view.MAX_OWNER_CHANGES :]
    config_revision = old.config_revision
    if isinstance(command, _OPERATOR_COMMANDS):
        config_revision = revision
    return attrs.evolve(
        changed,
        revision=revision,
        config_revision=config_revision,
        owner_epoch=epoch,
        owner_changes=changes,
    )


@functools.singledispatch
def _apply_change(command: object, old: view.View) -> view.View:
    """Return `old` with the change, or `old` itself if nothing changes.

    `apply` sets the revision.
    """
    raise TypeError(
        f"expected a command of the log, got {type(command).__name__}"
    )


@_apply_change.register
def _recovered(command: commands.Recovered, old: view.View) -> view.View:
    return old


@_apply_change.register
def _genesis(command: commands.Genesis, old: view.View) -> view.View:
    if old.revision:
        return old
    return attrs.evolve(old, vms=_sorted_by_name(command.vms))


@_apply_change.register
def _service_set(command: commands.ServiceSet, old: view.View) -> view.View:
    new = command.service
    known = view_find.find_service(old, new.name)
    if known is not None:
        new = attrs.evolve(new, slots=known.slots)
    if new == known or _is_address_taken(old, new):
        return old
    others = tuple(other for other in old.services if other.name != new.name)
    changed = attrs.evolve(old, services=_sorted_by_name((*others, new)))
    return config_tables.replan_tables(changed, (new.name,))


def _is_address_taken(old: view.View, new: view.Service) -> bool:
    endpoint = (new.address, new.port, new.protocol)
    return any(
        (other.address, other.port, other.protocol) == endpoint
        for other in old.services
        if other.name != new.name
    )


@_apply_change.register
def _service_removed(
    command: commands.ServiceRemoved,
    old: view.View,
) -> view.View:
    name = command.name
    if view_find.find_service(old, name) is None:
        return old
    return attrs.evolve(
        old,
        services=tuple(
            service for service in old.services if service.name != name
        ),
        upstreams=tuple(up for up in old.upstreams if up.service != name),
        tables=tuple(table for table in old.tables if table.service != name),
    )


@_apply_change.register
def _data_centre_out(
    command: commands.DataCentreOut, old: view.View
) -> view.View:
    if command.name in old.out:
        return old
    out = tuple(sorted((*old.out, command.name)))
    return config_tables.replan_all_tables(attrs.evolve(old, out=out))


@_apply_change.register
def _data_centre_back(
    command: commands.DataCentreBack, old: view.View
) -> view.View:
    if command.name not in old.out:
        return old
    out = tuple(name for name in old.out if name != command.name)
    return config_tables.replan_all_tables(attrs.evolve(old, out=out))


@_apply_change.register
def _vm_added(command: commands.VmAdded, old: view.View) -> view.View:
    new = command.vm
    if new in old.vms:
        return old
    others = tuple(vm for vm in old.vms if vm.name != new.name)
    if any(vm.address == new.address for vm in others):
        return old
    return config_tables.replan_after_vm_change(
        old,
        attrs.evolve(old, vms=_sorted_by_name((*others, new))),
    )


@_apply_change.register
def _vm_retired(command: commands.VmRetired, old: view.View) -> view.View:
    remaining = tuple(vm for vm in old.vms if vm.name != command.name)
    if len(remaining) == len(old.vms):
        return old
    return config_tables.replan_after_vm_change(
        old,
        attrs.evolve(old, vms=remaining),
    )


@_apply_change.register
def _vm_marked(command: commands.VmMarked, old: view.View) -> view.View:
    vm = view_find.find_vm(old, command.name)
    if vm is None or command.incarnation < vm.incarnation:
        return old
    marks_up = command.state is view.VmState.UP
    same_incarnation = command.incarnation == vm.incarnation
    if vm.state is view.VmState.STOPPING and marks_up and same_incarnation:
        return old
    new = attrs.evolve(
        vm,
        state=command.state,
        incarnation=command.incarnation,
    )
    if new == vm:
        return old
    vms = tuple(new if other is vm else other for other in old.vms)
    return config_tables.replan_after_vm_change(
        old,
        attrs.evolve(old, vms=vms),
    )


@_apply_change.register
def _upstream_seen(
    command: commands.UpstreamSeen,
    old: view.View,
) -> view.View:
    new = command.upstream
    if view_find.find_service(old, new.service) is None:
        return old
    known = view_find.find_upstream_at(old, new)
    if known is None:
        return _with_new_upstream(old, new)
    if new.incarnation < known.incarnation:
        return old
    if new.incarnation > known.incarnation:
        return _with_new_upstream(_without_upstream(old, known), new)
    # The same incarnation announces new limits: it keeps its id and flows.
    updated = attrs.evolve(
        new,
        id=known.id,
        state=known.state,
        share=known.share,
    )
    return _with_changed_upstream(old, known, updated)


def _with_new_upstream(old: view.View, new: view.Upstream) -> view.View:
    upstream_id = old.next_upstream_id
    changed = attrs.evolve(
        old,
        upstreams=(*old.upstreams, attrs.evolve(new, id=upstream_id)),
        next_upstream_id=upstream_id + 1,
    )
    return config_tables.replan_tables(changed, (new.service,))


def _without_upstream(old: view.View, removed: view.Upstream) -> view.View:
    remaining = tuple(up for up in old.upstreams if up is not removed)
    return attrs.evolve(old, upstreams=remaining)


def _with_changed_upstream(
    old: view.View,
    known: view.Upstream,
    new: view.Upstream,
) -> view.View:
    if new == known:
        return old
    changed = attrs.evolve(
        old,
        upstreams=tuple(new if up is known else up for up in old.upstreams),
    )
    return config_tables.replan_tables(changed, (new.service,))


@_apply_change.register
def _upstream_marked(
    command: commands.UpstreamMarked,
    old: view.View,
) -> view.View:
    known = view_find.find_upstream(old, command.id, command.incarnation)
    if known is None:
        return old
    state = command.state
    if known.state is view.UpstreamState.DRAINING:
        # A slow start share that was proposed before the drain must not
        # undo it.
        state = known.state
    new = attrs.evolve(known, state=state, share=command.share)
    return _with_changed_upstream(old, known, new)


@_apply_change.register
def _upstream_gone(
    command: commands.UpstreamGone,
    old: view.View,
) -> view.View:
    known = view_find.find_upstream(old, command.id, command.incarnation)
    if known is None:
        return old
    return config_tables.replan_tables(
        _without_upstream(old, known), (known.service,)
    )


@_apply_change.register
def _slots_placing(
    command: commands.SlotsPlacing,
    old: view.View,
) -> view.View:
    table = view_find.find_table(old, command.service)
    if table is None:
        return old
    new = flow_table.with_placing(
        table,
        command.slots,
        command.view_revision,
        old.revision + 1,
    )
    return _with_table(old, table, new)


@_apply_change.register
def _slots_pinned(
    command: commands.SlotsPinned,
    old: view.View,
) -> view.View:
    table = view_find.find_table(old, command.service)
    if table is None:
        return old
    new = flow_table.with_pinned(
        table,
        command.slots,
        command.base,
        command.view_revision,
        old.revision + 1,
    )
    return _with_table(old, table, new)


def _with_table(
    old: view.View,
    table: view.Table,
    new: view.Table,
) -> view.View:
    if new == table:
        return old
    tables = tuple(new if other is table else other for other in old.tables)
    return attrs.evolve(old, tables=tables)


def _sorted_by_name(items: tuple) -> tuple:
    return tuple(sorted(items, key=lambda item: item.name))
