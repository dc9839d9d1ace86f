"""Check the model of configuration leases."""

import os

import minicheck
import pytest

from modelcheck import bounds
from modelcheck import lease_model

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))
OUT, EXCLUDE = bounds.LEASE_LARGE[:2]


@pytest.mark.parametrize(
    "limit", bounds.LEASE_SMALL + bounds.LEASE_LARGE * bool(SEEDS)
)
def test_specification_is_safe(limit):
    model = lease_model.LeaseModel(limit).protocol()
    report = minicheck.check_safety(model, max_states=1_000_000)
    assert report["exhaustive"]
    for name, verdict in report["properties"].items():
        assert verdict["holds"], (name, verdict["counterexample"])


@pytest.mark.parametrize("mistake", lease_model.Mistake)
def test_mistake_is_found(mistake):
    limit = OUT
    if mistake is lease_model.Mistake.NO_LEASE_WAIT:
        limit = EXCLUDE
    model = lease_model.LeaseModel(limit, mistake).protocol()
    report = minicheck.check_safety(model, max_states=8_000)
    verdicts = [v["holds"] for v in report["properties"].values()]
    assert False in verdicts
