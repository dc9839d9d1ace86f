"""The control role: its node, its ports and their tasks."""

from collections.abc import Callable
import contextlib

from ebonytally import actions
from ebonytally.agreement import control_task
from ebonytally import control_node
from ebonytally import deployment as deployments
from ebonytally import disk_files
from ebonytally import disk_threads
from ebonytally import later
from ebonytally import live_recorder
from ebonytally import orders
from ebonytally import peers
from ebonytally.register import records
from ebonytally import roles
from ebonytally import system_clock
from ebonytally import wire

OpenOrders = Callable[
    [
        deployments.Deployment,
        contextlib.ExitStack,
        orders.Orders,
        "ControlRole",
    ],
    None,
]


# Entry VMs that restarted as well are answered first.
LARGE_AFTER_S = 0.25


class ControlRole:
    """A `roles.Role` that agrees, registers and tells entry VMs."""

    tick_s = roles.CONTROL_TICK_S
    stop_s = roles.STOP_CONTROL_S

    def __init__(
        self,
        told: deployments.Deployment,
        stack: contextlib.ExitStack,
        recorder: live_recorder.LiveRecorder,
        clock: system_clock.SystemClock,
        start: int,
        open_orders: OpenOrders,
    ) -> None:
        """Open the log and the ports.

        :raises StorageError: when the data folder can't be used
        """
        self._recorder = recorder
        self._clock = clock
        files = disk_files.FolderDisk(told.cfg.data_folder)
        stack.callback(files.close)
        task = control_task.ControlTask(self._run)
        stack.callback(task.greenlet.kill)
        self._node = control_node.ControlNode(
            told,
            disk_threads.ThreadedDisk(files),
            start,
            recorder,
            task,
            clock.now(),
            clock.wall(),
        )
        self._peers = peers.Peers(
            told.cfg,
            stack,
            self._message,
            lambda peer: peer,
            recorder,
            LARGE_AFTER_S,
        )
        self._orders = orders.Orders(
            self._node,
            told.data_centres,
            clock,
            self._perform,
            recorder,
        )
        later.run(
            roles.PORTS_AFTER_S,
            "open port for orders",
            lambda: open_orders(told, stack, self._orders, self),
            stack,
            recorder,
        )

    def announced(self, said: records.Announcement) -> None:
        """Take an upstream's announcement."""
        self._perform(self._node.announced(said, self._clock.now()))

    def left(self, id_: str, born_ms: int) -> None:
        """Take an upstream's word that it has ended."""
        self._perform(self._node.left(id_, born_ms, self._clock.now()))

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._perform(self._node.tick(now, self._clock.wall()))

    def reload(self, told: deployments.Deployment) -> None:
        """Take changed settings."""
        self._node.use_seeds(told.seeds)

    def stop(self, now: float) -> None:
        """Hand leadership over."""
        self._perform(self._node.stop(now))

    def _run(self, call: control_task.Call) -> None:
        def work() -> None:
            self._perform(call())

        roles.guarded(self._recorder, "control", "", work)

    def _message(self, peer: str, msg: object) -> None:
        def take() -> None:
            kind = wire.kind_of(msg)
            now = self._clock.now()
            self._perform(self._node.message(peer, msg, kind, now))

        roles.guarded(self._recorder, type(msg).__name__, peer, take)

    def _perform(self, out: list[actions.Action]) -> None:
        for action in out:
            if isinstance(action, actions.Send):
                self._peers.send(action.peer, action.msg)
            elif isinstance(action, actions.Decided):
                self._orders.decided(action)
