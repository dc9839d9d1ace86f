"""Time line of restarts, read from log lines."""

import json

from benches import timeline


def _line(second, vm, name, **fields):
    when = f"2026-12-04T10:00:{second:06.3f}+00:00"
    return "  46.1 " + json.dumps(
        {"time": when, "number": 1, "name": name, "vm": vm, **fields}
    )


def test_milestones_count_from_the_first_start():
    lines = timeline.parse(
        [
            "not a log line {",
            _line(40.5, "e1", "entry_ready", ready=True),
            _line(46.0, "e1", "started"),
            _line(46.2, "c1", "started"),
            _line(46.4, "e1", "configuration_applied"),
            _line(46.3, "e1", "entry_ready", ready=False),
            _line(46.5, "e1", "entry_ready", ready=True),
            _line(47.0, "c1", "leader_elected"),
        ]
    )
    (restart,) = timeline.restarts(lines, min_vms=2)
    entry, control = timeline.milestones(lines, restart)
    assert entry == timeline.Milestones("e1", 0.0, 0.4, 0.5, None)
    assert control == timeline.Milestones("c1", 0.2, None, None, 1.0)
    assert "| e1 | 0.000 | 0.400 | 0.500 |  |" in timeline.table(
        [entry, control]
    )


def test_single_restarts_are_left_out():
    lines = timeline.parse([_line(1.0, "e1", "started")])
    assert timeline.restarts(lines) == []


def test_the_program_says_when_no_restart_was_found(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text(_line(1.0, "e1", "started"))
    assert timeline.main(str(path)) == timeline.EXIT_NONE_FOUND
    assert "no restart of 4 or more" in capsys.readouterr().out
