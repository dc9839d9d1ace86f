"""Encoding of the platform's packets, for callers and upstreams."""

import struct

import attrs

FIN = 1
SYN = 4
RST = 8
ACK = 32
ID_BYTES = 8
HEADER_BYTES = 32
# Marks packets of stand-ins; packets made by the system have sum 0.
STANDIN_SUM = 0x5A5A5A5A
_HEADER = struct.Struct(">IIH4s4sHHBBII")


@attrs.frozen
class Packet:
    """One packet; `src` and `dst` are four-byte addresses."""

    src: bytes
    sport: int
    dst: bytes
    dport: int
    flags: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""
    sum: int = STANDIN_SUM

    def has_flag(self, flag: int) -> bool:
        """Return whether a flag is set."""
        return bool(self.flags & flag)

    def encode(self) -> bytes:
        """Return the packet as the payload of a datagram."""
        header = _HEADER.pack(
            self.seq,
            self.ack,
            len(self.data),
            self.dst,
            self.src,
            self.dport,
            self.sport,
            self.flags,
            0,
            self.echo,
            self.sum,
        )
        return header + self.data


def decode(raw: bytes) -> Packet | None:
    """Return the packet in a datagram, None if it is malformed."""
    if len(raw) < HEADER_BYTES:
        return None
    seq, ack, size, dst, src, dport, sport, flags, _, echo, checksum = (
        _HEADER.unpack_from(raw)
    )
    if size != len(raw) - HEADER_BYTES:
        return None
    data = raw[HEADER_BYTES:]
    return Packet(
        src, sport, dst, dport, flags, seq, ack, echo, data, checksum
    )


def make_reply(packet: Packet, flags: int, **change: object) -> Packet:
    """Return a packet in the reverse direction of a received one."""
    return Packet(
        packet.dst, packet.dport, packet.src, packet.sport, flags, **change
    )
