"""Tests of the operators' API over HTTP, on a node without a network."""

import json
import socket

import gevent
from gevent import socket as gevent_socket
from geventhttpclient import HTTPClient
import pytest

from ebonytally import reasons
from tests import intent_fakes as fakes


@pytest.fixture
def node():
    """Return a node that serves the operators' API."""
    node = fakes.FakeNode()
    node.server.start()
    yield node
    node.server.stop()


def _call(node, method, path, body=None, token="mair-token", raw=None):
    client = HTTPClient(*node.server.address, network_timeout=5)
    data = raw if raw is not None else json.dumps(body or {}).encode()
    headers = {"Authorization": f"Bearer {token}"}
    response = client.request(method, path, body=data, headers=headers)
    out = response.status_code, json.loads(response.read())
    client.close()
    return out


def _create(name="cutting-desk", port=80):
    return {
        "kind": "create_service",
        "name": name,
        "address": "10.9.0.1",
        "port": port,
        "data_centres": ["north", "south"],
    }


def _plan(node, intent, name="1", token="mair-token"):
    body = {"id": name, "intent": intent}
    code, answer = _call(node, "POST", "/v1/intents", body, token)
    assert code == 200, answer
    return answer["plan"]


def _confirm(node, plan, name="1", token="mair-token"):
    path = f"/v1/plans/{plan['id']}/confirm"
    return _call(node, "POST", path, {"id": name}, token)


def test_nothing_happens_until_the_plan_is_confirmed(node):
    plan = _plan(node, _create())
    assert plan["state"] == "open"
    assert node.view().services == ()
    code, answer = _confirm(node, plan)
    assert (code, answer["plan"]["state"]) == (200, "confirmed")
    assert node.view().services[0].name == "cutting-desk"
    code, answer = _call(node, "GET", f"/v1/plans/{plan['id']}")
    assert (code, answer["plan"]["state"]) == (200, "confirmed")
    code, answer = _call(node, "GET", "/v1/services")
    assert answer["services"][0]["protocol"] == "tcp"


def test_resent_intent_gets_the_same_answer(node):
    node.answers_to_lose = 1
    body = {"id": "7", "intent": _create()}
    first = _call_with_retry(node, body)
    again = _call(node, "POST", "/v1/intents", body)
    assert again == first
    assert node.recorder.counts["proposal_leader_changed"] == 1
    code, answer = _call(node, "GET", "/v1/plans")
    assert len(answer["plans"]) == 1


def _call_with_retry(node, body):
    """Post, and advance the node's clock so that it proposes again."""
    call = gevent.spawn(_call, node, "POST", "/v1/intents", body)
    while not node.intents._pending:
        gevent.sleep(0)
    node.now += 1.0
    node.do(node.intents.tick(node.now))
    return call.get()


def test_ids_are_separate_for_each_operator_and_reuse_is_refused(node):
    mair = _plan(node, _create(), "1")
    ion = _plan(node, _create("store", 81), "1", "ion-token")
    assert mair["id"] != ion["id"]
    body = {"id": "1", "intent": _create("other", 82)}
    code, answer = _call(node, "POST", "/v1/intents", body)
    assert (code, answer["reason"]) == (409, "intent_id_reused")


def test_only_one_of_two_confirmations_takes_effect(node):
    plan = _plan(node, _create())
    assert _confirm(node, plan, "a")[0] == 200
    code, answer = _confirm(node, plan, "a", "ion-token")
    assert (code, answer["reason"]) == (409, "plan_already_confirmed")
    assert "mair" in answer["text"]
    assert node.view().revision == 2


def test_outdated_plan_is_refused_with_a_new_plan(node):
    first = _plan(node, _create(), "1")
    other = _plan(node, _create("store", 81), "2", "ion-token")
    assert _confirm(node, other, "x", "ion-token")[0] == 200
    code, answer = _confirm(node, first)
    assert (code, answer["reason"]) == (409, "plan_basis_moved")
    new_plan = answer["plan"]
    assert new_plan["state"] == "open"
    assert _confirm(node, new_plan, "2")[0] == 200


@pytest.mark.parametrize(
    ("raw", "code", "reason"),
    [
        (b"{", 400, "intent_malformed"),
        (b"[]", 400, "intent_malformed"),
        (b"[" * 50_000, 400, "intent_malformed"),
        (b'{"id": "1"}', 400, "intent_malformed"),
        (b'{"id": 1, "intent": {}}', 400, "intent_malformed"),
        (b'{"id": "1", "intent": {"kind": "x"}}', 400, "intent_malformed"),
        (b" " * 70_000, 413, "operator_request_oversized"),
    ],
)
def test_bad_bodies_are_refused_and_counted(node, raw, code, reason):
    got, answer = _call(node, "POST", "/v1/intents", raw=raw)
    assert (got, answer["reason"]) == (code, reason)
    assert node.recorder.counts[reason] == 1


def test_all_faults_of_an_intent_are_listed(node):
    intent = {**_create(), "port": "80", "colour": 1}
    body = {"id": "1", "intent": intent}
    code, answer = _call(node, "POST", "/v1/intents", body)
    assert code == 400
    assert "port" in answer["text"]
    assert "colour" in answer["text"]


@pytest.mark.parametrize("token", ["", "mair-tokem", "mair-token-x"])
def test_wrong_token_is_refused_logged_and_counted(node, token):
    code, answer = _call(node, "GET", "/v1/status", token=token)
    assert (code, answer["reason"]) == (401, "operator_token")
    assert node.recorder.counts["operator_token"] == 1
    names = [event.name for event, _ in node.recorder.events]
    assert names == ["TOKEN_REFUSED"]


def test_log_names_who_stated_the_intent_and_who_confirmed(node):
    plan = _plan(node, _create(), "1", "ion-token")
    _confirm(node, plan, "9")
    logged = {event.name: fields for event, fields in node.recorder.events}
    assert logged["INTENT_RECEIVED"]["operator"] == "mair"
    assert logged["PLAN_MADE"]["operator"] == "ion"
    assert logged["PLAN_CONFIRMED"]["operator"] == "mair"
    assert logged["PLAN_CONFIRMED"]["stated_by"] == "ion"


def test_status_without_a_leader_reports_trouble(node):
    node.leader = ""
    code, answer = _call(node, "GET", "/v1/status")
    assert (code, answer["level"]) == (200, "trouble")
    assert len(answer["lines"]) == 10
    assert answer["changes_possible"] is False
    assert answer["cut_off"] is True


def test_timeout_is_reported_as_unknown_outcome_not_as_refusal(node):
    node.leader = ""
    body = {"id": "1", "intent": _create()}
    call = gevent.spawn(_call, node, "POST", "/v1/intents", body)
    while not node.intents._pending:
        gevent.sleep(0)
    node.now += 100.0
    node.do(node.intents.tick(node.now))
    code, answer = call.get()
    assert (code, answer["reason"]) == (504, "outcome_not_heard")
    assert node.recorder.counts[reasons.Refusal.OUTCOME_NOT_HEARD.value] == 1


def test_exception_in_a_handler_is_logged_and_serving_goes_on(node):
    node.facts = None
    assert _call(node, "GET", "/v1/status")[0] == 500
    assert node.recorder.events[-1][0].name == "TASK_FAILED"
    del node.facts
    assert _call(node, "GET", "/v1/status")[0] == 200


def test_malformed_bytes_on_the_port_leave_it_serving(node):
    with gevent_socket.create_connection(node.server.address) as sock:
        sock.sendall(b"\x16\x03\x01" + bytes(2000) + b"\r\n\r\n")
        sock.shutdown(socket.SHUT_WR)
        sock.settimeout(5)
        while sock.recv(4096):
            pass
    assert _call(node, "GET", "/v1/services")[0] == 200
