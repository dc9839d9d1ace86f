"""Strict decoding of the platform's fields into typed values."""

import typing

import attrs
import cattrs
from cattrs import gen

from ebonytally import errors

T = typing.TypeVar("T")


class DecodeError(errors.EbonytallyError):
    """A message of the platform that can't be read."""


def _strict(value: object, cls: type) -> object:
    if cls is float and type(value) is int:
        return float(value)
    if type(value) is not cls:
        raise TypeError(f"{value!r} is not of type {cls.__name__}")
    return value


def _rename(cls: type, conv: cattrs.Converter) -> typing.Callable:
    """Read a class's fields by their names with dashes."""
    names = {
        field.name: gen.override(
            rename=field.metadata.get("wire", field.name.replace("_", "-")),
        )
        for field in attrs.fields(cls)
    }
    return gen.make_dict_structure_fn(cls, conv, **names)


def _make_converter() -> cattrs.Converter:
    conv = cattrs.Converter(detailed_validation=False)
    for plain in (str, int, float, bool):
        conv.register_structure_hook(plain, _strict)
    conv.register_structure_hook_factory(attrs.has, _rename)
    return conv


_converter = _make_converter()


def structure(raw: object, cls: type[T], step: str) -> T:
    """Return a `cls` from what JSON or TOML gave.

    :raises DecodeError: with the first fault
    """
    try:
        return _converter.structure(raw, cls)
    except Exception as exc:
        fault = str(exc) or type(exc).__name__
        if isinstance(exc, KeyError):
            fault = f"field {exc.args[0]!r} is missing"
        raise DecodeError(step, "", fault) from exc


def endpoint(text: str, step: str) -> tuple[str, int]:
    """Return address and port of ``ip:port``.

    :raises DecodeError: when it is something else
    """
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    numbers = [int(one) for one in parts if one.isdigit() and len(one) < 4]
    if len(parts) != 4 or len(numbers) != 4 or max(numbers) > 255:
        raise DecodeError(step, text, "is not ip:port")
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise DecodeError(step, text, "is not ip:port")
    return host, int(port)
