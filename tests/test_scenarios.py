"""Every scenario holds; bad scenario files and lines are reported."""

from concurrent import futures
import functools
import pathlib

import pytest

from standins import scenario

ROOT = pathlib.Path(__file__).resolve().parent.parent
FILES = sorted((ROOT / "scenarios").glob("*.feature"))
WORKERS = 6


def _list_scenarios() -> list[tuple[str, int, str]]:
    scenarios = []
    for path in FILES:
        for index, parsed in enumerate(scenario.read(path.read_text())):
            scenarios.append((path.name, index, parsed.name))
    return scenarios


def _run(file: str, index: int) -> scenario.Result:
    text = (ROOT / "scenarios" / file).read_text()
    return scenario.run(scenario.read(text)[index])


@functools.cache
def _submit_all() -> dict[tuple[str, int], futures.Future]:
    pool = futures.ProcessPoolExecutor(WORKERS)
    return {
        (file, index): pool.submit(_run, file, index)
        for file, index, _ in _list_scenarios()
    }


@pytest.mark.parametrize(("file", "index", "name"), _list_scenarios())
def test_scenario_holds(file, index, name):
    result = _submit_all()[(file, index)].result()
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
    first = scenario.run(scenario.read(SHORT)[0])
    second = scenario.run(scenario.read(SHORT)[0])
    assert first.fault == ""
    assert len(first.trace) > 20
    assert first.trace == second.trace


def test_another_seed_gives_another_trace():
    result = scenario.run(scenario.read(SHORT)[0])
    other = SHORT.replace("seed 5", "seed 6")
    assert scenario.run(scenario.read(other)[0]).trace != result.trace


def test_an_unknown_step_is_reported_with_its_line(tmp_path, capsys):
    path = tmp_path / "bad.feature"
    path.write_text(SHORT.replace("VM west-1 is lost", "VM west-1 sings"))
    assert scenario.main([str(path)]) == 2
    assert f"{path}:7: unknown step: " in capsys.readouterr().err


def test_a_line_without_keyword_is_reported(tmp_path, capsys):
    path = tmp_path / "bad.feature"
    path.write_text("Feature: x\n\n  Scenario: y\n    Sometimes it rains\n")
    assert scenario.main([str(path)]) == 2
    assert f"{path}:4: " in capsys.readouterr().err


def test_an_unknown_vm_fails_the_scenario(tmp_path, capsys):
    path = tmp_path / "bad.feature"
    path.write_text(SHORT.replace("west-1", "west-9"))
    assert scenario.main([str(path)]) == 1
    assert f"{path}:7: unknown VM west-9" in capsys.readouterr().out


def test_every_step_is_documented():
    from standins import scenario_steps

    page = (ROOT / "docs" / "SCENARIOS.md").read_text()
    for step in scenario_steps.STEPS:
        assert f"`{step.text}`" in page, step.text
