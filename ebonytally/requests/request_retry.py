"""Which attempts may be made again, and how many of them."""

from ebonytally import ports
from ebonytally import reasons

MAX_TOKENS = 10.0
NEVER_RUN = frozenset(
    {
        ports.AttemptKind.NOT_SENT,
        ports.AttemptKind.SHED,
    },
)
_REASONS = {
    ports.AttemptKind.NOT_SENT: reasons.Retry.REQUEST_CONNECT_FAILED,
    ports.AttemptKind.SHED: reasons.Retry.REQUEST_NOT_RUN,
    ports.AttemptKind.LOST: reasons.Retry.REQUEST_IDEMPOTENT_LOST,
    ports.AttemptKind.BROKEN: reasons.Retry.REQUEST_IDEMPOTENT_LOST,
    ports.AttemptKind.SILENT: reasons.Retry.REQUEST_SILENT_CONNECTION,
}
_REFUSALS = {
    ports.AttemptKind.NOT_SENT: reasons.Refusal.REQUEST_UNREACHABLE,
    ports.AttemptKind.SHED: reasons.Refusal.REQUEST_UPSTREAM_SHED,
    ports.AttemptKind.LOST: reasons.Refusal.REQUEST_ANSWER_BROKEN,
    ports.AttemptKind.BROKEN: reasons.Refusal.REQUEST_ANSWER_BROKEN,
}


class Budget:
    """Allows retries up to a share of the latest first tries.

    :param share: retries for each first try
    """

    def __init__(self, share: float) -> None:
        """Start without any retries to give."""
        self._share = share
        self._tokens = 0.0

    def first_try(self) -> None:
        """Count a first try."""
        self._tokens = min(self._tokens + self._share, MAX_TOKENS)

    @property
    def left(self) -> bool:
        """Tell whether there is a retry to give."""
        return self._tokens >= 1.0

    def spend(self) -> bool:
        """Take one retry out of the budget, False when it is empty."""
        if not self.left:
            return False
        self._tokens -= 1.0
        return True


def reason(
    kind: ports.AttemptKind,
    idempotent: bool,
) -> reasons.Retry | None:
    """Return why an attempt may be made again, None when it may not."""
    if kind not in NEVER_RUN and not idempotent:
        return None
    return _REASONS.get(kind)


def refusal(kind: ports.AttemptKind) -> reasons.Refusal:
    """Return why a request is refused whose last attempt ended so."""
    return _REFUSALS.get(kind, reasons.Refusal.REQUEST_DEADLINE)
