"""A packet in hand, with what was looked up of it."""

import attrs

from ebonytally.flows import flow_keepers
from ebonytally.flows import flow_packet
from ebonytally.flows import flow_recent
from ebonytally.flows import flow_routes


@attrs.define
class Held:
    """A packet in hand, with what was looked up of it.

    :param hops: entry VMs that sent it on before
    :param origin: entry VM that handed it to this one, "" for a caller
    """

    parsed: flow_packet.Parsed
    route: flow_routes.Route
    slot: int
    group: int
    data: bytes
    hops: int
    origin: str

    @property
    def starts(self) -> bool:
        """Tell whether it is the first of a TCP connection."""
        return self.parsed.marks == flow_packet.START

    @property
    def ends(self) -> bool:
        """Tell whether the caller closes or resets the connection."""
        return self.parsed.marks == flow_packet.END


def forget(
    recent: flow_recent.Recent,
    route: flow_routes.Route,
    flow: int,
) -> None:
    """Send further packets of a flow by way of its keeper."""
    target = route.direct[flow & route.mask]
    if target is not None:
        recent.forget(flow ^ target.mix)


def lookup(
    parsed: flow_packet.Parsed,
    route: flow_routes.Route,
    data: bytes,
    hops: int,
    origin: str,
) -> Held:
    """Return a packet in hand."""
    slot = parsed.flow & route.mask
    group = (slot + route.seed) & (flow_keepers.GROUPS - 1)
    return Held(parsed, route, slot, group, data, hops, origin)
