"""Stand-in for an operator, a client of the intent API."""

import json

import attrs
from geventhttpclient import HTTPClient

TIMEOUT_S = 15.0


class RefusedError(Exception):
    """The API refused an intent or a confirmation."""


@attrs.define
class Operator:
    """Client of the operators' port of one entry VM.

    :param token: the operator's bearer token
    """

    address: str
    token: str
    port: int = 7405

    def get(self, path: str) -> dict:
        """Return the decoded JSON at a path."""
        return self._call("GET", path, None)

    def state_intent(self, request_id: str, intent: dict) -> dict:
        """State an intent and return its plan.

        :param request_id: makes the call idempotent
        :raises RefusedError: if the intent is refused
        """
        body = {"id": request_id, "intent": intent}
        answer = self._call("POST", "/v1/intents", body)
        if not answer["ok"]:
            raise RefusedError(
                f"intent {request_id} refused, "
                f"{answer['reason']}: {answer['text']}"
            )
        return answer["plan"]

    def confirm_plan(self, request_id: str, plan_id: str) -> None:
        """Confirm a plan.

        :param request_id: makes the call idempotent
        :raises RefusedError: if the confirmation is refused
        """
        path = f"/v1/plans/{plan_id}/confirm"
        answer = self._call("POST", path, {"id": request_id})
        if not answer["ok"]:
            raise RefusedError(
                f"confirmation {request_id} of plan {plan_id} refused, "
                f"{answer['reason']}: {answer['text']}"
            )

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
