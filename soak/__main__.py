"""Run soak seeds: ``python -m soak [--seeds N] [--minutes M] [--seed S]``."""

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

# After the last fault: twice judge.STABLE_AFTER_S, and time for its checks.
RECOVERY_S = 10.0
SERVICE_CHECK_S = 3.0
MIN_ANSWERED_SHARE = 0.9
MIN_ORDERS = 20
MAX_FAULT_PHASE_S = 90.0
POLL_INTERVAL_S = 0.2
SEEDS_FILE = pathlib.Path(__file__).parent / "seeds.txt"


@attrs.frozen
class Result:
    """Outcome of a seed.

    :param violations: violated invariants, empty if all held
    :param folder: folder of its logs, "" if they were removed
    """

    seed: int
    violations: tuple[str, ...]
    counts: dict[str, int]
    folder: str


def failed_seeds() -> list[int]:
    """Return the regression seeds, each of which has failed before."""
    lines = SEEDS_FILE.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


def run_seed(seed: int, size: int) -> Result:
    """Run one seed in this process; keep its logs if it failed.

    :param size: multiplies entry VMs, upstreams and callers
    """
    folder = worlds.folder_for(seed)
    main_greenlet = gevent.getcurrent()
    gevent.signal_handler(
        signal.SIGTERM, gevent.kill, main_greenlet, SystemExit
    )
    with contextlib.ExitStack() as stack:
        net = vms.reserve_network(stack)
        world = worlds.World(seed, net, folder, stack, size)
        try:
            world.start()
            _inject_faults(world, faults.plan(seed))
        except Exception as exc:
            now = time.monotonic()
            world.judge.record_violation(now, "the run failed", repr(exc))
    violations = tuple(world.judge.violations)
    if not violations:
        shutil.rmtree(folder)
    kept_folder = str(folder) if violations else ""
    return Result(seed, violations, dict(world.judge.counts), kept_folder)


def _inject_faults(world: worlds.World, plan: list[faults.Fault]) -> None:
    """Inject all faults, wait for recovery and run the final checks."""
    tasks = faults.Faults(world).run(plan)
    world.spawn(world.operator.run_series)
    until = time.monotonic() + MAX_FAULT_PHASE_S
    while not all(task.ready() for task in tasks):
        world.operator.check_read()
        world.check_processes()
        gevent.sleep(POLL_INTERVAL_S)
        if time.monotonic() > until:
            raise RuntimeError(
                f"faults still active after {MAX_FAULT_PHASE_S:g} s"
            )
    for task in tasks:
        task.get()
    recovered_at = time.monotonic() + RECOVERY_S
    while time.monotonic() < recovered_at:
        world.operator.check_read()
        world.check_processes()
        gevent.sleep(POLL_INTERVAL_S)
    before = world.judge.counts.copy()
    gevent.sleep(SERVICE_CHECK_S)
    _check_service(world.judge, before)
    world.operator.check_final_read()
    _check_orders(world.judge)
    world.check_processes()


def _check_service(judge: judges.Judge, before: dict[str, int]) -> None:
    """Check that nearly all requests are answered after recovery."""
    sent = judge.counts["requests"] - before["requests"]
    answered = judge.counts["answered"] - before["answered"]
    if not sent or answered < MIN_ANSWERED_SHARE * sent:
        detail = (
            f"{answered} of {sent} requests answered, "
            f"expected at least {MIN_ANSWERED_SHARE:.0%}"
        )
        judge.record_violation(
            time.monotonic(), "service after recovery", detail
        )


def _check_orders(judge: judges.Judge) -> None:
    """Check that the run tested orders at all."""
    orders = judge.counts["orders"]
    if orders < MIN_ORDERS:
        detail = f"{orders} acknowledged, expected at least {MIN_ORDERS}"
        judge.record_violation(time.monotonic(), "few orders", detail)


def main(
    seeds: int = 0,
    minutes: float = 0.0,
    seed: int = 0,
    first: int = 1,
    jobs: int = 2,
    size: int = 1,
) -> int:
    """Run seeds and print their outcomes; return 1 if any failed.

    :param seeds: number of seeds, from `first` on
    :param minutes: how long to start random seeds
    :param seed: run only this seed
    :param jobs: number of concurrent runs
    :param size: multiplies entry VMs, upstreams and callers
    """
    if seed:
        return _report(run_seed(seed, size))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    until = time.monotonic() + minutes * 60
    pending = [] if minutes else failed_seeds()
    pending += range(first, first + seeds)
    processes: list[subprocess.Popen] = []
    try:
        failed = _run_seeds(pending, until, jobs, size, processes)
    finally:
        for process in processes:
            process.terminate()
    print(f"{failed} seeds with a broken promise")
    return 1 if failed else 0


def _run_seeds(
    pending: list[int],
    until: float,
    jobs: int,
    size: int,
    processes: list[subprocess.Popen],
) -> int:
    """Run seeds concurrently; return how many failed.

    :param until: monotonic time until which random seeds are added
    :param processes: filled with running seeds, so that the caller can
        terminate them
    """
    rng = random.SystemRandom()
    failed = 0
    while pending or processes or time.monotonic() < until:
        if not pending and time.monotonic() < until:
            pending.append(1 + rng.getrandbits(31))
        while pending and len(processes) < jobs:
            processes.append(_start_run(pending.pop(0), size))
        for process in list(processes):
            if process.poll() is not None:
                processes.remove(process)
                failed += process.returncode != 0
        time.sleep(POLL_INTERVAL_S)
    return failed


def _start_run(seed: int, size: int) -> subprocess.Popen:
    """Start a process that runs a seed and prints its outcome."""
    args = ["--seed", str(seed), "--size", str(size)]
    return subprocess.Popen([sys.executable, "-m", "soak", *args])


def _report(result: Result) -> int:
    """Print the outcome of a seed; return 1 if it failed."""
    verdict = "BROKEN" if result.violations else "held"
    counts = ", ".join(f"{k} {v}" for k, v in result.counts.items())
    lines = [f"seed {result.seed}: {verdict}; {counts}"]
    lines += [f"  {line}" for line in result.violations]
    if result.folder:
        lines.append(f"  logs: {result.folder}")
    print("\n".join(lines), flush=True)
    return 1 if result.violations else 0


if __name__ == "__main__":
    raise SystemExit(fire.Fire(main, serialize=lambda _: ""))
