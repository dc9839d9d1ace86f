"""Entries of writers that are no upstreams, and must change no upstream."""

from collections.abc import Iterator
import json
import random

from soak import upstreams

_HEARTBEAT = "/v1/Instances.Heartbeat/"
_DEREGISTER = "/v1/Instances.Deregister/"
_NESTED = "[" * 100_000
# Later than the start of any upstream of a run.
_LATE_MS = 3_600_000


def make(
    upstream: upstreams.Upstream, rng: random.Random
) -> Iterator[tuple[str, str | bytes]]:
    """Return paths and bodies of entries that resemble an upstream's.

    Some have its id, the others only its address.
    """
    own_id = f"agent-{rng.getrandbits(24):x}"
    for field, value in (
        ("service", "node-agent"),
        ("service", ""),
        ("service", 7),
        ("zone", "nowhere"),
        ("state", "resting"),
        ("sequence", 2**70),
        ("born", 2**62),
        ("concurrency", 10**12),
        ("address", f"{upstream.address}:70000"),
        ("address", "0.0.0.0:8080"),
    ):
        body = upstream.announcement()
        body.update(born=body["born"] + _LATE_MS, sequence=10**9)
        body[field] = value
        for id_ in (upstream.id, own_id):
            yield _HEARTBEAT + id_, json.dumps(body)
    for text in (_NESTED, b"\xff\xfe\x00", '"born"', "[]"):
        yield _HEARTBEAT + upstream.id, text
        yield _DEREGISTER + upstream.id, text
    yield _DEREGISTER + upstream.id, json.dumps({"born": 1})
