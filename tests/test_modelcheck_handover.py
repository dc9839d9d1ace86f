"""Check the model of the handover of flow records between owners."""

import minicheck
import pytest

from modelcheck import bounds
from modelcheck import handover_model


@pytest.mark.parametrize("limit", bounds.HANDOVER)
def test_specification_is_safe(limit):
    model = handover_model.HandoverModel(limit).protocol()
    report = minicheck.check_safety(model, max_states=1_000_000)
    assert report["exhaustive"]
    for name, verdict in report["properties"].items():
        assert verdict["holds"], (name, verdict["counterexample"])


@pytest.mark.parametrize("mistake", handover_model.Mistake)
def test_mistake_is_found(mistake):
    limit = bounds.HANDOVER[-1]
    model = handover_model.HandoverModel(limit, mistake).protocol()
    report = minicheck.check_safety(model, max_states=60_000)
    verdicts = [v["holds"] for v in report["properties"].values()]
    assert False in verdicts
