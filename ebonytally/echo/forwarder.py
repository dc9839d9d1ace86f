"""Forwarding of callers' packets to the upstreams of their flows.

The opening packet gets a cookie that identifies its upstream. Both ends
of the flow echo it in each packet, so any entry VM finds the upstream
without state. State for each flow serves only to estimate load and may
be lost.
"""

import socket
import struct

from ebonytally.configuration import model
from ebonytally.echo import cookies
from ebonytally.echo import gate as gates
from ebonytally.echo import openings
from ebonytally.echo import packets
from ebonytally.echo import placing as placings
from ebonytally.echo import tracking
from ebonytally import events
from ebonytally.feed import follower as followers
from ebonytally.load import interfaces
from ebonytally import recorder as recorders
from ebonytally.registry import records
from ebonytally.registry import registry as registries

SWEEP_INTERVAL_S = 1.0

Actions = list[packets.ToUpstream | packets.Reset]
_PORT = struct.Struct(">H")


class Forwarder:
    """Forwards a packet, resets its flow or drops it.

    :ivar cookies: cookies of the upstreams
    :ivar needs_update: a packet needed a newer configuration or registry than
        this VM has; cleared once an update has been requested
    """

    def __init__(
        self,
        registry: registries.Registry,
        follower: followers.Follower,
        placing: placings.Placing,
        recorder: recorders.Recorder,
        observers: tuple[interfaces.FlowObserver, ...] = (),
        gate: gates.Gate | None = None,
        congestion: interfaces.Congestion | None = None,
    ) -> None:
        """Create a forwarder without flows.

        :param observers: hear what packets show about upstreams
        :param gate: admits new flows; None admits all
        :param congestion: tells when this VM's link delays packets
        """
        self._registry = registry
        self._follower = follower
        self._placing = placing
        self._recorder = recorder
        self._gate = gate or gates.Gate(None, None, recorder)
        self.cookies = cookies.Cookies(registry, recorder)
        self._tracker = tracking.FlowTracker(placing, observers, recorder)
        self._view_version = 0
        self._routes: dict[bytes, model.Route] = {}
        self._openings = openings.Openings(
            registry,
            placing,
            self.cookies,
            observers,
            recorder,
            congestion,
        )
        self._unanswered = openings.Unanswered()
        self._swept_at = 0.0
        self.needs_update = False

    def on_update(self) -> None:
        """Apply changes of the configuration and the registry."""
        self.cookies.update()
        if self._view_version != self._follower.view.version:
            self._view_version = self._follower.view.version
            self._routes = {
                service_address_of(route): route
                for route in self._follower.view.content.routes
            }
            self._openings.on_routes(self._routes)
            self._registry.use_services(
                frozenset(
                    service.name
                    for service in self._follower.view.content.services
                )
            )

    def route_at(self, service_address: bytes) -> model.Route | None:
        """Return the route of an address and port, None if there is none.

        :param service_address: as in `packets.Packet.service_address`
        """
        return self._routes.get(service_address)

    def handle_packet(self, packet: packets.Packet, now: float) -> Actions:
        """Return what must be sent for a caller's packet."""
        out = self._handle_packet(packet, now)
        self._gate.on_packet(packet, out, now)
        return out

    def _handle_packet(self, packet: packets.Packet, now: float) -> Actions:
        route = self._routes.get(packet.service_address)
        if packet.is_opening:
            if route is None:
                return self._refuse_without_route(packet, now)
            return self._open(packet, route, now)
        entry = self.cookies.entry(packet.cookie)
        if entry is None or not self._view_version:
            return self._drop_unknown_cookie(packet)
        record = entry.record
        if record.state == records.State.GONE:
            return self._reset_ended(packet, record, now)
        if route is None:
            if self._tracker.was_routed(packet.key):
                return self._reset_without_route(packet, record)
            # The route may be in a configuration that isn't known here yet.
            self._recorder.count("packets_without_route")
            self.needs_update = True
        self._openings.on_opened(packet.key, record.id, now)
        is_routed = route is not None
        self._tracker.on_packet(packet, record.id, is_routed, now)
        return [
            packets.ToUpstream(
                record.id,
                record.address,
                record.port,
                None,
                packet,
            )
        ]

    def tick(self, now: float) -> Actions:
        """Retry unanswered openings elsewhere, and remove idle state."""
        if now - self._swept_at >= SWEEP_INTERVAL_S:
            self._swept_at = now
            idle_s = self._follower.view.content.idle_timeout_s
            self._tracker.sweep(idle_s, now)
            self.cookies.sweep()
            self._unanswered.sweep(now)
            self._placing.sweep()
        out = list(self._openings.tick(now))
        self._gate.on_tick(out, now)
        return out

    def _open(
        self,
        packet: packets.Packet,
        route: model.Route,
        now: float,
    ) -> Actions:
        """Send an opening packet to an upstream, or retry at another."""
        if packet.key in self._openings:
            return list(self._openings.on_retransmission(packet, now))
        self._recorder.count("flows_opening")
        service = self._placing.service_of(route)
        if self._is_unopened(packet, now) and not self._gate.admits(
            packet, route, service, now
        ):
            return [packets.Reset(packet)]
        packets_out = self._openings.begin(
            packet, service, route.priority, now
        )
        return list(packets_out) or self._refuse_without_upstream(
            packet, service, now
        )

    # Refusals

    def _refuse_without_route(
        self, packet: packets.Packet, now: float
    ) -> Actions:
        """Refuse an opening packet to an address without a route."""
        is_reset = self._may_reset_opening(packet, now)
        self._recorder.log_event(
            events.Event.FLOW_REFUSED,
            flow=packet.key.hex(),
            reason="no_route",
            version=self._view_version,
            fresh=self._follower.is_fresh(now),
            reset=is_reset,
        )
        self._recorder.count("packets_without_route")
        return [packets.Reset(packet)] if is_reset else []

    def _refuse_without_upstream(
        self,
        packet: packets.Packet,
        service: str,
        now: float,
    ) -> Actions:
        """Refuse a new flow without an eligible upstream."""
        is_reset = self._may_reset_opening(packet, now)
        self._recorder.log_event(
            events.Event.FLOW_REFUSED,
            flow=packet.key.hex(),
            reason="no_upstream",
            service=service,
            revision=self._registry.revision,
            fresh=self._follower.is_fresh(now),
            reset=is_reset,
        )
        self._recorder.count("flows_without_upstream")
        return [packets.Reset(packet)] if is_reset else []

    def _may_reset_opening(self, packet: packets.Packet, now: float) -> bool:
        """Return whether to answer an opening packet with a reset.

        An outdated view may lack its route or upstream. If an earlier copy
        went to another entry VM, the flow may have opened there since.
        """
        if self._follower.is_fresh(now):
            return self._is_unopened(packet, now)
        self._unanswered.add(packet.key, packet.copies, now)
        self.needs_update = True
        return False

    def _is_unopened(self, packet: packets.Packet, now: float) -> bool:
        """Return whether the flow of an opening packet is certainly new."""
        return self._follower.is_fresh(
            now
        ) and packet.copies == self._unanswered.count(packet.key)

    def _reset_without_route(
        self, packet: packets.Packet, record: records.Record
    ) -> Actions:
        """Reset a flow whose route a newer configuration has removed."""
        return self._reset(packet, record, "no_route")

    def _drop_unknown_cookie(self, packet: packets.Packet) -> Actions:
        """Drop a packet whose cookie isn't known here yet.

        Its sender retransmits it; a reset could break a working flow.
        """
        self.needs_update = True
        self._recorder.count("packets_of_unknown_upstreams")
        self._recorder.log_event(
            events.Event.COOKIE_UNKNOWN,
            flow=packet.key.hex(),
            cookie=packet.cookie,
            revision=self._registry.revision,
        )
        return []

    def _reset_ended(
        self,
        packet: packets.Packet,
        record: records.Record,
        now: float,
    ) -> Actions:
        """Reset a flow whose upstream is gone."""
        self._tracker.close(packet.key, now)
        return self._reset(packet, record, "upstream_gone")

    def _reset(
        self, packet: packets.Packet, record: records.Record, reason: str
    ) -> Actions:
        if packet.is_end:
            return []
        self._recorder.log_event(
            events.Event.FLOW_RESET,
            flow=packet.key.hex(),
            upstream=record.id,
            state=record.state.name.lower(),
            reason=reason,
            version=self._view_version,
        )
        return [packets.Reset(packet)]


def service_address_of(route: model.Route) -> bytes:
    """Return a route's address and port as in `Packet.service_address`."""
    return address_bytes(route.address, route.port)


def address_bytes(address: str, port: int) -> bytes:
    """Return an IPv4 address and port as in `Packet.service_address`."""
    return socket.inet_aton(address) + _PORT.pack(port)
