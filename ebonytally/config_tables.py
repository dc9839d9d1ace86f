"""Computes the slot tables of a view's next revision."""

import attrs

from ebonytally.flows import flow_table
from ebonytally import view
from ebonytally import view_find


def down_data_centres(cfg: view.View) -> tuple[str, ...]:
    """Return the data centres whose entry VMs are all down, sorted.

    Upstreams there have no entry VM to announce themselves to, so their
    state is unknown: they get no new flows until an entry VM is back. Open
    flows stay there.
    """
    known = {vm.data_centre for vm in cfg.vms}
    live = {
        vm.data_centre for vm in cfg.vms if vm.state is not view.VmState.DOWN
    }
    return tuple(sorted(known - live))


def replan_after_vm_change(old: view.View, new: view.View) -> view.View:
    """Return `new`, replanned if a data centre went down or came back."""
    if down_data_centres(old) == down_data_centres(new):
        return new
    return replan_all_tables(new)


def replan_all_tables(cfg: view.View) -> view.View:
    """Return `cfg` with the slot tables of all services replanned."""
    return replan_tables(cfg, tuple(service.name for service in cfg.services))


def replan_tables(cfg: view.View, names: tuple[str, ...]) -> view.View:
    """Return `cfg` with the slot tables of these services replanned."""
    tables = {table.service: table for table in cfg.tables}
    for name in names:
        service = view_find.find_service(cfg, name)
        upstreams = tuple(up for up in cfg.upstreams if up.service == name)
        tables[name] = flow_table.replan(
            tables.get(name),
            service,
            upstreams,
            (*cfg.out, *down_data_centres(cfg)),
            cfg.revision + 1,
        )
    ordered = tuple(tables[name] for name in sorted(tables))
    return attrs.evolve(cfg, tables=ordered)
