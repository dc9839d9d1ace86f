"""Explanation of a choice: true, complete, and without any effect."""

import types

import attrs
import pytest

from ebonytally.configuration import model
from ebonytally.echo import explain
from ebonytally.echo import gate
from ebonytally.echo import placing
from ebonytally.load import interfaces
from tests import echo_harness

CALLER = ("100.65.0.4", 1034)
ROUTE = (echo_harness.ROUTE.address, echo_harness.ROUTE.port)
Condition = interfaces.Condition


class Figures:
    """Fixed speeds, conditions and shares of the decisions under load."""

    def __init__(self):
        self.slow = {}
        self.shares = {}
        self.verdict = interfaces.Verdict(None, 0.25)

    def speed(self, upstream, now):
        return self.slow.get(upstream, (Condition.NORMAL, 1.0))[1]

    def condition(self, upstream, now):
        return self.slow.get(upstream, (Condition.NORMAL, 1.0))[0]

    def remote_shares(self, service, priority, now):
        return self.shares

    def home_share(self, service, priority, now):
        return 0.5 if self.shares else 0.0

    def decision(self, service):
        return None

    def demand_per_s(self, service, now):
        return {"north": 12.0}

    def age_s(self, now):
        return 0.75

    def preview(self, opening, now):
        return self.verdict


class Case:
    """An entry VM in the first of four data centres, and its explainer."""

    def __init__(self, upstreams=40, has_admission=True):
        self.control, self.entry = echo_harness.make_fleet_harness(upstreams)
        entry = self.entry
        self.figures = figures = Figures()
        entry.placing._capacity = entry.placing._spill = figures
        admission = figures if has_admission else None
        decisions = types.SimpleNamespace(
            capacity=figures,
            spill=figures,
            shared_load=figures,
            gate=gate.Gate(admission, None, entry.recorder),
        )
        self.explainer = explain.Explainer(
            entry.registry,
            entry.follower,
            entry.placing,
            entry.forwarder,
            decisions,
            "north",
        )

    def explain(self, route=ROUTE):
        return self.explainer.explain(CALLER, route, self.entry.now)

    def entries(self):
        return self.entry.registry.entries()

    def load(self, entry):
        return self.entry.placing.load(entry.record.id)

    def left_out(self):
        """Return the ids of the upstreams left out, by reason."""
        found = {}
        for candidate in self.explain().candidates:
            found.setdefault(candidate.left_out, set()).add(candidate.id)
        return found


def use_ordinary_load(case):
    for number in range(60):
        case.entry.open(1000 + number)


def use_cold_upstreams(case):
    for entry in case.entries()[::3]:
        entry.cold_until = 1e9


def use_avoided_upstreams(case):
    conditions = (Condition.SLOW, Condition.FAILING, Condition.FULL)
    for number, entry in enumerate(case.entries()[::2]):
        slow = conditions[number % 3], 0.4
        case.figures.slow[entry.record.id] = slow


def use_spill(case):
    case.figures.shares = {"south": 0.3, "east": 0.2}


def use_two_services(case):
    targets = (model.Target("desk", 2), model.Target("store", 1))
    route = attrs.evolve(echo_harness.ROUTE, targets=targets)
    case.control.apply_configuration(
        3, attrs.evolve(echo_harness.CONTENT, routes=(route,))
    )
    record = echo_harness.announcement(200, service="store")
    case.control.registry.on_announcement(record, case.entry.now)
    case.entry.run(1.0)


CONDITIONS = [
    use_ordinary_load,
    use_cold_upstreams,
    use_avoided_upstreams,
    use_spill,
    use_two_services,
]


def choices(condition, upstreams, is_explained):
    """Return 200 choices at 10 ms, and how often they were foretold."""
    case = Case(upstreams)
    condition(case)
    chosen, foretold = [], 0
    for number in range(200):
        case.entry.now += 0.01
        if number == 100:
            # The candidates are grouped anew, in random order.
            case.entry.registry.revision += 1
        told = ""
        for _ in range(2 if is_explained else 0):
            told = case.explain().chosen
        (out,) = case.entry.packet(number + 1, is_opening=True)
        foretold += told == out.id
        chosen.append(out.id)
    return chosen, foretold, case


@pytest.mark.parametrize("upstreams", [40, 400])
@pytest.mark.parametrize("condition", CONDITIONS)
def test_explanations_change_no_choice(condition, upstreams):
    # Failure: asking why changes where the callers after it go.
    without, _, quiet = choices(condition, upstreams, False)
    explained, foretold, case = choices(condition, upstreams, True)
    assert explained == without
    assert foretold == 200
    assert case.entry.placing._loads == quiet.entry.placing._loads
    assert case.entry.recorder.counts == quiet.entry.recorder.counts


def test_each_upstream_that_is_left_out_has_its_reason():
    # Failure: an upstream is idle, and nothing says why.
    case = Case(16)
    now = case.entry.now
    north = [e for e in case.entries() if e.record.data_centre == "north"]
    others = [e for e in case.entries() if e not in north]
    states = ("DRAINING", "SILENT", "GONE")
    for entry, state in zip(others, states, strict=False):
        state = type(entry.record.state)[state]
        entry.record = attrs.evolve(entry.record, state=state)
    silent, cold, slow, unknown = others[3:7]
    case.load(silent).backed_off_until = now + 2.0
    cold.cold_until = now + 5.0
    case.load(cold).cold_next_at = now + 0.1
    case.figures.slow[slow.record.id] = (Condition.SLOW, 0.3)
    case.load(slow).probe_next_at = now + 0.1
    unknown.record = attrs.evolve(unknown.record, data_centre="nowhere")
    case.entry.registry._data_centres = frozenset(echo_harness.DATA_CENTRES)
    view = attrs.evolve(case.entry.follower.view, out=frozenset(["north"]))
    case.entry.follower.view = view
    case.entry.registry.revision += 1
    found = case.left_out()
    reasons = placing.Exclusion
    expected = dict(zip(("draining", "silent", "gone"), others, strict=False))
    expected[reasons.BACKED_OFF] = silent
    expected[reasons.COLD] = cold
    expected[reasons.AVOIDED] = slow
    expected[reasons.UNKNOWN] = unknown
    for reason, entry in expected.items():
        assert found.pop(reason) == {entry.record.id}
    assert found.pop(reasons.DATA_CENTRE_OUT) == {e.record.id for e in north}
    assert found == {"": {e.record.id for e in others[7:]}}
    assert case.explain().chosen in found[""]
    assert case.explain().version == 2


def test_the_verdict_of_admission_is_that_of_the_gate():
    # Failure: an explanation shows a choice for a flow that is refused.
    case = Case()
    assert case.explain().admission.pressure == 0.25
    refused = interfaces.Verdict(interfaces.Refusal.LINK, 1.2)
    case.figures.verdict = refused
    told = case.explain()
    assert (told.chosen, told.refusal) == ("", "link")
    assert told.admission == refused
    # A VM with an old view doesn't ask admission.
    case.entry.now += 5.0
    told = case.explain()
    assert not told.is_fresh
    assert told.admission is None
    assert told.chosen
    told = Case(has_admission=False).explain()
    assert (told.has_admission, told.admission) == (False, None)


def test_an_address_without_a_route_and_a_service_without_upstreams():
    case = Case()
    told = case.explain((ROUTE[0], ROUTE[1] + 1))
    assert (told.route, told.refusal) == (None, explain.NO_ROUTE)
    everywhere = frozenset(echo_harness.DATA_CENTRES)
    case.entry.follower.view = attrs.evolve(
        case.entry.follower.view, out=everywhere
    )
    assert case.explain().refusal == explain.NO_UPSTREAM
