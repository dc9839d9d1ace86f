"""The composition root: one node, its adapters and their tasks."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
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

TICK_S = 0.05
STOP_LIMIT_S = 150.0
STOP_POLL_S = 0.05
HAND_OVER_S = 0.5
EXIT_DONE = 0
EXIT_FAILED = 1


class Daemon:
    """Runs a node until it is told to stop."""

    def __init__(
        self,
        cfg: settings.Settings,
        stack: contextlib.ExitStack,
    ) -> None:
        """Open the data folder and the ports.

        :param stack: closes all that was opened
        :raises EbonytallyError: when something can't be opened
        :raises OSError: when a port can't be bound
        """
        self._cfg = cfg
        self._stop = gevent_event.Event()
        self._stopping = False
        self._vms: tuple[view.Vm, ...] = ()
        self._addresses: dict[str, str] = {}
        folder_lock.hold(stack, cfg.data_folder)
        self._clock = system_clock.SystemClock()
        self._recorder = live_recorder.LiveRecorder(cfg, stack)
        files = disk_files.FolderDisk(cfg.data_folder)
        stack.callback(files.close)
        disk = disk_threads.ThreadedDisk(files)
        incarnation = node_store.next_incarnation(disk, self._clock.wall())
        control = control_task.ControlTask(self._control)
        self._node = nodes.Node(
            cfg,
            disk,
            incarnation,
            self._recorder,
            incarnation,
            self._clock.now(),
            control,
        )
        self._open(stack)
        stack.callback(control.greenlet.kill)
        self._recorder.event(
            events.Event.STARTED,
            incarnation=incarnation,
            settings=cfg.hashed(),
            revision=self._node.present.revision,
        )

    def _open(self, stack: contextlib.ExitStack) -> None:
        cfg = self._cfg
        self._packets = packet_socket.PacketSocket(cfg, stack, self._packet)
        self._peers = peers.Peers(
            cfg,
            stack,
            self._message,
            self._address_of,
            self._recorder,
        )
        request_port = daemon_ports.Requests(
            self._node,
            self._clock,
            self._finish,
            self._recorder,
        )
        self._requests = request_http.RequestServer(cfg, request_port, stack)
        intent_port = daemon_ports.Intents(
            self._node,
            self._clock,
            self._finish,
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
            self._finish,
            self._recorder,
        )
        stack.callback(announcements.stop)
        poller = health_http.HealthPoller(
            self._node.upstreams,
            lambda: self._node.present,
            cfg.data_centre,
            self._clock,
        )
        stack.callback(poller.stop)
        poller.start()
        self._requests.start()
        self._intents.start()
        announcements.start()

    def run(self) -> int:
        """Serve until told to stop; return the exit status."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._signalled)
        self._perform(self._node.start(self._clock.now()))
        ticker = gevent.spawn(self._tick_for_ever)
        try:
            self._stop.wait()
            self._drain()
        finally:
            ticker.kill()
        self._recorder.event(events.Event.STOPPED)
        return EXIT_DONE

    def _signalled(self) -> None:
        if self._stopping:
            self._recorder.event(events.Event.STOPPED, at_once=True)
            sys.exit(EXIT_DONE)
        self._stopping = True
        self._stop.set()

    def _drain(self) -> None:
        """Finish the requests in hand and hand over what is kept."""
        self._recorder.event(events.Event.STOPPING)
        self._requests.drain()
        now = self._clock.now()
        self._perform(self._node.stop(now))
        earliest = now + HAND_OVER_S
        latest = now + STOP_LIMIT_S
        while now < latest:
            gevent.sleep(STOP_POLL_S)
            now = self._clock.now()
            if now >= earliest and self._node.idle(now):
                return

    def _tick_for_ever(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            with self._guarded("tick", ""):
                self._perform(self._node.tick(self._clock.now()))

    @contextlib.contextmanager
    def _guarded(self, step: str, peer: str) -> Iterator[None]:
        """Keep a task going when one of its steps fails."""
        try:
            yield
        except errors.EbonytallyError as exc:
            self._recorder.event(
                events.Event.TASK_FAILED,
                step=exc.step,
                peer=exc.peer,
                detail=exc.detail,
            )
        except Exception:
            self._recorder.event(
                events.Event.TASK_FAILED,
                step=step,
                peer=peer,
                detail=traceback.format_exc(),
            )

    # What comes in.

    def _packet(self, data: bytes) -> None:
        with self._guarded("packet", ""):
            self._perform(self._node.packet(data, self._clock.now()))

    def _message(self, peer: str, msg: object) -> None:
        with self._guarded(type(msg).__name__, peer):
            self._perform(self._node.message(peer, msg, self._clock.now()))

    def _control(self, call: Callable[[], list[actions.Action]]) -> None:
        with self._guarded("control", ""):
            self._settled(call(), self._clock.now())

    def _finish(self, out: list[actions.Action]) -> None:
        self._settled(out, self._clock.now())

    def _settled(self, out: list[actions.Action], now: float) -> None:
        self._perform(self._node.settle(out, now))

    # What goes out.

    def _address_of(self, name: str) -> str | None:
        # Asked for each frame: looking through all VMs would be slow.
        vms = self._node.present.vms
        if vms is not self._vms:
            self._vms = vms
            self._addresses = {vm.name: vm.address for vm in vms}
        return self._addresses.get(name)

    def _perform(self, out: list[actions.Action]) -> None:
        for action in out:
            if isinstance(action, actions.Forward):
                self._packets.forward(action)
            elif isinstance(action, actions.Send):
                self._peers.send(action.peer, action.msg)
            elif isinstance(action, actions.ToCaller):
                self._packets.to_caller(action)
            elif isinstance(action, actions.Reply):
                self._intents.answer(action)
            elif isinstance(action, (actions.Propose, actions.Decided)):
                self._finish([action])
            else:
                self._requests.perform(action)


def run(cfg: settings.Settings) -> int:
    """Run a daemon; return the exit status."""
    with contextlib.ExitStack() as stack:
        try:
            daemon = Daemon(cfg, stack)
        except (errors.EbonytallyError, OSError, RuntimeError) as exc:
            print(f"{cfg.name}: can't start: {exc}", file=sys.stderr)
            return EXIT_FAILED
        return daemon.run()
