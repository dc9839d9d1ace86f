"""Runs one process on the platform: ``python -m ebonytally.platform``."""

import functools
import sys

from ebonytally import deployment
from ebonytally import errors
from ebonytally.platform import node_settings
from ebonytally import roles


def main() -> int:
    """Run the role that the settings name; return the exit status."""
    try:
        told = node_settings.load()
    except errors.EbonytallyError as exc:
        print(f"ebonytally: {exc}", file=sys.stderr)
        return roles.EXIT_FAILED
    return roles.run(told, node_settings.load, _make(told.role))


def _make(role: deployment.Role) -> roles.MakeRole:
    """Return what makes a role; imports only what that role uses."""
    if role == deployment.Role.ENTRY:
        from ebonytally import entry_role
        from ebonytally.platform import http_calls
        from ebonytally.platform import packet_port

        return functools.partial(
            entry_role.EntryRole,
            open_packets=packet_port.PacketPort,
            open_readiness=http_calls.open_readiness,
        )
    from ebonytally import control_role
    from ebonytally.platform import http_calls

    return functools.partial(
        control_role.ControlRole,
        open_orders=http_calls.Control,
    )


if __name__ == "__main__":
    sys.exit(main())
