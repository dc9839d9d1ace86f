"""Callers' IP packets, built and parsed with dpkt.

The payload of each packet holds the number of its flow and its sequence
number in that flow, so that the judge needs no data from the load balancer.
"""

import ipaddress
import struct

import attrs
import dpkt

SYN = dpkt.tcp.TH_SYN
ACK = dpkt.tcp.TH_ACK
FIN = dpkt.tcp.TH_FIN
RST = dpkt.tcp.TH_RST
_PAYLOAD = struct.Struct("!II")


@attrs.frozen
class ParsedPacket:
    """A packet that an upstream or a caller received.

    :param dst: destination, the service address if it is from a caller
    :param port: destination port
    :param flow: number of the flow, 0 without payload
    :param seq: sequence number in the flow, 0 without payload
    """

    src: str
    sport: int
    dst: str
    port: int
    flags: int
    flow: int
    seq: int


def build(
    src: str,
    sport: int,
    dst: str,
    port: int,
    flags: int,
    flow: int,
    seq: int,
) -> bytes:
    """Return an IPv4 packet that holds a TCP segment."""
    segment = dpkt.tcp.TCP(
        sport=sport,
        dport=port,
        seq=seq,
        flags=flags,
        data=_PAYLOAD.pack(flow, seq),
    )
    packet = dpkt.ip.IP(
        src=ipaddress.IPv4Address(src).packed,
        dst=ipaddress.IPv4Address(dst).packed,
        p=dpkt.ip.IP_PROTO_TCP,
        ttl=64,
        data=segment,
    )
    packet.len = len(packet)
    return bytes(packet)


def parse(data: bytes) -> ParsedPacket | None:
    """Return the parsed packet; None if it is not TCP over IPv4."""
    try:
        packet = dpkt.ip.IP(data)
    except dpkt.UnpackError:
        return None
    segment = packet.data
    if not isinstance(segment, dpkt.tcp.TCP):
        return None
    flow = seq = 0
    if len(segment.data) >= _PAYLOAD.size:
        flow, seq = _PAYLOAD.unpack(segment.data[: _PAYLOAD.size])
    return ParsedPacket(
        str(ipaddress.IPv4Address(packet.src)),
        segment.sport,
        str(ipaddress.IPv4Address(packet.dst)),
        segment.dport,
        segment.flags,
        flow,
        seq,
    )
