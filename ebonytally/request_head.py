"""What the deciding slice knows of a caller's request."""

import attrs


@attrs.frozen
class RequestHead:
    """A caller's request without its bytes.

    :param req: number of the request, unique at this entry VM
    :param service: name of the service, from the Host header
    :param idempotent: it may run more than once
    :param key: idempotency key, a UUIDv7 as text, "" for none
    :param content: digest of method, target and body
    :param body_bytes: length of the body
    :param deadline: seconds, on the clock of `now`
    :param wall: seconds since 1970 by this machine's clock
    """

    req: int
    service: str
    method: str
    idempotent: bool
    key: str
    content: bytes
    body_bytes: int
    deadline: float
    wall: float
