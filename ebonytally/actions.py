"""What a deciding slice asks its adapters to do."""

import enum

import attrs


@attrs.define
class Send:
    """Send a registered message to another entry VM, best effort."""

    peer: str
    msg: object


@attrs.define
class Forward:
    """Send an IP packet to an upstream, as the payload of a datagram.

    Not frozen: one is made for each packet, and that would take thrice
    the time.

    :param upstream: upstream id, for counting
    """

    upstream: int
    address: str
    port: int
    packet: bytes


@attrs.frozen
class ToCaller:
    """Send an IP packet back to the caller, as a TCP reset say."""

    packet: bytes


@attrs.frozen
class Propose:
    """Hand a command to the replicated log.

    :param token: names the proposal in the answer to the proposer
    """

    token: str
    command: object


@attrs.frozen
class Dispatch:
    """Send a request to an upstream and report how it went.

    :param req: number of the request at this entry VM
    :param attempt: number of the attempt, unique at this entry VM
    :param deadline: seconds, on the clock of `now`
    """

    req: int
    attempt: int
    upstream: int
    address: str
    port: int
    deadline: float


@attrs.frozen
class Cancel:
    """Stop an attempt and tell the upstream by closing."""

    attempt: int


class Outcome(enum.StrEnum):
    """What a caller is told about its request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    STILL_RUNNING = "still_running"
    OUTCOME_UNKNOWN = "outcome_unknown"
    FAILED_AFTER_RUNNING = "failed_after_running"


@attrs.frozen
class Answer:
    """Answer a caller's request.

    :param attempt: attempt whose answer is passed on, 0 for none
    :param status: HTTP status
    :param reason: why it was refused, "" when answered
    :param body: kept answer of an earlier run of the same key
    """

    req: int
    outcome: Outcome
    status: int
    attempt: int = 0
    reason: str = ""
    retry_after_s: float = 0.0
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class Decided:
    """Tell a proposer how its proposal ended.

    :param token: as given with the proposal
    :param ok: it is committed and applied
    :param result: what the state machine answered, None when refused
    :param reason: why it was refused, "" when applied
    """

    token: str
    ok: bool
    result: object = None
    reason: str = ""


@attrs.frozen
class Reply:
    """Answer an operator's request.

    :param req: number of the request at this entry VM
    :param answer: a `plan_messages.Answer` or `plan_messages.OpenPlans`
    """

    req: int
    answer: object


Action = (
    Send
    | Forward
    | ToCaller
    | Propose
    | Dispatch
    | Cancel
    | Answer
    | Decided
    | Reply
)
