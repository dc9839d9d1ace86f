"""Tests of the command line: exit status, faults, whole procedures."""

import contextlib
import json
import pathlib

import gevent
from gevent import threadpool
import pytest

from ebonytally.cli import cli
from ebonytally import folder_lock
from ebonytally import settings
from tests import intent_fakes as fakes

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_EXAMPLES = sorted(_ROOT.glob("examples/*/*.json"))
_CREATE = [
    "service",
    "create",
    "cutting-desk",
    "--address=10.9.0.1",
    "--port=80",
    "--data-centres=north,south",
]


@pytest.fixture(autouse=True)
def _unset_environment(monkeypatch):
    monkeypatch.delenv("EBONYTALLY_ADDRESS", raising=False)
    monkeypatch.delenv("EBONYTALLY_TOKEN", raising=False)


@pytest.fixture
def node(monkeypatch):
    """Return a node whose operators' API the command line uses."""
    node = fakes.FakeNode()
    node.server.start()
    host, port = node.server.address
    monkeypatch.setenv("EBONYTALLY_ADDRESS", f"{host}:{port}")
    monkeypatch.setenv("EBONYTALLY_TOKEN", "mair-token")
    yield node
    node.server.stop()


def _run(*words: str) -> int:
    """Run a command in a thread, while this one serves the node's API."""
    pool = threadpool.ThreadPool(1)
    try:
        with gevent.Timeout(20):
            return pool.spawn(cli.run, list(words)).get()
    finally:
        pool.kill()


def _run_json(capsys, *words: str) -> dict:
    capsys.readouterr()
    assert _run(*words, "--json") == 0
    return json.loads(capsys.readouterr().out)


@pytest.mark.parametrize("path", _EXAMPLES, ids=lambda path: path.stem)
def test_each_example_loads(path, tmp_path):
    raw = json.loads(path.read_text())
    raw["data_folder"] = str(tmp_path)
    copy = tmp_path / path.name
    copy.write_text(json.dumps(raw))
    cfg = settings.load(str(copy))
    assert len(cfg.seeds) == 5
    assert len({seed.data_centre for seed in cfg.seeds}) == 4
    assert sum(seed.control for seed in cfg.seeds) == 3
    assert cfg.operators


def test_both_customers_have_examples():
    assert len(_EXAMPLES) == 10


@pytest.mark.parametrize(
    "text",
    [
        "",
        "frob",
        "datacentre",
        "datacentre out",
        "datacentre out north south",
        "datacentre out north --colour red",
        "service create x --address 1.2.3.4 --port x --data-centres a",
        "vm add x --address 1.2.3.4 --data-centre a --region b --control 3",
        "plan confirm a/b",
        "plan show ../status",
        "status",
        "status --at",
        "check",
        "check nowhere.json",
        "run nowhere.json",
    ],
)
def test_bad_usage_and_bad_settings_exit_with_2(text):
    assert cli.run(text.split()) == 2


@pytest.mark.parametrize(
    "topic", ["", "datacentre", "plan confirm", "vm", "explain"]
)
def test_help_fits_one_page(topic, capsys):
    assert cli.run([*topic.split(), "--help"]) == 0
    page = capsys.readouterr().out
    assert 5 < len(page.splitlines()) <= 40
    assert all(len(line) <= 79 for line in page.splitlines())
    assert "Exit status" in page


def test_check_lists_every_fault(tmp_path, capsys):
    path = tmp_path / "vm.json"
    path.write_text('{"name": 3, "colour": 1, "seeds": []}')
    assert cli.run(["check", str(path)]) == 2
    faults = capsys.readouterr().out.splitlines()
    assert len(faults) >= 7
    assert all(fault.startswith("vm.json: ") for fault in faults)
    assert cli.run(["check", str(path), "--json"]) == 2
    assert json.loads(capsys.readouterr().out)["ok"] is False


def test_version_is_printed_as_text_and_as_json(capsys):
    assert cli.run(["version"]) == 0
    plain = capsys.readouterr().out.strip()
    assert cli.run(["version", "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == {"version": plain}


def test_create_service_and_take_data_centre_out_and_back(node, capsys):
    plan = _run_json(capsys, *_CREATE)["plan"]["id"]
    assert _run("plan", "confirm", plan) == 0
    assert "in force as revision 2" in capsys.readouterr().out
    for verb, out in (("out", ("north",)), ("back", ())):
        plan = _run_json(capsys, "datacentre", verb, "north")["plan"]["id"]
        assert _run("plan", "show", plan) == 0
        assert f"plan confirm {plan}" in capsys.readouterr().out
        assert _run("plan", "confirm", plan) == 0
        assert node.view().out == out
    capsys.readouterr()
    assert _run("status") == 0
    assert len(capsys.readouterr().out.splitlines()) == 10
    assert _run("service", "list") == 0
    assert "cutting-desk: 10.9.0.1:80 tcp" in capsys.readouterr().out


def test_refusals_exit_with_1_and_print_the_reason(node, capsys):
    assert _run("datacentre", "out", "nowhere") == 1
    assert "no data centre nowhere" in capsys.readouterr().err
    assert _run("plan", "confirm", "1-abcd") == 1
    assert _run("status", "--token", "wrong") == 1
    assert "token" in capsys.readouterr().err


def test_repeated_confirmation_gets_the_same_answer(node, capsys):
    plan = _run_json(capsys, *_CREATE)["plan"]["id"]
    first = _run_json(capsys, "plan", "confirm", plan)
    assert _run_json(capsys, "plan", "confirm", plan) == first
    assert node.view().revision == 2


def test_next_vm_is_tried_when_the_first_does_not_answer(node, capsys):
    address = "127.0.0.1:1,{}:{}".format(*node.server.address)
    assert _run("status", "--at", address) == 0
    assert "127.0.0.1:1: no answer" in capsys.readouterr().err


def test_id_to_resend_is_printed_when_no_vm_answers(capsys):
    words = [*_CREATE, "--at", "127.0.0.1:1", "--token", "x", "--id", "m7"]
    assert cli.run(words) == 1
    assert "--id m7" in capsys.readouterr().err


def _control_settings(tmp_path) -> str:
    raw = json.loads(_EXAMPLES[-1].read_text())
    raw["data_folder"] = str(tmp_path / "data")
    path = tmp_path / "vm.json"
    path.write_text(json.dumps(raw))
    return str(path)


@pytest.mark.parametrize("verb", ["repair", "recover"])
def test_repair_and_recover_do_nothing_without_yes(verb, tmp_path, capsys):
    path = _control_settings(tmp_path)
    assert cli.run([verb, path]) == 1
    assert "add --yes" in capsys.readouterr().err
    assert cli.run([verb, str(tmp_path / "none.json"), "--yes"]) == 2


def test_help_of_repair_says_where_the_old_files_are(tmp_path, capsys):
    path = _control_settings(tmp_path)
    folder = tmp_path / "data"
    folder.mkdir()
    (folder / "vote").write_bytes(b"unreadable")
    assert cli.run(["repair", path, "--yes"]) == 0
    assert (folder / "damaged-vote").read_bytes() == b"unreadable"
    cli.run(["repair", "--help"])
    assert (
        'stay in the folder, renamed to "damaged-' in capsys.readouterr().out
    )


def test_repair_is_refused_while_a_daemon_runs(tmp_path, capsys):
    path = _control_settings(tmp_path)
    folder = tmp_path / "data"
    folder.mkdir()
    with contextlib.ExitStack() as stack:
        folder_lock.lock(stack, str(folder))
        assert cli.run(["repair", path, "--yes"]) == 1
    assert "another daemon uses it" in capsys.readouterr().err


def test_recovery_without_a_copy_is_refused(tmp_path, capsys):
    path = _control_settings(tmp_path)
    assert cli.run(["recover", path, "--yes"]) == 1
    assert "no data of a control VM" in capsys.readouterr().err
    assert cli.run(["repair", path, "--yes"]) == 0
    assert "Start the daemon" in capsys.readouterr().out
