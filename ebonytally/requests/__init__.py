"""Requests: admission, dispatch, retries, idempotency keys."""
