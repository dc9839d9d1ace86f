"""Runs one process on the platform: ``python -m ebonytally.platform``."""

import functools
import gc
import sys

from ebonytally import deployment
from ebonytally import errors
from ebonytally import later
from ebonytally.platform import node_settings
from ebonytally import roles


def main() -> int:
    """Run the role that the settings name; return the exit status."""
    # What is loaded now stays; looking through it again takes time.
    gc.disable()
    try:
        told = node_settings.load()
    except errors.EbonytallyError as exc:
        print(f"ebonytally: {exc}", file=sys.stderr)
        return roles.EXIT_FAILED
    make = _make(told.role)
    gc.freeze()
    gc.enable()
    return roles.run(told, node_settings.load, make)


def _make(role: deployment.Role) -> roles.MakeRole:
    """Return what makes a role; imports only what that role uses."""
    if role == deployment.Role.ENTRY:
        from ebonytally import entry_role
        from ebonytally.platform import packet_port

        return functools.partial(
            entry_role.EntryRole,
            open_packets=packet_port.PacketPort,
            open_readiness=_open_readiness,
        )
    from ebonytally import control_role

    return functools.partial(
        control_role.ControlRole,
        open_orders=_open_orders,
    )


def _open_readiness(*args: object) -> None:
    later.load("ebonytally.platform.readiness").open_readiness(*args)


def _open_orders(*args: object) -> None:
    later.load("ebonytally.platform.http_calls").Control(*args)


if __name__ == "__main__":
    sys.exit(main())
