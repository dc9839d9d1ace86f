"""Consensus of the control VMs: latency, traffic and recovery.

Network times are virtual, with 10 ms ticks and the one-way delay that
the figures contain; disk and CPU times are real, in a temporary folder.
Each function in `SECTIONS` returns the figures of one section.
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
from ebonytally import peer_datagrams
from ebonytally import recorder
from ebonytally import settings
from ebonytally import wire

ELECTION_RUNS = 60
LOG_ENTRIES = 100_000
MISSED_CHANGES = 500
IDLE_S = 20.0
THREE_VOTERS = ("a", "b", "c")
FIVE_VOTERS = ("a", "b", "c", "d", "e")
SEVEN_VOTERS = (*FIVE_VOTERS, "f", "g")


def run(seed: int, json_only: bool) -> dict:
    """Run all sections and return their figures."""
    figures = {}
    for name, section in SECTIONS.items():
        section_figures = section(seed)
        figures.update(section_figures)
        if not json_only:
            for key, value in sorted(section_figures.items()):
                print(f"{name:10} {key:44} {value:.6g}")
    return figures


def _percentiles(prefix: str, unit: str, values: list[float]) -> dict:
    percentiles = statistics.quantiles(values, n=100, method="inclusive")
    return {
        f"{prefix}_p50_{unit}": percentiles[49],
        f"{prefix}_p99_{unit}": percentiles[98],
        f"{prefix}_max_{unit}": max(values),
    }


def elections(seed: int) -> dict:
    """Measure start-up election, failover and leadership transfer.

    Each time ends when the new leader has a read lease.
    """
    first, failover, planned = [], [], []
    for number in range(ELECTION_RUNS):
        names = THREE_VOTERS if number % 2 else FIVE_VOTERS
        cluster = control_cluster.Cluster(names, seed * 1000 + number)
        old = cluster.elect()
        first.append(cluster.now)
        cluster.run(1.0 + cluster.rng.random())
        planned.append(_transfer_s(cluster, old))
        cluster.run(1.0 + cluster.rng.random())
        began = cluster.now
        cluster.stop(cluster.leader)
        cluster.elect()
        failover.append(cluster.now - began)
    return {
        **_percentiles("election_first", "s", first),
        **_percentiles("election_failover", "s", failover),
        **_percentiles("election_planned", "s", planned),
        "election_runs": ELECTION_RUNS,
        "one_way_delay_s": control_cluster.ONE_WAY_DELAY_S,
    }


def _transfer_s(cluster: control_cluster.Cluster, old: str) -> float:
    began = cluster.now
    cluster.perform(old, cluster.nodes[old].transfer_leadership(cluster.now))
    cluster.run_until(lambda: cluster.leader not in (None, old))
    return cluster.now - began


def commits(seed: int) -> dict:
    """Measure the time from proposal to commit, without disk time."""
    cluster = control_cluster.Cluster(THREE_VOTERS, seed)
    leader = cluster.elect()
    follower = next(name for name in THREE_VOTERS if name != leader)
    figures = {}
    for prefix, name in (("leader", leader), ("follower", follower)):
        times = []
        for number in range(200):
            token = f"{prefix}{number}"
            began = cluster.now
            cluster.propose(name, token, control_cluster.COMMAND)
            cluster.run_until(lambda t=token: t in cluster.decided_at)
            times.append(cluster.decided_at[token] - began)
        figures.update(_percentiles(f"commit_at_{prefix}", "s", times))
    return figures


def catch_up(seed: int) -> dict:
    """Measure how a voter catches up after missing 500 changes."""
    figures = {}
    for prefix, entries in (("tail", 1000), ("snapshot", 100)):
        limits = settings.Control(snapshot_entries=entries)
        cluster = control_cluster.Cluster(THREE_VOTERS, seed, limits)
        leader = cluster.elect()
        lagging = next(name for name in THREE_VOTERS if name != leader)
        cluster.isolate(lagging)
        for number in range(MISSED_CHANGES):
            cluster.propose(leader, f"t{number}", control_cluster.COMMAND)
            cluster.step()
        cluster.run(1.0)
        target_index = cluster.nodes[leader].applied_index
        cluster.cut_links.clear()
        began, before = cluster.now, cluster.bytes_sent[leader]
        node = cluster.nodes[lagging]
        cluster.run_until(lambda n=node, g=target_index: n.applied_index >= g)
        sent = cluster.bytes_sent[leader] - before
        figures[f"catch_up_{prefix}_s"] = cluster.now - began
        figures[f"catch_up_{prefix}_leader_sent_bytes"] = sent
    return figures


def idle(seed: int) -> dict:
    """Measure the traffic of control VMs in an idle cluster."""
    figures = {}
    for voters in (THREE_VOTERS, FIVE_VOTERS, SEVEN_VOTERS):
        cluster = control_cluster.Cluster(voters, seed)
        leader = cluster.elect()
        cluster.run(5.0)
        sent, received = dict(cluster.bytes_sent), dict(cluster.bytes_received)
        cluster.run(IDLE_S)
        for name in (leader, next(n for n in voters if n != leader)):
            role = "leader" if name == leader else "follower"
            total = cluster.bytes_sent[name] - sent[name]
            total += cluster.bytes_received[name] - received[name]
            key = f"idle_{len(voters)}_voters_{role}_bytes_per_s"
            figures[key] = total / IDLE_S
    figures["datagram_overhead_bytes"] = peer_datagrams.OVERHEAD_BYTES
    return figures


def disk(seed: int) -> dict:
    """Measure durable appends and recovery of a long log on disk."""
    figures = {}
    with tempfile.TemporaryDirectory() as folder:
        folder_disk = disk_files.FolderDisk(folder)
        figures.update(_append_figures(folder_disk, seed))
        folder_disk.close()
    with tempfile.TemporaryDirectory() as folder:
        _write_log(folder, seed)
        figures.update(_recovery_figures(folder, seed))
    return figures


def _open_storage(
    folder_disk: disk_files.FolderDisk, seed: int
) -> log_storage.LogStorage:
    rng = random.Random(seed)
    return log_storage.LogStorage(folder_disk, recorder.MemoryRecorder(), rng)


def _entry(index: int) -> messages.Entry:
    command = wire.pack_message(control_cluster.COMMAND)
    return messages.Entry(index, 1, f"token-{index}", command)


def _append_figures(folder_disk: disk_files.FolderDisk, seed: int) -> dict:
    storage = _open_storage(folder_disk, seed)
    times = []
    for index in range(1, 301):
        began = time.perf_counter()
        storage.append((_entry(index),))
        times.append(time.perf_counter() - began)
    return _percentiles("append_fsync", "s", times)


def _write_log(folder: str, seed: int) -> None:
    folder_disk = disk_files.FolderDisk(folder)
    storage = _open_storage(folder_disk, seed)
    storage.save_vote(log_storage.Vote(1, "a", storage.vote.identity))
    voter = messages.Voter("a", storage.vote.identity, True)
    command = wire.pack_message(messages.VotersSet(1, (voter,)))
    storage.append((messages.Entry(1, 1, "", command),))
    for first in range(2, LOG_ENTRIES + 1, 1000):
        last = min(first + 1000, LOG_ENTRIES + 1)
        storage.append(tuple(map(_entry, range(first, last))))
    storage.note_commit(LOG_ENTRIES)
    folder_disk.close()


def _recovery_figures(folder: str, seed: int) -> dict:
    figures = {}
    for prefix in ("log_only", "compacted"):
        gc.collect()
        folder_disk = disk_files.FolderDisk(folder)
        machine = control_cluster.CountingStateMachine()
        began = time.perf_counter()
        node = agreement.Agreement(
            control_cluster.make_settings("a"),
            "a",
            ("a",),
            folder_disk,
            machine,
            recorder.MemoryRecorder(),
            seed,
        )
        took_s = time.perf_counter() - began
        if node.applied_index != LOG_ENTRIES:
            raise AssertionError(
                f"recovered {node.applied_index} of {LOG_ENTRIES} log entries"
            )
        figures[f"recovery_100000_entries_{prefix}_s"] = took_s
        node.tick(0.0)
        folder_disk.close()
    return figures


SECTIONS = {
    "elections": elections,
    "commits": commits,
    "catch_up": catch_up,
    "idle": idle,
    "disk": disk,
}
