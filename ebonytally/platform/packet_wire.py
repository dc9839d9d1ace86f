"""Packets on the platform's wire."""

import struct

from ebonytally.echo import packets

HEAD_BYTES = 32
MAX_BYTES = HEAD_BYTES + 1200
_FIN = 1
_SYN = 4
_RST = 8
_ACK = 32
# seq, ack, len; dst, src, dport and sport stay bytes; flags, pad, echo.
_HEAD = struct.Struct(">IIH4s4s2s2sBBI")
_ECHO = struct.Struct(">I")
_ID = struct.Struct(">Q")
_ECHO_AT = 24
_ECHO_END = 28
_SUM_BYTES = 4


def decode(data: bytes) -> packets.Packet | None:
    """Return a caller's packet, None for what no caller sends."""
    if not HEAD_BYTES <= len(data) <= MAX_BYTES:
        return None
    head = _HEAD.unpack_from(data)
    _, ack, size, dst, src, dport, sport, flags, _, echo = head
    if flags & _SYN and flags & _ACK:
        return None
    if size != len(data) - HEAD_BYTES:
        return None
    return packets.Packet(
        src + sport + dst + dport,
        dst + dport,
        bool(flags & _SYN),
        bool(flags & (_FIN | _RST)),
        echo,
        ack,
        size,
        data,
    )


def id_number(id_: str) -> int | None:
    """Return the number by which packets name an upstream.

    :param id_: its hex digits count, the rest is left out
    """
    digits = "".join(one for one in id_ if one in "0123456789abcdefABCDEF")
    if not 0 < len(digits) <= 16:
        return None
    return int(digits, 16)


def for_upstream(action: packets.ToUpstream) -> bytes:
    """Return the datagram for an upstream."""
    raw = action.packet.raw
    prefix = _ID.pack(id_number(action.id) or 0)
    if action.cookie is None:
        return prefix + raw
    echo = _ECHO.pack(action.cookie)
    return prefix + raw[:_ECHO_AT] + echo + raw[_ECHO_END:]


def reset(packet: packets.Packet) -> tuple[str, bytes]:
    """Return a caller's address and the packet that resets its flow."""
    head = _HEAD.unpack_from(packet.raw)
    _, ack, _, dst, src, dport, sport, _, _, _ = head
    data = _HEAD.pack(ack, 0, 0, src, dst, sport, dport, _RST, 0, 0)
    return ".".join(str(one) for one in src), data + bytes(_SUM_BYTES)
