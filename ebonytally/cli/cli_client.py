"""Client of the operators' API that tries several entry VMs in order."""

from collections.abc import Callable
import http.client
import json

import attrs

DEFAULT_PORT = 7405
CONNECT_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 12.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
_RETRY_STATUSES = (500, 503, 504)


@attrs.frozen
class Answer:
    """Answer of the operators' API.

    :param code: HTTP status, 0 when no VM answered
    :param body: decoded JSON object
    """

    code: int
    body: dict


@attrs.frozen
class Client:
    """Client of the operators' API.

    :param addresses: HOST or HOST:PORT of entry VMs, tried in order
    :param token: bearer token of the operator
    :param on_failure: called with a message when a VM gives no final answer
    """

    addresses: tuple[str, ...]
    token: str
    on_failure: Callable[[str], None]

    def ask(
        self,
        method: str,
        path: str,
        body: dict | None = None,
    ) -> Answer:
        """Send a request and return the first final answer.

        Without one, return the last error answer, or code 0 if no VM
        answered. It is safe to send the request to another VM: requests that
        change something carry the operator's own id and take effect once.
        """
        last = None
        for address in self.addresses:
            answer = self._ask(address, method, path, body)
            if answer.code and answer.code not in _RETRY_STATUSES:
                return answer
            self.on_failure(f"{address}: {answer.body['text']}")
            if last is None or answer.code:
                last = answer
        return last

    def _ask(
        self,
        address: str,
        method: str,
        path: str,
        body: dict | None,
    ) -> Answer:
        host, _, port = address.partition(":")
        headers = {"Authorization": f"Bearer {self.token}"}
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        port_number = int(port) if port else DEFAULT_PORT
        conn = http.client.HTTPConnection(
            host, port_number, timeout=CONNECT_TIMEOUT_S
        )
        try:
            conn.connect()
            conn.sock.settimeout(ANSWER_TIMEOUT_S)
            conn.request(method, path, data, headers)
            response = conn.getresponse()
            answer_body = json.loads(response.read(MAX_ANSWER_BYTES))
            return Answer(response.status, answer_body)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            text = f"no answer ({exc or type(exc).__name__})"
            return Answer(0, {"ok": False, "reason": "", "text": text})
        finally:
            conn.close()
