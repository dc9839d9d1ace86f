"""Required limits that are not met yet."""

import collections

from ebonytally import wire
from standins import scenario
from standins import scenario_steps
from standins import world_net

CONTROL_LIMIT_BYTES_PER_S = 3 * 1024
DATAGRAM_OVERHEAD_BYTES = 28
SPAN_S = 10.0
UNDER_LOAD = """\
Feature: Load

  Scenario: Steady load
    Given the customer llenni-tywyll with seed 5
    And requests at 40 percent load
    And 25 s pass
"""


def test_control_stays_below_its_limit_under_load(monkeypatch):
    """Control traffic at 40% load: membership, gossip, log, slot grants.

    Flow and key messages, kinds 200 to 399, are not counted.
    """
    sent = collections.Counter()
    original_send = world_net.Net.send

    def counting_send(self, src, dst, msg, deliver):
        kind = wire.kind_of(msg)
        if not 200 <= kind < 400:
            frame = wire.encode(world_net.KEY, src, msg)
            sent[src] += len(frame) + DATAGRAM_OVERHEAD_BYTES
        return original_send(self, src, dst, msg, deliver)

    ctx = scenario_steps.Context()
    for line in scenario.read(UNDER_LOAD)[0].lines:
        step, values = scenario_steps.find(line.text)
        step.act(ctx, **values)
    monkeypatch.setattr(world_net.Net, "send", counting_send)
    ctx.world.run_until(ctx.world.now + SPAN_S)
    busiest_bytes_per_s = max(sent.values()) / SPAN_S
    assert busiest_bytes_per_s <= CONTROL_LIMIT_BYTES_PER_S
