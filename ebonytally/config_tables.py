"""The slot tables of a view, planned for its next revision."""

import attrs

from ebonytally import flow_table
from ebonytally import view
from ebonytally import view_find


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
            cfg.out,
            cfg.revision + 1,
        )
    ordered = tuple(tables[name] for name in sorted(tables))
    return attrs.evolve(cfg, tables=ordered)
