"""Frames between VMs: typed messages, bounded in size, authenticated.

A frame is a 16-byte keyed BLAKE2s tag, then a msgpack array
``[version, kind, sender, fields]``. Fields are positional: an older
daemon ignores trailing fields that it doesn't know, a newer one uses the
defaults of trailing fields that are missing.
"""

import hashlib
import hmac
import operator
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
_CLASS_BY_KIND: dict[int, type] = {}
_KIND_BY_CLASS: dict[type, int] = {}
_converter = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE,
)


@attrs.define(eq=False)
class FrameError(errors.WireError):
    """A received frame is refused.

    :param reason: refusal whose counter is incremented
    """

    reason: reasons.Refusal = reasons.Refusal.FRAME_MALFORMED


def message(kind: int):
    """Return a decorator that registers an attrs class as a message.

    :param kind: number on the wire, 1 to 65535
    :raises ValueError: when the number is already registered
    """

    def register(cls: type[_T]) -> type[_T]:
        if kind in _CLASS_BY_KIND:
            raise ValueError(
                f"message kind {kind} of {cls.__name__} is already used by "
                f"{_CLASS_BY_KIND[kind].__name__}"
            )
        _CLASS_BY_KIND[kind] = cls
        _KIND_BY_CLASS[cls] = kind
        return cls

    return register


def flat(cls: type[_T]) -> type[_T]:
    """Encode an attrs class faster, whose fields are all plain values.

    The encoding is the same. For classes that are encoded very often.
    """
    names = [field.name for field in attrs.fields(cls)]
    _converter.register_unstructure_hook(cls, operator.attrgetter(*names))
    return cls


def register_union(alias: Any) -> None:
    """Encode fields of a union type as ``(kind, fields)``.

    :param alias: union type of registered messages
    """
    _converter.register_unstructure_hook_func(
        lambda cls: cls == alias,
        lambda msg: (_KIND_BY_CLASS[type(msg)], _converter.unstructure(msg)),
    )
    _converter.register_structure_hook_func(
        lambda cls: cls == alias,
        lambda raw, _: _converter.structure(raw[1], _CLASS_BY_KIND[raw[0]]),
    )


def kind_of(msg: object) -> int:
    """Return the kind under which the class of `msg` is registered."""
    return _KIND_BY_CLASS[type(msg)]


def _tag(key: bytes, body: bytes) -> bytes:
    """Return the keyed BLAKE2s tag that authenticates a frame's body."""
    return hashlib.blake2s(body, key=key, digest_size=TAG_BYTES).digest()


def pack(value: object) -> bytes:
    """Return an attrs instance as msgpack, without a frame."""
    return msgpack.packb(_converter.unstructure(value), use_bin_type=True)


def unpack(data: bytes, cls: type[_T]) -> _T:
    """Return the `cls` instance that `pack` encoded.

    :raises WireError: when the bytes don't decode to `cls`
    """
    try:
        raw = msgpack.unpackb(data, raw=False, use_list=False)
        return _converter.structure(raw, cls)
    except Exception as exc:
        raise errors.WireError("unpack", cls.__name__, repr(exc)) from exc


def pack_message(msg: object) -> bytes:
    """Return a registered message as msgpack ``[kind, fields]``."""
    fields = _converter.unstructure(msg)
    return msgpack.packb(
        [_KIND_BY_CLASS[type(msg)], fields],
        use_bin_type=True,
    )


def unpack_message(data: bytes) -> Any:
    """Return the registered message that `pack_message` encoded.

    :raises WireError: when the bytes don't decode to a known message
    """
    try:
        kind, fields = msgpack.unpackb(data, raw=False, use_list=False)
        return _converter.structure(fields, _CLASS_BY_KIND[kind])
    except Exception as exc:
        raise errors.WireError("unpack message", "", repr(exc)) from exc


def encode(key: bytes, sender: str, msg: object) -> bytes:
    """Return `msg` as a frame, authenticated with the cluster key.

    :param key: cluster key, 16 to 32 bytes
    :param sender: name of the sending VM
    """
    fields = _converter.unstructure(msg)
    body = msgpack.packb(
        [VERSION, _KIND_BY_CLASS[type(msg)], sender, fields],
        use_bin_type=True,
    )
    return _tag(key, body) + body


def decode(key: bytes, frame: bytes) -> tuple[str, Any]:
    """Return the sender's name and the message of a frame.

    :param key: cluster key, 16 to 32 bytes
    :raises FrameError: when the frame is oversized, damaged, made with
        another key or of an unsupported version
    """
    if len(frame) > MAX_FRAME_BYTES:
        detail = f"frame has {len(frame)} bytes, at most {MAX_FRAME_BYTES}"
        raise _frame_error(reasons.Refusal.FRAME_OVERSIZED, detail)
    tag = frame[:TAG_BYTES]
    body = frame[TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(key, body)):
        detail = f"tag doesn't match the body ({len(frame)} bytes)"
        raise _frame_error(reasons.Refusal.FRAME_UNAUTHENTIC, detail)
    try:
        version, kind, sender, fields = msgpack.unpackb(
            body,
            raw=False,
            use_list=False,
        )
    except Exception as exc:
        detail = repr(exc)
        raise _frame_error(reasons.Refusal.FRAME_MALFORMED, detail) from exc
    if not isinstance(version, int) or version < OLDEST_VERSION:
        detail = f"version {version}, expected {OLDEST_VERSION} or later"
        raise _frame_error(reasons.Refusal.FRAME_VERSION, detail)
    cls = _CLASS_BY_KIND.get(kind) if isinstance(kind, int) else None
    if cls is None or not isinstance(sender, str):
        sender_type = type(sender).__name__
        detail = f"unknown kind {kind} or sender of type {sender_type}"
        raise _frame_error(reasons.Refusal.FRAME_MALFORMED, detail)
    try:
        return sender, _converter.structure(fields, cls)
    except Exception as exc:
        detail = repr(exc)
        raise _frame_error(reasons.Refusal.FRAME_MALFORMED, detail) from exc


def _frame_error(reason: reasons.Refusal, detail: str) -> FrameError:
    return FrameError("decode frame", "", detail, reason)
