"""An operator's stand-in on the intent API."""

import json

import attrs
from geventhttpclient import HTTPClient

TIMEOUT_S = 15.0


class RefusedError(Exception):
    """An intent or confirmation was refused."""


@attrs.define
class Operator:
    """Talks to the operators' port of one entry VM.

    :param token: the operator's token
    """

    address: str
    token: str
    port: int = 7405

    def get(self, path: str) -> dict:
        """Return the JSON at a path."""
        return self._call("GET", path, None)

    def state(self, name: str, intent: dict) -> dict:
        """State an intent under the operator's own id; return its plan."""
        body = {"id": name, "intent": intent}
        answer = self._call("POST", "/v1/intents", body)
        if not answer["ok"]:
            raise RefusedError(f"{answer['reason']}: {answer['text']}")
        return answer["plan"]

    def confirm(self, name: str, plan: str) -> None:
        """Confirm a plan under the operator's own id."""
        path = f"/v1/plans/{plan}/confirm"
        answer = self._call("POST", path, {"id": name})
        if not answer["ok"]:
            raise RefusedError(f"{answer['reason']}: {answer['text']}")

    def _call(self, method: str, path: str, body: dict | None) -> dict:
        client = HTTPClient(
            self.address,
            port=self.port,
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )
        data = b"" if body is None else json.dumps(body).encode()
        headers = {
            "Authorization": f"Bearer {self.token}",
            "Content-Type": "application/json",
        }
        try:
            answer = client.request(method, path, body=data, headers=headers)
            return json.loads(bytes(answer.read()))
        finally:
            client.close()
