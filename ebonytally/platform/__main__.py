"""Entry point on the platform: ``python -m ebonytally.platform``."""

import functools
import gc
import sys

from ebonytally import deferred
from ebonytally import deployment
from ebonytally import errors
from ebonytally.platform import node_settings
from ebonytally import roles


def main() -> int:
    """Run the role given in the settings file; return the exit status."""
    # Imported modules live as long as the process: freeze them, so that
    # the garbage collector doesn't spend time on them.
    gc.disable()
    try:
        deployed = node_settings.load()
    except errors.EbonytallyError as exc:
        print(f"ebonytally: {exc}", file=sys.stderr)
        return roles.EXIT_FAILED
    make = _role_factory(deployed.role)
    gc.freeze()
    gc.enable()
    return roles.run(deployed, node_settings.load, make)


def _role_factory(role: deployment.Role) -> roles.MakeRole:
    """Return a role's factory; imports only the modules that it uses."""
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
    deferred.load_in_thread("ebonytally.platform.readiness").open_readiness(
        *args
    )


def _open_orders(*args: object) -> None:
    deferred.load_in_thread("ebonytally.platform.http_calls").OrdersServer(
        *args
    )


if __name__ == "__main__":
    sys.exit(main())
