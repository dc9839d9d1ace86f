"""Frames between entry VMs: typed messages, bounded and authentic.

A frame is a 16-byte keyed BLAKE2s tag, then a msgpack array
``[version, kind, sender, fields...]``. Fields are positional: an older
daemon ignores trailing fields that it doesn't know, a newer one gives
missing trailing fields their defaults.
"""

import hashlib
import hmac
from typing import Any
from typing import TypeVar

import attrs
import cattrs
import msgpack

from ebonytally import errors
from ebonytally import reasons

VERSION = 1
OLDEST_VERSION = 1
TAG_BYTES = 16
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 60_000

_T = TypeVar("_T")
_KINDS: dict[int, type] = {}
_KIND_OF: dict[type, int] = {}
_converter = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE,
)


@attrs.define(eq=False)
class FrameError(errors.WireError):
    """A frame that is refused, with the reason to count.

    :param reason: the refusal to count
    """

    reason: reasons.Refusal = reasons.Refusal.FRAME_MALFORMED


def message(kind: int):
    """Register an attrs class as message `kind` (1 to 65535)."""

    def register(cls: type[_T]) -> type[_T]:
        if kind in _KINDS:
            raise ValueError(f"message kind {kind} is taken")
        _KINDS[kind] = cls
        _KIND_OF[cls] = kind
        return cls

    return register


def union(alias: Any) -> None:
    """Let fields of this union of messages carry the kind of each.

    :param alias: union type of registered messages
    """
    _converter.register_unstructure_hook_func(
        lambda cls: cls == alias,
        lambda msg: (_KIND_OF[type(msg)], _converter.unstructure(msg)),
    )
    _converter.register_structure_hook_func(
        lambda cls: cls == alias,
        lambda raw, _: _converter.structure(raw[1], _KINDS[raw[0]]),
    )


def kind_of(msg: object) -> int:
    """Return the number under which the class of `msg` is registered."""
    return _KIND_OF[type(msg)]


def _tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2s(body, key=key, digest_size=TAG_BYTES).digest()


def pack(value: object) -> bytes:
    """Return an attrs value as msgpack, without a frame around it."""
    return msgpack.packb(_converter.unstructure(value), use_bin_type=True)


def unpack(data: bytes, cls: type[_T]) -> _T:
    """Return the `cls` that `pack` wrote.

    :raises WireError: when the bytes are no such value
    """
    try:
        raw = msgpack.unpackb(data, raw=False, use_list=False)
        return _converter.structure(raw, cls)
    except Exception as exc:
        raise errors.WireError("unpack", cls.__name__, repr(exc)) from exc


def pack_message(msg: object) -> bytes:
    """Return a registered message as msgpack ``[kind, fields]``."""
    fields = _converter.unstructure(msg)
    return msgpack.packb([_KIND_OF[type(msg)], fields], use_bin_type=True)


def unpack_message(data: bytes) -> Any:
    """Return the registered message that `pack_message` wrote.

    :raises WireError: when the bytes are no such message
    """
    try:
        kind, fields = msgpack.unpackb(data, raw=False, use_list=False)
        return _converter.structure(fields, _KINDS[kind])
    except Exception as exc:
        raise errors.WireError("unpack message", "", repr(exc)) from exc


def encode(key: bytes, sender: str, msg: object) -> bytes:
    """Return `msg` as a frame, authenticated with the cluster key.

    :param key: cluster key, 16 to 32 bytes
    :param sender: name of the entry VM that sends it
    """
    fields = _converter.unstructure(msg)
    body = msgpack.packb(
        [VERSION, _KIND_OF[type(msg)], sender, fields],
        use_bin_type=True,
    )
    return _tag(key, body) + body


def decode(key: bytes, frame: bytes) -> tuple[str, Any]:
    """Return sender and message of a frame.

    :raises FrameError: when it is damaged, foreign or of another version
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise _refuse(reasons.Refusal.FRAME_OVERSIZED, "too large")
    tag = frame[:TAG_BYTES]
    body = frame[TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(key, body)):
        raise _refuse(reasons.Refusal.FRAME_UNAUTHENTIC, "wrong tag")
    try:
        version, kind, sender, fields = msgpack.unpackb(
            body,
            raw=False,
            use_list=False,
        )
    except Exception as exc:
        detail = repr(exc)
        raise _refuse(reasons.Refusal.FRAME_MALFORMED, detail) from exc
    if not isinstance(version, int) or version < OLDEST_VERSION:
        raise _refuse(reasons.Refusal.FRAME_VERSION, f"version {version}")
    cls = _KINDS.get(kind)
    if cls is None or not isinstance(sender, str):
        raise _refuse(reasons.Refusal.FRAME_MALFORMED, f"kind {kind}")
    try:
        return sender, _converter.structure(fields, cls)
    except Exception as exc:
        detail = repr(exc)
        raise _refuse(reasons.Refusal.FRAME_MALFORMED, detail) from exc


def _refuse(reason: reasons.Refusal, detail: str) -> FrameError:
    return FrameError("decode frame", "", detail, reason)
