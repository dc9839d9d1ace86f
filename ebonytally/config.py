"""The configuration state machine: one command gives the next View.

Pure and deterministic. Each command counts one revision, also one that
is stale or names something unknown and so changes nothing else: control
and entry VMs stay in step whatever was proposed twice or too late.
"""

import functools

import attrs

from ebonytally import commands
from ebonytally import config_keepers
from ebonytally import config_tables
from ebonytally.flows import flow_table
from ebonytally import view
from ebonytally import view_find

RECOVERY_REVISIONS = 1_000_000
_OPERATORS = (
    commands.ServiceSet,
    commands.ServiceRemoved,
    commands.DataCentreOut,
    commands.DataCentreBack,
    commands.VmAdded,
    commands.VmRetired,
)


def apply(old: view.View, command: object) -> view.View:
    """Return the View one revision after `old`.

    After `commands.Recovered` it is `RECOVERY_REVISIONS` after.

    :raises TypeError: when `command` isn't one of `commands`
    """
    if isinstance(command, commands.Recovered):
        revision = old.revision + RECOVERY_REVISIONS
        return attrs.evolve(old, revision=revision, config_revision=revision)
    revision = old.revision + 1
    changed = _changed(command, old)
    if changed is old:
        return attrs.evolve(old, revision=revision)
    epoch = old.keeper_epoch
    changes = old.keeper_changes
    latest = config_keepers.changes(old, changed, revision)
    if latest:
        epoch = revision
        changes = (*changes, *latest)[-view.MAX_KEEPER_CHANGES :]
    config_revision = old.config_revision
    if isinstance(command, _OPERATORS):
        config_revision = revision
    return attrs.evolve(
        changed,
        revision=revision,
        config_revision=config_revision,
        keeper_epoch=epoch,
        keeper_changes=changes,
    )


@functools.singledispatch
def _changed(command: object, old: view.View) -> view.View:
    """Return `old` with the change, or `old` itself for none."""
    raise TypeError(f"{type(command).__name__} is no command")


@_changed.register
def _recovered(command: commands.Recovered, old: view.View) -> view.View:
    return old


@_changed.register
def _genesis(command: commands.Genesis, old: view.View) -> view.View:
    if old.revision:
        return old
    return attrs.evolve(old, vms=_by_name(command.vms))


@_changed.register
def _service_set(command: commands.ServiceSet, old: view.View) -> view.View:
    new = command.service
    known = view_find.service_of(old, new.name)
    if known is not None:
        new = attrs.evolve(new, slots=known.slots)
    if new == known or _address_taken(old, new):
        return old
    others = tuple(one for one in old.services if one.name != new.name)
    changed = attrs.evolve(old, services=_by_name((*others, new)))
    return config_tables.replanned(changed, (new.name,))


def _address_taken(old: view.View, new: view.Service) -> bool:
    wanted = (new.address, new.port, new.protocol)
    return any(
        (one.address, one.port, one.protocol) == wanted
        for one in old.services
        if one.name != new.name
    )


@_changed.register
def _service_removed(
    command: commands.ServiceRemoved,
    old: view.View,
) -> view.View:
    name = command.name
    if view_find.service_of(old, name) is None:
        return old
    return attrs.evolve(
        old,
        services=tuple(one for one in old.services if one.name != name),
        upstreams=tuple(up for up in old.upstreams if up.service != name),
        tables=tuple(one for one in old.tables if one.service != name),
    )


@_changed.register
def _out(command: commands.DataCentreOut, old: view.View) -> view.View:
    if command.name in old.out:
        return old
    out = tuple(sorted((*old.out, command.name)))
    return config_tables.replanned_all(attrs.evolve(old, out=out))


@_changed.register
def _back(command: commands.DataCentreBack, old: view.View) -> view.View:
    if command.name not in old.out:
        return old
    out = tuple(name for name in old.out if name != command.name)
    return config_tables.replanned_all(attrs.evolve(old, out=out))


@_changed.register
def _vm_added(command: commands.VmAdded, old: view.View) -> view.View:
    new = command.vm
    if new in old.vms:
        return old
    others = tuple(vm for vm in old.vms if vm.name != new.name)
    if any(vm.address == new.address for vm in others):
        return old
    return config_tables.after_vms_changed(
        old,
        attrs.evolve(old, vms=_by_name((*others, new))),
    )


@_changed.register
def _vm_retired(command: commands.VmRetired, old: view.View) -> view.View:
    left = tuple(vm for vm in old.vms if vm.name != command.name)
    if len(left) == len(old.vms):
        return old
    return config_tables.after_vms_changed(
        old,
        attrs.evolve(old, vms=left),
    )


@_changed.register
def _vm_marked(command: commands.VmMarked, old: view.View) -> view.View:
    vm = view_find.vm_of(old, command.name)
    if vm is None or command.incarnation < vm.incarnation:
        return old
    again_up = command.state is view.VmState.UP
    same_start = command.incarnation == vm.incarnation
    if vm.state is view.VmState.STOPPING and again_up and same_start:
        return old
    new = attrs.evolve(
        vm,
        state=command.state,
        incarnation=command.incarnation,
    )
    if new == vm:
        return old
    vms = tuple(new if one is vm else one for one in old.vms)
    return config_tables.after_vms_changed(
        old,
        attrs.evolve(old, vms=vms),
    )


@_changed.register
def _upstream_seen(
    command: commands.UpstreamSeen,
    old: view.View,
) -> view.View:
    new = command.upstream
    if view_find.service_of(old, new.service) is None:
        return old
    known = view_find.upstream_at(old, new)
    if known is None:
        return _with_new_upstream(old, new)
    if new.incarnation < known.incarnation:
        return old
    if new.incarnation > known.incarnation:
        return _with_new_upstream(_without(old, known), new)
    # The same start announces other limits: it keeps its flows.
    updated = attrs.evolve(
        new,
        id=known.id,
        state=known.state,
        share=known.share,
    )
    return _with_changed_upstream(old, known, updated)


def _with_new_upstream(old: view.View, new: view.Upstream) -> view.View:
    number = old.next_upstream_id
    changed = attrs.evolve(
        old,
        upstreams=(*old.upstreams, attrs.evolve(new, id=number)),
        next_upstream_id=number + 1,
    )
    return config_tables.replanned(changed, (new.service,))


def _without(old: view.View, gone: view.Upstream) -> view.View:
    left = tuple(up for up in old.upstreams if up is not gone)
    return attrs.evolve(old, upstreams=left)


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
    return config_tables.replanned(changed, (new.service,))


@_changed.register
def _upstream_marked(
    command: commands.UpstreamMarked,
    old: view.View,
) -> view.View:
    known = view_find.upstream_of(old, command.id, command.incarnation)
    if known is None:
        return old
    state = command.state
    if known.state is view.UpstreamState.DRAINING:
        # A share that was proposed before the drain doesn't undo it.
        state = known.state
    new = attrs.evolve(known, state=state, share=command.share)
    return _with_changed_upstream(old, known, new)


@_changed.register
def _upstream_gone(
    command: commands.UpstreamGone,
    old: view.View,
) -> view.View:
    known = view_find.upstream_of(old, command.id, command.incarnation)
    if known is None:
        return old
    return config_tables.replanned(_without(old, known), (known.service,))


@_changed.register
def _slots_placing(
    command: commands.SlotsPlacing,
    old: view.View,
) -> view.View:
    table = view_find.table_of(old, command.service)
    if table is None:
        return old
    new = flow_table.placing(
        table,
        command.slots,
        command.seen,
        old.revision + 1,
    )
    return _with_table(old, table, new)


@_changed.register
def _slots_pinned(
    command: commands.SlotsPinned,
    old: view.View,
) -> view.View:
    table = view_find.table_of(old, command.service)
    if table is None:
        return old
    new = flow_table.pinned(
        table,
        command.slots,
        command.base,
        command.seen,
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
    tables = tuple(new if one is table else one for one in old.tables)
    return attrs.evolve(old, tables=tables)


def _by_name(items: tuple) -> tuple:
    return tuple(sorted(items, key=lambda one: one.name))
