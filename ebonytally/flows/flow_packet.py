"""IPv4 packets of callers: cheap parsing, and answers in our name.

The fast path reads fixed offsets; dpkt builds what goes back to callers.
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
ANSWER_TTL = 64

# Version 4 and a header without options.
_PLAIN = 0x45
_MIN_HEADER_BYTES = 20
_PORT_BYTES = 4
_UDP_HEADER_BYTES = 8
_TCP_HEADER_BYTES = 20
_TCP_FLAGS_OFFSET = 13
_FRAGMENT_MASK = 0x3FFF
_TCP_BITS = TCP << 16
_UDP_BITS = UDP << 16
_ENDS_MASK = 0xFFFFFFFF_0000FFFF
_HEADER = struct.Struct("!BxHxxHBB")
_ENDS = struct.Struct("!Q")
_FAST_BYTES = _MIN_HEADER_BYTES + _TCP_HEADER_BYTES
_fast = struct.Struct("!xxHxxHBBxxxxxxQxxxxxxxxxB").unpack_from
_ICMP_QUOTED_BYTES = 8
_hash = xxhash.xxh3_64_intdigest

# By the byte of TCP flags: FIN 1, SYN 2, RST 4, ACK 16.
_MARKS = tuple(
    END if flags & 0x05 else (START if flags & 0x12 == 0x02 else 0)
    for flags in range(256)
)


@attrs.define
class Parsed:
    """What the flow decision needs to know of a packet.

    :param service: destination address, port and protocol, see `key`
    :param flow: hash of addresses and ports, seeded by the protocol,
        60 bits
    :param marks: START for a SYN, END for FIN or RST, both TCP only
    :param protocol: TCP or UDP
    """

    service: int
    flow: int
    marks: int
    protocol: int


def key(address: str, port: int, protocol: int) -> int:
    """Return the number that stands for a service's address."""
    packed = int(ipaddress.IPv4Address(address))
    return packed << 32 | protocol << 16 | port


def parse(data: bytes) -> Parsed | reasons.Refusal:
    """Return what matters of an IPv4 packet, or why it is refused."""
    size = len(data)
    if size < _FAST_BYTES or data[0] != _PLAIN:
        return _careful(data)
    total, fragment, ttl, protocol, ends, flags = _fast(data)
    if total != size or fragment & _FRAGMENT_MASK or not ttl:
        return _careful(data)
    if protocol == TCP:
        return Parsed(
            ends & _ENDS_MASK | _TCP_BITS,
            _hash(data[12:24], TCP) >> 4,
            _MARKS[flags],
            TCP,
        )
    return _careful(data)


def _careful(data: bytes) -> Parsed | reasons.Refusal:
    """Parse packets that are short, odd, damaged or not TCP."""
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
    at = (first & 0x0F) * 4
    if protocol == TCP:
        if size < at + _TCP_HEADER_BYTES:
            return reasons.Refusal.PACKET_TRUNCATED
        marks = _MARKS[data[at + _TCP_FLAGS_OFFSET]]
        bits = _TCP_BITS
    elif protocol == UDP:
        if size < at + _UDP_HEADER_BYTES:
            return reasons.Refusal.PACKET_TRUNCATED
        marks = 0
        bits = _UDP_BITS
    else:
        return reasons.Refusal.PACKET_PROTOCOL
    both = data[12:20] + data[at : at + _PORT_BYTES]
    ends = _ENDS.unpack_from(both, 4)[0]
    return Parsed(
        ends & _ENDS_MASK | bits,
        _hash(both, protocol) >> 4,
        marks,
        protocol,
    )


def source(data: bytes) -> str:
    """Return the source address of a packet that `parse` took."""
    return str(ipaddress.IPv4Address(data[12:16]))


def refusal(data: bytes) -> bytes | None:
    """Return the packet that tells the caller that its flow has ended.

    :param data: a packet that `parse` took
    :returns: a TCP reset or ICMP port unreachable, None where the
        protocol asks for silence (a reset isn't answered)
    """
    try:
        packet = dpkt.ip.IP(data)
    except dpkt.UnpackError:
        return None
    if isinstance(packet.data, dpkt.tcp.TCP):
        return _reset(packet)
    if isinstance(packet.data, dpkt.udp.UDP):
        return _unreachable(packet, data)
    return None


def _reset(packet: dpkt.ip.IP) -> bytes | None:
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


def _unreachable(packet: dpkt.ip.IP, data: bytes) -> bytes:
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
        ttl=ANSWER_TTL,
        data=body,
    )
    answer.len = len(answer)
    return bytes(answer)
