"""The slot tables of a view, planned for its next revision."""

import attrs

from ebonytally.flows import flow_table
from ebonytally import view
from ebonytally import view_find


def dark(cfg: view.View) -> tuple[str, ...]:
    """Return the data centres whose entry VMs are all down, sorted.

    Nobody hears the upstreams there: whether they stand isn't known, so
    they get no new flows until an entry VM is back. Open flows stay.
    """
    known = {vm.data_centre for vm in cfg.vms}
    heard = {
        vm.data_centre for vm in cfg.vms if vm.state is not view.VmState.DOWN
    }
    return tuple(sorted(known - heard))


def after_vms_changed(old: view.View, new: view.View) -> view.View:
    """Return `new`, planned anew if a data centre fell or came back."""
    if dark(old) == dark(new):
        return new
    return replanned_all(new)


def replanned_all(cfg: view.View) -> view.View:
    """Return `cfg` with the tables of all services planned anew."""
    return replanned(cfg, tuple(one.name for one in cfg.services))


def replanned(cfg: view.View, names: tuple[str, ...]) -> view.View:
    """Return `cfg` with the tables of these services planned anew."""
    tables = {table.service: table for table in cfg.tables}
    for name in names:
        service = view_find.service_of(cfg, name)
        upstreams = tuple(up for up in cfg.upstreams if up.service == name)
        tables[name] = flow_table.replan(
            tables.get(name),
            service,
            upstreams,
            (*cfg.out, *dark(cfg)),
            cfg.revision + 1,
        )
    ordered = tuple(tables[name] for name in sorted(tables))
    return attrs.evolve(cfg, tables=ordered)
