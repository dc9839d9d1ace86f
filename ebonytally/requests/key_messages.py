"""Messages about idempotency keys between entry VMs."""

import enum

import attrs

from ebonytally import wire


class KeyState(enum.StrEnum):
    """State of a key in the record of an owner."""

    RUNNING = "running"
    NOT_RUN = "not_run"
    ANSWERED = "answered"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Verdict(enum.StrEnum):
    """Decision of a key's owner on a claim.

    AGAIN asks the claimant to retry, as the owner can't decide now.
    """

    GRANTED = "granted"
    AGAIN = "again"
    STILL_RUNNING = "still_running"
    UNKNOWN = "unknown"
    CONTENT_DIFFERS = "content_differs"
    ENDED = "ended"


@attrs.frozen
class RecordedAnswer:
    """The recorded first answer to a request with a key.

    :param body: the complete body if `has_body`, else not recorded
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    has_body: bool = False


@attrs.frozen
class KeyRecord:
    """An owner's record of a key, as sent to another owner.

    :param content: digest of the request's content
    :param claim: name of the claim that it describes
    :param vm: entry VM that made the claim
    :param incarnation: incarnation of that VM when it made the claim
    :param age_s: seconds since the key was created
    :param left_s: seconds until a running claim counts as lost
    """

    key: bytes
    content: bytes
    claim: str
    state: KeyState
    vm: str
    incarnation: int
    age_s: float
    left_s: float
    answer: RecordedAnswer = RecordedAnswer()


@wire.message(300)
@attrs.frozen
class Claim:
    """Ask a key's owner for the right to run a request.

    The first owner records the claim and forwards it to the second one,
    which answers the claimant.

    :param content: digest of the request's content
    :param claim: name of the claim, the same each time it is sent
    :param attempt: counts how often the claim was sent
    :param epoch: owner epoch of the claimant's view
    :param age_s: seconds since the key was created
    :param left_s: seconds until the request's deadline
    :param vm: claimant, an entry VM
    :param is_forwarded: the first owner has recorded it
    :param history_complete: the first owner knows all earlier claims of
        the key
    """

    key: bytes
    content: bytes
    claim: str
    attempt: int
    epoch: int
    age_s: float
    left_s: float
    vm: str
    incarnation: int
    is_forwarded: bool = False
    history_complete: bool = False


@wire.message(301)
@attrs.frozen
class ClaimAnswer:
    """Answer a claim.

    :param state: ANSWERED or FAILED when the verdict is ENDED
    """

    claim: str
    attempt: int
    verdict: Verdict
    state: KeyState = KeyState.UNKNOWN
    answer: RecordedAnswer = RecordedAnswer()


@wire.message(302)
@attrs.frozen
class ClaimEnded:
    """Report to an owner how a claim ended; resent until acknowledged."""

    key: bytes
    content: bytes
    claim: str
    state: KeyState
    age_s: float
    answer: RecordedAnswer = RecordedAnswer()


@wire.message(303)
@attrs.frozen
class ClaimEndNoted:
    """Acknowledge `ClaimEnded`: the owner has recorded it."""

    claim: str


@wire.message(304)
@attrs.frozen
class SyncAsk:
    """Ask another owner for all records of some buckets."""

    buckets: tuple[int, ...]


@wire.message(305)
@attrs.frozen
class SyncPart:
    """Part of the records of a bucket, in answer to `SyncAsk`.

    :param epoch: owner epoch of the sender's view
    :param until_epoch: first owner epoch in which the sender did not own
        the bucket any more, 0 while it still owns it
    :param complete_age_s: the sender knows all claims of keys that are
        younger than this many seconds
    :param serial: identifies one answer, the same in all of its parts
    :param part: number of the part, from 0
    :param parts: number of parts of the answer
    """

    bucket: int
    epoch: int
    until_epoch: int
    complete_age_s: float
    serial: int
    part: int
    parts: int
    records: tuple[KeyRecord, ...]


@wire.message(306)
@attrs.frozen
class SyncDone:
    """Acknowledge that all records of some buckets were received."""

    buckets: tuple[int, ...]
