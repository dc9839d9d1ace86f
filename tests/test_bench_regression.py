"""Scores of the journal, compared with the last one of the same days."""

import json

from benches import regression


def write_entry(journal, number, site, worth, mode="quick", ok=True):
    """Write a journal entry of a score."""
    entry = {
        "cmd": "score",
        "ok": ok,
        "at": [f"2026-12-04T20:00:{number:02d}Z"],
        "site": site,
        "mode": mode,
        "figures": {"gate": 1.0},
        "days": [{"name": "quiet-1", "G": worth}],
    }
    path = journal / f"{number}.json"
    path.write_text(json.dumps(entry), encoding="utf-8")


def test_a_score_is_compared_with_the_last_of_the_same_days(tmp_path):
    write_entry(tmp_path, 1, "north", 0.9)
    write_entry(tmp_path, 2, "south", 0.5)
    write_entry(tmp_path, 3, "north", 0.7, mode="full")
    write_entry(tmp_path, 4, "north", 0.8, ok=False)
    write_entry(tmp_path, 5, "north", 0.85)
    scores = regression.scores(tmp_path)
    before = regression.last_before(scores, scores[-1])
    assert before.worth == {"quiet-1": 0.9}
    assert regression.lower_days(scores[-1], before) == ["quiet-1"]
    assert "| quiet-1 | 0.900 | 0.850 |" in regression.table(
        scores[-1], before
    )


def test_a_first_score_and_a_change_within_noise_are_not_lower(tmp_path):
    write_entry(tmp_path, 1, "north", 0.9)
    write_entry(tmp_path, 2, "north", 0.88)
    first, second = regression.scores(tmp_path)
    assert regression.last_before([first], first) is None
    assert regression.lower_days(first, None) == []
    assert regression.lower_days(second, first) == []
