"""The specification of the lease and of "out"."""

import os

import minicheck
import pytest

from modelcheck import lease_model

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))
OUT = lease_model.Bounds(ticks=3, out=True, exclude=False)
EXCLUDE = lease_model.Bounds(ticks=3, out=False, exclude=True)
SMALL = [
    lease_model.Bounds(ticks=2, out=True, exclude=False),
    lease_model.Bounds(ticks=2, out=False, exclude=True),
]
LARGE = [
    OUT,
    EXCLUDE,
    lease_model.Bounds(ticks=4, out=False, exclude=True),
    lease_model.Bounds(ticks=2, out=True, exclude=True),
]


@pytest.mark.parametrize("bounds", SMALL + LARGE * bool(SEEDS))
def test_specification_is_safe(bounds):
    model = lease_model.LeaseModel(bounds).protocol()
    found = minicheck.check_safety(model, max_states=1_000_000)
    assert found["exhaustive"]
    for name, verdict in found["properties"].items():
        assert verdict["holds"], (name, verdict["counterexample"])


@pytest.mark.parametrize("mistake", lease_model.Mistake)
def test_mistake_is_found(mistake):
    bounds = OUT
    if mistake is lease_model.Mistake.NO_LEASE_WAIT:
        bounds = EXCLUDE
    model = lease_model.LeaseModel(bounds, mistake).protocol()
    found = minicheck.check_safety(model, max_states=8_000)
    verdicts = [v["holds"] for v in found["properties"].values()]
    assert False in verdicts
