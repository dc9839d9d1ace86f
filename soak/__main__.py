"""Plays seeds: ``python -m soak [--seeds N] [--minutes M] [--seed S]``."""

import contextlib
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import time

import attrs
import fire
import gevent

from soak import faults
from soak import judge as judges
from soak import vms
from soak import world as worlds

# After the last fault: calm_s of the pages twice over, and time to judge.
CALM_AFTER_S = 10.0
SERVED_S = 3.0
MIN_SERVED = 0.9
LONGEST_S = 90.0
STEP_S = 0.2
KEPT = pathlib.Path(__file__).parent / "seeds.txt"


@attrs.frozen
class Result:
    """How a seed ended.

    :param broken: promises, empty if all held
    :param folder: where its logs are, "" if they were removed
    """

    seed: int
    broken: tuple[str, ...]
    counts: dict[str, int]
    folder: str


def kept_seeds() -> list[int]:
    """Return the seeds that ever failed."""
    lines = KEPT.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


def play(seed: int) -> Result:
    """Play one seed."""
    folder = worlds.folder_for(seed)
    me = gevent.getcurrent()
    gevent.signal_handler(signal.SIGTERM, gevent.kill, me, SystemExit)
    with contextlib.ExitStack() as stack:
        net = vms.claim_net(stack)
        world = worlds.World(seed, net, folder, stack)
        try:
            world.start()
            _run(world, faults.plan(seed))
        except Exception as exc:
            now = time.monotonic()
            world.judge.broke(now, "the run failed", repr(exc))
    broken = tuple(world.judge.broken)
    if not broken:
        shutil.rmtree(folder)
    where = str(folder) if broken else ""
    return Result(seed, broken, dict(world.judge.counts), where)


def _run(world: worlds.World, plan: list[faults.Fault]) -> None:
    """Carry the plan out, then let all recover, and judge."""
    tasks = faults.Faults(world).run(plan)
    until = time.monotonic() + LONGEST_S
    while not all(task.ready() for task in tasks):
        world.operator.read()
        world.check_processes()
        gevent.sleep(STEP_S)
        if time.monotonic() > until:
            raise RuntimeError("the faults don't end")
    for task in tasks:
        task.get()
    calm_until = time.monotonic() + CALM_AFTER_S
    while time.monotonic() < calm_until:
        world.operator.read()
        world.check_processes()
        gevent.sleep(STEP_S)
    before = world.judge.counts.copy()
    gevent.sleep(SERVED_S)
    _check_service(world.judge, before)
    world.operator.check_end()
    world.check_processes()


def _check_service(judge: judges.Judge, before: dict[str, int]) -> None:
    """Once all is well again nearly all requests are answered."""
    asked = judge.counts["requests"] - before["requests"]
    served = judge.counts["answered"] - before["answered"]
    if not asked or served < MIN_SERVED * asked:
        detail = f"{served} of {asked}"
        judge.broke(time.monotonic(), "service after recovery", detail)


def main(
    seeds: int = 0,
    minutes: float = 0.0,
    seed: int = 0,
    first: int = 1,
    jobs: int = 2,
) -> int:
    """Play seeds and print how each ended; 1 if any promise broke.

    :param seeds: how many, from `first` on
    :param minutes: play fresh seeds for so long
    :param seed: play this one alone
    :param jobs: runs beside each other
    """
    if seed:
        return _report(play(seed))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    until = time.monotonic() + minutes * 60
    wanted = [] if minutes else kept_seeds()
    wanted += range(first, first + seeds)
    running: list[subprocess.Popen] = []
    try:
        failed = _play_all(wanted, until, jobs, running)
    finally:
        for process in running:
            process.terminate()
    print(f"{failed} seeds with a broken promise")
    return 1 if failed else 0


def _play_all(
    wanted: list[int],
    until: float,
    jobs: int,
    running: list[subprocess.Popen],
) -> int:
    """Play seeds beside each other; return how many broke a promise.

    :param until: seconds, until when fresh seeds are added
    :param running: what runs, for who ends it
    """
    rng = random.SystemRandom()
    failed = 0
    while wanted or running or time.monotonic() < until:
        if not wanted and time.monotonic() < until:
            wanted.append(1 + rng.getrandbits(31))
        while wanted and len(running) < jobs:
            running.append(_play_apart(wanted.pop(0)))
        for process in list(running):
            if process.poll() is not None:
                running.remove(process)
                failed += process.returncode != 0
        time.sleep(STEP_S)
    return failed


def _play_apart(seed: int) -> subprocess.Popen:
    """Play a seed in a process of its own, which prints how it ended."""
    words = ["--seed", str(seed)]
    return subprocess.Popen([sys.executable, "-m", "soak", *words])


def _report(result: Result) -> int:
    """Print a result; return 1 if a promise broke."""
    word = "BROKEN" if result.broken else "held"
    counts = ", ".join(f"{k} {v}" for k, v in result.counts.items())
    lines = [f"seed {result.seed}: {word}; {counts}"]
    lines += [f"  {line}" for line in result.broken]
    if result.folder:
        lines.append(f"  logs: {result.folder}")
    print("\n".join(lines), flush=True)
    return 1 if result.broken else 0


if __name__ == "__main__":
    raise SystemExit(fire.Fire(main, serialize=lambda _: ""))
