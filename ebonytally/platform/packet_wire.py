"""Encoding of packets on the platform's wire."""

import struct

from ebonytally.echo import packets

HEADER_BYTES = 32
MAX_BYTES = HEADER_BYTES + 1200
_FIN = 1
_SYN = 4
_RST = 8
_ACK = 32
# seq, ack, len; dst, src, dport, sport as bytes; flags, padding, echo.
_HEADER = struct.Struct(">IIH4s4s2s2sBBI")
_ECHO = struct.Struct(">I")
_UPSTREAM_NUMBER = struct.Struct(">Q")
_ECHO_START = 24
_ECHO_END = 28
_CHECKSUM_BYTES = 4


def decode(data: bytes) -> packets.Packet | None:
    """Return a caller's packet, None if malformed.

    In an opening packet `ack` counts the copies sent before it.
    A packet with both SYN and ACK is refused as well: only an upstream
    sends one.
    """
    if not HEADER_BYTES <= len(data) <= MAX_BYTES:
        return None
    header = _HEADER.unpack_from(data)
    _, ack, size, dst, src, dport, sport, flags, _, echo = header
    if flags & _SYN and flags & _ACK:
        return None
    if size != len(data) - HEADER_BYTES:
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
        ack if flags & _SYN else 0,
    )


def upstream_number(id_: str) -> int | None:
    """Return the number that identifies an upstream in packets.

    :param id_: upstream id; its hex digits form the number, other
        characters are ignored
    :return: None without digits or with more than 16
    """
    digits = "".join(char for char in id_ if char in "0123456789abcdefABCDEF")
    if not 0 < len(digits) <= 16:
        return None
    return int(digits, 16)


def encode_for_upstream(action: packets.ToUpstream) -> bytes:
    """Return the datagram for an upstream: its number, then the packet.

    The cookie, if any, replaces the packet's echo field.
    """
    raw = action.packet.raw
    prefix = _UPSTREAM_NUMBER.pack(upstream_number(action.id) or 0)
    if action.cookie is None:
        return prefix + raw
    echo = _ECHO.pack(action.cookie)
    return prefix + raw[:_ECHO_START] + echo + raw[_ECHO_END:]


def encode_reset(packet: packets.Packet) -> tuple[str, bytes]:
    """Return the caller's address and a packet that resets its flow."""
    header = _HEADER.unpack_from(packet.raw)
    _, ack, _, dst, src, dport, sport, _, _, _ = header
    data = _HEADER.pack(ack, 0, 0, src, dst, sport, dport, _RST, 0, 0)
    return ".".join(str(octet) for octet in src), data + bytes(_CHECKSUM_BYTES)
