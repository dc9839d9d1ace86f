"""Check the model of the first voter list and of replaced VMs."""

import minicheck
import pytest

from modelcheck import bounds
from modelcheck import votes_model


@pytest.mark.parametrize("limit", bounds.VOTES)
def test_specification_is_safe(limit):
    model = votes_model.VotesModel(limit).protocol()
    report = minicheck.check_safety(model, max_states=1_000_000)
    assert report["exhaustive"]
    for name, verdict in report["properties"].items():
        assert verdict["holds"], (name, verdict["counterexample"])


@pytest.mark.parametrize("mistake", votes_model.Mistake)
def test_mistake_is_found(mistake):
    limit = bounds.VOTES[-1]
    model = votes_model.VotesModel(limit, mistake).protocol()
    report = minicheck.check_safety(model, max_states=60_000)
    verdicts = [v["holds"] for v in report["properties"].values()]
    assert False in verdicts
