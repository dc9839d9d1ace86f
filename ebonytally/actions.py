"""Actions: what components return for their adapters to carry out."""

import enum

import attrs


@attrs.define
class Send:
    """Send a wire message to another VM, best effort.

    :param msg: instance of a class registered with `wire.message`
    """

    peer: str
    msg: object


@attrs.define
class Forward:
    """Send an IP packet to an upstream, as the payload of a datagram.

    Not frozen: one is created per packet, and creating a frozen instance
    takes three times as long.

    :param upstream: upstream id, for counters
    """

    upstream: int
    address: str
    port: int
    packet: bytes


@attrs.frozen
class SendToCaller:
    """Send an IP packet back to the caller, such as a TCP reset."""

    packet: bytes


@attrs.frozen
class Propose:
    """Propose a command to the replicated log.

    :param token: identifies the proposal in its `ProposalResult`
    """

    token: str
    command: object


@attrs.frozen
class Dispatch:
    """Send a request to an upstream and report the result.

    :param req: number of the request, unique at this entry VM
    :param attempt: number of the attempt, unique at this entry VM
    :param deadline: monotonic seconds, as `ports.Clock.now`
    """

    req: int
    attempt: int
    upstream: int
    address: str
    port: int
    deadline: float


@attrs.frozen
class Cancel:
    """Abort an attempt; closing the connection cancels it upstream."""

    attempt: int


class Outcome(enum.StrEnum):
    """Outcome of a request as reported to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    STILL_RUNNING = "still_running"
    OUTCOME_UNKNOWN = "outcome_unknown"
    FAILED_AFTER_RUNNING = "failed_after_running"


@attrs.frozen
class RequestAnswer:
    """Answer a caller's request.

    :param attempt: attempt whose answer is forwarded, 0 for none
    :param status: HTTP status
    :param reason: why the request was refused, "" when answered
    :param body: stored answer to an earlier request with the same
        idempotency key
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
class ProposalResult:
    """Report the result of a proposal or linearizable read.

    :param token: token given with the proposal or read
    :param is_committed: the command was committed and applied, or the
        read may be served
    :param result: result of `ports.StateMachine.apply`, None for a read
        or a refusal
    :param reason: why it was refused, "" when `is_committed`
    """

    token: str
    is_committed: bool
    result: object = None
    reason: str = ""


@attrs.frozen
class OperatorReply:
    """Answer an operator's request.

    :param req: number of the request, unique at this entry VM
    :param answer: a `plan_messages.Answer` or `plan_messages.OpenPlans`
    """

    req: int
    answer: object


Action = (
    Send
    | Forward
    | SendToCaller
    | Propose
    | Dispatch
    | Cancel
    | RequestAnswer
    | ProposalResult
    | OperatorReply
)
