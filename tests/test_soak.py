"""The soak's own parts, and one short seeded run of it."""

import subprocess
import sys

import pytest

from soak import faults
from soak import judge as judges
from soak import vms

# The seed that CI plays: kills, cuts, a lost disk and a data centre out.
SEED = 2
LIMIT_S = 150
CONTROL = frozenset({"c1", "c2"})
NEVER = float("inf")


def fresh():
    """Return a judge that knows one request that may run once."""
    judge = judges.Judge(CONTROL)
    judge.asked(judges.Run("r1", frozenset({"desk"}), False))
    return judge


def test_a_seed_always_gives_the_same_plan():
    assert faults.plan(7) == faults.plan(7)
    assert faults.plan(7) != faults.plan(8)


def test_every_kind_of_fault_is_drawn():
    drawn = {fault.kind for seed in range(200) for fault in faults.plan(seed)}
    assert drawn == set(faults.KINDS)


@pytest.mark.parametrize(
    ("promise", "act"),
    [
        ("unasked", lambda judge: judge.ran("r9", "desk", 1.0)),
        ("wrong service", lambda judge: judge.ran("r1", "store", 1.0)),
        (
            "ran twice",
            lambda judge: [judge.ran("r1", "desk", at) for at in (1.0, 2.0)],
        ),
        ("wrong answer", lambda judge: judge.answered("r1", b"r2 200", 1.0)),
        (
            "answer without a run",
            lambda judge: judge.answered("r1", b"r1 200", 1.0),
        ),
        (
            "open flow reset",
            lambda judge: judge.reset("f", "u", True, frozenset({"e"}), 9.0),
        ),
        (
            "flow to a leaving upstream",
            lambda judge: judge.opened("u", "e", 1.0, NEVER, 9.0),
        ),
        (
            "flow to a data centre out",
            lambda judge: judge.opened("u", "e", NEVER, 1.0, 11.0),
        ),
    ],
)
def test_each_broken_promise_is_noticed(promise, act):
    judge = fresh()
    act(judge)
    assert any(promise in line for line in judge.broken)


def test_what_is_allowed_is_not_taken_for_broken():
    judge = fresh()
    judge.ran("r1", "desk", 1.0)
    judge.answered("r1", b"r1 200 u", 1.1)
    judge.reset("f", "u", False, frozenset({"e"}), 9.0)
    judge.opened("u", "e", 6.0, NEVER, 9.0)
    noted = judge.disturb({"c2"})
    judge.reset("f", "u", True, frozenset({"e"}), 9.0)
    noted.until = 9.0
    judge.opened("u", "e", 1.0, NEVER, 12.0)
    assert judge.broken == []
    judge.opened("u", "e", 1.0, NEVER, 9.0 + judges.CALM_S)
    assert judge.broken != []


def test_a_short_run_breaks_no_promise():
    done = subprocess.run(
        [sys.executable, "-m", "soak", "--seed", str(SEED)],
        cwd=vms.ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert f"seed {SEED}: held" in done.stdout
