"""State of requests that are not answered yet and of their attempts."""

import attrs

from ebonytally import reasons
from ebonytally.requests import request_head


@attrs.define
class OpenRequest:
    """A request that is not answered yet.

    :param refusal: why it can't be admitted, answered if its claim is granted
    :param tried_upstreams: ids of upstreams that a retry must avoid
    :param attempt: number of the running attempt, 0 for none
    :param claim_pending: the owners of its key haven't decided yet
    :param response_started: part of an answer was sent to the caller
    :param may_have_run: an upstream may have run an earlier attempt
    :param caller_gone: the caller closed its connection
    """

    head: request_head.RequestHead
    refusal: reasons.Refusal | None = None
    tried_upstreams: set[int] = attrs.field(factory=set)
    attempt: int = 0
    claim_pending: bool = False
    response_started: bool = False
    may_have_run: bool = False
    caller_gone: bool = False

    @property
    def needs_claim(self) -> bool:
        """Return whether it may run only after its key was claimed."""
        return bool(self.head.key) and not self.head.idempotent


@attrs.frozen
class Attempt:
    """A running attempt of a request.

    :param req: number of the request
    :param upstream: id of the upstream whose slot it occupies
    """

    req: int
    service: str
    upstream: int
