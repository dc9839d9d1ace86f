"""Services of weight 0 get nothing, whatever happens to the others."""

import attrs
import pytest

from ebonytally.configuration import model
from ebonytally.echo import packets
from tests import echo_harness as harness


def weights(**by_service):
    """Return a configuration whose route has these weights."""
    targets = tuple(
        model.Target(service, weight) for service, weight in by_service.items()
    )
    route = attrs.evolve(harness.ROUTE, targets=targets)
    return attrs.evolve(harness.CONTENT, routes=(route,))


def make_vms(content):
    """Return VMs with two upstreams of `desk` and one of `store`."""
    control, entry = harness.make_harness(upstreams=2)
    other = harness.announcement(3, service="store", data_centre="south")
    control.registry.on_announcement(other, entry.now)
    control.apply_configuration(3, content)
    entry.run(1.0)
    return control, entry


def evacuate(control, data_centre):
    control.machine.apply(harness.machines.DataCentreSet(data_centre, True))


@pytest.mark.parametrize("is_outdated", [False, True])
def test_weight_0_gets_no_opening_when_the_others_have_no_upstream(
    is_outdated,
):
    """The first service of the route was used whatever its weight."""
    control, entry = make_vms(weights(desk=0, store=100))
    evacuate(control, "south")
    entry.run(1.0)
    if is_outdated:
        entry.unreachable = {"c1"}
        entry.run(3.0)
    out = entry.packet(1, is_opening=True)
    assert [type(packet) for packet in out] == (
        [] if is_outdated else [packets.Reset]
    )
    assert entry.refused() == ["no_upstream"]


@pytest.mark.parametrize("has_other", [False, True])
@pytest.mark.parametrize("is_copy", [False, True])
def test_weight_0_gets_no_retry_of_an_opening_that_began_before(
    has_other, is_copy
):
    """A retry went to the service chosen under the older configuration."""
    control, entry = make_vms(weights(desk=100, store=0))
    if not has_other:
        evacuate(control, "south")
    entry.run(0.5)
    control.apply_configuration(4, weights(desk=0, store=100))
    for caller in range(20):
        entry.packet(caller, is_opening=True)
    entry.deliver(entry.follower.poll_now(entry.now + 0.2))
    assert entry.follower.view.version == 4
    entry.sent.clear()
    entry.run(0.2)
    out = list(entry.sent)
    if is_copy:
        for caller in range(20):
            out += entry.packet(caller, is_opening=True, copies=1)
    ids = {packet.id for packet in out}
    assert ids == ({"i-00000003"} if has_other else set())


def test_an_opening_whose_route_was_removed_is_not_retried():
    """A retry reached an upstream of a route that no longer exists."""
    control, entry = make_vms(weights(desk=100))
    entry.packet(1, is_opening=True)
    control.apply_configuration(4, attrs.evolve(harness.CONTENT, routes=()))
    entry.deliver(entry.follower.poll_now(entry.now + 0.2))
    assert entry.follower.view.version == 4
    entry.run(0.2)
    assert entry.sent == []
