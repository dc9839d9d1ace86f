"""The entry role: its node, its sockets and their tasks."""

from collections.abc import Callable
import contextlib
from typing import Protocol

from ebonytally import deployment as deployments
from ebonytally.echo import forwarder
from ebonytally.echo import packets
from ebonytally import entry_node
from ebonytally import events
from ebonytally import later
from ebonytally import live_recorder
from ebonytally import peer_datagrams
from ebonytally import roles
from ebonytally import system_clock


class PacketPort(Protocol):
    """Takes packets from the fabric and sends them on."""

    def perform(self, out: forwarder.Out) -> None:
        """Pass packets on, or reset their flows."""


OpenPackets = Callable[
    [
        deployments.Endpoint,
        contextlib.ExitStack,
        Callable[[packets.Packet], forwarder.Out],
        live_recorder.LiveRecorder,
    ],
    PacketPort,
]
OpenReadiness = Callable[
    [deployments.Endpoint, contextlib.ExitStack, Callable[[], bool]],
    None,
]


class EntryRole:
    """A `roles.Role` that passes callers' packets on."""

    tick_s = roles.ENTRY_TICK_S
    stop_s = roles.STOP_ENTRY_S

    def __init__(
        self,
        told: deployments.Deployment,
        stack: contextlib.ExitStack,
        recorder: live_recorder.LiveRecorder,
        clock: system_clock.SystemClock,
        start: int,
        open_packets: OpenPackets,
        open_readiness: OpenReadiness,
    ) -> None:
        """Open the ports."""
        self._recorder = recorder
        self._clock = clock
        self._was_ready = False
        self._node = entry_node.EntryNode(told, recorder, start)
        self._peers = peer_datagrams.Datagrams(
            told.cfg,
            stack,
            self._message,
            lambda peer: True,
            recorder,
        )
        self._packets = open_packets(
            told.packets,
            stack,
            self._packet,
            recorder,
        )
        later.run(
            roles.PORTS_AFTER_S,
            "open readiness port",
            lambda: open_readiness(told.readiness, stack, self._node.ready),
            stack,
            recorder,
        )

    def tick(self, now: float) -> None:
        """Do what is due."""
        out, todo = self._node.tick(now)
        self._packets.perform(out)
        self._perform(todo)
        ready = self._node.ready()
        if ready != self._was_ready:
            self._was_ready = ready
            self._recorder.event(events.Event.ENTRY_READY, ready=ready)

    def reload(self, told: deployments.Deployment) -> None:
        """Take changed settings."""
        self._node.follower.use_seeds(told.seeds)

    def stop(self, now: float) -> None:
        """Take packets until the fabric sends no more."""
        self._node.stop()

    def _packet(self, packet: packets.Packet) -> forwarder.Out:
        out, todo = self._node.packet(packet, self._clock.now())
        if todo:
            self._perform(todo)
        return out

    def _message(self, peer: str, msg: object) -> None:
        def take() -> None:
            now = self._clock.now()
            self._perform(self._node.message(peer, msg, now))

        roles.guarded(self._recorder, type(msg).__name__, peer, take)

    def _perform(self, out: list) -> None:
        for action in out:
            frame = self._peers.encode(action.msg)
            self._recorder.counted("control_bytes_sent", len(frame))
            self._peers.send(action.peer, frame)
