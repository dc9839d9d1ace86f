"""Retry rules: which failed attempts are retried, and how often."""

from ebonytally import ports
from ebonytally import reasons

MAX_TOKENS = 10.0
# Kinds of failure after which the upstream certainly did not run the request.
NOT_RUN_KINDS = frozenset(
    {
        ports.AttemptEnd.NOT_SENT,
        ports.AttemptEnd.SHED,
    },
)
_RETRY_REASONS = {
    ports.AttemptEnd.NOT_SENT: reasons.Retry.REQUEST_CONNECT_FAILED,
    ports.AttemptEnd.SHED: reasons.Retry.REQUEST_NOT_RUN,
    ports.AttemptEnd.LOST: reasons.Retry.REQUEST_IDEMPOTENT_LOST,
    ports.AttemptEnd.BROKEN: reasons.Retry.REQUEST_IDEMPOTENT_LOST,
    ports.AttemptEnd.SILENT: reasons.Retry.REQUEST_SILENT_CONNECTION,
}
_REFUSAL_REASONS = {
    ports.AttemptEnd.NOT_SENT: reasons.Refusal.REQUEST_UNREACHABLE,
    ports.AttemptEnd.SHED: reasons.Refusal.REQUEST_UPSTREAM_SHED,
    ports.AttemptEnd.LOST: reasons.Refusal.REQUEST_ANSWER_BROKEN,
    ports.AttemptEnd.BROKEN: reasons.Refusal.REQUEST_ANSWER_BROKEN,
}


class Budget:
    """Token bucket that limits retries to a share of first attempts.

    A retry costs one token. Under overload this keeps retries from
    multiplying the load.

    :param share: tokens added for each first attempt, up to `MAX_TOKENS`
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
    kind: ports.AttemptEnd,
    idempotent: bool,
) -> reasons.Retry | None:
    """Return the reason for a retry, None when it is not allowed.

    A non-idempotent request is retried only if it certainly did not run.
    """
    if kind not in NOT_RUN_KINDS and not idempotent:
        return None
    return _RETRY_REASONS.get(kind)


def refusal_reason(kind: ports.AttemptEnd) -> reasons.Refusal:
    """Return the refusal of a request whose last attempt ended as `kind`."""
    return _REFUSAL_REASONS.get(kind, reasons.Refusal.REQUEST_DEADLINE)
