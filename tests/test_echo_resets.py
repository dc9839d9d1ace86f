"""Entry VMs reset no flow that may be open."""

import attrs

from ebonytally.configuration import model
from ebonytally.echo import forwarder
from ebonytally.echo import packets
from ebonytally.platform import packet_wire
from tests import echo_harness as harness
from tests import test_platform_wire as wire_tests

NEW_ROUTE = attrs.evolve(harness.ROUTE, name="r-2", port=9000)
NEW_CONTENT = attrs.evolve(harness.CONTENT, routes=(harness.ROUTE, NEW_ROUTE))
NEW_ADDRESS = forwarder.service_address_of(NEW_ROUTE)


def two_entry_vms():
    """Return a control VM and two entry VMs; the second one lags.

    Only the first one knows `NEW_ROUTE`.
    """
    control, lagging = harness.make_harness(upstreams=1)
    control.apply_configuration(3, NEW_CONTENT)
    current = harness.EntryVm("e2", [control])
    current.run(1.0)
    assert lagging.follower.is_fresh(lagging.now)
    return control, current, lagging


def is_reset(out):
    """Return whether a packet was answered with a reset."""
    return [type(action) for action in out] == [packets.Reset]


def test_open_flow_of_a_route_not_known_yet_is_forwarded():
    """Guards against review case 5: a lagging entry VM reset such flows."""
    _, current, lagging = two_entry_vms()
    fields = {"service_address": NEW_ADDRESS}
    (opened,) = current.packet(1, is_opening=True, **fields)
    fields["cookie"] = opened.cookie
    for packet in ({}, {"size": 100}, {"is_end": True}):
        (out,) = lagging.packet(1, **fields, **packet)
        assert out.id == opened.id
    assert lagging.forwarder.needs_update


def test_flow_of_a_removed_route_is_reset_where_it_was_in_force():
    """Callers of a removed route learn of it at once."""
    control, current, _ = two_entry_vms()
    fields = {"service_address": NEW_ADDRESS}
    (opened,) = current.packet(1, is_opening=True, **fields)
    fields["cookie"] = opened.cookie
    current.packet(1, **fields)
    control.apply_configuration(4)
    current.run(1.0)
    assert is_reset(current.packet(1, size=100, **fields))
    assert is_reset(current.packet(1, size=100, **fields))
    (out,) = current.packet(2, **fields)
    assert out.id == opened.id


def test_flow_of_a_route_that_is_back_is_forwarded():
    control, current, _ = two_entry_vms()
    fields = {"service_address": NEW_ADDRESS}
    for version, content in ((4, harness.CONTENT), (5, NEW_CONTENT)):
        control.apply_configuration(version, content)
        current.run(1.0)
    (opened,) = current.packet(1, is_opening=True, **fields)
    (out,) = current.packet(1, cookie=opened.cookie, size=9, **fields)
    assert out.id == opened.id


def test_copy_of_an_opening_packet_is_not_reset():
    """Its flow may have opened by way of another entry VM."""
    _, current, lagging = two_entry_vms()
    fields = {"service_address": NEW_ADDRESS, "is_opening": True}
    assert lagging.packet(1, copies=1, **fields) == []
    assert lagging.packet(1, copies=2, **fields) == []
    assert is_reset(lagging.packet(2, copies=0, **fields))
    content = attrs.evolve(
        harness.CONTENT,
        routes=(
            attrs.evolve(harness.ROUTE, targets=(model.Target("store", 1),)),
        ),
    )
    control, entry = harness.make_harness(upstreams=1)
    control.apply_configuration(3, content)
    entry.run(1.0)
    assert entry.packet(1, is_opening=True, copies=1) == []
    assert is_reset(entry.packet(2, is_opening=True, copies=0))


def test_copy_is_reset_if_all_earlier_ones_were_dropped_here():
    """The caller need not wait: nobody has got its opening packets."""
    control, entry = harness.make_harness()
    fields = {"service_address": NEW_ADDRESS, "is_opening": True}
    entry.unreachable = {"c1"}
    entry.run(3.0)
    assert entry.packet(1, copies=0, **fields) == []
    assert entry.packet(2, copies=1, **fields) == []
    entry.unreachable = set()
    entry.run(0.4)
    assert is_reset(entry.packet(1, copies=1, **fields))
    assert entry.packet(1, copies=2, **fields) == []
    assert entry.packet(2, copies=2, **fields) == []
    entry.run(5.0)
    assert entry.packet(1, copies=1, **fields) == []


def test_copies_of_an_opening_packet_are_counted():
    for copies in range(3):
        data = wire_tests.SYN[:4] + bytes([0, 0, 0, copies])
        packet = packet_wire.decode(data + wire_tests.SYN[8:])
        assert packet.copies == copies
    plain = packet_wire.decode(
        wire_tests.SYN[:4]
        + b"\x00\x00\x07\x07"
        + wire_tests.SYN[8:22]
        + bytes([32])
        + wire_tests.SYN[23:]
    )
    assert (plain.ack, plain.copies) == (0x707, 0)
