"""Check the model of orders that are resent and overtake each other."""

import os

import minicheck
import pytest

from modelcheck import bounds
from modelcheck import order_model

SEEDS = int(os.environ.get("EBONYTALLY_SEEDS", "0"))


@pytest.mark.parametrize(
    "limit", bounds.ORDER_SMALL + bounds.ORDER_LARGE * bool(SEEDS)
)
def test_specification_is_safe(limit):
    model = order_model.OrderModel(limit).protocol()
    report = minicheck.check_safety(model, max_states=1_000_000)
    assert report["exhaustive"]
    for name, verdict in report["properties"].items():
        assert verdict["holds"], (name, verdict["counterexample"])


@pytest.mark.parametrize("mistake", order_model.Mistake)
def test_mistake_is_found(mistake):
    limit = bounds.ORDER_SMALL[0]
    model = order_model.OrderModel(limit, mistake).protocol()
    report = minicheck.check_safety(model, max_states=60_000)
    verdicts = [v["holds"] for v in report["properties"].values()]
    assert False in verdicts
