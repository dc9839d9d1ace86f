"""Open flows and requests, inferred from callers' packets."""

import attrs

from ebonytally.echo import packets
from ebonytally.echo import placing as placings
from ebonytally.load import interfaces
from ebonytally import recorder as recorders

# A request that is unanswered for longer no longer counts as load.
REQUEST_TIMEOUT_S = 5.0
MAX_FLOWS = 200_000
# Caller's address and port in a flow's key, before those of the service.
CALLER_BYTES = 6
_ACK_MODULUS = 2**32


@attrs.define
class _OpenFlow:
    """An open flow.

    :param is_routed: a configuration in force here had its route
    :param request_ack: the caller's acknowledgement number when it sent
        its request
    :param busy_since: seconds, when the request was sent; 0 for none
    :param last_ack: the caller's latest acknowledgement number
    :param has_request: a request was seen whose end wasn't
    """

    upstream: str
    last_at: float
    is_routed: bool
    request_ack: int = 0
    busy_since: float = 0.0
    last_ack: int = 0
    has_request: bool = False


class FlowTracker:
    """Counts the open flows and running requests of upstreams."""

    def __init__(
        self,
        placing: placings.Placing,
        observers: tuple[interfaces.FlowObserver, ...],
        recorder: recorders.Recorder,
    ) -> None:
        """Create a tracker without flows.

        :param observers: hear of requests and their answers
        """
        self._placing = placing
        self._observers = observers
        self._recorder = recorder
        self._flows: dict[bytes, _OpenFlow] = {}

    def was_routed(self, key: bytes) -> bool:
        """Return whether a flow's route has been in force here."""
        flow = self._flows.get(key)
        return flow is not None and flow.is_routed

    def on_packet(
        self,
        packet: packets.Packet,
        id_: str,
        is_routed: bool,
        now: float,
    ) -> None:
        """Update the load by a packet of an open flow.

        :param is_routed: the configuration in force has the flow's route
        """
        flow = self._flows.get(packet.key)
        if flow is None:
            if packet.is_end or len(self._flows) >= MAX_FLOWS:
                return
            flow = self._flows[packet.key] = _OpenFlow(id_, now, is_routed)
            self._placing.load(id_).flows += 1
        flow.last_at = now
        flow.is_routed = flow.is_routed or is_routed
        if flow.busy_since and packet.ack != flow.request_ack:
            took_s = now - flow.busy_since
            self._recorder.record_duration("first_answer", took_s)
            self._stop_waiting(flow)
            for observer in self._observers:
                observer.on_answer(flow.upstream, took_s, now)
        if packet.size and not flow.busy_since:
            self._begin_request(packet, flow, now)
        flow.last_ack = packet.ack
        if packet.is_end:
            self.close(packet.key, now)

    def close(self, key: bytes, now: float) -> None:
        """Remove a flow and its load."""
        flow = self._flows.pop(key, None)
        if flow is None:
            return
        if flow.busy_since:
            self._stop_waiting(flow)
        self._end_request(key, flow, now)
        self._placing.load(flow.upstream).flows -= 1

    def sweep(self, idle_s: float, now: float) -> None:
        """Remove idle flows, and requests that are unanswered too long."""
        for key, flow in list(self._flows.items()):
            if flow.busy_since and now - flow.busy_since > REQUEST_TIMEOUT_S:
                self._stop_waiting(flow)
            if now - flow.last_at > idle_s:
                self.close(key, now)

    def _begin_request(
        self, packet: packets.Packet, flow: _OpenFlow, now: float
    ) -> None:
        self._end_request(packet.key, flow, now)
        flow.has_request = True
        flow.busy_since = now
        flow.request_ack = packet.ack
        self._placing.load(flow.upstream).busy += 1
        for observer in self._observers:
            observer.on_request(flow.upstream, now)

    def _end_request(self, key: bytes, flow: _OpenFlow, now: float) -> None:
        """Tell the observers how much of an answer the caller has got."""
        if not flow.has_request:
            return
        flow.has_request = False
        answer_bytes = (flow.last_ack - flow.request_ack) % _ACK_MODULUS
        for observer in self._observers:
            observer.on_request_end(
                flow.upstream, key[CALLER_BYTES:], answer_bytes, now
            )

    def _stop_waiting(self, flow: _OpenFlow) -> None:
        flow.busy_since = 0.0
        self._placing.load(flow.upstream).busy -= 1
