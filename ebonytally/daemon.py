"""Daemon: composition root of a node, its I/O adapters and their tasks."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import signal
import sys
import traceback

import gevent
from gevent import event as gevent_event

from ebonytally import actions
from ebonytally.agreement import control_task
from ebonytally import daemon_ports
from ebonytally import disk_files
from ebonytally import disk_threads
from ebonytally import errors
from ebonytally import events
from ebonytally import folder_lock
from ebonytally.intents import intent_http
from ebonytally import live_recorder
from ebonytally import node as nodes
from ebonytally import node_store
from ebonytally import packet_socket
from ebonytally import peers
from ebonytally.requests import request_http
from ebonytally import settings
from ebonytally import system_clock
from ebonytally.upstreams import announce_http
from ebonytally.upstreams import health_http
from ebonytally import view

TICK_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 150.0
STOP_POLL_INTERVAL_S = 0.05
MIN_HANDOVER_S = 0.5
# Importing gRPC takes up to a second. The senders of what is dropped beyond
# this number retransmit it.
MAX_EARLY_EVENTS = 10_000
EXIT_DONE = 0
EXIT_FAILED = 1


class Daemon:
    """Runs a node with its I/O adapters until SIGTERM or SIGINT."""

    def __init__(
        self,
        cfg: settings.Settings,
        stack: contextlib.ExitStack,
    ) -> None:
        """Open the data folder and the ports.

        :param stack: closes everything that is opened
        :raises EbonytallyError: if something can't be opened
        :raises OSError: if a port can't be bound
        """
        self._cfg = cfg
        self._stop_requested = gevent_event.Event()
        self._stopping = False
        self._early_events: list[Callable[[], None]] | None = []
        self._cached_vms: tuple[view.Vm, ...] = ()
        self._address_by_name: dict[str, str] = {}
        folder_lock.lock(stack, cfg.data_folder)
        self._clock = system_clock.SystemClock()
        self._recorder = live_recorder.LiveRecorder(cfg, stack)
        folder = disk_files.FolderDisk(cfg.data_folder)
        stack.callback(folder.close)
        disk = disk_threads.ThreadedDisk(folder)
        incarnation = node_store.next_incarnation(disk, self._clock.wall())
        control_runner = control_task.ControlTask(self._run_control_call)
        self._node = nodes.Node(
            cfg,
            disk,
            incarnation,
            self._recorder,
            incarnation,
            self._clock.now(),
            control_runner,
        )
        self._open_ports(stack)
        stack.callback(control_runner.greenlet.kill)
        self._handle_early_events()
        self._recorder.log_event(
            events.Event.STARTED,
            incarnation=incarnation,
            settings=cfg.fingerprint(),
            revision=self._node.current_view.revision,
        )

    def _open_ports(self, stack: contextlib.ExitStack) -> None:
        cfg = self._cfg
        self._packet_socket = packet_socket.PacketSocket(
            cfg, stack, self._handle_packet
        )
        self._peers = peers.PeerTransport(
            cfg,
            stack,
            self._handle,
            self._address_of,
            self._recorder,
        )
        request_port = daemon_ports.Requests(
            self._node,
            self._clock,
            self._perform_all_now,
            self._recorder,
        )
        self._requests = request_http.RequestServer(cfg, request_port, stack)
        intent_port = daemon_ports.Intents(
            self._node,
            self._clock,
            self._perform_all_now,
        )
        self._intents = intent_http.IntentServer(
            cfg,
            intent_port,
            self._recorder,
        )
        stack.callback(self._intents.stop)
        announcements = announce_http.AnnouncementServer(
            cfg.address,
            cfg.ports.announcements,
            self._node.upstreams,
            self._clock,
            self._perform_all_now,
            self._recorder,
        )
        stack.callback(announcements.stop)
        poller = health_http.HealthPoller(
            self._node.upstreams,
            lambda: self._node.current_view,
            cfg.data_centre,
            self._clock,
        )
        stack.callback(poller.stop)
        poller.start()
        self._requests.start()
        self._intents.start()
        announcements.start()

    def run(self) -> int:
        """Serve until a signal requests a stop; return the exit status.

        A second signal ends the process without the handover.
        """
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, self._on_stop_signal)
        self._perform(self._node.start(self._clock.now()))
        ticker = gevent.spawn(self._run_ticks)
        try:
            self._stop_requested.wait()
            self._drain()
        finally:
            ticker.kill()
        self._recorder.log_event(events.Event.STOPPED)
        return EXIT_DONE

    def _on_stop_signal(self) -> None:
        if self._stopping:
            self._recorder.log_event(events.Event.STOPPED, at_once=True)
            sys.exit(EXIT_DONE)
        self._stopping = True
        self._stop_requested.set()

    def _drain(self) -> None:
        """Wait until requests have ended and records are handed over.

        The wait ends after `STOP_TIMEOUT_S` in any case.
        """
        self._recorder.log_event(events.Event.STOPPING)
        self._requests.drain()
        now = self._clock.now()
        self._perform(self._node.stop(now))
        earliest = now + MIN_HANDOVER_S
        latest = now + STOP_TIMEOUT_S
        while now < latest:
            gevent.sleep(STOP_POLL_INTERVAL_S)
            now = self._clock.now()
            if now >= earliest and self._node.can_stop(now):
                return

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(TICK_INTERVAL_S)
            with self._log_failure("tick", ""):
                self._perform(self._node.tick(self._clock.now()))

    @contextlib.contextmanager
    def _log_failure(self, step: str, peer: str) -> Iterator[None]:
        """Log an exception of a step, so that its task continues.

        :param step: name of the step, for the log
        :param peer: VM whose message is handled, "" for none
        """
        try:
            yield
        except errors.EbonytallyError as exc:
            self._recorder.log_event(
                events.Event.TASK_FAILED,
                step=exc.step,
                peer=exc.peer,
                detail=exc.detail,
            )
        except Exception:
            self._recorder.log_event(
                events.Event.TASK_FAILED,
                step=step,
                peer=peer,
                detail=traceback.format_exc(),
            )

    def _handle_early_events(self) -> None:
        """Handle what arrived before all ports were open, in its order."""
        early = self._early_events or []
        self._early_events = None
        for handle in early:
            handle()

    def _defer_early(self, handle: Callable[[], None]) -> None:
        """Keep an event until all ports that its actions need are open."""
        if len(self._early_events) < MAX_EARLY_EVENTS:
            self._early_events.append(handle)
        else:
            self._recorder.count("early_events_dropped")

    def _handle_packet(self, data: bytes) -> None:
        if self._early_events is not None:
            self._defer_early(functools.partial(self._handle_packet, data))
            return
        with self._log_failure("packet", ""):
            self._perform(self._node.handle_packet(data, self._clock.now()))

    def _handle(self, peer: str, msg: object) -> None:
        if self._early_events is not None:
            self._defer_early(functools.partial(self._handle, peer, msg))
            return
        with self._log_failure(type(msg).__name__, peer):
            self._perform(self._node.handle(peer, msg, self._clock.now()))

    def _run_control_call(
        self, call: Callable[[], list[actions.Action]]
    ) -> None:
        with self._log_failure("control", ""):
            self._perform_all(call(), self._clock.now())

    def _perform_all_now(self, actions_: list[actions.Action]) -> None:
        self._perform_all(actions_, self._clock.now())

    def _perform_all(self, actions_: list[actions.Action], now: float) -> None:
        """Perform actions, the internal ones in the node."""
        self._perform(self._node.perform_internal(actions_, now))

    def _address_of(self, name: str) -> str | None:
        # Called for each frame, so a linear search of the VMs is avoided.
        vms = self._node.current_view.vms
        if vms is not self._cached_vms:
            self._cached_vms = vms
            self._address_by_name = {vm.name: vm.address for vm in vms}
        return self._address_by_name.get(name)

    def _perform(self, actions_: list[actions.Action]) -> None:
        for action in actions_:
            if isinstance(action, actions.Forward):
                self._packet_socket.forward(action)
            elif isinstance(action, actions.Send):
                self._peers.send(action.peer, action.msg)
            elif isinstance(action, actions.SendToCaller):
                self._packet_socket.to_caller(action)
            elif isinstance(action, actions.OperatorReply):
                self._intents.on_reply(action)
            elif isinstance(action, (actions.Propose, actions.ProposalResult)):
                self._perform_all_now([action])
            else:
                self._requests.perform(action)


def run(cfg: settings.Settings) -> int:
    """Run a daemon in this process; return the exit status."""
    with contextlib.ExitStack() as stack:
        try:
            daemon = Daemon(cfg, stack)
        except (errors.EbonytallyError, OSError, RuntimeError) as exc:
            print(f"{cfg.name}: can't start: {exc}", file=sys.stderr)
            return EXIT_FAILED
        return daemon.run()
