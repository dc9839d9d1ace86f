"""The platform's packets as callers and upstreams write them."""

import struct

import attrs

FIN = 1
SYN = 4
RST = 8
ACK = 32
ID_BYTES = 8
HEAD_BYTES = 32
# Tells a stand-in's packet from one that the system made, whose sum is 0.
STANDIN_SUM = 0x5A5A5A5A
_HEAD = struct.Struct(">IIH4s4sHHBBII")


@attrs.frozen
class Packet:
    """One packet; addresses are four bytes each."""

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

    def has(self, flag: int) -> bool:
        """Return whether a flag is set."""
        return bool(self.flags & flag)

    def encode(self) -> bytes:
        """Return the datagram."""
        head = _HEAD.pack(
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
        return head + self.data


def decode(raw: bytes) -> Packet | None:
    """Return the packet of a datagram, None for what is none."""
    if len(raw) < HEAD_BYTES:
        return None
    seq, ack, size, dst, src, dport, sport, flags, _, echo, total = (
        _HEAD.unpack_from(raw)
    )
    if size != len(raw) - HEAD_BYTES:
        return None
    data = raw[HEAD_BYTES:]
    return Packet(src, sport, dst, dport, flags, seq, ack, echo, data, total)


def answer(to: Packet, flags: int, **change: object) -> Packet:
    """Return a packet in the other direction."""
    return Packet(to.dst, to.dport, to.src, to.sport, flags, **change)
