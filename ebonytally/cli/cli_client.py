"""Asks the operators' API of the first entry VM that answers."""

from collections.abc import Callable
import http.client
import json

import attrs

DEFAULT_PORT = 7405
CONNECT_S = 3.0
ANSWER_S = 12.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
_TRY_OTHERS = (500, 503, 504)


@attrs.frozen
class Answer:
    """What the system said.

    :param code: HTTP status, 0 when no VM answered
    """

    code: int
    body: dict


@attrs.frozen
class Client:
    """Where and as whom to ask.

    :param addresses: HOST or HOST:PORT of entry VMs, tried in order
    :param note: told when a VM doesn't answer
    """

    addresses: tuple[str, ...]
    token: str
    note: Callable[[str], None]

    def ask(
        self,
        method: str,
        path: str,
        body: dict | None = None,
    ) -> Answer:
        """Return the first final answer, or the last of all.

        Asking another VM is safe: what changes something carries the
        operator's own id, and is done once.
        """
        last = None
        for address in self.addresses:
            answer = self._ask(address, method, path, body)
            if answer.code and answer.code not in _TRY_OTHERS:
                return answer
            self.note(f"{address}: {answer.body['text']}")
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
        number = int(port) if port else DEFAULT_PORT
        conn = http.client.HTTPConnection(host, number, timeout=CONNECT_S)
        try:
            conn.connect()
            conn.sock.settimeout(ANSWER_S)
            conn.request(method, path, data, headers)
            response = conn.getresponse()
            raw = json.loads(response.read(MAX_ANSWER_BYTES))
            return Answer(response.status, raw)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            text = f"no answer ({exc or type(exc).__name__})"
            return Answer(0, {"ok": False, "reason": "", "text": text})
        finally:
            conn.close()
