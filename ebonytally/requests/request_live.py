"""A request that isn't answered yet, and its attempts."""

import attrs

from ebonytally import reasons
from ebonytally.requests import request_head


@attrs.define
class Live:
    """A request that isn't answered yet.

    :param refusal: why it can't be taken in, once its claim is granted
    :param tried: upstreams that it must not go to again
    :param attempt: number of the attempt under way, 0 for none
    :param claiming: its keepers haven't decided yet
    :param passing: the answer's first bytes went to the caller
    :param maybe_ran: an upstream may have run an earlier attempt
    :param gone: its caller went away
    """

    head: request_head.RequestHead
    refusal: reasons.Refusal | None = None
    tried: set[int] = attrs.field(factory=set)
    attempt: int = 0
    claiming: bool = False
    passing: bool = False
    maybe_ran: bool = False
    gone: bool = False

    @property
    def keyed(self) -> bool:
        """Tell whether it may run only after a claim."""
        return bool(self.head.key) and not self.head.idempotent


@attrs.frozen
class Attempt:
    """One attempt under way.

    :param upstream: upstream id whose slot it holds
    """

    req: int
    service: str
    upstream: int
