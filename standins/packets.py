"""Callers' IP packets, built and read with dpkt.

The payload of each packet says which flow and packet of it this is, so that
the stand-ins can judge without believing the system.
"""

import ipaddress
import struct

import attrs
import dpkt

SYN = dpkt.tcp.TH_SYN
ACK = dpkt.tcp.TH_ACK
FIN = dpkt.tcp.TH_FIN
RST = dpkt.tcp.TH_RST
_MARK = struct.Struct("!II")


@attrs.frozen
class Seen:
    """A packet as an upstream or a caller sees it.

    :param dst: service address
    :param port: service port
    :param flow: number of the flow
    :param seq: number of the packet in its flow
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
    """Return an IPv4 packet with a TCP segment in it."""
    segment = dpkt.tcp.TCP(
        sport=sport,
        dport=port,
        seq=seq,
        flags=flags,
        data=_MARK.pack(flow, seq),
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


def read(data: bytes) -> Seen | None:
    """Return what a packet says; None when it is no such packet."""
    try:
        packet = dpkt.ip.IP(data)
    except dpkt.UnpackError:
        return None
    segment = packet.data
    if not isinstance(segment, dpkt.tcp.TCP):
        return None
    flow = seq = 0
    if len(segment.data) >= _MARK.size:
        flow, seq = _MARK.unpack(segment.data[: _MARK.size])
    return Seen(
        str(ipaddress.IPv4Address(packet.src)),
        segment.sport,
        str(ipaddress.IPv4Address(packet.dst)),
        segment.dport,
        segment.flags,
        flow,
        seq,
    )
