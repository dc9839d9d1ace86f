"""Passes packets of callers to the upstreams of their flows.

The opening packet gets a cookie that names its upstream. The flow's two
ends bring it back in each packet, so any entry VM finds the upstream
without state of its own. What is kept here for each flow tells load only
and may be lost.
"""

import socket
import struct

from ebonytally.configuration import model
from ebonytally.echo import cookies
from ebonytally.echo import openings
from ebonytally.echo import packets
from ebonytally.echo import placing as placings
from ebonytally.echo import tracking
from ebonytally import events
from ebonytally.feed import follower as followers
from ebonytally import recorder as recorders
from ebonytally.register import records
from ebonytally.register import register as registers

SWEEP_S = 1.0

Out = list[packets.ToUpstream | packets.Reset]
_PORT = struct.Struct(">H")


class Forwarder:
    """Decides on each packet."""

    def __init__(
        self,
        register: registers.Register,
        follower: followers.Follower,
        placing: placings.Placing,
        recorder: recorders.Recorder,
    ) -> None:
        """Start without flows."""
        self._register = register
        self._follower = follower
        self._placing = placing
        self._recorder = recorder
        self._cookies = cookies.Cookies(register, recorder)
        self._tracking = tracking.Tracking(placing, recorder)
        self._version = 0
        self._routes: dict[bytes, model.Route] = {}
        self._openings = openings.Openings(
            register,
            placing,
            self._cookies,
            recorder,
        )
        self._swept_at = 0.0
        self.lacks = False

    def changed(self) -> None:
        """Take what the follower and the register have learned."""
        self._cookies.learn()
        if self._version != self._follower.view.version:
            self._version = self._follower.view.version
            self._routes = {
                place_of(route): route
                for route in self._follower.view.content.routes
            }

    def packet(self, packet: packets.Packet, now: float) -> Out:
        """Decide on a packet."""
        route = self._routes.get(packet.place)
        if route is None:
            return self._no_route(packet, now)
        if packet.opening:
            return self._open(packet, route, now)
        entry = self._cookies.entry(packet.cookie)
        if entry is None:
            return self._unknown(packet)
        record = entry.record
        if record.state == records.State.GONE:
            return self._over(packet, record)
        self._openings.opened(packet.key, record.id, now)
        self._tracking.note(packet, record.id, now)
        return [
            packets.ToUpstream(
                record.id,
                record.address,
                record.port,
                None,
                packet,
            )
        ]

    def tick(self, now: float) -> Out:
        """Ask other upstreams where one was silent; drop what is over."""
        if now - self._swept_at >= SWEEP_S:
            self._swept_at = now
            idle_s = self._follower.view.content.idle_timeout_s
            self._tracking.sweep(idle_s, now)
            self._cookies.sweep()
            self._placing.sweep()
        return list(self._openings.tick(now))

    def _open(
        self,
        packet: packets.Packet,
        route: model.Route,
        now: float,
    ) -> Out:
        if packet.key in self._openings:
            return list(self._openings.copy(packet, now))
        self._recorder.counted("flows_opening")
        service = self._placing.service_of(route)
        asked = self._openings.begin(packet, service, now)
        return list(asked) or self._no_upstream(packet, service, now)

    # What isn't passed on.

    def _no_route(self, packet: packets.Packet, now: float) -> Out:
        fresh = self._follower.fresh(now)
        self._recorder.event(
            events.Event.FLOW_REFUSED,
            flow=packet.key.hex(),
            reason="no_route",
            version=self._version,
            fresh=fresh,
            reset=fresh,
        )
        self._recorder.counted("packets_without_route")
        if not fresh:
            self.lacks = True
            return []
        return [packets.Reset(packet)]

    def _no_upstream(
        self,
        packet: packets.Packet,
        service: str,
        now: float,
    ) -> Out:
        """Refuse a flow that nobody can serve; nothing of it has run."""
        fresh = self._follower.fresh(now)
        self._recorder.event(
            events.Event.FLOW_REFUSED,
            flow=packet.key.hex(),
            reason="no_upstream",
            service=service,
            revision=self._register.revision,
            fresh=fresh,
            reset=fresh,
        )
        self._recorder.counted("flows_without_upstream")
        if not fresh:
            self.lacks = True
            return []
        return [packets.Reset(packet)]

    def _unknown(self, packet: packets.Packet) -> Out:
        """Drop a packet whose upstream isn't known here yet.

        Its sender repeats it; a reset could end a flow that goes on.
        """
        self.lacks = True
        self._recorder.counted("packets_of_unknown_upstreams")
        self._recorder.event(
            events.Event.COOKIE_UNKNOWN,
            flow=packet.key.hex(),
            cookie=packet.cookie,
            revision=self._register.revision,
        )
        return []

    def _over(
        self,
        packet: packets.Packet,
        record: records.Record,
    ) -> Out:
        """Reset a flow whose upstream has ended."""
        self._tracking.close(packet.key)
        if packet.ends:
            return []
        self._recorder.event(
            events.Event.FLOW_RESET,
            flow=packet.key.hex(),
            upstream=record.id,
            state=record.state.name.lower(),
        )
        return [packets.Reset(packet)]


def place_of(route: model.Route) -> bytes:
    """Return a route's address and port as packets have them."""
    return socket.inet_aton(route.address) + _PORT.pack(route.port)
