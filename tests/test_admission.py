"""Admission by upstreams, classes and the first opening packet only."""

import math

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from ebonytally.echo import gate
from ebonytally.echo import packets
from ebonytally.load import admission
from ebonytally.load import classes
from ebonytally.load import fair_shares
from ebonytally.load import interfaces
from ebonytally.load import link_room
from ebonytally.load import upstream_room
from tests import echo_harness

LOW = interfaces.Opening(b"abcd", "desk", 2, True, 0.3, 2.4)
HIGH = attrs.evolve(LOW, priority=1, idempotent=False)
BYTES_S = 100_000.0
RESERVED = 0.2


class Upstreams:
    """Upstreams of one service that reject what exceeds their room.

    The share that they rejected is an average over about a second.
    """

    def __init__(self, room_per_s, utilisation=2.0):
        self._room_per_s = room_per_s
        self._utilisation = utilisation
        self._waiting = 0.0
        self._rejected = 0.0
        self._at = 0.0

    def request(self, now):
        """Run or reject a request."""
        served = self._room_per_s * (now - self._at)
        self._waiting = max(0.0, self._waiting - served)
        weight = -math.expm1(-(now - self._at))
        self._at = now
        is_full = self._waiting >= 8
        self._waiting += not is_full
        self._rejected += (is_full - self._rejected) * weight

    def rejected_share(self, service, now):
        """Return the share, as `interfaces.Capacity` does."""
        return self._rejected

    def utilisation(self, service, now):
        """Return a constant, as `interfaces.Utilisation` might."""
        return self._utilisation


def _admission(capacity=None, bytes_s=0.0):
    known = classes.Classes()
    return admission.LoadAdmission(
        known,
        link_room.LinkRoom(bytes_s, RESERVED, known),
        upstream_room.UpstreamRoom(capacity, RESERVED, known, capacity),
        fair_shares.FairShares(),
    )


def test_full_upstreams_refuse_the_lowest_priority_first():
    """Upstreams reject whatever the priority, the important as well."""
    upstreams = Upstreams(100)
    decisions = _admission(upstreams)
    shares = []
    for second in range(20):
        # Twice the room from second 2 to 10.
        rate = 200 if 2 <= second < 10 else 80
        refused = {LOW: 0, HIGH: 0}
        for number in range(rate):
            now = second + number / rate
            opening = HIGH if number % 5 == 0 else LOW
            opening = attrs.evolve(opening, caller=bytes([number]))
            verdict = decisions.decide(opening, now)
            if verdict.is_admitted:
                upstreams.request(now)
            else:
                assert verdict.refusal == interfaces.Refusal.UPSTREAMS
                refused[attrs.evolve(opening, caller=b"abcd")] += 1
        assert not refused[HIGH]
        shares.append(refused[LOW] / rate)
    assert shares[:2] == [0, 0]
    assert 0.3 < sum(shares[5:10]) / 5 < 0.65
    assert shares[14:] == [0] * 6


@pytest.mark.parametrize("utilisation", [None, 0.3])
def test_broken_upstreams_beside_idle_ones_refuse_nobody(utilisation):
    """Refusing callers doesn't cure upstreams that reject without load."""
    upstreams = Upstreams(10, utilisation)
    decisions = _admission(upstreams)
    for number in range(4000):
        now = number / 100
        opening = attrs.evolve(LOW, caller=bytes([number % 200]))
        assert decisions.decide(opening, now).is_admitted
        upstreams.request(now)
    assert upstreams.rejected_share("", now) > 0.5


@pytest.mark.parametrize("start", [0.02, 100_000.0])
def test_full_link_refuses_whatever_the_clock_says_at_the_start(start):
    """The host's uptime is no pause of the VM: it gives no credit."""
    decisions = _admission(None, BYTES_S)
    refused = 0
    for number in range(2000):
        now = start + number / 1000
        opening = attrs.evolve(LOW, caller=number.to_bytes(4, "big"))
        refused += not decisions.decide(opening, now).is_admitted
    # Twice and a half the bandwidth by the default need of a flow.
    assert refused > 1000


openings = st.lists(
    st.tuples(st.sampled_from([LOW, HIGH]), st.floats(0, 0.02)),
    min_size=50,
    max_size=300,
)


@settings(max_examples=20, deadline=None)
@given(st.integers(20, 400), st.integers(2, 50), st.integers(200, 3000))
def test_reserved_room_is_never_taken_by_lower_priorities(rate, every, size):
    """Without a reserve the highest priority waits behind the others."""
    known = classes.Classes()
    link = link_room.LinkRoom(BYTES_S, RESERVED, known)
    known.add(HIGH, 0.0)
    taken = 0
    for number in range(5 * rate):
        now = number / rate
        opening = HIGH if number % every == 0 else LOW
        known.add(opening, now)
        if link.pressure(opening, now) < 1:
            key = number.to_bytes(12, "big")
            link.reserve(opening, now)
            link.on_admitted(key, opening, now)
            link.on_packet(key, True, size, size, now)
            taken += size * (opening is LOW)
        elif opening is LOW:
            link.on_refused(opening, now)
        link.on_tick(0, now)
    usable = BYTES_S * link_room.TARGET_SHARE * (1 - RESERVED) * 5
    # The longest queue, once, and the first flow beyond it.
    assert taken <= usable + 0.035 * BYTES_S + max(size, 4_000)


@settings(deadline=None)
@given(openings)
def test_preview_is_right_and_has_no_effect(load):
    """A call that explains a decision must not change the next ones."""
    first = _admission(Upstreams(50), BYTES_S)
    second = _admission(Upstreams(50), BYTES_S)
    now = 0.0
    for opening, pause_s in load:
        now += pause_s
        preview = second.preview(opening, now)
        assert second.preview(opening, now + 0.01) is not None
        verdict = second.decide(opening, now)
        assert verdict == first.decide(opening, now)
        assert verdict.is_admitted == preview.is_admitted


class Refusing:
    """Refuses each flow."""

    def decide(self, opening, now):
        """Return a refusal."""
        return interfaces.Verdict(interfaces.Refusal.LINK, 1.25)


def _refusing_entry():
    _, entry = echo_harness.make_harness()
    entry.forwarder._gate = gate.Gate(Refusing(), None, entry.recorder)
    return entry


@settings(deadline=None)
@given(st.lists(st.tuples(st.integers(1, 4), st.integers(0, 2)), max_size=12))
def test_only_first_opening_packets_are_refused(sent):
    """A reset for a copy could break a flow that opened elsewhere."""
    entry = _refusing_entry()
    forwarded = set()
    for caller, copies in sent:
        out = entry.packet(caller, is_opening=True, copies=copies)
        is_refused = any(isinstance(each, packets.Reset) for each in out)
        assert is_refused == (copies == 0 and caller not in forwarded)
        if not is_refused:
            forwarded.add(caller)


def test_refusal_is_recorded_with_reason_priority_and_pressure():
    """An operator could not tell who refused a caller, and why."""
    entry = _refusing_entry()
    entry.packet(7, is_opening=True)
    event, fields = entry.recorder.events[-1]
    assert event.name == "FLOW_REFUSED"
    assert fields["reason"] == "link"
    assert (fields["priority"], fields["pressure"]) == (2, 1.25)
    assert entry.recorder.counts["flows_refused.link.2"] == 1


def test_flows_are_served_while_the_view_may_be_old():
    """A reset from an old view may hit a flow that is open elsewhere."""
    entry = _refusing_entry()
    entry.unreachable.add("c1")
    entry.run(10.0)
    (out,) = entry.packet(9, is_opening=True)
    assert isinstance(out, packets.ToUpstream)
