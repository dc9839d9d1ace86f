"""Regression runs on the users' bench: ``scripts/regression BENCH SITE...``.

Scores each deployment once and prints the worth of its days beside that of
the last score in the journal.
"""

import json
import pathlib
import subprocess
import sys
from typing import Any

import attrs
import fire

ROOT = pathlib.Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
# Smaller differences between two scores are noise of the bench.
NOISE = 0.03
EXIT_HELD = 0
EXIT_LOWER = 1


@attrs.frozen
class Score:
    """A score in the journal.

    :param began_at: start, ISO 8601 in UTC
    :param mode: ``quick``, or another name for the days that were played
    :param has_passed: whether the gate was passed
    :param worth: worth of each day by its name
    """

    began_at: str
    site: str
    mode: str
    has_passed: bool
    worth: dict[str, float]


def read_score(entry: dict[str, Any]) -> Score | None:
    """Return the score in a journal entry, None if it has no finished one."""
    if entry.get("cmd") != "score" or not entry.get("ok"):
        return None
    return Score(
        entry["at"][0],
        entry["site"],
        entry.get("mode") or "",
        entry["figures"].get("gate") == 1.0,
        {day["name"]: day["G"] for day in entry["days"]},
    )


def scores(journal: pathlib.Path) -> list[Score]:
    """Return all finished scores of a journal, oldest first."""
    found = [
        read_score(json.loads(path.read_text(encoding="utf-8")))
        for path in journal.glob("*.json")
    ]
    return sorted(
        (score for score in found if score is not None),
        key=lambda score: score.began_at,
    )


def last_before(all_scores: list[Score], score: Score) -> Score | None:
    """Return the score of the same deployment and days before another."""
    earlier = [
        other
        for other in all_scores
        if (other.site, other.mode) == (score.site, score.mode)
        and other.began_at < score.began_at
    ]
    return earlier[-1] if earlier else None


def lower_days(score: Score, before: Score | None) -> list[str]:
    """Return the days whose worth has fallen by more than noise."""
    if before is None:
        return []
    return [
        name
        for name, worth in score.worth.items()
        if name in before.worth and worth < before.worth[name] - NOISE
    ]


def table(score: Score, before: Score | None) -> str:
    """Return a Markdown table of a score beside an earlier one."""
    lines = [
        f"{score.site}: gate {'passed' if score.has_passed else 'FAILED'}",
        "",
        "| day | before | now |",
        "| --- | --- | --- |",
    ]
    for name, worth in score.worth.items():
        old = before.worth.get(name) if before else None
        shown = "-" if old is None else f"{old:.3f}"
        lines.append(f"| {name} | {shown} | {worth:.3f} |")
    return "\n".join(lines)


def main(bench: str, *sites: str, full: bool = False) -> int:
    """Score deployments; return 1 if a gate fails or a day is lower.

    :param bench: path of the bench's program
    :param sites: paths of site files
    :param full: play all standard days, not only the light ones
    """
    exit_status = EXIT_HELD
    for site in sites:
        command = [bench, "score", site, "--why", "regression"]
        if not full:
            command.append("--quick")
        known = scores(JOURNAL)
        done = subprocess.run(command, cwd=ROOT, check=False)
        played = [score for score in scores(JOURNAL) if score not in known]
        if done.returncode or not played:
            print(f"{site}: not scored, exit status {done.returncode}")
            exit_status = EXIT_LOWER
            continue
        before = last_before(known, played[-1])
        print(table(played[-1], before))
        if not played[-1].has_passed or lower_days(played[-1], before):
            exit_status = EXIT_LOWER
    return exit_status


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda _: ""))
