"""Parsing of callers' IPv4 packets, and refusals sent to callers.

The fast path reads TCP at fixed offsets; dpkt builds the refusals.
"""

import ipaddress
import struct

import attrs
import dpkt
import xxhash

from ebonytally import reasons

TCP = 6
UDP = 17
START = 1
END = 2
HASH_BITS = 60
REPLY_TTL = 64

# Version 4, and a header of five words: no options.
_PLAIN = 0x45
_MIN_HEADER_BYTES = 20
_PORT_BYTES = 4
_UDP_HEADER_BYTES = 8
_TCP_HEADER_BYTES = 20
_TCP_FLAGS_OFFSET = 13
# More-fragments flag and fragment offset.
_FRAGMENT_MASK = 0x3FFF
_TCP_BITS = TCP << 16
_UDP_BITS = UDP << 16
# Clears the source port between destination address and port.
_SERVICE_MASK = 0xFFFFFFFF_0000FFFF
_HEADER = struct.Struct("!BxHxxHBB")
_DESTINATION = struct.Struct("!Q")
_MIN_TCP_BYTES = _MIN_HEADER_BYTES + _TCP_HEADER_BYTES
_unpack_tcp = struct.Struct("!xxHxxHBBxxxxxxQxxxxxxxxxB").unpack_from
_ICMP_QUOTED_BYTES = 8
_hash = xxhash.xxh3_64_intdigest

# Phase by TCP flags (FIN 1, SYN 2, RST 4, ACK 16): END for FIN or RST,
# START for SYN without ACK.
_PHASES = tuple(
    END if flags & 0x05 else (START if flags & 0x12 == 0x02 else 0)
    for flags in range(256)
)


@attrs.define
class Parsed:
    """The fields of a packet by which flows are decided.

    :param service: destination address, port and protocol, see `key`
    :param flow: hash of addresses and ports, seeded by the protocol,
        60 bits
    :param phase: START for a SYN, END for FIN or RST, both TCP only;
        otherwise 0
    :param protocol: TCP or UDP
    """

    service: int
    flow: int
    phase: int
    protocol: int


def key(address: str, port: int, protocol: int) -> int:
    """Return address, port and protocol of a service as one integer."""
    packed = int(ipaddress.IPv4Address(address))
    return packed << 32 | protocol << 16 | port


def parse(data: bytes) -> Parsed | reasons.Refusal:
    """Return the fields of an IPv4 packet, or why it is refused."""
    size = len(data)
    if size < _MIN_TCP_BYTES or data[0] != _PLAIN:
        return _parse_uncommon(data)
    total, fragment, ttl, protocol, destination, flags = _unpack_tcp(data)
    if total != size or fragment & _FRAGMENT_MASK or not ttl:
        return _parse_uncommon(data)
    if protocol == TCP:
        return Parsed(
            destination & _SERVICE_MASK | _TCP_BITS,
            _hash(data[12:24], TCP) >> 4,
            _PHASES[flags],
            TCP,
        )
    return _parse_uncommon(data)


def _parse_uncommon(data: bytes) -> Parsed | reasons.Refusal:
    """Parse a packet that is short, not TCP, malformed or has options."""
    size = len(data)
    if size < _MIN_HEADER_BYTES:
        return reasons.Refusal.PACKET_TRUNCATED
    first, total, fragment, ttl, protocol = _HEADER.unpack_from(data)
    if first >> 4 != 4 or first < _PLAIN:
        return reasons.Refusal.PACKET_MALFORMED
    if total != size:
        if total > size:
            return reasons.Refusal.PACKET_TRUNCATED
        return reasons.Refusal.PACKET_MALFORMED
    if fragment & _FRAGMENT_MASK:
        return reasons.Refusal.PACKET_FRAGMENT
    if not ttl:
        return reasons.Refusal.PACKET_TTL
    header_bytes = (first & 0x0F) * 4
    if protocol == TCP:
        if size < header_bytes + _TCP_HEADER_BYTES:
            return reasons.Refusal.PACKET_TRUNCATED
        phase = _PHASES[data[header_bytes + _TCP_FLAGS_OFFSET]]
        bits = _TCP_BITS
    elif protocol == UDP:
        if size < header_bytes + _UDP_HEADER_BYTES:
            return reasons.Refusal.PACKET_TRUNCATED
        phase = 0
        bits = _UDP_BITS
    else:
        return reasons.Refusal.PACKET_PROTOCOL
    flow_key = data[12:20] + data[header_bytes : header_bytes + _PORT_BYTES]
    destination = _DESTINATION.unpack_from(flow_key, 4)[0]
    return Parsed(
        destination & _SERVICE_MASK | bits,
        _hash(flow_key, protocol) >> 4,
        phase,
        protocol,
    )


def source(data: bytes) -> str:
    """Return the source address of a packet that `parse` accepted."""
    return str(ipaddress.IPv4Address(data[12:16]))


def make_refusal(data: bytes) -> bytes | None:
    """Return the packet that informs the caller that its flow has ended.

    :param data: a packet that `parse` accepted
    :returns: a TCP reset or ICMP port unreachable; None in reply to a
        reset, or when the packet can't be decoded
    """
    try:
        packet = dpkt.ip.IP(data)
    except dpkt.UnpackError:
        return None
    if isinstance(packet.data, dpkt.tcp.TCP):
        return _tcp_reset(packet)
    if isinstance(packet.data, dpkt.udp.UDP):
        return _port_unreachable(packet, data)
    return None


def _tcp_reset(packet: dpkt.ip.IP) -> bytes | None:
    segment = packet.data
    if segment.flags & dpkt.tcp.TH_RST:
        return None
    answer = dpkt.tcp.TCP(sport=segment.dport, dport=segment.sport)
    answer.flags = dpkt.tcp.TH_RST
    if segment.flags & dpkt.tcp.TH_ACK:
        answer.seq = segment.ack
    else:
        length = len(segment.data)
        length += bool(segment.flags & dpkt.tcp.TH_SYN)
        length += bool(segment.flags & dpkt.tcp.TH_FIN)
        answer.flags |= dpkt.tcp.TH_ACK
        answer.ack = (segment.seq + length) & 0xFFFFFFFF
    answer.win = 0
    return _from_service(packet, TCP, answer)


def _port_unreachable(packet: dpkt.ip.IP, data: bytes) -> bytes:
    quoted = data[: packet.hl * 4 + _ICMP_QUOTED_BYTES]
    body = dpkt.icmp.ICMP(
        type=dpkt.icmp.ICMP_UNREACH,
        code=dpkt.icmp.ICMP_UNREACH_PORT,
        data=dpkt.icmp.ICMP.Unreach(data=quoted),
    )
    return _from_service(packet, dpkt.ip.IP_PROTO_ICMP, body)


def _from_service(packet: dpkt.ip.IP, protocol: int, body) -> bytes:
    answer = dpkt.ip.IP(
        src=packet.dst,
        dst=packet.src,
        p=protocol,
        ttl=REPLY_TTL,
        data=body,
    )
    answer.len = len(answer)
    return bytes(answer)
