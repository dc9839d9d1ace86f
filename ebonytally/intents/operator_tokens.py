"""Authentication of operators by bearer token."""

from collections import abc
import hashlib
import hmac

from ebonytally import settings

MAX_HEADER_CHARS = 512
_SCHEME = "bearer "


def operator_of(
    header: str,
    operators: abc.Iterable[settings.Operator],
) -> str:
    """Return the name of the token's operator, "" when none matches.

    The token is compared with every operator's hash, each in constant
    time, so that the duration doesn't tell which one matched.

    :param header: value of the Authorization header
    """
    if len(header) > MAX_HEADER_CHARS or not header.lower().startswith(
        _SCHEME
    ):
        return ""
    token = header[len(_SCHEME) :].strip()
    digest = hashlib.sha256(token.encode("utf-8", "replace")).hexdigest()
    matched = ""
    for operator in operators:
        if hmac.compare_digest(digest, operator.token_sha256):
            matched = operator.name
    return matched
