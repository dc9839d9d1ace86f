"""Breaks the product on purpose; the scenarios' checks must notice."""

import itertools

import attrs
import pytest

from ebonytally import actions
from ebonytally.flows import flow_table
from ebonytally.flows import flows
from ebonytally import node
from ebonytally.requests import requests
from ebonytally.spread import spread_history
from ebonytally.upstreams import upstream_announce
from ebonytally.upstreams import upstreams
from ebonytally.upstreams import warmup
from standins import scenario

START = """\
Feature: Mutant

  Scenario: Mutant
    Given the customer llenni-tywyll with seed 5
"""
LOAD = "    And requests at 40 percent load\n"
WARM_S = 30.0
FLOWS = "    And 60 open flows\n"


def _fault(lines: str) -> str:
    return scenario.run(scenario.read(START + lines)[0]).fault


def _reroute(monkeypatch, choose):
    """Send each second forwarded packet to where `choose` says."""
    packet = flows.Flows.packet
    count = itertools.count()

    def changed(self, data, now):
        out = packet(self, data, now)
        return [self_reroute(self, one) for one in out]

    def self_reroute(self, action):
        if not isinstance(action, actions.Forward) or next(count) % 2:
            return action
        return choose(self, action)

    monkeypatch.setattr(flows.Flows, "packet", changed)


def _known(slice_):
    return slice_._site.state.upstreams


def _another(slice_, action, same_service):
    known = _known(slice_)
    mine = next(one for one in known if one.id == action.upstream)
    for one in known:
        same = one.service == mine.service
        if one.id != mine.id and same == same_service:
            return attrs.evolve(action, address=one.address, port=one.port)
    return action


def test_a_packet_to_another_service_is_noticed(monkeypatch):
    _reroute(monkeypatch, lambda part, one: _another(part, one, False))
    assert " got 10." in _fault(FLOWS + "    And 3 s pass\n")


def test_a_flow_that_changes_its_upstream_is_noticed(monkeypatch):
    _reroute(monkeypatch, lambda part, one: _another(part, one, True))
    assert "reached" in _fault(FLOWS + "    And 5 s pass\n")


def test_packets_into_a_data_centre_that_is_out_are_noticed(monkeypatch):
    changed = flows.Flows.changed

    def blind(self, new, now):
        return changed(self, attrs.evolve(new, out=()), now)

    def replan(table, service, known, out, revision):
        return plan(table, service, known, (), revision)

    plan = flow_table.replan
    monkeypatch.setattr(flow_table, "replan", replan)
    monkeypatch.setattr(flows.Flows, "changed", blind)
    lines = FLOWS + "    When data centre north is taken out\n"
    assert "after out" in _fault(lines + "    And 8 s pass\n")


def test_a_request_that_runs_twice_is_noticed(monkeypatch):
    request = requests.Requests.request

    def keyless(self, head, now):
        return request(self, attrs.evolve(head, key=""), now)

    monkeypatch.setattr(requests.Requests, "request", keyless)
    assert "ran 2 times" in _fault(LOAD + "    And 10 s pass\n")


def test_a_false_not_run_is_noticed(monkeypatch):
    done = requests.Requests.attempt_done

    def lying(self, attempt, result, now):
        return [_lie(one, now) for one in done(self, attempt, result, now)]

    monkeypatch.setattr(requests.Requests, "attempt_done", lying)
    assert "told not run" in _fault(LOAD + "    And 32 s pass\n")


def _lie(action, now):
    answer = isinstance(action, actions.Answer)
    if not answer or now < WARM_S or not action.attempt:
        return action
    return attrs.evolve(action, outcome=actions.Outcome.NOT_RUN)


def test_an_overloaded_cold_upstream_is_noticed(monkeypatch):
    monkeypatch.setattr(warmup.Warmup, "limited", False)
    monkeypatch.setattr(warmup.Warmup, "limit", lambda self, now: 2)
    assert "in the cold" in _fault(LOAD + "    And 5 s pass\n")


def test_more_than_its_slots_is_noticed(monkeypatch):
    monkeypatch.setattr(
        "standins.world_upstreams.Upstream.begin",
        lambda self, run: _take_all(self, run),
    )

    def first(self, service, exclude, now, deadline=0.0):
        known = [one for one in self._view.upstreams if one.service == service]
        return known[0] if known else None

    monkeypatch.setattr(upstreams.Upstreams, "take", first)
    assert " ran " in _fault(LOAD + "    And 5 s pass\n")


def _take_all(upstream, run):
    upstream.running.append(run)
    count = len(upstream.running)
    upstream.most_running = max(upstream.most_running, count)
    return 0.3


def test_a_view_that_goes_back_is_noticed(monkeypatch):
    append = spread_history.History.append
    count = itertools.count(1)

    def falls_back(self, revision, packed):
        done = append(self, revision, packed)
        if done and next(count) % 40 == 0:
            older = self.view.revision - 2
            self.view = attrs.evolve(self.view, revision=older)
        return done

    monkeypatch.setattr(spread_history.History, "append", falls_back)
    assert "went back" in _fault("    And 10 changes are confirmed\n")


def test_a_stop_that_cuts_a_request_is_noticed(monkeypatch):
    monkeypatch.setattr(node.Node, "idle", lambda self, now: True)
    lines = LOAD + "    And 2 s pass\n    When VM west-1 stops\n"
    assert "cut a request" in _fault(lines + "    And 3 s pass\n")


def test_work_for_a_leaving_upstream_is_noticed(monkeypatch):
    announce = upstreams.Upstreams.announce

    def deaf(self, announcement, source, now):
        state = upstream_announce.State.UP
        up = attrs.evolve(announcement, state=state)
        return announce(self, up, source, now)

    monkeypatch.setattr(upstreams.Upstreams, "announce", deaf)
    lines = LOAD + "    And 15 s pass\n"
    lines += "    When upstream cutting-desk-1 drains\n"
    lines += "    Then cutting-desk-1 gets no new work after 2 s\n"
    assert "began later" in _fault(lines)


@pytest.mark.parametrize("lines", [FLOWS + "    And 3 s pass\n"])
def test_the_product_as_it_is_passes(lines):
    assert _fault(lines) == ""
