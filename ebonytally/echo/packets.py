"""Packets as the decisions see them, and what becomes of them."""

import attrs


@attrs.define
class Packet:
    """A caller's packet.

    Not frozen: one is made for each packet, and that would take thrice
    the time.

    :param key: caller's and service's address and port: names the flow
    :param place: the service's address and port, six bytes
    :param opening: asks for a new flow
    :param ends: the caller has nothing more to send, or resets
    :param cookie: last one that the flow's upstream was sent
    :param ack: next byte that the caller expects
    :param size: bytes of data
    :param raw: the whole packet
    """

    key: bytes
    place: bytes
    opening: bool
    ends: bool
    cookie: int
    ack: int
    size: int
    raw: bytes


@attrs.define
class ToUpstream:
    """Pass a packet to an upstream.

    :param id: of the upstream
    :param cookie: to write into the packet, None to leave it
    """

    id: str
    address: str
    port: int
    cookie: int | None
    packet: Packet


@attrs.define
class Reset:
    """Tell the caller at once that its flow is refused or over."""

    packet: Packet
