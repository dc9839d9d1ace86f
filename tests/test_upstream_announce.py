"""Tests of announcements: what is taken, refused and proposed."""

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


def make(known: tuple = ()) -> upstreams.Upstreams:
    """Return the slice of vm-1 with a view of one service."""
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
    out.changed(view.View(1, 1, (SERVICE,), known, VMS), 0.0)
    return out


def said(**changes) -> dict:
    """Return a good announcement as JSON has it."""
    return {
        "service": "desk",
        "address": "10.1.0.1",
        "port": 7000,
        "request_port": 8000,
        "data_centre": "dc-1",
        "incarnation": 5,
    } | changes


def parsed(**changes) -> upstream_announce.Announcement:
    """Return a good announcement with changes."""
    out = upstream_announce.parse(json.dumps(said(**changes)).encode())
    assert isinstance(out, upstream_announce.Announcement), out
    return out


@pytest.mark.parametrize(
    ("changes", "fault"),
    [
        ({"slots": 0}, "slots: must be 1 to 1024"),
        ({"slots": True}, "slots: must be a whole number"),
        ({"state": "dead"}, "state: must be up, draining or leaving"),
        ({"address": "x"}, "address: is no IPv4 address"),
        ({"colour": 1}, "colour: is not known"),
        ({"drain_s": float("nan")}, "drain_s: must be 0 to 86400.0"),
        ({"service": "Desk!"}, "service: is no name"),
    ],
)
def test_malformed_is_said_in_one_line(changes, fault):
    body = json.dumps(said(**changes)).encode()
    assert upstream_announce.parse(body) == fault


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"data_centre": "dc-2"}, "announcement_wrong_data_centre"),
        ({"service": "other"}, "announcement_unknown_service"),
        ({"incarnation": 4}, "announcement_replayed"),
    ],
)
def test_refused_and_counted(changes, reason):
    known = attrs_upstream()
    slice_ = make((known,))
    verdict, todo = slice_.announce(parsed(**changes), "10.1.0.1", 1.0)
    assert verdict.reason is reasons.Refusal(reason)
    assert todo == []
    assert slice_._recorder.counts == {reason: 1}


def attrs_upstream() -> view.Upstream:
    """Return the upstream that the announcement names."""
    return view.Upstream(7, "desk", "10.1.0.1", 7000, 8000, "dc-1", 2, 2000, 5)


def test_first_is_proposed_cold_until_the_view_shows_it():
    slice_ = make()
    _, todo = slice_.announce(parsed(), "10.1.0.1", 1.0)
    assert todo[0].command == commands.UpstreamSeen(
        view.Upstream(
            0, "desk", "10.1.0.1", 7000, 8000, "dc-1", 2, 2000, 5, share=100
        )
    )
    assert slice_.announce(parsed(), "10.1.0.1", 1.5)[1] == []
    assert slice_.announce(parsed(), "10.1.0.1", 2.5)[1] == todo
    known = (attrs_upstream(),)
    slice_.changed(view.View(2, 1, (SERVICE,), known, VMS), 2.6)
    assert slice_.announce(parsed(), "10.1.0.1", 4.0)[1] == []
