"""HTTP requests of the usual form, read without a WSGI environment.

All other requests, also malformed ones, are left to gevent's parser.
"""

import functools
import io
import re

import attrs
from gevent import pywsgi

MAX_HEADERS = 32
# A longer body, which may be refused, is left to gevent's parser.
MAX_BODY_BYTES = 64 * 1024
_HEAD_END = b"\r\n\r\n"
# Without escapes and a query. A header has one line of printable ASCII.
_REQUEST_LINE = re.compile(rb"POST (/[A-Za-z0-9._~/-]*) HTTP/1\.1")
_HEADER = re.compile(rb"([A-Za-z][A-Za-z0-9-]*):[ ]?([!-~][ -~]*)?")
_LENGTH = re.compile(rb"[0-9]{1,7}")
# These change how the body is read or what is answered.
_UNUSUAL = frozenset((b"transfer-encoding", b"expect", b"upgrade"))


@attrs.frozen
class Head:
    """Request line and headers of a POST request.

    :param raw: as received, with the empty line at the end
    :param length: of the body, bytes
    """

    raw: bytes
    path: str
    length: int


class Unread(io.RawIOBase):
    """Bytes that were received, followed by the rest of a connection."""

    def __init__(self, received: bytes, rest: io.RawIOBase) -> None:
        """Set up before the bytes that were received."""
        super().__init__()
        self._received = received
        self._rest = rest

    def readable(self) -> bool:
        """Return that this file can be read."""
        return True

    def readinto(self, buffer: memoryview) -> int | None:
        """Read into a buffer; return the number of bytes."""
        if not self._received:
            return self._rest.readinto(buffer)
        part = self._received[: len(buffer)]
        self._received = self._received[len(part) :]
        buffer[: len(part)] = part
        return len(part)

    def close(self) -> None:
        """Close the rest as well."""
        self._rest.close()
        super().close()


def first_head(received: bytes) -> Head | None:
    """Return the head at the begin of what was received.

    :return: None unless it is complete and of the usual form
    """
    lines, separator, _ = received.partition(_HEAD_END)
    if not separator:
        return None
    return _parse_head(lines + separator)


def _parse_head(raw: bytes) -> Head | None:
    request_line, *lines = raw.removesuffix(_HEAD_END).split(b"\r\n")
    request = _REQUEST_LINE.fullmatch(request_line)
    headers = _parse_headers(lines)
    if request is None or headers is None:
        return None
    length = headers.get(b"content-length", b"")
    connection = headers.get(b"connection", b"keep-alive")
    if (
        not _LENGTH.fullmatch(length)
        or connection.lower() != b"keep-alive"
        or not _UNUSUAL.isdisjoint(headers)
        or int(length) > MAX_BODY_BYTES
    ):
        return None
    return Head(raw, request[1].decode(), int(length))


def _parse_headers(lines: list[bytes]) -> dict[bytes, bytes] | None:
    """Return the values by lower-case names, None if any is unusual."""
    headers = {}
    for line in lines[: MAX_HEADERS + 1]:
        header = _HEADER.fullmatch(line)
        if header is None:
            return None
        headers[header[1].lower()] = header[2] or b""
    return headers if len(headers) == len(lines) else None


def encode_answer(
    status: str,
    headers: list[tuple[str, str]],
    body: bytes,
    wall: float,
) -> bytes:
    """Return an answer as gevent's server would send it.

    :param wall: seconds since 1970
    """
    lines = "".join([f"{name}: {value}\r\n" for name, value in headers])
    head = (
        f"HTTP/1.1 {status}\r\n{lines}Content-Length: {len(body)}\r\n"
        f"Date: {_date(int(wall))}\r\n\r\n"
    )
    return head.encode("latin-1") + body


@functools.lru_cache(maxsize=2)
def _date(wall_s: int) -> str:
    return pywsgi.format_date_time(wall_s).decode()
