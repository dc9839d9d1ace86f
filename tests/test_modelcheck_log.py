"""Replicated log: check the model, replay its steps on the code."""

import os
import random

import minicheck
import pytest

from modelcheck import bounds
from modelcheck import log_model
from modelcheck import log_state
from tests import log_replay

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))
TWO = bounds.TWO
Bounds = log_state.Bounds
Mistake = log_state.Mistake

DETECTED_WITHIN = {
    Mistake.VOTE_NOT_SYNCED: Bounds(2, 2, 1, candidates=TWO),
    Mistake.APPEND_NOT_SYNCED: Bounds(2, 2, 1, candidates=TWO),
    Mistake.OLD_TERM_COUNTED: Bounds(4, 1, 0, candidates=TWO),
    Mistake.LOG_NOT_COMPARED: Bounds(2, 2, 0, candidates=TWO),
    Mistake.IDENTITY_IGNORED: Bounds(1, 1, 0, wipes=1, candidates=TWO),
    Mistake.GAP_ACCEPTED: Bounds(2, 2, 0, candidates=TWO),
}


@pytest.mark.parametrize(
    "limit", bounds.LOG_SMALL + bounds.LOG_LARGE * bool(SEEDS)
)
def test_specification_is_safe(limit):
    model = log_model.LogModel(limit).protocol()
    report = minicheck.check_safety(model, max_states=1_000_000)
    assert report["exhaustive"]
    for name, verdict in report["properties"].items():
        assert verdict["holds"], (name, verdict["counterexample"])


@pytest.mark.parametrize("mistake", Mistake)
def test_mistake_is_found(mistake):
    limit = DETECTED_WITHIN[mistake]
    model = log_model.LogModel(limit, mistake).protocol()
    report = minicheck.check_safety(model, max_states=15_000)
    verdicts = [v["holds"] for v in report["properties"].values()]
    assert False in verdicts


def _walk(model, rng, length):
    """Yield (label, successor) of each step of a random walk."""
    state = log_state.INITIAL
    for _ in range(length):
        steps = list(model.steps(state))
        if not steps:
            return
        kinds = sorted({label[0] for label, _ in steps})
        kind = rng.choice(kinds)
        label, state = rng.choice([s for s in steps if s[0][0] == kind])
        yield label, state


def _check_refusals(replay, model, state):
    """Assert that the code grants no vote that the model does not allow."""
    allowed = {
        label[1:]
        for label, _ in model.steps(state)
        if label[0] in ("vote", "refuse")
    }
    for vm in log_state.VMS:
        candidate = state.vms[vm]
        if candidate.role != log_state.Role.CANDIDATE:
            continue
        for other in set(log_state.VMS) - candidate.votes:
            if (vm, other) not in allowed:
                assert not replay.ask_vote(vm, other).granted


@pytest.mark.parametrize("seed", range(40 + 60 * SEEDS))
def test_code_takes_the_steps_of_the_specification(seed):
    limit = Bounds(5, 6, 3, wipes=1, held=True, snapshots=True)
    model = log_model.LogModel(limit)
    replay = log_replay.Replay()
    labels = []
    for label, state in _walk(model, random.Random(seed), 40):
        labels.append(label)
        replay.do(label)
        _check_refusals(replay, model, state)
        replay.check(state)
