"""Messages about idempotency keys between entry VMs."""

import enum

import attrs

from ebonytally import wire


class KeyState(enum.StrEnum):
    """What a keeper knows of a key."""

    RUNNING = "running"
    NOT_RUN = "not_run"
    ANSWERED = "answered"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Verdict(enum.StrEnum):
    """What becomes of a claim."""

    GRANTED = "granted"
    AGAIN = "again"
    STILL_RUNNING = "still_running"
    UNKNOWN = "unknown"
    CONTENT_DIFFERS = "content_differs"
    ENDED = "ended"


@attrs.frozen
class KeptAnswer:
    """The first answer to a key.

    :param body: whole when `has_body`, else not kept
    """

    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    has_body: bool = False


@attrs.frozen
class KeyRecord:
    """A keeper's record of a key, on its way to another keeper.

    :param claim: claim that it is about
    :param vm: entry VM that made the claim
    :param incarnation: its incarnation then
    :param age_s: seconds since the key was minted
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
    answer: KeptAnswer = KeptAnswer()


@wire.message(300)
@attrs.frozen
class Claim:
    """Ask a keeper for the right to run a request.

    The first keeper records it and hands it to the second, which
    answers the entry VM that made the claim.

    :param claim: name of the claim, the same in each of its tries
    :param attempt: number of the try
    :param epoch: keeper epoch of the claimant's view
    :param age_s: seconds since the key was minted
    :param left_s: seconds until the request's deadline
    :param vm: entry VM that claims
    :param second: the first keeper has recorded it
    :param vouched: the first keeper knows all earlier claims of the key
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
    second: bool = False
    vouched: bool = False


@wire.message(301)
@attrs.frozen
class ClaimAnswer:
    """Tell the claimant what became of its claim.

    :param state: ANSWERED or FAILED when the verdict is ENDED
    """

    claim: str
    attempt: int
    verdict: Verdict
    state: KeyState = KeyState.UNKNOWN
    answer: KeptAnswer = KeptAnswer()


@wire.message(302)
@attrs.frozen
class ClaimEnded:
    """Tell a keeper how a claim ended; repeated until it is noted."""

    key: bytes
    content: bytes
    claim: str
    state: KeyState
    age_s: float
    answer: KeptAnswer = KeptAnswer()


@wire.message(303)
@attrs.frozen
class ClaimEndNoted:
    """A keeper has recorded the end of a claim."""

    claim: str


@wire.message(304)
@attrs.frozen
class SyncAsk:
    """Ask for the records of buckets."""

    buckets: tuple[int, ...]


@wire.message(305)
@attrs.frozen
class SyncPart:
    """Part of the records of a bucket.

    :param epoch: keeper epoch of the sender's view
    :param until: first keeper epoch in which the sender was no keeper
        of the bucket any more, 0 while it still is one
    :param vouch_age_s: the sender knows all claims of keys that are
        younger than this many seconds
    :param serial: the same in all parts of one answer
    :param part: number of the part, from 0
    :param parts: how many there are
    """

    bucket: int
    epoch: int
    until: int
    vouch_age_s: float
    serial: int
    part: int
    parts: int
    records: tuple[KeyRecord, ...]


@wire.message(306)
@attrs.frozen
class SyncDone:
    """Buckets whose records have all come."""

    buckets: tuple[int, ...]
