"""Tests of announcements: validation, refusal and proposals."""

import json

import pytest

from ebonytally import commands
from ebonytally import reasons
from ebonytally import recorder
from ebonytally import settings
from ebonytally.upstreams import upstream_announce
from ebonytally.upstreams import upstreams
from ebonytally import view

SERVICE = view.Service("desk", "10.0.0.1", 80, 6, ("dc-1", "dc-2"))
VMS = tuple(
    view.Vm(f"vm-{n}", f"127.0.0.{n}", f"dc-{n}", "west", True) for n in (1, 2)
)


def make_upstreams(known: tuple = ()) -> upstreams.Upstreams:
    """Return the upstream management of vm-1 with a view of one service.

    :param known: upstreams of the view
    """
    cfg = settings.Settings(
        name="vm-1",
        address="127.0.0.1",
        data_centre="dc-1",
        region="west",
        cluster_key="ab" * 32,
        data_folder="data",
        seeds=(),
    )
    out = upstreams.Upstreams(cfg, "vm-1", recorder.MemoryRecorder(), 1)
    out.on_view_change(view.View(1, 1, (SERVICE,), known, VMS), 0.0)
    return out


def announcement_json(**changes) -> dict:
    """Return the JSON object of a valid announcement, with changes."""
    return {
        "service": "desk",
        "address": "10.1.0.1",
        "port": 7000,
        "request_port": 8000,
        "data_centre": "dc-1",
        "incarnation": 5,
    } | changes


def announcement(**changes) -> upstream_announce.Announcement:
    """Return a valid announcement, with changes."""
    out = upstream_announce.parse(
        json.dumps(announcement_json(**changes)).encode()
    )
    assert isinstance(out, upstream_announce.Announcement), out
    return out


@pytest.mark.parametrize(
    ("changes", "error"),
    [
        ({"slots": 0}, "slots: must be 1 to 1024, got 0"),
        ({"slots": True}, "slots: must be a whole number, got True"),
        ({"slots": []}, "slots: must be a whole number, got an array"),
        (
            {"state": "dead"},
            "state: must be up, draining or leaving, got 'dead'",
        ),
        ({"address": "x"}, "address: 'x' is not an IPv4 address"),
        ({"colour": 1}, "colour: unknown field"),
        ({"drain_s": float("nan")}, "drain_s: must be 0 to 86400.0, got nan"),
        (
            {"service": "Desk!"},
            "service: 'Desk!' is not a name of 1 to 63 characters "
            "a-z, 0-9 and -",
        ),
    ],
)
def test_malformed_announcement_gives_a_one_line_error(changes, error):
    body = json.dumps(announcement_json(**changes)).encode()
    assert upstream_announce.parse(body) == error


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"data_centre": "dc-2"}, "announcement_wrong_data_centre"),
        ({"service": "other"}, "announcement_unknown_service"),
        ({"incarnation": 4}, "announcement_replayed"),
    ],
)
def test_invalid_announcement_is_refused_and_counted(changes, reason):
    known = registered_upstream()
    manager = make_upstreams((known,))
    verdict, actions_ = manager.on_announcement(
        announcement(**changes), "10.1.0.1", 1.0
    )
    assert verdict.reason is reasons.Refusal(reason)
    assert actions_ == []
    assert manager._recorder.counts == {reason: 1}


def registered_upstream() -> view.Upstream:
    """Return the upstream of the view that `announcement` describes."""
    return view.Upstream(7, "desk", "10.1.0.1", 7000, 8000, "dc-1", 2, 2000, 5)


def test_new_upstream_is_proposed_as_cold_until_the_view_contains_it():
    manager = make_upstreams()
    _, actions_ = manager.on_announcement(announcement(), "10.1.0.1", 1.0)
    assert actions_[0].command == commands.UpstreamSeen(
        view.Upstream(
            0, "desk", "10.1.0.1", 7000, 8000, "dc-1", 2, 2000, 5, share=100
        )
    )
    assert manager.on_announcement(announcement(), "10.1.0.1", 1.5)[1] == []
    assert (
        manager.on_announcement(announcement(), "10.1.0.1", 2.5)[1] == actions_
    )
    known = (registered_upstream(),)
    manager.on_view_change(view.View(2, 1, (SERVICE,), known, VMS), 2.6)
    assert manager.on_announcement(announcement(), "10.1.0.1", 4.0)[1] == []
