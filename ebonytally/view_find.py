"""Look-ups in a view."""

from ebonytally import view


def find_service(cfg: view.View, name: str) -> view.Service | None:
    """Return the service of that name, None if there is none."""
    for service in cfg.services:
        if service.name == name:
            return service
    return None


def find_vm(cfg: view.View, name: str) -> view.Vm | None:
    """Return the VM of that name, None if there is none."""
    for vm in cfg.vms:
        if vm.name == name:
            return vm
    return None


def find_table(cfg: view.View, service: str) -> view.Table | None:
    """Return the slot table of a service, None if there is none."""
    for table in cfg.tables:
        if table.service == service:
            return table
    return None


def find_upstream(
    cfg: view.View,
    upstream_id: int,
    incarnation: int,
) -> view.Upstream | None:
    """Return the upstream of that id and incarnation, None for none."""
    for up in cfg.upstreams:
        if up.id == upstream_id and up.incarnation == incarnation:
            return up
    return None


def find_upstream_at(
    view_: view.View, new: view.Upstream
) -> view.Upstream | None:
    """Return the upstream at the endpoint of `new`, None if there is none.

    The endpoint is its service, address and port.
    """
    endpoint = (new.service, new.address, new.port)
    for up in view_.upstreams:
        if (up.service, up.address, up.port) == endpoint:
            return up
    return None


def vms_not_up(cfg: view.View) -> tuple[str, ...]:
    """Return the names of the VMs that are down or stopping."""
    return tuple(vm.name for vm in cfg.vms if vm.state is not view.VmState.UP)
