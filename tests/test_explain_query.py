"""Asking a running entry VM for an explanation, by HTTP and command line."""

import json

import gevent
from gevent import threadpool
import pytest

from ebonytally.cli import cli
from ebonytally.echo import explain_query
from ebonytally.load import interfaces
from ebonytally import metrics
from ebonytally import metrics_http
from ebonytally import tally
from tests import test_explain

CALLER = "100.65.0.4:1034"
ROUTE = "198.18.0.1:443"


@pytest.fixture
def case(monkeypatch):
    """Return an entry VM with its metrics port."""
    monkeypatch.delenv("EBONYTALLY_ADDRESS", raising=False)
    case = test_explain.Case()
    exported = metrics.Metrics("e1", tally.Tally())
    server = metrics_http.MetricsServer(
        ("127.0.0.1", 0),
        exported,
        {
            "/explain": lambda query: explain_query.answer(
                case.explainer, query, case.entry.now
            )
        },
    )
    server.start()
    case.at = ":".join(map(str, server.address))
    yield case
    server.stop()
    exported.close()


def run(*words):
    """Run a command in a thread, while this one serves the port."""
    pool = threadpool.ThreadPool(1)
    try:
        with gevent.Timeout(20):
            return pool.spawn(cli.run, ["explain", *words]).get()
    finally:
        pool.kill()


def test_a_chosen_upstream_is_shown_as_text_and_as_json(case, capsys):
    case.figures.shares = {"south": 0.25}
    assert run("--at", case.at, CALLER, ROUTE, "--json") == 0
    body = json.loads(capsys.readouterr().out)
    assert body["ok"]
    assert body["chosen"] in {one["id"] for one in body["candidates"]}
    assert body["admission"]["pressure"] == 0.25
    assert run("--at", case.at, CALLER, ROUTE) == 0
    text = capsys.readouterr().out
    assert text.startswith(f"chosen: {body['chosen']} at 10.0.0.")
    assert "admission: admitted, pressure 0.25\n" in text
    assert "leaves the data centre: 25.0% (south 25.0%)" in text
    assert "demand: north 12.0 requests a second, 0.8 s old\n" in text
    assert "candidates: 40 of 40 upstreams\n" in text


def test_a_refused_flow_exits_with_1(case, capsys):
    case.figures.verdict = interfaces.Verdict(interfaces.Refusal.LINK, 1.2)
    assert run("--at", case.at, CALLER, ROUTE) == 1
    text = capsys.readouterr().out
    assert text.startswith("refused: link\n")
    assert "admission: refused (link), pressure 1.20\n" in text


@pytest.mark.parametrize(
    ("at", "caller", "route", "status", "error"),
    [
        ("", "100.65.0.4", ROUTE, 2, "caller: must be an IPv4 address"),
        ("", CALLER, "198.18.0.1:x", 2, "route: must be an IPv4 address"),
        ("", CALLER, "198.18.0.1:444", 1, "has no route at 198.18.0.1:444"),
        ("127.0.0.1:1", CALLER, ROUTE, 2, "127.0.0.1:1: no answer"),
        ("127.0.0.1:x", CALLER, ROUTE, 2, "--at: must be"),
        ("a,b", CALLER, ROUTE, 2, "--at: must be"),
    ],
)
def test_each_fault_gives_one_error_line(
    case, capsys, at, caller, route, status, error
):
    assert run("--at", at or case.at, caller, route) == status
    out, err = capsys.readouterr()
    assert out == ""
    assert len(err.splitlines()) == 1
    assert error in err


@pytest.mark.parametrize(
    ("query", "status", "text"),
    [
        (f"caller={CALLER}&route={ROUTE}", 200, ""),
        (f"caller={CALLER}&route=198.18.0.1%3A443", 200, ""),
        (f"caller={CALLER}&route={ROUTE}&x=1", 400, "parameter 'x'"),
        (f"caller={CALLER}&caller={CALLER}", 400, "more than once"),
        (f"caller={CALLER}", 400, "route: missing"),
        (f"caller={CALLER}&route=", 400, "got ''"),
        (f"caller={CALLER}&route=1.2.3.4:0", 400, "got '1.2.3.4:0'"),
        (f"caller={CALLER}&route=1.2.3.4:65536", 400, "got"),
        (f"caller={CALLER}&route={'1' * 5000}", 400, "111..."),
        (f"caller={CALLER}&route=1.2.3.4:5", 404, "has no route"),
    ],
)
def test_each_fault_of_a_query_has_its_status(case, query, status, text):
    found, body = explain_query.answer(case.explainer, query, case.entry.now)
    assert found == status
    assert body["ok"] == (status == 200)
    assert text in body.get("text", "")
    assert len(body.get("text", "")) < 200


def test_a_vm_without_a_view_says_so(case, capsys):
    case.explainer.has_view = lambda: False
    assert run("--at", case.at, CALLER, ROUTE) == 2
    assert "no complete view" in capsys.readouterr().err
