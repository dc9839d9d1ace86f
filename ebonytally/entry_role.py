"""Entry role: an `EntryNode` with its sockets and readiness port."""

from collections.abc import Callable
import contextlib
import http
from typing import Protocol

from ebonytally import deferred
from ebonytally import deployment as deployments
from ebonytally.echo import explain_query
from ebonytally.echo import forwarder
from ebonytally.echo import packets
from ebonytally import entry_node
from ebonytally import events
from ebonytally import live_recorder
from ebonytally import peer_datagrams
from ebonytally import recorder as recorders
from ebonytally import roles
from ebonytally import system_clock


class PacketPort(Protocol):
    """Socket for callers' packets, from and to the fabric."""

    def send(self, output: forwarder.Actions) -> None:
        """Send packets: forwarded ones, and resets of flows."""


OpenPackets = Callable[
    [
        deployments.Endpoint,
        contextlib.ExitStack,
        Callable[[packets.Packet], forwarder.Actions],
        live_recorder.LiveRecorder,
    ],
    PacketPort,
]
OpenReadiness = Callable[
    [
        deployments.Endpoint,
        contextlib.ExitStack,
        Callable[[], bool],
        live_recorder.LiveRecorder,
    ],
    None,
]


class EntryRole:
    """A `roles.Role` that forwards callers' packets to upstreams."""

    tick_s = roles.ENTRY_TICK_INTERVAL_S
    stop_s = roles.ENTRY_STOP_DELAY_S

    def __init__(
        self,
        deployment: deployments.Deployment,
        stack: contextlib.ExitStack,
        recorder: live_recorder.LiveRecorder,
        clock: system_clock.SystemClock,
        start: int,
        open_packets: OpenPackets,
        open_readiness: OpenReadiness,
    ) -> None:
        """Open the ports, the readiness port after a short delay.

        :param start: random number that differs at each start
        :param open_packets: opens the socket for callers' packets
        :param open_readiness: serves the fabric's readiness checks
        """
        self._recorder = recorder
        self._clock = clock
        self._last_logged_ready = False
        self._node = entry_node.EntryNode(deployment, recorder, start)
        self.monitoring = live_recorder.Monitoring(
            {explain_query.PATH: self._explain}, self._gauges()
        )
        self._peers = peer_datagrams.DatagramTransport(
            deployment.cfg,
            stack,
            self._handle,
            lambda peer: True,
            recorder,
        )
        self._packet_port = open_packets(
            deployment.packet_endpoint,
            stack,
            self._handle_packet,
            recorder,
        )
        deferred.run_after(
            roles.HTTP_START_DELAY_S,
            "open readiness port",
            lambda: open_readiness(
                deployment.readiness_endpoint,
                stack,
                self._node.is_ready,
                recorder,
            ),
            stack,
            recorder,
        )

    def tick(self, now: float) -> None:
        """Run the node's timers and log a change of readiness."""
        output, messages = self._node.tick(now)
        self._packet_port.send(output)
        self._perform(messages)
        is_ready = self._node.is_ready()
        if is_ready != self._last_logged_ready:
            self._last_logged_ready = is_ready
            self._recorder.log_event(events.Event.ENTRY_READY, ready=is_ready)

    def reload(self, deployment: deployments.Deployment) -> None:
        """Apply changed seeds, the only setting that is reloaded here."""
        self._node.follower.use_seeds(deployment.seeds)

    def stop(self, now: float) -> None:
        """Report not ready, so that the fabric stops sending packets."""
        self._node.stop()

    def _gauges(self) -> tuple[live_recorder.Gauge, ...]:
        gauges = self._node.gauges
        now = self._clock.now
        return (
            live_recorder.Gauge(
                "link_pressure",
                "load of the link by level of flows, 1 without room",
                ("level",),
                lambda: gauges.link_pressure(now()),
            ),
            live_recorder.Gauge(
                "upstreams",
                "upstreams by what this VM has learned about them",
                ("condition",),
                lambda: gauges.upstreams(now()),
            ),
            live_recorder.Gauge(
                "demand_per_second",
                "requests a second of callers, as this VM was told",
                ("service", "data_centre"),
                lambda: gauges.demand_per_s(now()),
            ),
            live_recorder.Gauge(
                "leaving_share",
                "share of new flows that leaves, by where it goes",
                ("service", "data_centre"),
                lambda: gauges.leaving_share(now()),
            ),
        )

    def _explain(self, query: str) -> explain_query.Answer:
        try:
            return explain_query.answer(
                self._node.explainer, query, self._clock.now()
            )
        except Exception:
            recorders.log_failure(self._recorder, "explain", "")
            return http.HTTPStatus.INTERNAL_SERVER_ERROR, {
                "ok": False,
                "reason": "failed",
                "text": "the explanation failed; see task_failed in the log",
            }

    def _handle_packet(self, packet: packets.Packet) -> forwarder.Actions:
        output, messages = self._node.handle_packet(packet, self._clock.now())
        if messages:
            self._perform(messages)
        return output

    def _handle(self, peer: str, msg: object) -> None:
        def handle() -> None:
            now = self._clock.now()
            self._perform(self._node.handle(peer, msg, now))

        roles.run_guarded(self._recorder, type(msg).__name__, peer, handle)

    def _perform(self, messages: list) -> None:
        for action in messages:
            frame = self._peers.encode(action.msg)
            self._recorder.count(
                "control_bytes_sent",
                len(frame) + peer_datagrams.OVERHEAD_BYTES,
            )
            self._peers.send(action.peer, frame)
