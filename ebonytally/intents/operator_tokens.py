"""Who an operator's bearer token belongs to."""

from collections import abc
import hashlib
import hmac

from ebonytally import settings

MAX_HEADER = 512
_SCHEME = "bearer "


def operator_of(
    header: str,
    operators: abc.Iterable[settings.Operator],
) -> str:
    """Return the operator's name, "" when the token is nobody's.

    All operators are compared, each in constant time.

    :param header: the Authorization header
    """
    if len(header) > MAX_HEADER or not header.lower().startswith(_SCHEME):
        return ""
    token = header[len(_SCHEME) :].strip()
    digest = hashlib.sha256(token.encode("utf-8", "replace")).hexdigest()
    found = ""
    for operator in operators:
        if hmac.compare_digest(digest, operator.token_sha256):
            found = operator.name
    return found
