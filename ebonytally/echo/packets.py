"""Parsed packets of callers, and the actions that follow from them."""

import attrs

# Headers of IP and UDP around each datagram.
DATAGRAM_HEADER_BYTES = 28
# The upstream's number, which precedes a packet that is forwarded.
UPSTREAM_NUMBER_BYTES = 8
RESET_BYTES = 32


@attrs.define
class Packet:
    """A caller's packet.

    Not frozen: one is created for each packet, and a frozen class takes
    three times as long.

    :param key: address and port of caller and service: the flow
    :param service_address: the service's address and port, six bytes
    :param is_opening: opens a new flow
    :param copies: opening packets of the flow sent before this one, 0 in
        a packet that isn't an opening one
    :param is_end: the caller closes or resets the flow
    :param cookie: the cookie that it echoes, of the flow's upstream
    :param ack: next byte that the caller expects
    :param size: bytes of data
    :param raw: the packet as received
    """

    key: bytes
    service_address: bytes
    is_opening: bool
    is_end: bool
    cookie: int
    ack: int
    size: int
    raw: bytes
    copies: int = 0


@attrs.define
class ToUpstream:
    """Forward a packet to an upstream.

    :param id: upstream id
    :param cookie: to be written into the packet, None to keep its own
    """

    id: str
    address: str
    port: int
    cookie: int | None
    packet: Packet


@attrs.define
class Reset:
    """Reset the flow of a packet, as it is refused or over."""

    packet: Packet


def received_bytes(packet: Packet) -> int:
    """Return the bytes that a packet took on the link."""
    return len(packet.raw) + DATAGRAM_HEADER_BYTES


def sent_bytes(action: ToUpstream | Reset) -> int:
    """Return the bytes that an action takes on the link."""
    if isinstance(action, Reset):
        return RESET_BYTES + DATAGRAM_HEADER_BYTES
    return received_bytes(action.packet) + UPSTREAM_NUMBER_BYTES
