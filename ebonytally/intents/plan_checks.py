"""Validates intents against a view, and turns them into commands."""

import functools
import ipaddress
import re

import attrs
from returns import result

from ebonytally import commands
from ebonytally.intents import plan_messages as messages
from ebonytally import settings
from ebonytally import view
from ebonytally import view_find

MAX_CONNECTIONS = 1_000_000
MAX_QUEUE = 100_000
MAX_REQUEST_BYTES = 1024 * 1024 * 1024
MIN_SLOTS = 16
MAX_SLOTS = 65_536
_PROTOCOLS = (6, 17)
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")

Commands = result.Result[tuple[object, ...], str]


@functools.singledispatch
def commands_for(intent: object, cfg: view.View) -> Commands:
    """Return the commands of an intent, or why it isn't possible."""
    raise TypeError(
        f"expected a plan_messages.Intent, got {type(intent).__name__}"
    )


def data_centres(cfg: view.View) -> tuple[str, ...]:
    """Return all known data centres, also those taken out, sorted."""
    names = {vm.data_centre for vm in cfg.vms}
    names.update(up.data_centre for up in cfg.upstreams)
    return tuple(sorted(names.union(cfg.out)))


@commands_for.register
def _create_service(
    intent: messages.CreateService, cfg: view.View
) -> Commands:
    new = intent.service
    if view_find.find_service(cfg, new.name):
        return result.Failure(
            f"service {new.name} already exists; "
            "change it, or choose another name"
        )
    fault = _service_fault(new, cfg)
    if fault:
        return result.Failure(fault)
    return result.Success((commands.ServiceSet(new),))


@commands_for.register
def _change_service(
    intent: messages.ChangeService, cfg: view.View
) -> Commands:
    old = view_find.find_service(cfg, intent.name)
    if old is None:
        return result.Failure(_unknown_service(intent.name, cfg))
    given = attrs.asdict(
        intent,
        filter=lambda field, value: field.name != "name" and value is not None,
    )
    new = attrs.evolve(old, **given)
    if new == old:
        return result.Failure(f"service {old.name} already has these values")
    fault = _service_fault(new, cfg)
    if fault:
        return result.Failure(fault)
    return result.Success((commands.ServiceSet(new),))


@commands_for.register
def _remove_service(
    intent: messages.RemoveService, cfg: view.View
) -> Commands:
    if view_find.find_service(cfg, intent.name) is None:
        return result.Failure(_unknown_service(intent.name, cfg))
    return result.Success((commands.ServiceRemoved(intent.name),))


@commands_for.register
def _take_out(intent: messages.TakeOut, cfg: view.View) -> Commands:
    name = intent.data_centre
    known = data_centres(cfg)
    if name not in known:
        return result.Failure(_unknown_data_centre(name, known))
    if name in cfg.out:
        return result.Failure(f"data centre {name} is already out")
    return result.Success((commands.DataCentreOut(name),))


@commands_for.register
def _bring_back(intent: messages.BringBack, cfg: view.View) -> Commands:
    name = intent.data_centre
    known = data_centres(cfg)
    if name not in known:
        return result.Failure(_unknown_data_centre(name, known))
    if name not in cfg.out:
        return result.Failure(f"data centre {name} is not out")
    return result.Success((commands.DataCentreBack(name),))


@commands_for.register
def _add_vm(intent: messages.AddVm, cfg: view.View) -> Commands:
    fault = _vm_fault(intent, cfg)
    if fault:
        return result.Failure(fault)
    # Marked down until it is heard from: a VM that is up owns flow and key
    # records, and so has to answer queries about them.
    new = view.Vm(
        intent.name,
        intent.address,
        intent.data_centre,
        intent.region,
        intent.control,
        view.VmState.DOWN,
    )
    return result.Success((commands.VmAdded(new),))


@commands_for.register
def _replace_vm(intent: messages.ReplaceVm, cfg: view.View) -> Commands:
    old = view_find.find_vm(cfg, intent.name)
    if old is None:
        return result.Failure(_unknown_vm(intent.name, cfg))
    if not _is_address(intent.address):
        return result.Failure(
            f"address: {intent.address!r} is not an IPv4 address"
        )
    for vm in cfg.vms:
        if vm is not old and vm.address == intent.address:
            return result.Failure(f"{vm.address} is the address of {vm.name}")
    new = attrs.evolve(
        old,
        address=intent.address,
        state=view.VmState.DOWN,
        incarnation=0,
    )
    return result.Success((commands.VmAdded(new),))


@commands_for.register
def _retire_vm(intent: messages.RetireVm, cfg: view.View) -> Commands:
    vm = view_find.find_vm(cfg, intent.name)
    if vm is None:
        return result.Failure(_unknown_vm(intent.name, cfg))
    voters = sum(other.control for other in cfg.vms)
    if vm.control and voters <= settings.MIN_CONTROL_VMS:
        return result.Failure(
            f"{vm.name} is one of {voters} control VMs and at least "
            f"{settings.MIN_CONTROL_VMS} are required; "
            "replace it, or add another control VM first"
        )
    return result.Success((commands.VmRetired(vm.name),))


def _service_fault(new: view.Service, cfg: view.View) -> str:
    """Return why a service is invalid, "" if it is valid."""
    if not _NAME.fullmatch(new.name):
        return (
            f"name: {new.name!r} is not a valid name, allowed are a-z, 0-9 "
            "and -, 63 at most"
        )
    if not _is_address(new.address):
        return f"address: {new.address!r} is not an IPv4 address"
    if new.protocol not in _PROTOCOLS:
        return f"protocol: {new.protocol} is neither 6 (TCP) nor 17 (UDP)"
    if new.slots & (new.slots - 1):
        return f"slots: {new.slots} is not a power of two"
    for key, low, high in (
        ("port", 1, 65_535),
        ("slots", MIN_SLOTS, MAX_SLOTS),
        ("max_connections", 1, MAX_CONNECTIONS),
        ("max_queue", 1, MAX_QUEUE),
        ("max_request_bytes", 1, MAX_REQUEST_BYTES),
    ):
        value = getattr(new, key)
        if not low <= value <= high:
            return f"{key}: {value} is out of range, allowed {low} to {high}"
    endpoint = (new.address, new.port, new.protocol)
    for other in cfg.services:
        if other.name == new.name:
            continue
        if (other.address, other.port, other.protocol) == endpoint:
            return f"{new.address}:{new.port} belongs to service {other.name}"
    return _data_centres_fault(new, cfg)


def _data_centres_fault(new: view.Service, cfg: view.View) -> str:
    if not new.data_centres:
        return "data_centres: a service needs at least one data centre"
    if len(set(new.data_centres)) < len(new.data_centres):
        return "data_centres: the same data centre is listed twice"
    known = data_centres(cfg)
    for name in new.data_centres:
        if name not in known:
            return _unknown_data_centre(name, known)
    return ""


def _vm_fault(intent: messages.AddVm, cfg: view.View) -> str:
    for key in ("name", "data_centre", "region"):
        value = getattr(intent, key)
        if not _NAME.fullmatch(value):
            return (
                f"{key}: {value!r} is not a valid name, allowed are a-z, 0-9 "
                "and -, 63 at most"
            )
    if not _is_address(intent.address):
        return f"address: {intent.address!r} is not an IPv4 address"
    if view_find.find_vm(cfg, intent.name):
        return f"VM {intent.name} already exists; replace or retire it"
    for vm in cfg.vms:
        if vm.address == intent.address:
            return f"{vm.address} is the address of {vm.name}"
    voters = sum(vm.control for vm in cfg.vms)
    if intent.control and voters >= settings.MAX_CONTROL_VMS:
        return (
            f"there are {voters} control VMs, at most "
            f"{settings.MAX_CONTROL_VMS} are allowed"
        )
    return ""


def _unknown_service(name: str, cfg: view.View) -> str:
    known = ", ".join(service.name for service in cfg.services) or "none"
    return f"there is no service {name}; known are {known}"


def _unknown_vm(name: str, cfg: view.View) -> str:
    known = ", ".join(vm.name for vm in cfg.vms) or "none"
    return f"there is no VM {name}; known are {known}"


def _unknown_data_centre(name: str, known: tuple[str, ...]) -> str:
    listed = ", ".join(known) or "none"
    return f"there is no data centre {name}; known are {listed}"


def _is_address(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
