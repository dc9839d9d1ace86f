"""Tests of the replicated configuration and its validation."""

import attrs
import pytest

from ebonytally.configuration import checks
from ebonytally.configuration import machine as machines
from ebonytally.configuration import model

SERVICE = model.Service("desk", 2000, 2.0, 0.0)
ROUTE = model.Route(
    "r-1",
    "198.18.0.1",
    8080,
    (model.Target("desk", 1),),
    True,
    2.5,
    0.15,
    2,
)
CONTENT = model.Content((ROUTE,), (SERVICE,), 15.0)


def replace(machine, version, content=CONTENT, document=b"{}"):
    """Apply a command that replaces the configuration; return the result."""
    command = model.configuration(version, content, document)
    return machine.apply(command)


def test_highest_version_wins_in_any_order():
    machine = machines.Machine()
    for version in (3, 9, 4, 9, 8):
        replace(machine, version, document=f"v{version}".encode())
    assert machine.state.version == 9
    assert machine.state.configuration.original_document() == b"v9"


def test_other_content_with_an_applied_version_is_ignored():
    machine = machines.Machine()
    replace(machine, 7, document=b"first")
    result = replace(machine, 7, document=b"second")
    assert result == machines.Held(7, False)
    assert machine.state.configuration.original_document() == b"first"


def test_snapshot_restores_the_whole_state():
    machine = machines.Machine()
    replace(machine, 5)
    machine.apply(machines.DataCentreSet("north", True))
    other = machines.Machine()
    other.restore(machine.snapshot())
    assert other.state == machine.state
    assert other.state.configuration.content() == CONTENT


def test_data_centre_commands_are_idempotent():
    machine = machines.Machine()
    assert machine.apply(machines.DataCentreSet("north", True)).changed
    assert not machine.apply(machines.DataCentreSet("north", True)).changed
    assert machine.state.out == ("north",)
    assert machine.state.out_revision == 1
    machine.apply(machines.DataCentreSet("north", False))
    assert machine.state.out == ()
    assert machine.state.out_revision == 2


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (
            {"targets": (model.Target("no", 1),)},
            "service 'no' is not defined",
        ),
        ({"targets": ()}, "must name at least one service"),
        (
            {"targets": (model.Target("desk", 0),)},
            "at least one service must have a weight above 0",
        ),
        (
            {"targets": (model.Target("desk", 3), model.Target("desk", -1))},
            "weight of service 'desk' must be at least 0, got -1",
        ),
        ({"timeout_s": 0.0}, "timeout must be above 0 s, got 0.0"),
    ],
)
def test_invalid_route_is_refused_with_its_first_error(change, error):
    invalid = attrs.evolve(ROUTE, **change)
    content = attrs.evolve(CONTENT, routes=(invalid,))
    assert error in checks.first_error(content)


def test_routes_with_the_same_address_and_port_are_refused():
    other = attrs.evolve(ROUTE, name="r-2")
    content = attrs.evolve(CONTENT, routes=(ROUTE, other))
    assert "must not share 198.18.0.1:8080" in checks.first_error(content)
    other_port = attrs.evolve(other, port=8081)
    content = attrs.evolve(CONTENT, routes=(ROUTE, other_port))
    assert checks.first_error(content) == ""
