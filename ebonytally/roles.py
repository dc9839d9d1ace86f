"""The composition root of the entry and the control role."""

from collections.abc import Callable
import contextlib
import random
import signal
import sys
import traceback
from typing import Protocol

import attrs
import gevent
from gevent import event as gevent_event

from ebonytally import deployment as deployments
from ebonytally import errors
from ebonytally import events
from ebonytally import live_recorder
from ebonytally import system_clock

ENTRY_TICK_S = 0.02
CONTROL_TICK_S = 0.05
# The fabric asks twice a second and takes a VM out after two misses.
STOP_ENTRY_S = 2.2
# Another control VM takes the lead meanwhile.
STOP_CONTROL_S = 0.4
RELOAD_EVERY_S = 1.0
# HTTP loads slowly; entry and control VMs find each other first.
PORTS_AFTER_S = 0.02
# A restarted process serves first; nobody reads metrics that soon.
METRICS_AFTER_S = 4.0
EXIT_DONE = 0
EXIT_FAILED = 1


class Role(Protocol):
    """What runs in a process."""

    tick_s: float
    stop_s: float

    def tick(self, now: float) -> None:
        """Do what is due."""

    def reload(self, told: deployments.Deployment) -> None:
        """Take changed settings."""

    def stop(self, now: float) -> None:
        """Begin a planned stop."""


MakeRole = Callable[
    [
        deployments.Deployment,
        contextlib.ExitStack,
        live_recorder.LiveRecorder,
        system_clock.SystemClock,
        int,
    ],
    Role,
]


class Process:
    """Runs a role until it is told to stop."""

    def __init__(
        self,
        told: deployments.Deployment,
        load: Callable[[], deployments.Deployment],
        make: MakeRole,
        stack: contextlib.ExitStack,
    ) -> None:
        """Make the role and open its ports.

        :param load: reads the settings again
        :param stack: closes all that was opened
        :raises EbonytallyError: when something can't be opened
        :raises OSError: when a port can't be bound
        """
        self._told = told
        self._load = load
        self._clock = system_clock.SystemClock()
        self._stop = gevent_event.Event()
        self._recorder = live_recorder.LiveRecorder(
            attrs.evolve(told.cfg, name=told.name),
            stack,
            metrics_after_s=METRICS_AFTER_S,
        )
        start = random.SystemRandom().getrandbits(48)
        self._role = make(told, stack, self._recorder, self._clock, start)
        self._recorder.event(
            events.Event.STARTED,
            incarnation=start,
            settings=told.cfg.hashed(),
            role=told.role.value,
            address=told.cfg.address,
            seeds=list(told.seeds),
            first_start=told.first_start,
        )

    def run(self) -> int:
        """Serve until told to stop; return the exit status."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stop.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        tasks = [gevent.spawn(self._tick), gevent.spawn(self._watch)]
        self._stop.wait()
        self._recorder.event(events.Event.STOPPING)
        self._guarded("stop", lambda: self._role.stop(self._clock.now()))
        gevent.sleep(min(self._role.stop_s, self._told.stop_s))
        gevent.killall(tasks)
        self._recorder.event(events.Event.STOPPED)
        return EXIT_DONE

    def _tick(self) -> None:
        while True:
            gevent.sleep(self._role.tick_s)
            self._guarded("tick", lambda: self._role.tick(self._clock.now()))

    def _watch(self) -> None:
        """Notice changed settings without a signal."""
        while True:
            gevent.sleep(RELOAD_EVERY_S)
            self._reload()

    def _reload(self) -> None:
        try:
            told = self._load()
        except errors.EbonytallyError as exc:
            self._recorder.event(
                events.Event.SETTINGS_REFUSED,
                detail=str(exc),
            )
            return
        if told == self._told:
            return
        self._told = told
        self._recorder.event(
            events.Event.SETTINGS_RELOADED,
            settings=told.cfg.hashed(),
            seeds=list(told.seeds),
        )
        self._guarded("reload", lambda: self._role.reload(told))

    def _guarded(self, step: str, call: Callable[[], None]) -> None:
        guarded(self._recorder, step, "", call)


def guarded(
    recorder: live_recorder.LiveRecorder,
    step: str,
    peer: str,
    call: Callable[[], None],
) -> None:
    """Run a step of a task; log its fault and let the task go on."""
    try:
        call()
    except Exception:
        recorder.event(
            events.Event.TASK_FAILED,
            step=step,
            peer=peer,
            detail=traceback.format_exc()[-480:],
        )


def run(
    told: deployments.Deployment,
    load: Callable[[], deployments.Deployment],
    make: MakeRole,
) -> int:
    """Run a role; return the exit status."""
    with contextlib.ExitStack() as stack:
        try:
            process = Process(told, load, make, stack)
        except (errors.EbonytallyError, OSError, RuntimeError) as exc:
            print(f"{told.name}: can't start: {exc}", file=sys.stderr)
            return EXIT_FAILED
        return process.run()
