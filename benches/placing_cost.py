"""Processor time of an opening packet by the number of upstreams."""

import statistics
import time

from tests import echo_harness

UPSTREAMS = (7, 60, 234, 2900)
FLOWS = 2000


def measure(upstreams: int) -> dict[str, float]:
    """Return median and 99th percentile in microseconds.

    Flows are opened one after the other and then closed, as callers do
    that open a flow for each request.
    """
    _, entry = echo_harness.make_fleet_harness(upstreams)
    took_us = []
    for caller in range(1, FLOWS + 1):
        packet = echo_harness.packet(caller, is_opening=True)
        began = time.perf_counter()
        (out,) = entry.forwarder.handle_packet(packet, entry.now)
        took_us.append((time.perf_counter() - began) * 1e6)
        entry.packet(caller, cookie=out.cookie)
        entry.packet(caller, cookie=out.cookie, is_end=True)
    return {
        "opening_median_us": round(statistics.median(took_us), 1),
        "opening_p99_us": round(statistics.quantiles(took_us, n=100)[98], 1),
    }
