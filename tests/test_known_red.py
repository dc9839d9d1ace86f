"""Bounds from the stated target that aren't met yet."""

import collections

from ebonytally import settings
from ebonytally.upstreams import warmup
from ebonytally import wire
from standins import scenario
from standins import scenario_steps
from standins import world_net

CONTROL_LIMIT_BYTES_PER_S = 3 * 1024
DATAGRAM_OVERHEAD_BYTES = 28
SPAN_S = 10.0
COLD_ANSWERS = 10
UNDER_LOAD = """\
Feature: Load

  Scenario: Steady load
    Given the customer llenni-tywyll with seed 5
    And requests at 40 percent load
    And 25 s pass
"""


def test_control_stays_below_its_limit_under_load(monkeypatch):
    """Members, spread, log and slot lending, at 40% of full load."""
    sent = collections.Counter()
    send = world_net.Net.send

    def counting(self, src, dst, msg, deliver):
        kind = wire.kind_of(msg)
        if not 200 <= kind < 400:
            frame = wire.encode(world_net.KEY, src, msg)
            sent[src] += len(frame) + DATAGRAM_OVERHEAD_BYTES
        return send(self, src, dst, msg, deliver)

    ctx = scenario_steps.Context()
    for line in scenario.read(UNDER_LOAD)[0].lines:
        step, values = scenario_steps.find(line.text)
        step.act(ctx, **values)
    monkeypatch.setattr(world_net.Net, "send", counting)
    ctx.world.run_until(ctx.world.now + SPAN_S)
    worst = max(sent.values()) / SPAN_S
    assert worst <= CONTROL_LIMIT_BYTES_PER_S


def test_an_upstream_that_stays_cold_gets_no_more_than_its_share():
    """An upstream may bear a tenth only for its first answers."""
    cfg = settings.Upstreams()
    one = warmup.Warmup(cfg, slots=2, share=cfg.cold_share)
    now = 0.0
    for _ in range(COLD_ANSWERS):
        now += 10.0
        one.answered(1, 0.1, now)
        assert one.share / warmup.REST_MARGIN <= cfg.cold_share
