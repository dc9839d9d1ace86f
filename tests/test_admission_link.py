"""Admission at a link that is too small, with callers that retry."""

import pytest

from ebonytally.load import interfaces
from tests import link_model

HIGH = 1


def _play(seed, used_share, factor=5):
    """Play a burst from second 4 to 7; `used_share` is usual."""
    site = link_model.Site(seed)
    rate = link_model.BYTES_S * used_share / link_model.MEAN_BYTES
    for times, start, end in ((1, 1, 4), (factor, 4, 7), (1, 7, 11)):
        site.offer(rate * times, start, end)
    site.run(4)
    before = site.inbound.carried
    site.run(7)
    carried_share = (site.inbound.carried - before) / 3 / link_model.BYTES_S
    site.run(16)
    return site, carried_share


@pytest.mark.parametrize("seed", [1, 2])
def test_high_priority_is_served_on_a_link_of_1_2_times_the_usual_rate(seed):
    """Without admission the link drops packets whatever their priority."""
    site, carried_share = _play(seed, 1 / 1.2)
    outcomes = site.outcomes(HIGH, 4, 7)
    assert outcomes == {"served": outcomes["served"]}
    assert max(wait for at, wait in site.inbound.waits if at > 4) < 0.05
    assert carried_share > 0.85
    at, _ = site.refused[0]
    assert at < 4.1
    assert {packet.copies for _, packet in site.refused} == {0}


@pytest.mark.parametrize("seed", [1, 2])
def test_refusals_begin_and_end_with_the_burst(seed):
    """Refusals in ordinary hours, or long after a burst, serve nobody."""
    site, carried_share = _play(seed, 0.41)
    assert 4 < site.refused[0][0] < 4.12
    assert site.refused[-1][0] < 7 + 3
    assert carried_share > 0.85
    assert set(site.outcomes(HIGH, 0, 16)) == {"served"}


def test_pause_of_the_vm_is_no_overload():
    """After a pause the packets of seconds arrive within an instant."""
    site = link_model.Site(1)
    site.offer(link_model.BYTES_S * 0.41 / link_model.MEAN_BYTES, 1, 20)
    for at, pause_s in ((3, 0.3), (6, 0.6), (9, 2.5)):
        site.run(at)
        site.paused_until = at + pause_s
    site.run(22)
    assert not site.refused


def test_one_caller_at_20_times_the_rate_takes_no_room_of_others():
    """The link's queue alone refuses whoever comes, mostly the others."""
    site = link_model.Site(3)
    other_rate = link_model.BYTES_S * 0.6 / link_model.MEAN_BYTES / 20
    for address in range(20):
        site.offer(other_rate, 1, 10, address)
    site.offer(other_rate * 20, 3, 10, address=999)
    site.run(16)
    others = [req for req in site.requests if req.address != 999]
    served = sum(req.outcome == "served" for req in others)
    assert served > 0.97 * len(others)
    reasons = [
        fields["reason"]
        for event, fields in site.recorder.events
        if event.name == "FLOW_REFUSED"
    ]
    assert reasons.count(interfaces.Refusal.CALLER) > 0.8 * len(reasons)
