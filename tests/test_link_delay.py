"""Queueing delay at the inbound link, seen from openings."""

import pytest

from ebonytally.load import link_delay


def observe(delay, times_s, start):
    """Report openings 20 ms apart; return the time of the last."""
    now = start
    for took_s in times_s:
        now += 0.02
        delay.on_opened("i-1", took_s, now)
        delay.on_tick(now)
    return now


def test_a_queue_before_the_vm_delays_even_the_fastest_openings():
    """Guards against a full link that the VM takes for a calm one."""
    delay = link_delay.LinkDelay()
    now = observe(delay, [0.007] * 50, 100.0)
    assert not delay.is_congested(now)
    now = observe(delay, [0.09, 0.13, 0.15, 0.16] * 3, now)
    assert delay.delay_s(now) == pytest.approx(0.083, abs=1e-6)
    assert delay.is_congested(now)


def test_slow_upstreams_are_no_queue_at_the_link():
    """Guards against refusals for upstreams that answer late."""
    delay = link_delay.LinkDelay()
    now = observe(delay, [0.007] * 50, 100.0)
    now = observe(delay, [0.3, 0.3, 0.3, 0.008] * 3, now)
    assert not delay.is_congested(now)


def test_a_pause_of_this_vm_is_no_queue_at_the_link():
    """Guards against refusals after the VM was frozen for a second."""
    delay = link_delay.LinkDelay()
    now = observe(delay, [0.007] * 50, 100.0) + 1.0
    delay.on_tick(now)
    for _ in range(5):
        delay.on_opened("i-1", 0.9, now + 0.01)
    assert delay.delay_s(now + 0.01) == 0.0


def test_the_queue_is_forgotten_when_openings_stop():
    """Guards against a VM that refuses everything and never learns more."""
    delay = link_delay.LinkDelay()
    now = observe(delay, [0.007] * 50 + [0.2] * 12, 100.0)
    assert delay.is_congested(now)
    assert not delay.is_congested(now + link_delay.WINDOW_S + 0.01)
