"""Runs scenario files under virtual time.

The files are Gherkin, parsed by the `gherkin` library; the steps are defined
in `scenario_steps`. A bad line is reported as ``FILE:LINE: reason``.
"""

import argparse
import re
import sys

import attrs
from gherkin import errors as gherkin_errors
from gherkin import parser

from standins import scenario_steps

_TIMED_STEP = re.compile(r"at (\d+(?:\.\d+)?) s (.*)")
_PARSER_ERROR = re.compile(r"\((\d+):\d+\): (.*)")


@attrs.frozen
class StepLine:
    """A step in a file.

    :param number: its line number, from 1
    """

    number: int
    text: str


@attrs.frozen
class Scenario:
    """A scenario of a file; the steps of its background come first."""

    name: str
    lines: tuple[StepLine, ...]


@attrs.frozen
class Result:
    """Result of running a scenario.

    :param fault: ``LINE: reason`` of the first failed step, "" for none
    :param trace: events in order, each with its virtual time
    """

    name: str
    fault: str
    trace: tuple[str, ...]


class BadFileError(Exception):
    """An invalid file; one line ``LINE: reason`` for each fault."""


def read(text: str) -> list[Scenario]:
    """Return the scenarios in a file's text.

    :raises BadFileError: for a syntax error or an unknown step
    """
    try:
        tree = parser.Parser().parse(text)
    except gherkin_errors.CompositeParserException as exc:
        faults = [_format_parser_error(str(error)) for error in exc.errors]
        raise BadFileError("\n".join(faults)) from exc
    except gherkin_errors.ParserError as exc:
        raise BadFileError(_format_parser_error(str(exc))) from exc
    feature = tree.get("feature")
    if not feature or not feature["children"]:
        raise BadFileError(
            "1: the file has no scenario, expected at least one"
        )
    background: list[StepLine] = []
    scenarios = []
    for child in feature["children"]:
        if "background" in child:
            background = _steps_of(child["background"])
        elif "scenario" in child:
            node = child["scenario"]
            _check_only_steps(node)
            lines = tuple(background + _steps_of(node))
            scenarios.append(Scenario(node["name"], lines))
    _check_steps(scenarios)
    return scenarios


def _check_only_steps(node: dict) -> None:
    """Check that a scenario has steps and no description.

    The parser takes a step with a misspelt keyword as description, so that
    it would be skipped silently.
    """
    number = node["location"]["line"] + 1
    description = node["description"].strip()
    if description:
        raise BadFileError(
            f"{number}: expected a step, got: {description.splitlines()[0]}"
        )
    if not node["steps"]:
        raise BadFileError(f"{number}: the scenario has no steps")


def _format_parser_error(text: str) -> str:
    match = _PARSER_ERROR.search(text)
    return f"{match[1]}: {match[2]}" if match else f"1: {text}"


def _steps_of(node: dict) -> list[StepLine]:
    return [
        StepLine(step["location"]["line"], step["text"])
        for step in node["steps"]
    ]


def _check_steps(scenarios: list[Scenario]) -> None:
    faults = []
    for scenario in scenarios:
        for line in scenario.lines:
            _, text = _split_time(line.text)
            try:
                scenario_steps.find(text)
            except scenario_steps.StepError as exc:
                faults.append(f"{line.number}: {exc}")
    if faults:
        raise BadFileError("\n".join(dict.fromkeys(faults)))


def _split_time(text: str) -> tuple[float | None, str]:
    match = _TIMED_STEP.fullmatch(text)
    if match is None:
        return None, text
    return float(match[1]), match[2]


def run(scenario: Scenario) -> Result:
    """Run a scenario up to its first failed step."""
    ctx = scenario_steps.Context()
    fault = ""
    start = 0.0
    for line in scenario.lines:
        at, text = _split_time(line.text)
        step, values = scenario_steps.find(text)
        try:
            if at is not None:
                _advance_to(ctx, start + at)
            step.act(ctx, **values)
            # The times of later steps count from the last of these.
            if step.act.__name__ in (
                "_open_flows",
                "_offer_requests",
                "_start_customer",
            ):
                start = ctx.world.now
            scenario_steps.check_guarantees(ctx)
        except scenario_steps.StepError as exc:
            fault = f"{line.number}: {exc}"
            break
    trace = () if ctx.world is None else tuple(ctx.world.trace)
    return Result(scenario.name, fault, trace)


def _advance_to(ctx: scenario_steps.Context, at: float) -> None:
    if ctx.world is None:
        raise scenario_steps.StepError(
            f"can't wait until {at:g} s before a customer is started"
        )
    if at < ctx.world.now:
        late = ctx.world.now - at
        raise scenario_steps.StepError(
            f"the time of the step is already {late:.1f} s past"
        )
    ctx.world.run_until(at)


def main(argv: list[str]) -> int:
    """Run the scenarios of files.

    :return: exit status, 0 if all hold, 1 if one fails, 2 for a bad file
    """
    args = argparse.ArgumentParser(prog="scripts/scenario")
    args.add_argument("files", nargs="+")
    args.add_argument("--trace", action="store_true")
    options = args.parse_args(argv)
    status = 0
    for path in options.files:
        status = max(status, _run_file(path, options.trace))
    return status


def _run_file(path: str, show_trace: bool) -> int:
    try:
        with open(path, encoding="utf-8") as file:
            scenarios = read(file.read())
    except (OSError, UnicodeDecodeError) as exc:
        print(f"{path}:1: the file can't be read: {exc}", file=sys.stderr)
        return 2
    except BadFileError as exc:
        for line in str(exc).splitlines():
            print(f"{path}:{line}", file=sys.stderr)
        return 2
    status = 0
    for scenario in scenarios:
        result = run(scenario)
        if show_trace:
            print("\n".join(result.trace))
        if result.fault:
            print(f"{path}:{result.fault}")
            status = 1
        else:
            print(f"{path}: {scenario.name}: holds")
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
