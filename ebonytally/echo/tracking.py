"""Open flows as callers' packets show them, to tell upstreams' load."""

import attrs

from ebonytally.echo import packets
from ebonytally.echo import placing as placings
from ebonytally import recorder as recorders

# An answer that takes longer is not counted as load any more.
BUSY_S = 5.0
MAX_FLOWS = 200_000


@attrs.define
class _Flow:
    """An open flow.

    :param expects: caller's acknowledgement when its request went out
    :param busy_since: seconds; 0 while no answer is awaited
    """

    upstream: str
    last_at: float
    expects: int = 0
    busy_since: float = 0.0


class Tracking:
    """Counts open flows and requests under way for placing."""

    def __init__(
        self,
        placing: placings.Placing,
        recorder: recorders.Recorder,
    ) -> None:
        """Start without flows."""
        self._placing = placing
        self._recorder = recorder
        self._flows: dict[bytes, _Flow] = {}

    def note(self, packet: packets.Packet, id_: str, now: float) -> None:
        """Note a packet of an open flow."""
        flow = self._flows.get(packet.key)
        if flow is None:
            if packet.ends or len(self._flows) >= MAX_FLOWS:
                return
            flow = self._flows[packet.key] = _Flow(id_, now)
            self._placing.load(id_).flows += 1
        flow.last_at = now
        if flow.busy_since and packet.ack != flow.expects:
            self._recorder.measured("first_answer", now - flow.busy_since)
            self._idle(flow)
        if packet.size and not flow.busy_since:
            flow.busy_since = now
            flow.expects = packet.ack
            self._placing.load(flow.upstream).busy += 1
        if packet.ends:
            self.close(packet.key)

    def close(self, key: bytes) -> None:
        """Forget a flow."""
        flow = self._flows.pop(key, None)
        if flow is None:
            return
        if flow.busy_since:
            self._idle(flow)
        self._placing.load(flow.upstream).flows -= 1

    def sweep(self, idle_s: float, now: float) -> None:
        """Forget flows without packets, and answers that don't come."""
        for key, flow in list(self._flows.items()):
            if flow.busy_since and now - flow.busy_since > BUSY_S:
                self._idle(flow)
            if now - flow.last_at > idle_s:
                self.close(key)

    def _idle(self, flow: _Flow) -> None:
        flow.busy_since = 0.0
        self._placing.load(flow.upstream).busy -= 1
