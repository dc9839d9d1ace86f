"""Runs files of the scenario language under virtual time.

The files are Gherkin, read by the `gherkin` library; the steps are in
`scenario_steps`. A bad line is reported as ``FILE:LINE: why``.
"""

import argparse
import re
import sys

import attrs
from gherkin import errors as gherkin_errors
from gherkin import parser

from standins import scenario_steps

_AT = re.compile(r"at (\d+(?:\.\d+)?) s (.*)")
_LINE = re.compile(r"\((\d+):\d+\): (.*)")


@attrs.frozen
class Line:
    """One step of a scenario as it stands in the file."""

    number: int
    text: str


@attrs.frozen
class Scenario:
    """One scenario of a file."""

    name: str
    lines: tuple[Line, ...]


@attrs.frozen
class Result:
    """How a scenario went.

    :param fault: ``LINE: why``, "" when all held
    """

    name: str
    fault: str
    trace: tuple[str, ...]


class BadFileError(Exception):
    """A file that can't be read, with ``LINE: why`` for each fault."""


def read(text: str) -> list[Scenario]:
    """Return the scenarios in a file.

    :raises BadFileError: with every line that means nothing
    """
    try:
        tree = parser.Parser().parse(text)
    except gherkin_errors.CompositeParserException as exc:
        faults = [_located(str(one)) for one in exc.errors]
        raise BadFileError("\n".join(faults)) from exc
    except gherkin_errors.ParserError as exc:
        raise BadFileError(_located(str(exc))) from exc
    feature = tree.get("feature")
    if not feature or not feature["children"]:
        raise BadFileError("1: there is no scenario")
    background: list[Line] = []
    out = []
    for child in feature["children"]:
        if "background" in child:
            background = _lines(child["background"])
        elif "scenario" in child:
            one = child["scenario"]
            _refuse_prose(one)
            lines = tuple(background + _lines(one))
            out.append(Scenario(one["name"], lines))
    _check(out)
    return out


def _refuse_prose(node: dict) -> None:
    """Refuse lines that the parser takes as a description.

    A misspelt keyword would make a step one, and nobody would notice.
    """
    number = node["location"]["line"] + 1
    prose = node["description"].strip()
    if prose:
        raise BadFileError(f"{number}: not a step: {prose.splitlines()[0]}")
    if not node["steps"]:
        raise BadFileError(f"{number}: the scenario has no step")


def _located(text: str) -> str:
    found = _LINE.search(text)
    return f"{found[1]}: {found[2]}" if found else f"1: {text}"


def _lines(node: dict) -> list[Line]:
    return [
        Line(step["location"]["line"], step["text"]) for step in node["steps"]
    ]


def _check(scenarios: list[Scenario]) -> None:
    faults = []
    for scenario in scenarios:
        for line in scenario.lines:
            _, text = _timed(line.text)
            try:
                scenario_steps.find(text)
            except scenario_steps.StepError as exc:
                faults.append(f"{line.number}: {exc}")
    if faults:
        raise BadFileError("\n".join(dict.fromkeys(faults)))


def _timed(text: str) -> tuple[float | None, str]:
    found = _AT.fullmatch(text)
    if found is None:
        return None, text
    return float(found[1]), found[2]


def run(scenario: Scenario) -> Result:
    """Run one scenario; it ends at its first fault."""
    ctx = scenario_steps.Context()
    fault = ""
    began = 0.0
    for line in scenario.lines:
        at, text = _timed(line.text)
        step, values = scenario_steps.find(text)
        try:
            if at is not None:
                _advance(ctx, began + at)
            step.act(ctx, **values)
            if step.act.__name__ in ("_flows", "_load", "_customer"):
                began = ctx.world.now
            scenario_steps.check_promises(ctx)
        except scenario_steps.StepError as exc:
            fault = f"{line.number}: {exc}"
            break
    trace = () if ctx.world is None else tuple(ctx.world.trace)
    return Result(scenario.name, fault, trace)


def _advance(ctx: scenario_steps.Context, at: float) -> None:
    if ctx.world is None:
        raise scenario_steps.StepError("there is no world yet")
    if at < ctx.world.now:
        late = ctx.world.now - at
        raise scenario_steps.StepError(f"that time is {late:.1f} s past")
    ctx.world.run_until(at)


def main(argv: list[str]) -> int:
    """Run files; return 0 only if all hold, 2 for a bad file."""
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
        print(f"{path}:1: can't be read, {exc}", file=sys.stderr)
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
