"""Admission of new flows, and the bytes that packets bring to the link."""

from ebonytally.configuration import model
from ebonytally.echo import packets
from ebonytally import events
from ebonytally.load import interfaces
from ebonytally import recorder as recorders

CALLER_ADDRESS_BYTES = 4


class Gate:
    """Asks the decisions under load on behalf of the forwarder."""

    def __init__(
        self,
        admission: interfaces.Admission | None,
        traffic: interfaces.Traffic | None,
        recorder: recorders.Recorder,
    ) -> None:
        """Create a gate.

        :param admission: None to admit all flows
        :param traffic: None to count no bytes
        """
        self._admission = admission
        self._traffic = traffic
        self._recorder = recorder

    @property
    def has_admission(self) -> bool:
        """Return whether flows may be refused."""
        return self._admission is not None

    def admits(
        self,
        packet: packets.Packet,
        route: model.Route,
        service: str,
        now: float,
    ) -> bool:
        """Return whether to open the flow of its first opening packet."""
        opening = opening_of(packet.key, route, service)
        verdict = interfaces.Verdict()
        if self._admission is not None:
            verdict = self._admission.decide(opening, now)
        if not verdict.is_admitted:
            self._record_refusal(packet, opening, verdict)
        elif self._traffic is not None:
            self._traffic.on_admitted(packet.key, opening, now)
        return verdict.is_admitted

    def preview(
        self, opening: interfaces.Opening, now: float
    ) -> interfaces.Verdict | None:
        """Return the verdict on a flow without any effect.

        :return: None if admission is switched off
        """
        if self._admission is None:
            return None
        return self._admission.preview(opening, now)

    def on_packet(
        self,
        packet: packets.Packet,
        out: list[packets.ToUpstream | packets.Reset],
        now: float,
    ) -> None:
        """Count the bytes of a packet and of what is sent for it."""
        if self._traffic is not None:
            self._traffic.on_packet(
                packet.key,
                packet.is_end,
                packets.received_bytes(packet),
                sum(map(packets.sent_bytes, out)),
                now,
            )

    def on_tick(
        self, out: list[packets.ToUpstream | packets.Reset], now: float
    ) -> None:
        """Count the bytes that timers send."""
        if self._traffic is not None:
            self._traffic.on_tick(sum(map(packets.sent_bytes, out)), now)

    def _record_refusal(
        self,
        packet: packets.Packet,
        opening: interfaces.Opening,
        verdict: interfaces.Verdict,
    ) -> None:
        reason = verdict.refusal.value
        self._recorder.log_event(
            events.Event.FLOW_REFUSED,
            flow=packet.key.hex(),
            reason=reason,
            service=opening.service,
            priority=opening.priority,
            pressure=round(verdict.pressure, 2),
            reset=True,
        )
        self._recorder.count(f"flows_refused.{reason}.{opening.priority}")


def opening_of(
    key: bytes, route: model.Route, service: str
) -> interfaces.Opening:
    """Return the opening of a flow, as admission is asked about it.

    :param key: as in `packets.Packet.key`
    :param service: one of the route's services
    """
    return interfaces.Opening(
        caller=key[:CALLER_ADDRESS_BYTES],
        service=service,
        priority=route.priority,
        idempotent=route.idempotent,
        target_latency_s=route.target_latency_s,
        timeout_s=route.timeout_s,
    )
