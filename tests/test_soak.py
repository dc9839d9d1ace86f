"""Fault plans and checks of the soak, and one short run of it."""

import subprocess
import sys

import pytest

from soak import faults
from soak import judge as judges
from soak import vms

# The seeds that CI runs. Their plans have kills, cut links, lost and full
# disks, a data centre taken out, odd entries, and restarts elsewhere.
SEEDS = (2, 15, 16)
RUN_TIMEOUT_S = 150
CONTROL = frozenset({"c1", "c2"})
NEVER = float("inf")


def judge_with_request():
    """Return a judge with one request that may be executed once."""
    judge = judges.Judge(CONTROL)
    judge.on_request_sent(
        judges.RequestRecord("r1", frozenset({"desk"}), False)
    )
    return judge


def test_a_seed_always_gives_the_same_plan():
    assert faults.plan(7) == faults.plan(7)
    assert faults.plan(7) != faults.plan(8)


def test_every_kind_of_fault_is_drawn():
    drawn = {fault.kind for seed in range(200) for fault in faults.plan(seed)}
    assert drawn == set(faults.KINDS)


@pytest.mark.parametrize(
    ("promise", "violate"),
    [
        ("unasked", lambda judge: judge.on_request_started("r9", "desk", 1.0)),
        (
            "wrong service",
            lambda judge: judge.on_request_started("r1", "store", 1.0),
        ),
        (
            "ran twice",
            lambda judge: [
                judge.on_request_started("r1", "desk", at) for at in (1.0, 2.0)
            ],
        ),
        ("wrong answer", lambda judge: judge.on_answer("r1", b"r2 200", 1.0)),
        (
            "answer without a run",
            lambda judge: judge.on_answer("r1", b"r1 200", 1.0),
        ),
        (
            "open flow reset",
            lambda judge: judge.on_flow_reset(
                "f", "u", True, frozenset({"e"}), 9.0
            ),
        ),
        (
            "flow to a leaving upstream",
            lambda judge: judge.on_flow_opened("u", "e", 1.0, NEVER, 9.0),
        ),
        (
            "flow to a data centre out",
            lambda judge: judge.on_flow_opened("u", "e", NEVER, 1.0, 11.0),
        ),
    ],
)
def test_each_broken_promise_is_noticed(promise, violate):
    judge = judge_with_request()
    violate(judge)
    assert any(promise in line for line in judge.violations)


def test_what_is_allowed_is_not_taken_for_broken():
    judge = judge_with_request()
    judge.on_request_started("r1", "desk", 1.0)
    judge.on_answer("r1", b"r1 200 u", 1.1)
    judge.on_flow_reset("f", "u", False, frozenset({"e"}), 9.0)
    judge.on_flow_opened("u", "e", 6.0, NEVER, 9.0)
    fault_record = judge.record_fault({"c2"})
    judge.on_flow_reset("f", "u", True, frozenset({"e"}), 9.0)
    fault_record.until = 9.0
    judge.on_flow_opened("u", "e", 1.0, NEVER, 12.0)
    assert judge.violations == []
    judge.on_flow_opened("u", "e", 1.0, NEVER, 9.0 + judges.STABLE_AFTER_S)
    assert judge.violations != []


def test_an_order_is_overdue_only_with_an_undisturbed_majority():
    judge = judges.Judge(frozenset({"c1", "c2", "c3"}))
    assert not judge.is_order_overdue(1.0, 1.0 + judges.MAX_ORDER_S)
    assert judge.is_order_overdue(1.0, 1.1 + judges.MAX_ORDER_S)
    judge.record_fault({"c1"}).until = 5.0
    assert judge.is_order_overdue(1.0, 10.0)
    judge.record_fault({"c2"}).until = 6.0
    assert not judge.is_order_overdue(1.0, 10.0)
    assert judge.is_order_overdue(1.0, 13.5)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_short_run_breaks_no_promise(seed):
    done = subprocess.run(
        [sys.executable, "-m", "soak", "--seed", str(seed)],
        cwd=vms.ROOT,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert f"seed {seed}: held" in done.stdout
