"""Strict decoding of the platform's JSON and TOML into attrs classes."""

import typing

import attrs
import cattrs
from cattrs import gen

from ebonytally import errors

_T = typing.TypeVar("_T")


class DecodeError(errors.EbonytallyError):
    """A message or settings file of the platform is malformed."""


def _strict(value: object, cls: type) -> object:
    """Return a value of exactly this type, without conversion from text."""
    if cls is float and type(value) is int:
        return float(value)
    if type(value) is not cls:
        raise TypeError(f"expected type {cls.__name__}, got {value!r}")
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
    return gen.make_dict_structure_fn(cls, conv, **names)


def _make_converter() -> cattrs.Converter:
    conv = cattrs.Converter(detailed_validation=False)
    for primitive in (str, int, float, bool):
        conv.register_structure_hook(primitive, _strict)
    conv.register_structure_hook_factory(attrs.has, _wire_names_hook)
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
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    numbers = [int(part) for part in parts if part.isdigit() and len(part) < 4]
    if len(parts) != 4 or len(numbers) != 4 or max(numbers) > 255:
        raise DecodeError(step, text, "expected IPv4 address:port")
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise DecodeError(step, text, "expected IPv4 address:port")
    return host, int(port)
