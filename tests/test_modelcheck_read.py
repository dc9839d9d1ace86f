"""Check the model of configuration writes and reads."""

import os

import minicheck
import pytest

from modelcheck import bounds
from modelcheck import read_model

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))


@pytest.mark.parametrize(
    "limit", bounds.READ_SMALL + bounds.READ_LARGE * bool(SEEDS)
)
def test_specification_is_safe(limit):
    model = read_model.ReadModel(limit).protocol()
    report = minicheck.check_safety(model, max_states=1_000_000)
    assert report["exhaustive"]
    for name, verdict in report["properties"].items():
        assert verdict["holds"], (name, verdict["counterexample"])


@pytest.mark.parametrize("mistake", read_model.Mistake)
def test_mistake_is_found(mistake):
    limit = bounds.READ_SMALL[0]
    if mistake is read_model.Mistake.LOWER_VERSION_TAKEN:
        limit = bounds.READ_LARGE[0]
    if mistake is read_model.Mistake.WIPED_VM_VOTES:
        limit = bounds.READ_SMALL[1]
    model = read_model.ReadModel(limit, mistake).protocol()
    report = minicheck.check_safety(model, max_states=60_000)
    verdicts = [v["holds"] for v in report["properties"].values()]
    assert False in verdicts
