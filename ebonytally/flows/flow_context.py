"""A packet being routed, with its route, slot and slot group."""

import attrs

from ebonytally.flows import flow_owners
from ebonytally.flows import flow_packet
from ebonytally.flows import flow_recent
from ebonytally.flows import flow_routes


@attrs.define
class PacketContext:
    """A packet being routed, with its route, slot and slot group.

    :param data: raw IPv4
    :param hops: number of entry VMs that have forwarded it
    :param received_from: entry VM that forwarded it to this one, "" when
        it came from a caller
    """

    parsed: flow_packet.Parsed
    route: flow_routes.Route
    slot: int
    group: int
    data: bytes
    hops: int
    received_from: str

    @property
    def is_start(self) -> bool:
        """Return whether it is the first packet of a TCP connection."""
        return self.parsed.phase == flow_packet.START

    @property
    def is_end(self) -> bool:
        """Return whether the caller closes or resets the connection."""
        return self.parsed.phase == flow_packet.END


def forget_direct(
    recent: flow_recent.RecentFlows,
    route: flow_routes.Route,
    flow: int,
) -> None:
    """Stop sending packets of a flow directly to its base."""
    target = route.direct[flow & route.mask]
    if target is not None:
        recent.forget(flow ^ target.key_mix)


def create(
    parsed: flow_packet.Parsed,
    route: flow_routes.Route,
    data: bytes,
    hops: int,
    received_from: str,
) -> PacketContext:
    """Return a packet's context, with its slot and slot group."""
    slot = parsed.flow & route.mask
    group = (slot + route.group_offset) & (flow_owners.GROUPS - 1)
    return PacketContext(parsed, route, slot, group, data, hops, received_from)
