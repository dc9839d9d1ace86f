"""Retry rules: which failed attempts are retried, and how often."""

from ebonytally import ports
from ebonytally import reasons

MAX_TOKENS = 10.0
# Kinds of failure after which the upstream certainly did not run the request.
NOT_RUN_KINDS = frozenset(
    {
        ports.AttemptKind.NOT_SENT,
        ports.AttemptKind.SHED,
    },
)
_RETRY_REASONS = {
    ports.AttemptKind.NOT_SENT: reasons.Retry.REQUEST_CONNECT_FAILED,
    ports.AttemptKind.SHED: reasons.Retry.REQUEST_NOT_RUN,
    ports.AttemptKind.LOST: reasons.Retry.REQUEST_IDEMPOTENT_LOST,
    ports.AttemptKind.BROKEN: reasons.Retry.REQUEST_IDEMPOTENT_LOST,
    ports.AttemptKind.SILENT: reasons.Retry.REQUEST_SILENT_CONNECTION,
}
_REFUSAL_REASONS = {
    ports.AttemptKind.NOT_SENT: reasons.Refusal.REQUEST_UNREACHABLE,
    ports.AttemptKind.SHED: reasons.Refusal.REQUEST_UPSTREAM_SHED,
    ports.AttemptKind.LOST: reasons.Refusal.REQUEST_ANSWER_BROKEN,
    ports.AttemptKind.BROKEN: reasons.Refusal.REQUEST_ANSWER_BROKEN,
}


class Budget:
    """Token bucket that limits retries to a share of first attempts.

    A retry costs one token. Under overload this keeps retries from
    multiplying the load.

    :param share: tokens added for each first attempt
    """

    def __init__(self, share: float) -> None:
        """Start with an empty bucket."""
        self._share = share
        self._tokens = 0.0

    def on_first_attempt(self) -> None:
        """Add the tokens of a request's first attempt."""
        self._tokens = min(self._tokens + self._share, MAX_TOKENS)

    @property
    def has_tokens(self) -> bool:
        """Return whether a retry is allowed, without taking a token."""
        return self._tokens >= 1.0

    def try_spend(self) -> bool:
        """Take the token of one retry; return False when there is none."""
        if not self.has_tokens:
            return False
        self._tokens -= 1.0
        return True


def retry_reason(
    kind: ports.AttemptKind,
    idempotent: bool,
) -> reasons.Retry | None:
    """Return the reason for a retry, None when it is not allowed.

    A non-idempotent request is retried only if it certainly did not run.
    """
    if kind not in NOT_RUN_KINDS and not idempotent:
        return None
    return _RETRY_REASONS.get(kind)


def refusal_reason(kind: ports.AttemptKind) -> reasons.Refusal:
    """Return the refusal of a request whose last attempt ended as `kind`."""
    return _REFUSAL_REASONS.get(kind, reasons.Refusal.REQUEST_DEADLINE)
