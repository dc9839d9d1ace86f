"""Serialises state machine results for peers and snapshots."""

import msgpack

from ebonytally import errors
from ebonytally import wire


def pack(result: object) -> bytes:
    """Return the serialised result.

    :param result: a `wire.message` or a plain msgpack value
    """
    try:
        wire.kind_of(result)
    except KeyError:
        return b"\0" + msgpack.packb(result, use_bin_type=True)
    return b"\1" + wire.pack_message(result)


def unpack(data: bytes) -> object:
    """Return the result that `pack` serialised.

    :raises WireError: if the bytes can't be decoded
    """
    if data[:1] == b"\1":
        return wire.unpack_message(data[1:])
    try:
        return msgpack.unpackb(data[1:], raw=False, use_list=False)
    except Exception as exc:
        raise errors.WireError("unpack result", "", repr(exc)) from exc
