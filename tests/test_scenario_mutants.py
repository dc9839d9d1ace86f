"""Mutation tests: the scenario checks must detect injected faults."""

import itertools

import attrs
import pytest

from ebonytally import actions
from ebonytally.dissemination import view_history
from ebonytally.flows import flow_table
from ebonytally.flows import flows
from ebonytally import node
from ebonytally.requests import request_dispatcher
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
WARM_AFTER_S = 30.0
FLOWS = "    And 60 open flows\n"


def _fault(lines: str) -> str:
    return scenario.run(scenario.read(START + lines)[0]).fault


def _reroute(monkeypatch, choose):
    """Replace every second forwarded packet by the result of `choose`."""
    packet = flows.Flows.handle_packet
    count = itertools.count()

    def handle_packet(self, data, now):
        actions_ = packet(self, data, now)
        return [reroute(self, action) for action in actions_]

    def reroute(self, action):
        if not isinstance(action, actions.Forward) or next(count) % 2:
            return action
        return choose(self, action)

    monkeypatch.setattr(flows.Flows, "handle_packet", handle_packet)


def _known_upstreams(flows_):
    return flows_._env.state.upstreams


def _to_other_upstream(flows_, action, same_service):
    """Return the action, sent to another upstream if there is one."""
    known = _known_upstreams(flows_)
    target = next(
        upstream for upstream in known if upstream.id == action.upstream
    )
    for upstream in known:
        same = upstream.service == target.service
        if upstream.id != target.id and same == same_service:
            return attrs.evolve(
                action,
                address=upstream.address,
                port=upstream.port,
            )
    return action


def test_a_packet_to_another_service_is_detected(monkeypatch):
    _reroute(
        monkeypatch,
        lambda flows_, action: _to_other_upstream(flows_, action, False),
    )
    assert " got 10." in _fault(FLOWS + "    And 3 s pass\n")


def test_a_flow_that_changes_its_upstream_is_detected(monkeypatch):
    _reroute(
        monkeypatch,
        lambda flows_, action: _to_other_upstream(flows_, action, True),
    )
    assert "reached" in _fault(FLOWS + "    And 5 s pass\n")


def test_packets_into_a_data_centre_that_is_out_are_detected(monkeypatch):
    changed = flows.Flows.on_view_change

    def ignore_out(self, new, now):
        return changed(self, attrs.evolve(new, out=()), now)

    def replan_without_out(table, service, known, out, revision):
        return replan(table, service, known, (), revision)

    replan = flow_table.replan
    monkeypatch.setattr(flow_table, "replan", replan_without_out)
    monkeypatch.setattr(flows.Flows, "on_view_change", ignore_out)
    lines = FLOWS + "    When data centre north is taken out\n"
    assert "after out" in _fault(lines + "    And 8 s pass\n")


def test_a_request_that_runs_twice_is_detected(monkeypatch):
    request = request_dispatcher.RequestDispatcher.handle_request

    def drop_key(self, head, now):
        return request(self, attrs.evolve(head, key=""), now)

    monkeypatch.setattr(
        request_dispatcher.RequestDispatcher, "handle_request", drop_key
    )
    assert "ran 2 times" in _fault(LOAD + "    And 10 s pass\n")


def test_a_false_not_run_is_detected(monkeypatch):
    done = request_dispatcher.RequestDispatcher.on_attempt_end

    def answer_not_run(self, attempt, result, now):
        return [
            _claim_not_run(action, now)
            for action in done(self, attempt, result, now)
        ]

    monkeypatch.setattr(
        request_dispatcher.RequestDispatcher, "on_attempt_end", answer_not_run
    )
    assert "told not run" in _fault(LOAD + "    And 32 s pass\n")


def _claim_not_run(action, now):
    is_answer = isinstance(action, actions.RequestAnswer)
    if not is_answer or now < WARM_AFTER_S or not action.attempt:
        return action
    return attrs.evolve(action, outcome=actions.Outcome.NOT_RUN)


def test_an_overloaded_cold_upstream_is_detected(monkeypatch):
    monkeypatch.setattr(warmup.Warmup, "is_limited", False)
    monkeypatch.setattr(warmup.Warmup, "attempt_limit", lambda self, now: 2)
    assert "in the cold" in _fault(LOAD + "    And 5 s pass\n")


def test_more_than_its_slots_is_detected(monkeypatch):
    monkeypatch.setattr(
        "standins.world_upstreams.Upstream.start_run",
        lambda self, run: _run_without_limit(self, run),
    )

    def take_first(self, service, exclude, now, deadline=0.0):
        known = [
            upstream
            for upstream in self._view.upstreams
            if upstream.service == service
        ]
        return known[0] if known else None

    monkeypatch.setattr(upstreams.Upstreams, "acquire_slot", take_first)
    assert " requests at once in " in _fault(LOAD + "    And 5 s pass\n")


def _run_without_limit(upstream, run):
    upstream.running.append(run)
    count = len(upstream.running)
    upstream.max_running = max(upstream.max_running, count)
    return 0.3


def test_a_view_that_goes_back_is_detected(monkeypatch):
    append = view_history.History.append
    count = itertools.count(1)

    def append_and_revert(self, revision, packed):
        is_appended = append(self, revision, packed)
        if is_appended and next(count) % 40 == 0:
            older = self.view.revision - 2
            self.view = attrs.evolve(self.view, revision=older)
        return is_appended

    monkeypatch.setattr(view_history.History, "append", append_and_revert)
    assert "went back" in _fault("    And 10 changes are confirmed\n")


def test_a_stop_that_cuts_a_request_is_detected(monkeypatch):
    monkeypatch.setattr(node.Node, "can_stop", lambda self, now: True)
    lines = LOAD + "    And 2 s pass\n    When VM west-1 stops\n"
    assert "cut a request" in _fault(lines + "    And 3 s pass\n")


def test_work_for_a_leaving_upstream_is_detected(monkeypatch):
    announce = upstreams.Upstreams.on_announcement

    def ignore_state(self, announcement, source, now):
        state = upstream_announce.State.UP
        announcement = attrs.evolve(announcement, state=state)
        return announce(self, announcement, source, now)

    monkeypatch.setattr(upstreams.Upstreams, "on_announcement", ignore_state)
    lines = LOAD + "    And 15 s pass\n"
    lines += "    When upstream cutting-desk-1 drains\n"
    lines += "    Then cutting-desk-1 gets no new work after 2 s\n"
    assert "began later" in _fault(lines)


@pytest.mark.parametrize("lines", [FLOWS + "    And 3 s pass\n"])
def test_unmodified_code_passes(lines):
    assert _fault(lines) == ""
