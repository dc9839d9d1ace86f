"""Runs every scenario, and checks that the checks catch what they should."""

from concurrent import futures
import functools
import pathlib

import pytest

from standins import scenario

ROOT = pathlib.Path(__file__).resolve().parent.parent
FILES = sorted((ROOT / "scenarios").glob("*.feature"))
WORKERS = 6


def _named() -> list[tuple[str, int, str]]:
    found = []
    for path in FILES:
        for index, one in enumerate(scenario.read(path.read_text())):
            found.append((path.name, index, one.name))
    return found


def _run(file: str, index: int) -> scenario.Result:
    text = (ROOT / "scenarios" / file).read_text()
    return scenario.run(scenario.read(text)[index])


@functools.cache
def _results() -> dict[tuple[str, int], futures.Future]:
    pool = futures.ProcessPoolExecutor(WORKERS)
    return {
        (file, index): pool.submit(_run, file, index)
        for file, index, _ in _named()
    }


@pytest.mark.parametrize(("file", "index", "name"), _named())
def test_scenario_holds(file, index, name):
    result = _results()[(file, index)].result()
    assert result.fault == "", name


SHORT = """\
Feature: Short

  Scenario: A short one
    Given the customer llenni-tywyll with seed 5
    And 40 open flows
    And requests at 30 percent load
    When at 2 s VM west-1 is lost
    And 3 s pass
    Then no promise is broken
"""


def test_the_same_seed_gives_the_same_trace():
    one = scenario.run(scenario.read(SHORT)[0])
    two = scenario.run(scenario.read(SHORT)[0])
    assert one.fault == ""
    assert len(one.trace) > 20
    assert one.trace == two.trace


def test_another_seed_gives_another_trace():
    one = scenario.run(scenario.read(SHORT)[0])
    other = SHORT.replace("seed 5", "seed 6")
    assert scenario.run(scenario.read(other)[0]).trace != one.trace


def test_a_bad_line_is_named(tmp_path, capsys):
    path = tmp_path / "bad.feature"
    path.write_text(SHORT.replace("VM west-1 is lost", "VM west-1 sings"))
    assert scenario.main([str(path)]) == 2
    assert f"{path}:7: no such step" in capsys.readouterr().err


def test_a_file_that_is_no_feature_is_named(tmp_path, capsys):
    path = tmp_path / "bad.feature"
    path.write_text("Feature: x\n\n  Scenario: y\n    Sometimes it rains\n")
    assert scenario.main([str(path)]) == 2
    assert f"{path}:4: " in capsys.readouterr().err


def test_an_unknown_name_is_a_fault(tmp_path, capsys):
    path = tmp_path / "bad.feature"
    path.write_text(SHORT.replace("west-1", "west-9"))
    assert scenario.main([str(path)]) == 1
    assert f"{path}:7: no VM west-9" in capsys.readouterr().out


def test_every_step_is_documented():
    from standins import scenario_steps

    page = (ROOT / "docs" / "SCENARIOS.md").read_text()
    for step in scenario_steps.STEPS:
        assert f"`{step.text}`" in page, step.text
