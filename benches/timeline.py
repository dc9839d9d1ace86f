"""Time line of restarts, from the log of all processes.

``scripts/timeline FILE [--vms N]`` reads log lines, as ``fleetbench run
... --log all`` or the processes themselves print them, and prints for each
restart of many processes when each one reached which milestone.
"""

from collections.abc import Iterable
import datetime
import json
import pathlib
import sys

import attrs
import fire

# Processes that start within this time belong to one restart.
RESTART_GAP_S = 2.0
MIN_VMS = 4
EXIT_DONE = 0
EXIT_NONE_FOUND = 1


@attrs.frozen
class Line:
    """A log line.

    :param at: seconds since 1970
    """

    at: float
    vm: str
    event: str
    fields: dict


@attrs.frozen
class Milestones:
    """Milestones of one process, in seconds after its restart began.

    :param started: its ports for messages and packets are open
    :param view: the first configuration is in force (entry VMs)
    :param ready: it reports that it is ready (entry VMs)
    :param leads: it leads the replicated log (control VMs)
    """

    vm: str
    started: float
    view: float | None
    ready: float | None
    leads: float | None


def parse(text_lines: Iterable[str]) -> list[Line]:
    """Return the log lines in a text, sorted by time.

    Whatever stands before the JSON object of a line is ignored, and so are
    lines without one.
    """
    lines = []
    for text in text_lines:
        _, brace, rest = text.partition("{")
        try:
            fields = json.loads(brace + rest)
            at = datetime.datetime.fromisoformat(fields["time"]).timestamp()
            lines.append(Line(at, fields["vm"], fields["name"], fields))
        except (ValueError, KeyError):
            continue
    return sorted(lines, key=lambda line: line.at)


def restarts(lines: list[Line], min_vms: int = MIN_VMS) -> list[list[Line]]:
    """Return the `started` lines of each restart of at least `min_vms`."""
    groups: list[list[Line]] = []
    for line in lines:
        if line.event != "started":
            continue
        if groups and line.at - groups[-1][-1].at <= RESTART_GAP_S:
            groups[-1].append(line)
        else:
            groups.append([line])
    return [
        group
        for group in groups
        if len({line.vm for line in group}) >= min_vms
    ]


def milestones(lines: list[Line], restart: list[Line]) -> list[Milestones]:
    """Return the milestones of each process of a restart."""
    began = restart[0].at

    def first(event: str, start: Line, **wanted: object) -> float | None:
        for line in lines:
            if (
                line.vm == start.vm
                and line.event == event
                and line.at >= start.at
                and wanted.items() <= line.fields.items()
            ):
                return round(line.at - began, 3)
        return None

    return [
        Milestones(
            start.vm,
            round(start.at - began, 3),
            first("configuration_applied", start),
            first("entry_ready", start, ready=True),
            first("leader_elected", start),
        )
        for start in restart
    ]


def table(rows: list[Milestones]) -> str:
    """Return a Markdown table of milestones, in seconds."""
    out = [
        "| VM | started | view | ready | leads |",
        "| --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        cells = [
            "" if value is None else f"{value:.3f}"
            for value in (row.started, row.view, row.ready, row.leads)
        ]
        out.append(f"| {row.vm} | {' | '.join(cells)} |")
    return "\n".join(out)


def main(file: str, vms: int = MIN_VMS) -> int:
    """Print a table for each restart of at least `vms` processes.

    :param file: path of a file with log lines
    """
    with pathlib.Path(file).open(encoding="utf-8", errors="replace") as text:
        lines = parse(text)
    found = restarts(lines, vms)
    for restart in found:
        when = datetime.datetime.fromtimestamp(restart[0].at, datetime.UTC)
        print(f"restart at {when.isoformat(timespec='milliseconds')}\n")
        print(table(milestones(lines, restart)) + "\n")
    if not found:
        print(f"no restart of {vms} or more processes in {file}")
    return EXIT_DONE if found else EXIT_NONE_FOUND


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda _: ""))
