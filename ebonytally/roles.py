"""Process of the entry or control role: start, timers, signals, stop."""

from collections.abc import Callable
import contextlib
import random
import signal
import sys
from typing import Protocol

import attrs
import gevent
from gevent import event as gevent_event

from ebonytally import deployment as deployments
from ebonytally import errors
from ebonytally import events
from ebonytally import live_recorder
from ebonytally import recorder as recorders
from ebonytally import system_clock

ENTRY_TICK_INTERVAL_S = 0.02
CONTROL_TICK_INTERVAL_S = 0.05
# The fabric checks readiness twice a second and sends no more packets to a
# VM after two failed checks.
ENTRY_STOP_DELAY_S = 2.2
# Meanwhile leadership is transferred to another control VM.
CONTROL_STOP_DELAY_S = 0.4
RELOAD_INTERVAL_S = 1.0
# Importing the HTTP server takes a while; entry and control VMs exchange
# their first messages before that.
HTTP_START_DELAY_S = 0.02
# Importing the metrics library would delay service after a restart, and
# metrics aren't read that soon.
METRICS_START_DELAY_S = 4.0
EXIT_DONE = 0
EXIT_FAILED = 1


class Role(Protocol):
    """Role of a VM, as `Process` runs it.

    :ivar tick_s: seconds between two calls of `tick`
    :ivar monitoring: what it adds to the metrics port
    :ivar stop_s: seconds that the process continues after `stop`
    """

    tick_s: float
    stop_s: float
    monitoring: live_recorder.Monitoring

    def tick(self, now: float) -> None:
        """Run the timers."""

    def reload(self, deployment: deployments.Deployment) -> None:
        """Apply changed settings."""

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
    """Runs a role until SIGTERM or SIGINT."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        load_deployment: Callable[[], deployments.Deployment],
        make_role: MakeRole,
        stack: contextlib.ExitStack,
    ) -> None:
        """Create the role, which opens its ports.

        :param load_deployment: reads the settings again, for a reload
        :param make_role: creates the role; its last argument is a random
            number that differs at each start
        :param stack: closes everything that the role opens
        :raises EbonytallyError: if something can't be opened
        :raises OSError: if a port can't be bound
        """
        self._deployment = deployment
        self._load_deployment = load_deployment
        self._clock = system_clock.SystemClock()
        self._stop_requested = gevent_event.Event()
        self._recorder = live_recorder.LiveRecorder(
            attrs.evolve(deployment.cfg, name=deployment.name),
            stack,
            metrics_after_s=METRICS_START_DELAY_S,
        )
        start = random.SystemRandom().getrandbits(48)
        self._role = make_role(
            deployment, stack, self._recorder, self._clock, start
        )
        self._recorder.monitoring = self._role.monitoring
        self._recorder.log_event(
            events.Event.STARTED,
            incarnation=start,
            settings=deployment.cfg.fingerprint(),
            role=deployment.role.value,
            address=deployment.cfg.address,
            seeds=list(deployment.seeds),
            first_start=deployment.first_start,
        )

    def run(self) -> int:
        """Serve until a signal requests a stop; return the exit status."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self._stop_requested.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        tasks = [
            gevent.spawn(self._run_ticks),
            gevent.spawn(self._poll_settings),
        ]
        self._stop_requested.wait()
        self._recorder.log_event(events.Event.STOPPING)
        self._run_guarded("stop", lambda: self._role.stop(self._clock.now()))
        gevent.sleep(min(self._role.stop_s, self._deployment.stop_timeout_s))
        gevent.killall(tasks)
        self._recorder.log_event(events.Event.STOPPED)
        return EXIT_DONE

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(self._role.tick_s)
            self._run_guarded(
                "tick", lambda: self._role.tick(self._clock.now())
            )

    def _poll_settings(self) -> None:
        """Reload changed settings also without SIGHUP."""
        while True:
            gevent.sleep(RELOAD_INTERVAL_S)
            self._reload()

    def _reload(self) -> None:
        try:
            deployment = self._load_deployment()
        except errors.EbonytallyError as exc:
            self._recorder.log_event(
                events.Event.SETTINGS_REFUSED,
                detail=str(exc),
            )
            return
        if deployment == self._deployment:
            return
        self._deployment = deployment
        self._recorder.log_event(
            events.Event.SETTINGS_RELOADED,
            settings=deployment.cfg.fingerprint(),
            seeds=list(deployment.seeds),
        )
        self._run_guarded("reload", lambda: self._role.reload(deployment))

    def _run_guarded(self, step: str, call: Callable[[], None]) -> None:
        run_guarded(self._recorder, step, "", call)


def run_guarded(
    recorder: live_recorder.LiveRecorder,
    step: str,
    peer: str,
    call: Callable[[], None],
) -> None:
    """Call a step of a task; log an exception and let the task continue.

    :param step: name of the step, for the log
    :param peer: VM whose message is handled, "" for none
    """
    try:
        call()
    except Exception:
        recorders.log_failure(recorder, step, peer)


def run(
    deployment: deployments.Deployment,
    load_deployment: Callable[[], deployments.Deployment],
    make_role: MakeRole,
) -> int:
    """Run a role in this process; return the exit status."""
    with contextlib.ExitStack() as stack:
        try:
            process = Process(deployment, load_deployment, make_role, stack)
        except (errors.EbonytallyError, OSError, RuntimeError) as exc:
            print(f"{deployment.name}: can't start: {exc}", file=sys.stderr)
            return EXIT_FAILED
        return process.run()
