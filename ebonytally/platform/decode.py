"""Strict decoding of the platform's JSON and TOML into attrs classes."""

import math
import typing

import attrs
import cattrs
from cattrs import gen

from ebonytally import errors

_T = typing.TypeVar("_T")
# Integers are stored and sent in 64 bits.
_INT_BOUND = 2**63
_MAX_PORT_DIGITS = 5
_MAX_QUOTED_CHARS = 80


class DecodeError(errors.EbonytallyError):
    """A message or settings file of the platform is malformed."""


def _strict(value: object, cls: type) -> object:
    """Return a value of exactly this type, without conversion from text.

    :raises TypeError: when it is of another type
    :raises ValueError: when it can't be stored and sent to other VMs
    """
    if cls is float and type(value) is int:
        value = float(value)
    if type(value) is not cls:
        raise TypeError(f"expected type {cls.__name__}, got {quoted(value)}")
    if cls is int and not -_INT_BOUND <= value < _INT_BOUND:
        bits = value.bit_length()
        raise ValueError(f"expected a 64-bit integer, got {bits} bits")
    if cls is float and not math.isfinite(value):
        raise ValueError(f"expected a finite number, got {value}")
    if cls is str:
        # JSON may contain lone surrogates, which UTF-8 can't encode.
        value.encode()
    return value


def _wire_names_hook(cls: type, conv: cattrs.Converter) -> typing.Callable:
    """Return a hook that reads fields by their names on the wire.

    Dashes replace underscores, unless the metadata has a `wire` name.
    """
    names = {
        field.name: gen.override(
            rename=field.metadata.get("wire", field.name.replace("_", "-")),
        )
        for field in attrs.fields(cls)
    }
    structure_fields = gen.make_dict_structure_fn(cls, conv, **names)

    def structure_object(value: object, cls: type) -> object:
        return structure_fields(_of_type(value, dict, "an object"), cls)

    return structure_object


def _list_hook(cls: type, conv: cattrs.Converter) -> typing.Callable:
    """Return a hook for lists that refuses other containers and text."""
    (item,) = typing.get_args(cls)
    structure_item = conv.get_structure_hook(item)

    def structure_list(value: object, _: type) -> list:
        items = _of_type(value, list, "a list")
        return [structure_item(each, item) for each in items]

    return structure_list


def _of_type(value: object, cls: type[_T], expected: str) -> _T:
    """Return a value unchanged.

    :param expected: the type in JSON's terms, for the error
    :raises TypeError: when the value is of another type
    """
    if type(value) is not cls:
        raise TypeError(f"expected {expected}, got {quoted(value)}")
    return value


def quoted(value: object) -> str:
    """Return a value as text that is short enough for an error."""
    return repr(value)[:_MAX_QUOTED_CHARS]


def _make_converter() -> cattrs.Converter:
    conv = cattrs.Converter(detailed_validation=False)
    for primitive in (str, int, float, bool):
        conv.register_structure_hook(primitive, _strict)
    conv.register_structure_hook_factory(attrs.has, _wire_names_hook)
    conv.register_structure_hook_factory(
        lambda cls: typing.get_origin(cls) is list, _list_hook
    )
    return conv


_converter = _make_converter()


def structure(raw: object, cls: type[_T], step: str) -> _T:
    """Return a `cls` instance from parsed JSON or TOML.

    :param step: what is decoded, for the error
    :raises DecodeError: with the first error found
    """
    try:
        return _converter.structure(raw, cls)
    except Exception as exc:
        detail = str(exc) or type(exc).__name__
        if isinstance(exc, KeyError):
            detail = f"field {exc.args[0]!r} is missing"
        raise DecodeError(step, "", detail) from exc


def endpoint(text: str, step: str) -> tuple[str, int]:
    """Return address and port of ``ip:port``.

    :param step: what is decoded, for the error
    :raises DecodeError: when it isn't an IPv4 address and a port
    """
    host, _, port_text = text.rpartition(":")
    parts = host.split(".")
    octets = [number for part in parts if (number := _octet(part)) is not None]
    is_port = _is_number(port_text) and len(port_text) <= _MAX_PORT_DIGITS
    port = int(port_text) if is_port else 0
    if len(parts) != 4 or len(octets) != 4 or not 0 < port < 65536:
        raise DecodeError(step, quoted(text), "expected IPv4 address:port")
    return host, port


def _octet(text: str) -> int | None:
    """Return a decimal number of 0 to 255 without leading zeros."""
    if not _is_number(text) or len(text) > 3:
        return None
    number = int(text)
    return number if number < 256 and str(number) == text else None


def _is_number(text: str) -> bool:
    """Return whether a text contains ASCII digits only."""
    return text.isascii() and text.isdigit()
