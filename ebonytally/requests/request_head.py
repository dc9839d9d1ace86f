"""Metadata of a caller's request, on which `RequestDispatcher` decides."""

import hashlib

import attrs

CONTENT_BYTES = 16


@attrs.frozen
class RequestHead:
    """A caller's request without its headers and body.

    :param req: number of the request, unique at this entry VM
    :param service: name of the service, from the Host header
    :param idempotent: it may run more than once
    :param key: idempotency key, a UUIDv7 as text, "" for none
    :param content_digest: digest of method, target and body
    :param body_bytes: length of the body
    :param deadline: monotonic seconds, on the clock of `now`
    :param wall: arrival, seconds since 1970 by this machine's clock
    """

    req: int
    service: str
    method: str
    idempotent: bool
    key: str
    content_digest: bytes
    body_bytes: int
    deadline: float
    wall: float


def with_body(
    head: RequestHead,
    target: str,
    body: bytes,
) -> RequestHead:
    """Return `head` with body length and content digest filled in."""
    digest = hashlib.blake2b(digest_size=CONTENT_BYTES)
    for part in (head.method.encode(), target.encode("latin-1"), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return attrs.evolve(
        head,
        content_digest=digest.digest(),
        body_bytes=len(body),
    )
