"""Tests of the live recorder: log lines and metrics of a daemon."""

import contextlib
import io
import json

from geventhttpclient import HTTPClient
import pytest

from ebonytally import events
from ebonytally import live_recorder
from ebonytally import reasons
from ebonytally import settings

_CFG = settings.Settings(
    name="north-1",
    address="127.0.0.1",
    data_centre="north",
    region="west",
    cluster_key="ab" * 32,
    data_folder="data",
    seeds=(),
    ports=settings.Ports(metrics=0),
)


def _lines(output: io.StringIO) -> list[dict]:
    return [json.loads(line) for line in output.getvalue().splitlines()]


def test_each_event_is_one_json_line_by_number():
    output = io.StringIO()
    with contextlib.ExitStack() as stack:
        recorder = live_recorder.LiveRecorder(_CFG, stack, output)
        recorder.log_event(
            events.Event.STARTED, revision=7, detail="x\n" * 900
        )
        recorder.log_event(events.Event.TASK_FAILED, error=ValueError("no"))
    first, second = _lines(output)
    assert list(first)[:4] == ["time", "number", "name", "vm"]
    assert (first["number"], first["name"]) == (100, "started")
    assert (first["vm"], first["revision"]) == ("north-1", 7)
    assert len(first["detail"]) == 500
    assert second["error"] == "no"


def test_flood_of_refusals_is_limited_and_counted():
    limit = live_recorder.EventRateLimit()
    refused = events.Event.PACKET_REFUSED
    allowed = [limit.allow(refused, 5.0) for _ in range(100)]
    assert sum(allowed) == live_recorder.MAX_LINES_PER_S
    assert limit.allow(refused, 6.0)
    assert limit.pop_suppressed(refused) == 80
    confirmed = events.Event.PLAN_CONFIRMED
    assert all(limit.allow(confirmed, 6.0) for _ in range(100))


@pytest.mark.parametrize("path", ["/metrics", "/other"])
def test_every_reason_has_a_counter_at_start(path):
    with contextlib.ExitStack() as stack:
        recorder = live_recorder.LiveRecorder(_CFG, stack, io.StringIO())
        recorder.count_refusal(reasons.Refusal.PLAN_EXPIRED)
        recorder.count("storage_tail_cut", 3)
        client = HTTPClient(*recorder.server.address, network_timeout=5)
        response = client.get(path)
        text = response.read().decode()
        client.close()
    if path != "/metrics":
        assert response.status_code == 404
        return
    for reason in reasons.Refusal:
        count = int(reason is reasons.Refusal.PLAN_EXPIRED)
        line = f'ebonytally_refusals_total{{reason="{reason.value}"}} {count}'
        assert line in text
    for reason in reasons.Retry:
        line = f'ebonytally_retries_total{{reason="{reason.value}"}} 0'
        assert line in text
    assert 'ebonytally_counts_total{name="storage_tail_cut"} 3' in text
    assert "process_resident_memory_bytes" in text


def test_each_reason_of_refused_flows_has_its_own_limit():
    """Packets without a route would hide refusals under load."""
    limit = live_recorder.EventRateLimit()
    refused = events.Event.FLOW_REFUSED
    for _ in range(100):
        limit.allow(refused, 5.0, "no_route")
    assert limit.allow(refused, 5.0, "link")
    assert limit.pop_suppressed(refused, "link") == 0
    assert limit.pop_suppressed(refused, "no_route") == 80
