"""Control role: a `ControlNode` with its disk, ports and tasks."""

from collections.abc import Callable
import contextlib

from ebonytally import actions
from ebonytally.agreement import control_task
from ebonytally import control_node
from ebonytally import deferred
from ebonytally import deployment as deployments
from ebonytally import disk_files
from ebonytally import disk_threads
from ebonytally import live_recorder
from ebonytally import orders
from ebonytally import peers
from ebonytally.registry import records
from ebonytally import roles
from ebonytally import system_clock
from ebonytally import wire

OpenOrders = Callable[
    [
        deployments.Deployment,
        contextlib.ExitStack,
        orders.Orders,
        "ControlRole",
        live_recorder.LiveRecorder,
    ],
    None,
]

# Importing gRPC takes a while; after a restart of all VMs the entry VMs are
# answered first, by datagrams.
GRPC_START_DELAY_S = 0.25


class ControlRole:
    """A `roles.Role` with the replicated log, the registry and their feed."""

    tick_s = roles.CONTROL_TICK_INTERVAL_S
    stop_s = roles.CONTROL_STOP_DELAY_S
    monitoring = live_recorder.Monitoring()

    def __init__(
        self,
        deployment: deployments.Deployment,
        stack: contextlib.ExitStack,
        recorder: live_recorder.LiveRecorder,
        clock: system_clock.SystemClock,
        start: int,
        open_orders: OpenOrders,
    ) -> None:
        """Open the log and the ports.

        :param start: random number that differs at each start
        :param open_orders: opens the HTTP port for operators' orders and
            upstreams' announcements
        :raises StorageError: if the data folder can't be used
        """
        self._recorder = recorder
        self._clock = clock
        folder = disk_files.FolderDisk(deployment.cfg.data_folder)
        stack.callback(folder.close)
        task = control_task.ControlTask(self._run_call)
        stack.callback(task.greenlet.kill)
        self._node = control_node.ControlNode(
            deployment,
            disk_threads.ThreadedDisk(folder),
            start,
            recorder,
            task,
            clock.now(),
            clock.wall(),
        )
        self._peers = peers.PeerTransport(
            deployment.cfg,
            stack,
            self._handle,
            lambda peer: peer,
            recorder,
            GRPC_START_DELAY_S,
        )
        self._orders = orders.Orders(
            self._node,
            deployment.data_centres,
            clock,
            self._perform,
            recorder,
        )
        deferred.run_after(
            roles.HTTP_START_DELAY_S,
            "open port for orders",
            lambda: open_orders(
                deployment, stack, self._orders, self, recorder
            ),
            stack,
            recorder,
        )

    def on_announcement(self, announcement: records.Announcement) -> None:
        """Handle an upstream's announcement."""
        self._perform(
            self._node.on_announcement(announcement, self._clock.now())
        )

    def on_deregistration(self, id_: str, born_ms: int) -> None:
        """Handle the deregistration of an upstream that has ended.

        :param born_ms: its start, milliseconds since 1970; 0 if not given
        """
        self._perform(
            self._node.on_deregistration(id_, born_ms, self._clock.now())
        )

    def tick(self, now: float) -> None:
        """Run the node's timers."""
        self._perform(self._node.tick(now, self._clock.wall()))

    def reload(self, deployment: deployments.Deployment) -> None:
        """Apply changed seeds, the only setting that is reloaded here."""
        self._node.use_seeds(deployment.seeds)

    def stop(self, now: float) -> None:
        """Transfer leadership to another control VM."""
        self._perform(self._node.stop(now))

    def _run_call(self, call: control_task.Call) -> None:
        def run_call() -> None:
            self._perform(call())

        roles.run_guarded(self._recorder, "control", "", run_call)

    def _handle(self, peer: str, msg: object) -> None:
        def handle() -> None:
            kind = wire.kind_of(msg)
            now = self._clock.now()
            self._perform(self._node.handle(peer, msg, kind, now))

        roles.run_guarded(self._recorder, type(msg).__name__, peer, handle)

    def _perform(self, actions_: list[actions.Action]) -> None:
        for action in actions_:
            if isinstance(action, actions.Send):
                self._peers.send(action.peer, action.msg)
            elif isinstance(action, actions.ProposalResult):
                self._orders.on_decided(action)
