"""Agreement and spread: times, bytes and recovery.

Times between VMs are virtual (one-way delay and 10 ms ticks as stated
in the figures); disk and CPU times are real, in a temporary folder.
Each section returns its own figures; add sections to `SECTIONS`.
"""

import gc
import random
import statistics
import tempfile
import time

from benches import control_cluster
from ebonytally.agreement import agreement
from ebonytally.agreement import agreement_messages as messages
from ebonytally.agreement import log_storage
from ebonytally import disk_files
from ebonytally import recorder
from ebonytally import settings
from ebonytally import wire

RUNS = 60
ENTRIES = 100_000
MISSED = 500
IDLE_S = 20.0
VOTERS = ("a", "b", "c")
FIVE_VOTERS = ("a", "b", "c", "d", "e")
SEVEN_VOTERS = (*FIVE_VOTERS, "f", "g")


def run(seed: int, json_only: bool) -> dict:
    """Return the figures of all sections."""
    figures = {}
    for name, section in SECTIONS.items():
        found = section(seed)
        figures.update(found)
        if not json_only:
            for key, value in sorted(found.items()):
                print(f"{name:10} {key:44} {value:.6g}")
    return figures


def _spread_of(prefix: str, unit: str, values: list[float]) -> dict:
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return {
        f"{prefix}_p50_{unit}": cuts[49],
        f"{prefix}_p99_{unit}": cuts[98],
        f"{prefix}_max_{unit}": max(values),
    }


def elections(seed: int) -> dict:
    """Time to a leader that may read: at first, after a loss, by plan."""
    first, lost, planned = [], [], []
    for number in range(RUNS):
        names = VOTERS if number % 2 else FIVE_VOTERS
        cluster = control_cluster.Cluster(names, seed * 1000 + number)
        old = cluster.elect()
        first.append(cluster.now)
        cluster.run(1.0 + cluster.rng.random())
        planned.append(_handover_s(cluster, old))
        cluster.run(1.0 + cluster.rng.random())
        began = cluster.now
        cluster.stop(cluster.leader)
        cluster.elect()
        lost.append(cluster.now - began)
    return {
        **_spread_of("election_first", "s", first),
        **_spread_of("election_failover", "s", lost),
        **_spread_of("election_planned", "s", planned),
        "election_runs": RUNS,
        "one_way_delay_s": control_cluster.DELAY_S,
    }


def _handover_s(cluster: control_cluster.Cluster, old: str) -> float:
    began = cluster.now
    cluster.do(old, cluster.nodes[old].transfer(cluster.now))
    cluster.run_until(lambda: cluster.leader not in (None, old))
    return cluster.now - began


def commits(seed: int) -> dict:
    """Time from a proposal to its answer, without the disk's part."""
    cluster = control_cluster.Cluster(VOTERS, seed)
    leader = cluster.elect()
    follower = next(name for name in VOTERS if name != leader)
    figures = {}
    for prefix, name in (("leader", leader), ("follower", follower)):
        times = []
        for number in range(200):
            token = f"{prefix}{number}"
            began = cluster.now
            cluster.propose(name, token, control_cluster.COMMAND)
            cluster.run_until(lambda t=token: t in cluster.decided)
            times.append(cluster.decided[token] - began)
        figures.update(_spread_of(f"commit_at_{prefix}", "s", times))
    return figures


def catch_up(seed: int) -> dict:
    """Time and bytes for a voter that missed 500 changes."""
    figures = {}
    for prefix, entries in (("tail", 1000), ("snapshot", 100)):
        limits = settings.Control(snapshot_entries=entries)
        cluster = control_cluster.Cluster(VOTERS, seed, limits)
        leader = cluster.elect()
        slow = next(name for name in VOTERS if name != leader)
        cluster.isolate(slow)
        for number in range(MISSED):
            cluster.propose(leader, f"t{number}", control_cluster.COMMAND)
            cluster.step()
        cluster.run(1.0)
        goal = cluster.nodes[leader].applied_index
        cluster.cuts.clear()
        began, before = cluster.now, cluster.bytes_sent[leader]
        node = cluster.nodes[slow]
        cluster.run_until(lambda n=node, g=goal: n.applied_index >= g)
        spent = cluster.bytes_sent[leader] - before
        figures[f"catch_up_{prefix}_s"] = cluster.now - began
        figures[f"catch_up_{prefix}_leader_sent_bytes"] = spent
    return figures


def idle(seed: int) -> dict:
    """Bytes a second that a control VM sends and gets without changes."""
    figures = {}
    for voters in (VOTERS, FIVE_VOTERS, SEVEN_VOTERS):
        cluster = control_cluster.Cluster(voters, seed)
        leader = cluster.elect()
        cluster.run(5.0)
        sent, got = dict(cluster.bytes_sent), dict(cluster.bytes_got)
        cluster.run(IDLE_S)
        for name in (leader, next(n for n in voters if n != leader)):
            role = "leader" if name == leader else "follower"
            both = cluster.bytes_sent[name] - sent[name]
            both += cluster.bytes_got[name] - got[name]
            key = f"idle_{len(voters)}_voters_{role}_bytes_per_s"
            figures[key] = both / IDLE_S
    figures["datagram_overhead_bytes"] = control_cluster.DATAGRAM_BYTES
    return figures


def disk(seed: int) -> dict:
    """Durable appends on the real disk, and recovery of a long log."""
    figures = {}
    with tempfile.TemporaryDirectory() as folder:
        real = disk_files.FolderDisk(folder)
        figures.update(_appends(real, seed))
        real.close()
    with tempfile.TemporaryDirectory() as folder:
        _fill(folder, seed)
        figures.update(_recovery(folder, seed))
    return figures


def _open(real: disk_files.FolderDisk, seed: int) -> log_storage.LogStorage:
    rng = random.Random(seed)
    return log_storage.LogStorage(real, recorder.MemoryRecorder(), rng)


def _entry(index: int) -> messages.Entry:
    command = wire.pack_message(control_cluster.COMMAND)
    return messages.Entry(index, 1, f"token-{index}", command)


def _appends(real: disk_files.FolderDisk, seed: int) -> dict:
    storage = _open(real, seed)
    times = []
    for index in range(1, 301):
        began = time.perf_counter()
        storage.append((_entry(index),))
        times.append(time.perf_counter() - began)
    return _spread_of("append_fsync", "s", times)


def _fill(folder: str, seed: int) -> None:
    real = disk_files.FolderDisk(folder)
    storage = _open(real, seed)
    storage.save_vote(log_storage.Vote(1, "a", storage.vote.identity))
    voter = messages.Voter("a", storage.vote.identity, True)
    command = wire.pack_message(messages.VotersSet(1, (voter,)))
    storage.append((messages.Entry(1, 1, "", command),))
    for first in range(2, ENTRIES + 1, 1000):
        last = min(first + 1000, ENTRIES + 1)
        storage.append(tuple(map(_entry, range(first, last))))
    storage.note(ENTRIES)
    real.close()


def _recovery(folder: str, seed: int) -> dict:
    figures = {}
    for prefix in ("log_only", "compacted"):
        gc.collect()
        real = disk_files.FolderDisk(folder)
        machine = control_cluster.CountingMachine()
        began = time.perf_counter()
        node = agreement.Agreement(
            control_cluster.make_settings("a"),
            "a",
            ("a",),
            real,
            machine,
            recorder.MemoryRecorder(),
            seed,
        )
        took = time.perf_counter() - began
        if node.applied_index != ENTRIES:
            raise AssertionError("not all entries are back")
        figures[f"recovery_100000_entries_{prefix}_s"] = took
        node.tick(0.0)
        real.close()
    return figures


# The figures of the spread slice go here.
SECTIONS = {
    "elections": elections,
    "commits": commits,
    "catch_up": catch_up,
    "idle": idle,
    "disk": disk,
}
