"""The replicated configuration: what is in force, and what is refused."""

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


def put(machine, version, content=CONTENT, document=b"{}"):
    """Replace the configuration; return the result."""
    command = model.configuration(version, content, document)
    return machine.apply(command)


def test_highest_version_wins_in_whatever_order_they_come():
    machine = machines.Machine()
    for version in (3, 9, 4, 9, 8):
        put(machine, version, document=f"v{version}".encode())
    assert machine.state.version == 9
    assert machine.state.configuration.original() == b"v9"


def test_other_content_under_the_version_held_changes_nothing():
    machine = machines.Machine()
    put(machine, 7, document=b"first")
    result = put(machine, 7, document=b"second")
    assert result == machines.Held(7, False)
    assert machine.state.configuration.original() == b"first"


def test_snapshot_holds_everything():
    machine = machines.Machine()
    put(machine, 5)
    machine.apply(machines.DataCentreSet("north", True))
    other = machines.Machine()
    other.restore(machine.snapshot())
    assert other.state == machine.state
    assert other.state.configuration.content() == CONTENT


def test_data_centre_orders_may_be_resent():
    machine = machines.Machine()
    assert machine.apply(machines.DataCentreSet("north", True)).changed
    assert not machine.apply(machines.DataCentreSet("north", True)).changed
    assert machine.state.out == ("north",)
    assert machine.state.out_revision == 1
    machine.apply(machines.DataCentreSet("north", False))
    assert machine.state.out == ()
    assert machine.state.out_revision == 2


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"targets": (model.Target("no", 1),)}, "unknown"),
        ({"targets": ()}, "names no service"),
        ({"targets": (model.Target("desk", 0),)}, "no service has a weight"),
        (
            {"targets": (model.Target("desk", 3), model.Target("desk", -1))},
            "below 0",
        ),
        ({"timeout_s": 0.0}, "timeout"),
    ],
)
def test_invalid_routes_are_refused_with_the_first_reason(change, said):
    bad = attrs.evolve(ROUTE, **change)
    content = attrs.evolve(CONTENT, routes=(bad,))
    assert said in checks.fault(content)


def test_two_routes_at_one_place_are_refused():
    other = attrs.evolve(ROUTE, name="r-2")
    content = attrs.evolve(CONTENT, routes=(ROUTE, other))
    assert "share 198.18.0.1:8080" in checks.fault(content)
    apart = attrs.evolve(other, port=8081)
    content = attrs.evolve(CONTENT, routes=(ROUTE, apart))
    assert checks.fault(content) == ""
